/*
 * calicoscale: limit_share.h
 * How customer limits are divided over nodes without coordination.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LIMIT_SHARE_H
#define LIMIT_SHARE_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Short hash of a customer's name, as heartbeats carry it. Two customers that share one only share their demand. */
using customer_code = std::uint32_t;
customer_code get_customer_code(std::string_view p_customer);

/** Requests a second asked for, by customer. */
using customer_demands = std::map<customer_code, double>;

/** What one node knows of another for sharing limits. */
struct share_member {
	std::string vm;
	std::string zone;
	bool grant_valid = false; ///< Heard of lately enough that its demand counts.
	customer_demands demand;
};

/** A node's part of one customer's limit. */
struct limit_part {
	double rate_share = 0.0; ///< Part of the rate, 0 to 1.
	int concurrency = 0; ///< Places.
};

/**
 * Divides a customer's limit. Each configured zone owns an equal guaranteed part. A zone whose grant is valid lends
 * what its demand leaves unused to the zones that ask for more; a zone not heard of keeps its guaranteed part, so when
 * it is cut off both sides together stay within the limit. Inside a zone nodes share by recent demand over a base
 * that keeps every node able to admit. All nodes that know the same members compute parts that sum to the limit.
 *
 * @param p_self name of the own VM; must be among p_members.
 * @param p_zones zones of the configuration; when empty, the zones of the members.
 */
limit_part compute_limit_part(const std::string &p_self, const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, const std::string &p_customer, double p_rate, int p_concurrency);

} // namespace calicoscale

#endif // LIMIT_SHARE_H
