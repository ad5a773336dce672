/*
 * calicoscale: limit_share.cpp
 * How customer limits are divided over nodes without coordination.
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

/** Demand every node is taken to have, as a part of the customer's rate spread over all nodes. */
constexpr double BASE_DEMAND_PART = 0.2;
/** A lending zone keeps this much above its demand, so that a rise finds room until the next exchange. */
constexpr double LENDER_HEADROOM = 1.25;
/** A lending zone always keeps this part of its guaranteed share. */
constexpr double LENDER_FLOOR = 0.25;

double get_demand(const share_member &p_member, customer_code p_customer) {
	const auto found = p_member.demand.find(p_customer);
	return found == p_member.demand.end() ? 0.0 : found->second;
}

struct zone_state {
	std::string zone;
	bool heard = false;
	double demand = 0.0;
	double part = 0.0;
};

std::vector<zone_state> gather_zones(const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, customer_code p_customer) {
	std::map<std::string, zone_state> zones;
	for (const std::string &zone : p_zones) {
		zones[zone].zone = zone;
	}
	for (const share_member &member : p_members) {
		if (!p_zones.empty() && !zones.contains(member.zone)) {
			// A zone that the configuration does not list owns no share.
			continue;
		}
		zone_state &zone = zones[member.zone];
		zone.zone = member.zone;
		zone.heard = zone.heard || member.grant_valid;
		zone.demand += member.grant_valid ? get_demand(member, p_customer) : 0.0;
	}
	std::vector<zone_state> states;
	states.reserve(zones.size());
	for (const auto &[name, zone] : zones) {
		states.push_back(zone);
	}
	return states;
}

/** Gives every zone its guaranteed part, then moves what lenders leave to those that ask for more. */
void share_between_zones(std::vector<zone_state> &r_zones, double p_rate) {
	const double guaranteed = 1.0 / static_cast<double>(r_zones.size());
	double spare = 0.0;
	double wanted = 0.0;
	for (zone_state &zone : r_zones) {
		zone.part = guaranteed;
		if (!zone.heard || p_rate <= 0.0) {
			continue;
		}
		const double needed = zone.demand * LENDER_HEADROOM / p_rate;
		if (needed < guaranteed) {
			zone.part = std::max(needed, guaranteed * LENDER_FLOOR);
			spare += guaranteed - zone.part;
		} else {
			wanted += needed - guaranteed;
		}
	}
	if (wanted <= 0.0) {
		// Nobody asks for more: what is spare stays with its owners.
		for (zone_state &zone : r_zones) {
			zone.part = guaranteed;
		}
		return;
	}
	for (zone_state &zone : r_zones) {
		const double needed = p_rate <= 0.0 ? 0.0 : zone.demand * LENDER_HEADROOM / p_rate;
		if (zone.heard && needed > guaranteed) {
			zone.part += spare * (needed - guaranteed) / wanted;
		}
	}
}

/** Order in which nodes get the places left by rounding down; differs by customer so that no node gets them all. */
std::uint64_t get_rank(const std::string &p_vm, const std::string &p_customer) {
	return hash_bytes(p_vm + "/" + p_customer);
}

int share_places(const std::string &p_self, const std::map<std::string, double> &p_parts, const std::string &p_customer, int p_places) {
	std::map<std::string, int> places;
	int given = 0;
	for (const auto &[vm, part] : p_parts) {
		places[vm] = static_cast<int>(std::floor(part * p_places));
		given += places[vm];
	}
	std::vector<std::pair<std::uint64_t, std::string>> order;
	order.reserve(p_parts.size());
	for (const auto &[vm, part] : p_parts) {
		order.emplace_back(get_rank(vm, p_customer), vm);
	}
	std::sort(order.begin(), order.end());
	for (std::size_t i = 0; i < order.size() && given < p_places; i++) {
		places[order[i].second]++;
		given++;
	}
	return places[p_self];
}

} // namespace

customer_code get_customer_code(std::string_view p_customer) {
	return static_cast<customer_code>(hash_bytes(p_customer));
}

limit_part compute_limit_part(const std::string &p_self, const std::vector<share_member> &p_members, const std::vector<std::string> &p_zones, const std::string &p_customer, double p_rate, int p_concurrency) {
	const customer_code code = get_customer_code(p_customer);
	std::vector<zone_state> zones = gather_zones(p_members, p_zones, code);
	if (zones.empty()) {
		return {};
	}
	share_between_zones(zones, p_rate);
	const auto self = std::find_if(p_members.begin(), p_members.end(), [&p_self](const share_member &p_member) { return p_member.vm == p_self; });
	if (self == p_members.end()) {
		return {};
	}
	const auto own_zone = std::find_if(zones.begin(), zones.end(), [&self](const zone_state &p_zone) { return p_zone.zone == self->zone; });
	if (own_zone == zones.end()) {
		return {};
	}
	const double base = std::max(BASE_DEMAND_PART * p_rate / static_cast<double>(p_members.size()), 1e-6);
	double total = 0.0;
	std::map<std::string, double> parts;
	for (const share_member &member : p_members) {
		if (member.zone != self->zone) {
			continue;
		}
		parts[member.vm] = base + (member.grant_valid ? get_demand(member, code) : 0.0);
		total += parts[member.vm];
	}
	for (auto &[vm, part] : parts) {
		part /= total;
	}
	limit_part result;
	result.rate_share = own_zone->part * parts[p_self];
	const int zone_places = static_cast<int>(std::floor(own_zone->part * p_concurrency));
	result.concurrency = share_places(p_self, parts, p_customer, zone_places);
	return result;
}

} // namespace calicoscale
