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

/** A customer that sends. */
struct mix_customer {
	std::string name;
	std::string key;
	double weight = 1.0;
};

/** One kind of request. */
struct mix_request {
	std::string pipeline;
	double weight = 1.0;
	duration deadline = duration::zero(); ///< Zero leaves it to the pipeline.
	std::size_t input_bytes = 200;
	std::size_t shared_prefix_bytes = 0; ///< Leading bytes that all requests of a customer share.
	bool stream = false;
	bool once = false; ///< Sent under an Idempotency-Key.
	std::vector<std::string> customers; ///< Who sends it; empty for all.
};

/** Times of more load. */
struct mix_burst {
	duration every = duration::zero();
	duration length = duration::zero();
	double factor = 1.0;
};

/** A whole mix. */
struct load_mix {
	std::string name;
	std::vector<mix_customer> customers;
	std::vector<mix_request> requests;
	std::optional<mix_burst> burst;
};

/** Parses a mix. @throws document_error with every mistake found. */
load_mix parse_mix(std::string_view p_text);

} // namespace calicoscale

#endif // LOAD_MIX_H
