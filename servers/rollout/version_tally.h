/*
 * calicoscale: version_tally.h
 * Answers of a service's versions, and whether the newer one is bad.
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

/** Answers of one version on one route. */
struct version_cell {
	std::uint32_t route = 0; ///< A hash of the route's name.
	std::uint8_t group = 0; ///< 0 for the present version, else one of the groups that the target's endpoints are divided into.
	std::uint32_t answers = 0;
	std::uint32_t bad = 0; ///< Of them: failures, and answers several times slower than usual.
	bool operator==(const version_cell &p_other) const = default;
};

/** What the answers say of the target version. */
struct version_verdict {
	bool is_bad = false;
	std::uint32_t answers = 0; ///< Of the target.
	std::uint32_t bad = 0;
	double usual_share = 0.0; ///< Of bad answers, at the present version on the same routes.
	std::uint32_t route = 0; ///< The one that is bad; 0 for all together.
};

/**
 * Counts answers by route and group, and compares the target version with the present one: on all routes together and on each.
 * Both are judged by what happened at the same time, so that an overload or an endpoint's ordinary failures, which show at both,
 * condemn neither. Endpoints of the target fall into groups, and the one with most bad answers is left out unless bad answers are
 * many: a single bad endpoint is no bad version.
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
	/** Routes that are told apart; answers on others count for all together. */
	static constexpr std::size_t MOST_ROUTES = 16;

	/** Group of an endpoint of the target version. */
	static std::uint8_t get_group(std::string_view p_endpoint);

	/** An answer of the present version (group 0) or of an endpoint of the target. */
	void add(std::string_view p_route, std::uint8_t p_group, bool p_is_bad);

	/** Adds what others counted. */
	void add(const std::vector<version_cell> &p_cells);

	/** Raises each count to that of another. */
	void raise_to(const version_tally &p_other);

	/** Lowers each count to that of another. */
	void lower_to(const version_tally &p_other);

	std::vector<version_cell> get_cells() const;

	version_verdict judge() const;
};

} // namespace calicoscale

#endif // VERSION_TALLY_H
