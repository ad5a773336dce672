/*
 * calicoscale: home_regions.h
 * Regions that a request and its body do not leave.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HOME_REGIONS_H
#define HOME_REGIONS_H

#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Whether two availability zones lie in one region; so do those whose region is not known. @param p_regions by zone. */
bool is_same_region(const std::string &p_left, const std::string &p_right, const std::map<std::string, std::string> &p_regions);

/** Homes of a request, from those of its route and of its customer. Without either it may go anywhere. */
class home_regions {
	bool _is_bound = false;
	std::vector<std::string> _regions; ///< Empty while bound: no region is a home of both.

public:
	home_regions() = default;

	/** When both name homes, both bind. */
	home_regions(const std::vector<std::string> &p_of_route, const std::vector<std::string> &p_of_customer);

	/** Homes as another node told them: empty for no bound. */
	explicit home_regions(const std::vector<std::string> &p_told) :
			home_regions(p_told, {}) {}

	bool is_bound() const { return _is_bound; }

	/** Whether route and customer name homes and share none, so that nothing may serve the request. */
	bool is_nowhere() const { return _is_bound && _regions.empty(); }

	/** To tell another node. Not for a request that is nowhere at home, as none stand for no bound there. */
	const std::vector<std::string> &get_regions() const { return _regions; }

	/** Whether an availability zone lies in a home. One whose region is not known does not. */
	bool admits(const std::string &p_zone, const std::map<std::string, std::string> &p_regions) const;
};

} // namespace calicoscale

#endif // HOME_REGIONS_H
