/*
 * calicoscale: endpoint_identity.h
 * Names one start of an endpoint.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_IDENTITY_H
#define ENDPOINT_IDENTITY_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace calicoscale {

/**
 * One start of an endpoint. An endpoint may start again under its name; it then holds nothing of before, so whatever is
 * kept of an endpoint is kept by its identity.
 */
struct endpoint_identity {
	std::string vm;
	std::uint64_t incarnation = 0; ///< Unix milliseconds of the start, as the endpoint tells it; 0 when it is not known.
	std::strong_ordering operator<=>(const endpoint_identity &p_other) const = default;
};

/** Writes "name@incarnation", for logs. */
std::string to_string(const endpoint_identity &p_identity);

/** Whether p_newer is a later start of the same endpoint. A start that is not known is neither earlier nor later. */
bool is_replaced_by(const endpoint_identity &p_identity, const endpoint_identity &p_newer);

/** For unordered containers. */
struct endpoint_identity_hash {
	std::size_t operator()(const endpoint_identity &p_identity) const;
};

} // namespace calicoscale

#endif // ENDPOINT_IDENTITY_H
