/*
 * calicoscale: hybrid_clock.h
 * Hybrid logical clock that orders events across processes.
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

/** Wall time with a counter that orders causes before their effects when the wall clocks of nodes disagree. */
struct hybrid_time {
	unix_milliseconds wall = 0;
	std::uint32_t counter = 0;
	auto operator<=>(const hybrid_time &p_other) const = default;
};

/** One process's hybrid logical clock. */
class hybrid_clock {
	hybrid_time _last;

public:
	/** Returns the time of a local event or a send; later than each time returned or observed before. */
	hybrid_time tick(unix_milliseconds p_wall);

	/** Advances the clock to a time received from a peer. A time more than a minute ahead of the wall clock is ignored. */
	void observe(const hybrid_time &p_remote, unix_milliseconds p_wall);
};

} // namespace calicoscale

#endif // HYBRID_CLOCK_H
