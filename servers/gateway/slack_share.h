/*
 * calicoscale: slack_share.h
 * One holder's part of the slack in the limit on repeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SLACK_SHARE_H
#define SLACK_SHARE_H

#include "servers/gateway/retry_window.h"

namespace calicoscale {

/**
 * A part of the slack that all nodes share, and since when its present holder has it. The repeats of earlier holders in the same
 * window, e.g. of a process that crashed, are unknown to the present one, which therefore gains slack as it ages. Together, all
 * holders of one part use the slack of that part at most once in any window, however often the part changes hands.
 */
class slack_share {
	double _part = 0.0;
	instant _held_since{};

public:
	/** Sets the part, from 0 to 1. Its age begins when the part rises from 0. */
	void set_part(double p_part, instant p_now);

	double get_part() const { return _part; }

	/** Returns the time for which the holder has had a part without a break; zero if it has none. */
	duration get_age(instant p_now) const;

	/** Returns the number of repeats per window that the part allows in addition to the ratio. */
	double get_slack(const retry_bounds &p_bounds, instant p_now) const;
};

} // namespace calicoscale

#endif // SLACK_SHARE_H
