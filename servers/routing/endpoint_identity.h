/*
 * calicoscale: endpoint_identity.h
 * Identity of one incarnation of an endpoint.
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
 * Identity of one incarnation of an endpoint, i.e. of the time from one start to the next. An endpoint that restarts keeps
 * its name but loses its state, so all data about endpoints is stored by identity and not by name.
 */
struct endpoint_identity {
	std::string vm;
	std::uint64_t incarnation = 0; ///< Start time in Unix milliseconds as the endpoint reports it; 0 if unknown.
	std::strong_ordering operator<=>(const endpoint_identity &p_other) const = default;
};

/** Formats as "name@incarnation", for logs. */
std::string to_string(const endpoint_identity &p_identity);

/** Returns whether p_newer is a later incarnation of the same endpoint. An unknown incarnation is neither earlier nor later. */
bool is_replaced_by(const endpoint_identity &p_identity, const endpoint_identity &p_newer);

/** Hash function for unordered containers. */
struct endpoint_identity_hash {
	std::size_t operator()(const endpoint_identity &p_identity) const;
};

} // namespace calicoscale

#endif // ENDPOINT_IDENTITY_H
