/*
 * calicoscale: version_tally.h
 * Counts answers of a service's versions and decides whether the target version is bad.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_TALLY_H
#define VERSION_TALLY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Answers of one version, or of one group of the target's endpoints, on one route. */
struct answer_counts {
	std::uint32_t route = 0; ///< Hash of the route's name.
	std::uint8_t group = 0; ///< 0 for the current version, else the group of the target's endpoints.
	std::uint32_t answers = 0;
	std::uint32_t bad = 0; ///< Number of them that failed or took several times longer than typical.
	bool operator==(const answer_counts &p_other) const = default;
};

/** Judgement of the target version from its answers. */
struct version_verdict {
	bool is_bad = false;
	std::uint32_t answers = 0; ///< Answers of the target.
	std::uint32_t bad = 0; ///< Bad answers of the target.
	double baseline_share = 0.0; ///< Share of bad answers of the current version on the same routes.
	std::uint32_t route = 0; ///< Route to which the judgement applies; 0 for all together.
};

/**
 * Counts answers by route and group, and compares the target version with the current one, on all routes together and on each.
 * Answers of both versions from the same time are compared, so that an overload or ordinary failures, which affect both, don't make
 * the target look bad. Endpoints of the target are divided into groups, and the group with the most bad answers is left out unless
 * there are many bad answers: a single bad endpoint doesn't make a version bad.
 */
class version_tally {
	struct counts {
		std::uint32_t answers = 0;
		std::uint32_t bad = 0;
	};

	std::map<std::pair<std::uint32_t, std::uint8_t>, counts> _cells; ///< By route and group.

	std::set<std::uint32_t> _get_routes() const;
	version_verdict _judge_route(std::uint32_t p_route, bool p_all) const;

public:
	static constexpr std::uint8_t TARGET_GROUPS = 8;
	/** Maximum number of routes that are counted separately; answers on further routes share one count. */
	static constexpr std::size_t MAX_ROUTES = 16;

	/** Returns the group of an endpoint of the target version. */
	static std::uint8_t get_group(std::string_view p_endpoint);

	/** Counts an answer of the current version (group 0) or of an endpoint of the target. */
	void add(std::string_view p_route, std::uint8_t p_group, bool p_is_bad);

	/** Adds counts of other nodes; cells with an invalid group are ignored. */
	void add(const std::vector<answer_counts> &p_cells);

	/** Raises each count to that of p_other if it is higher. */
	void raise_to(const version_tally &p_other);

	/** Lowers each count to that of p_other if it is lower; removes cells that p_other lacks. */
	void lower_to(const version_tally &p_other);

	std::vector<answer_counts> get_cells() const;

	/** Judges all routes together and then each route; returns the first bad verdict, else that of all routes. */
	version_verdict judge() const;
};

} // namespace calicoscale

#endif // VERSION_TALLY_H
