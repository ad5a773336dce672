/*
 * calicoscale: load_mix.h
 * A mix of requests for the load tool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOAD_MIX_H
#define LOAD_MIX_H

#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** A customer in whose name requests are sent. */
struct mix_customer {
	std::string name;
	std::string key;
	double weight = 1.0;
};

/** One kind of request. */
struct mix_request {
	std::string pipeline;
	double weight = 1.0;
	duration deadline = duration::zero(); ///< Zero: none is sent, and the pipeline's default applies.
	std::size_t input_bytes = 200;
	std::size_t shared_prefix_bytes = 0; ///< Leading bytes that all requests of a customer share.
	bool stream = false;
	bool once = false; ///< Sent with an Idempotency-Key header.
	std::vector<std::string> customers; ///< Names of the customers that send it; empty for all.
};

/** Periodic bursts: for the first `length` of each period `every`, the rate is multiplied by `factor`. */
struct mix_burst {
	duration every = duration::zero();
	duration length = duration::zero();
	double factor = 1.0;
};

struct load_mix {
	std::string name;
	std::vector<mix_customer> customers;
	std::vector<mix_request> requests;
	std::optional<mix_burst> burst;
};

/** Parses a mix. @throws document_error that lists every mistake found. */
load_mix parse_mix(std::string_view p_text);

} // namespace calicoscale

#endif // LOAD_MIX_H
