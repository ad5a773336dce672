/*
 * calicoscale: version_tally.cpp
 * Counts answers of a service's versions and decides whether the target version is bad.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/version_tally.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace calicoscale {

namespace {

/** Key of all routes beyond the first MAX_ROUTES. */
constexpr std::uint32_t OTHER_ROUTES = 0;
/** With fewer bad answers a version is never judged bad. */
constexpr std::uint32_t MIN_BAD_ANSWERS = 4;
/** Standard deviations above the expected number of bad answers from which a version is bad. */
constexpr double MIN_DEVIATIONS = 4.0;
/** Lower bound of the baseline share of bad answers, however few the current version gave. */
constexpr double MIN_BASELINE_SHARE = 0.005;
/** A bad version's share of bad answers exceeds this multiple of the baseline. */
constexpr double MIN_RATIO = 2.0;
/** From this number on, bad answers count without regard to how they are distributed over endpoints. */
constexpr std::uint32_t MIN_BAD_ACROSS_GROUPS = 25;

/** Adds two numbers; the result is limited to UINT32_MAX. */
std::uint32_t add_saturated(std::uint32_t p_left, std::uint32_t p_right) {
	const std::uint64_t total = static_cast<std::uint64_t>(p_left) + p_right;
	return static_cast<std::uint32_t>(std::min<std::uint64_t>(total, UINT32_MAX));
}

bool exceeds_baseline(std::uint32_t p_answers, std::uint32_t p_bad, double p_baseline_share) {
	const double expected = static_cast<double>(p_answers) * p_baseline_share;
	return p_bad >= MIN_BAD_ANSWERS && p_bad > MIN_RATIO * expected && p_bad > expected + MIN_DEVIATIONS * std::sqrt(expected) + 1.0;
}

} // namespace

std::uint8_t version_tally::get_group(std::string_view p_endpoint) {
	return static_cast<std::uint8_t>(1 + hash_bytes(p_endpoint) % TARGET_GROUPS);
}

void version_tally::add(std::string_view p_route, std::uint8_t p_group, bool p_is_bad) {
	const std::uint32_t route = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(hash_bytes(p_route)));
	add({ answer_counts{ route, p_group, 1, p_is_bad ? 1U : 0U } });
}

std::set<std::uint32_t> version_tally::_get_routes() const {
	std::set<std::uint32_t> routes;
	for (const auto &[key, counted] : _cells) {
		routes.insert(key.first);
	}
	return routes;
}

void version_tally::add(const std::vector<answer_counts> &p_cells) {
	std::set<std::uint32_t> routes = _get_routes();
	for (const answer_counts &cell : p_cells) {
		if (cell.group > TARGET_GROUPS) {
			continue;
		}
		const bool is_counted_separately = routes.contains(cell.route) || routes.size() < MAX_ROUTES;
		const std::uint32_t route = is_counted_separately ? cell.route : OTHER_ROUTES;
		routes.insert(route);
		counts &counted = _cells[{ route, cell.group }];
		counted.answers = add_saturated(counted.answers, cell.answers);
		counted.bad = add_saturated(counted.bad, std::min(cell.bad, cell.answers));
	}
}

void version_tally::raise_to(const version_tally &p_other) {
	std::set<std::uint32_t> routes = _get_routes();
	for (const auto &[key, counted] : p_other._cells) {
		if (!routes.contains(key.first) && routes.size() >= MAX_ROUTES) {
			continue;
		}
		routes.insert(key.first);
		counts &own = _cells[key];
		own.answers = std::max(own.answers, counted.answers);
		own.bad = std::max(own.bad, counted.bad);
	}
}

void version_tally::lower_to(const version_tally &p_other) {
	std::erase_if(_cells, [&p_other](const auto &p_cell) { return !p_other._cells.contains(p_cell.first); });
	for (auto &[key, counted] : _cells) {
		const counts &other = p_other._cells.at(key);
		counted.answers = std::min(counted.answers, other.answers);
		counted.bad = std::min(counted.bad, other.bad);
	}
}

std::vector<answer_counts> version_tally::get_cells() const {
	std::vector<answer_counts> cells;
	cells.reserve(_cells.size());
	for (const auto &[key, counted] : _cells) {
		cells.push_back(answer_counts{ key.first, key.second, counted.answers, counted.bad });
	}
	return cells;
}

version_verdict version_tally::_judge_route(std::uint32_t p_route, bool p_all) const {
	std::array<counts, TARGET_GROUPS + 1> groups{};
	for (const auto &[key, counted] : _cells) {
		if (p_all || key.first == p_route) {
			groups.at(key.second).answers = add_saturated(groups.at(key.second).answers, counted.answers);
			groups.at(key.second).bad = add_saturated(groups.at(key.second).bad, counted.bad);
		}
	}
	const counts &current = groups.front();
	version_verdict verdict;
	verdict.route = p_all ? OTHER_ROUTES : p_route;
	verdict.baseline_share = std::max(MIN_BASELINE_SHARE, (current.bad + 0.5) / (current.answers + 1.0));
	counts worst;
	int used_groups = 0;
	for (std::size_t group = 1; group < groups.size(); group++) {
		verdict.answers = add_saturated(verdict.answers, groups.at(group).answers);
		verdict.bad = add_saturated(verdict.bad, groups.at(group).bad);
		used_groups += groups.at(group).answers > 0 ? 1 : 0;
		worst = groups.at(group).bad > worst.bad ? groups.at(group) : worst;
	}
	// Without answers of the current version on a route there is no baseline to compare with.
	if (current.answers == 0) {
		return verdict;
	}
	const bool is_bad_without_worst = used_groups > 1 && exceeds_baseline(verdict.answers - worst.answers, verdict.bad - worst.bad, verdict.baseline_share);
	const bool is_bad_overall = verdict.bad >= MIN_BAD_ACROSS_GROUPS && exceeds_baseline(verdict.answers, verdict.bad, verdict.baseline_share);
	verdict.is_bad = is_bad_without_worst || is_bad_overall;
	return verdict;
}

version_verdict version_tally::judge() const {
	const version_verdict all = _judge_route(OTHER_ROUTES, true);
	if (all.is_bad) {
		return all;
	}
	for (const std::uint32_t route : _get_routes()) {
		const version_verdict verdict = _judge_route(route, false);
		if (verdict.is_bad) {
			return verdict;
		}
	}
	return all;
}

} // namespace calicoscale
