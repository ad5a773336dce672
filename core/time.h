/*
 * calicoscale: time.h
 * Time as decisions see it: handed in with each event, never read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIME_H
#define TIME_H

#include <chrono>
#include <cstdint>

namespace calicoscale {

/** Length of time; microseconds, as everything that is decided fits that grain. */
using duration = std::chrono::microseconds;

/** The node's own monotonic time line. It has no now(): only drivers read clocks. */
struct node_clock {
	using duration = calicoscale::duration;
	using rep = duration::rep;
	using period = duration::period;
	using time_point = std::chrono::time_point<node_clock>;
	static constexpr bool is_steady = true;
};

/** A point on the node's monotonic time line. */
using instant = node_clock::time_point;

/** Milliseconds since 1970 by the wall clock, handed in by drivers. */
using unix_milliseconds = std::int64_t;

/** Converts to seconds, for rates and reports. */
constexpr double to_seconds(duration p_value) {
	return static_cast<double>(p_value.count()) / 1e6;
}

/** Converts to milliseconds, for reports. */
constexpr double to_milliseconds(duration p_value) {
	return static_cast<double>(p_value.count()) / 1e3;
}

/** Converts from seconds. What is no number is none; beyond a hundred years it is brought within, so that sums do not overflow. */
constexpr duration from_seconds(double p_value) {
	constexpr double LONGEST = 100.0 * 365.0 * 24.0 * 3600.0;
	if (p_value != p_value) {
		return duration::zero();
	}
	const double seconds = p_value > LONGEST ? LONGEST : (p_value < -LONGEST ? -LONGEST : p_value);
	return duration(static_cast<duration::rep>(seconds * 1e6));
}

} // namespace calicoscale

#endif // TIME_H
