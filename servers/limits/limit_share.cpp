/*
 * calicoscale: limit_share.cpp
 * Divides customer limits over nodes without coordination.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/limit_share.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace calicoscale {

namespace {

/** Minimum demand that is assumed for every node, as a fraction of the customer's rate divided by the number of nodes. */
constexpr double BASE_DEMAND_SHARE = 0.2;
/** A lending zone keeps its demand times this factor, as a reserve for rising demand until the next exchange. */
constexpr double LENDER_HEADROOM = 1.25;
/** A lending zone always keeps at least this fraction of its guaranteed share. */
constexpr double MIN_LENDER_SHARE = 0.25;

double get_demand(const share_member &p_member, customer_code p_customer) {
	const auto found = p_member.demand.find(p_customer);
	return found == p_member.demand.end() ? 0.0 : found->second;
}

struct zone_share {
	std::string zone;
	bool has_valid_grant = false;
	double demand = 0.0;
	double share = 0.0;
};

std::vector<zone_share> gather_zones(const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, customer_code p_customer) {
	std::map<std::string, zone_share> zones;
	for (const std::string &zone : p_zones) {
		zones[zone].zone = zone;
	}
	for (const share_member &member : p_members) {
		if (!p_zones.empty() && !zones.contains(member.zone)) {
			// A zone that isn't configured has no share.
			continue;
		}
		zone_share &zone = zones[member.zone];
		zone.zone = member.zone;
		zone.has_valid_grant = zone.has_valid_grant || member.grant_valid;
		zone.demand += member.grant_valid ? get_demand(member, p_customer) : 0.0;
	}
	std::vector<zone_share> zone_shares;
	zone_shares.reserve(zones.size());
	for (const auto &[name, zone] : zones) {
		zone_shares.push_back(zone);
	}
	return zone_shares;
}

/** Gives every zone its guaranteed share, then moves the unused share of lending zones to those with higher demand. */
void divide_between_zones(std::vector<zone_share> &r_zones, double p_rate) {
	const double guaranteed = 1.0 / static_cast<double>(r_zones.size());
	double spare = 0.0;
	double excess_demand = 0.0;
	for (zone_share &zone : r_zones) {
		zone.share = guaranteed;
		if (!zone.has_valid_grant || p_rate <= 0.0) {
			continue;
		}
		const double needed = zone.demand * LENDER_HEADROOM / p_rate;
		if (needed < guaranteed) {
			zone.share = std::max(needed, guaranteed * MIN_LENDER_SHARE);
			spare += guaranteed - zone.share;
		} else {
			excess_demand += needed - guaranteed;
		}
	}
	if (excess_demand <= 0.0) {
		// No zone needs more than its guaranteed share, so nothing is lent.
		for (zone_share &zone : r_zones) {
			zone.share = guaranteed;
		}
		return;
	}
	for (zone_share &zone : r_zones) {
		const double needed = p_rate <= 0.0 ? 0.0 : zone.demand * LENDER_HEADROOM / p_rate;
		if (zone.has_valid_grant && needed > guaranteed) {
			zone.share += spare * (needed - guaranteed) / excess_demand;
		}
	}
}

/** Order in which nodes get the slots that remain after rounding down; differs by customer so that no node gets all of them. */
std::uint64_t get_rank(const std::string &p_vm, const std::string &p_customer) {
	return hash_bytes(p_vm + "/" + p_customer);
}

int divide_slots(const std::string &p_self, const std::map<std::string, double> &p_shares, const std::string &p_customer, int p_slots) {
	std::map<std::string, int> slots;
	int assigned = 0;
	for (const auto &[vm, share] : p_shares) {
		slots[vm] = static_cast<int>(std::floor(share * p_slots));
		assigned += slots[vm];
	}
	std::vector<std::pair<std::uint64_t, std::string>> order;
	order.reserve(p_shares.size());
	for (const auto &[vm, share] : p_shares) {
		order.emplace_back(get_rank(vm, p_customer), vm);
	}
	std::sort(order.begin(), order.end());
	for (std::size_t i = 0; i < order.size() && assigned < p_slots; i++) {
		slots[order[i].second]++;
		assigned++;
	}
	return slots[p_self];
}

} // namespace

customer_code get_customer_code(std::string_view p_customer) {
	return static_cast<customer_code>(hash_bytes(p_customer));
}

node_limit_share compute_limit_share(const std::string &p_self, const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, const std::string &p_customer, double p_rate, int p_concurrency) {
	const customer_code code = get_customer_code(p_customer);
	std::vector<zone_share> zones = gather_zones(p_members, p_zones, code);
	if (zones.empty()) {
		return {};
	}
	divide_between_zones(zones, p_rate);
	const auto self = std::find_if(p_members.begin(), p_members.end(), [&p_self](const share_member &p_member) { return p_member.vm == p_self; });
	if (self == p_members.end()) {
		return {};
	}
	const auto own_zone = std::find_if(zones.begin(), zones.end(), [&self](const zone_share &p_zone) { return p_zone.zone == self->zone; });
	if (own_zone == zones.end()) {
		return {};
	}
	const double base = std::max(BASE_DEMAND_SHARE * p_rate / static_cast<double>(p_members.size()), 1e-6);
	double total = 0.0;
	std::map<std::string, double> shares;
	for (const share_member &member : p_members) {
		if (member.zone != self->zone) {
			continue;
		}
		shares[member.vm] = base + (member.grant_valid ? get_demand(member, code) : 0.0);
		total += shares[member.vm];
	}
	for (auto &[vm, share] : shares) {
		share /= total;
	}
	node_limit_share result;
	result.rate_share = own_zone->share * shares[p_self];
	const int zone_slots = static_cast<int>(std::floor(own_zone->share * p_concurrency));
	result.concurrency = divide_slots(p_self, shares, p_customer, zone_slots);
	return result;
}

} // namespace calicoscale
