/*
 * calicoscale: version_times.h
 * How long answers of a service usually take, by route.
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

/** Learns from the answers of the versions in service, so that those of a new one are compared with them. */
class version_times {
	std::map<std::pair<std::string, std::string>, duration> _usual; ///< By service and route.

public:
	/** Times over the usual from which an answer is slow. */
	static constexpr int SLOW_FACTOR = 3;

	/** Whether an answer took several times longer than usual; false while nothing is known of the route. */
	bool is_slow(const std::string &p_service, const std::string &p_route, duration p_elapsed) const;

	/** A version in service answered. */
	void learn(const std::string &p_service, const std::string &p_route, duration p_elapsed);
};

} // namespace calicoscale

#endif // VERSION_TIMES_H
