/*
 * calicoscale: time.h
 * Types of time. Code that decides gets the current time from its caller and reads no clock.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIME_H
#define TIME_H

#include <chrono>
#include <cstdint>

namespace calicoscale {

/** Length of time in microseconds, which is fine enough for all decisions. */
using duration = std::chrono::microseconds;

/** The node's monotonic clock. It has no now(), because only drivers read clocks. */
struct node_clock {
	using duration = calicoscale::duration;
	using rep = duration::rep;
	using period = duration::period;
	using time_point = std::chrono::time_point<node_clock>;
	static constexpr bool is_steady = true;
};

/** A point in time of the node's monotonic clock. */
using instant = node_clock::time_point;

/** Milliseconds since 1970 by the wall clock; drivers pass it in. */
using unix_milliseconds = std::int64_t;

/** Converts to seconds, for rates and reports. */
constexpr double to_seconds(duration p_value) {
	return static_cast<double>(p_value.count()) / 1e6;
}

/** Converts to milliseconds, for reports. */
constexpr double to_milliseconds(duration p_value) {
	return static_cast<double>(p_value.count()) / 1e3;
}

/** Converts from seconds. NaN becomes zero; values are clamped to 100 years in both directions so that sums don't overflow. */
constexpr duration from_seconds(double p_value) {
	constexpr double MAX_SECONDS = 100.0 * 365.0 * 24.0 * 3600.0;
	if (p_value != p_value) {
		return duration::zero();
	}
	const double seconds = p_value > MAX_SECONDS ? MAX_SECONDS : (p_value < -MAX_SECONDS ? -MAX_SECONDS : p_value);
	return duration(static_cast<duration::rep>(seconds * 1e6));
}

} // namespace calicoscale

#endif // TIME_H
