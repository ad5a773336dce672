/*
 * calicoscale: limit_share.h
 * Divides customer limits over nodes without coordination.
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

/** Short hash of a customer's name, as sent in heartbeats. On a collision the demands of both customers are added up; nothing else is affected. */
using customer_code = std::uint32_t;
customer_code get_customer_code(std::string_view p_customer);

/** Demand in requests per second, by customer. */
using customer_demands = std::map<customer_code, double>;

/** State of a node as another one knows it, for dividing limits. */
struct share_member {
	std::string vm;
	std::string zone;
	bool grant_valid = false; ///< The last contact is recent enough for its demand to count.
	customer_demands demand;
};

/** A node's share of one customer's limits. */
struct node_limit_share {
	double rate_share = 0.0; ///< Share of the rate, 0 to 1.
	int concurrency = 0; ///< Number of concurrent requests.
};

/**
 * Divides a customer's limits. Each configured zone has an equal guaranteed share. A zone with a valid grant lends the
 * unused rest of its share to zones with higher demand. A zone without recent contact keeps its guaranteed share, so that
 * both sides of a network partition together stay within the limit. Within a zone the nodes' shares are proportional to
 * their recent demand plus a base that lets every node admit requests. Nodes that know the same members compute shares
 * whose sum is at most the limit.
 *
 * @param p_self name of the own VM; must be among p_members.
 * @param p_zones configured zones; if empty, the zones of the members.
 */
node_limit_share compute_limit_share(const std::string &p_self, const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, const std::string &p_customer, double p_rate, int p_concurrency);

} // namespace calicoscale

#endif // LIMIT_SHARE_H
