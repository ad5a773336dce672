/*
 * calicoscale: hybrid_clock.h
 * Hybrid logical clock that orders events over processes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HYBRID_CLOCK_H
#define HYBRID_CLOCK_H

#include "core/time.h"

#include <compare>
#include <cstdint>

namespace calicoscale {

/** Wall time with a counter that keeps cause before effect when wall clocks disagree. */
struct hybrid_time {
	unix_milliseconds wall = 0;
	std::uint32_t counter = 0;
	auto operator<=>(const hybrid_time &p_other) const = default;
};

/** One process's hybrid logical clock. */
class hybrid_clock {
	hybrid_time _last;

public:
	/** Time of a local event or a send; later than any time given or seen before. */
	hybrid_time tick(unix_milliseconds p_wall);

	/** Takes in a time received from a peer. One absurdly far ahead (over a minute) is not followed. */
	void observe(const hybrid_time &p_remote, unix_milliseconds p_wall);
};

} // namespace calicoscale

#endif // HYBRID_CLOCK_H
