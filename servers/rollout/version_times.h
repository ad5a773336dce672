/*
 * calicoscale: version_times.h
 * Typical answer times of services, by route.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_TIMES_H
#define VERSION_TIMES_H

#include "core/time.h"

#include <map>
#include <string>
#include <utility>

namespace calicoscale {

/** Estimates typical times from answers of the versions in service, so that answers of a new version can be compared with them. */
class version_times {
	std::map<std::pair<std::string, std::string>, duration> _typical; ///< By service and route.

public:
	/** An answer is slow if it takes longer than the typical time by this factor. */
	static constexpr int SLOW_FACTOR = 3;

	/** Returns whether an answer took more than SLOW_FACTOR times the typical time; false while the route has no estimate. */
	bool is_slow(const std::string &p_service, const std::string &p_route, duration p_elapsed) const;

	/** Updates the estimate with the time of an answer of a version in service. */
	void learn(const std::string &p_service, const std::string &p_route, duration p_elapsed);
};

} // namespace calicoscale

#endif // VERSION_TIMES_H
