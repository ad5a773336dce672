/*
 * calicoscale: home_regions.h
 * Regions that a request and its body must not leave.
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

/**
 * Returns whether two availability zones lie in the same region; true if the region of either one is unknown.
 * @param p_regions maps zones to regions.
 */
bool is_same_region(const std::string &p_left, const std::string &p_right, const std::map<std::string, std::string> &p_regions);

/**
 * Home regions of a request: the regions in which it may be processed. They follow from the settings of its route and of its
 * customer; if neither names any, the request is unrestricted.
 */
class home_regions {
	bool _is_bound = false; ///< The request is restricted to _regions.
	std::vector<std::string> _regions; ///< Empty while bound: route and customer have no region in common.

public:
	home_regions() = default;

	/** If both name regions, only those in both lists remain. */
	home_regions(const std::vector<std::string> &p_route_regions, const std::vector<std::string> &p_customer_regions);

	/** Home regions as received from another node; empty if unrestricted. */
	explicit home_regions(const std::vector<std::string> &p_received) :
			home_regions(p_received, {}) {}

	bool is_bound() const { return _is_bound; }

	/** Returns whether route and customer have no home region in common, so that no endpoint may serve the request. */
	bool is_unsatisfiable() const { return _is_bound && _regions.empty(); }

	/** Regions to send to another node. Not for a request with is_unsatisfiable(): an empty list means "unrestricted" there. */
	const std::vector<std::string> &get_regions() const { return _regions; }

	/** Returns whether an availability zone lies in a home region; false for a zone with an unknown region. */
	bool admits(const std::string &p_zone, const std::map<std::string, std::string> &p_regions) const;
};

} // namespace calicoscale

#endif // HOME_REGIONS_H
