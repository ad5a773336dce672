/*
 * calicoscale: replica_pace.h
 * How much longer than usual work takes at one replica.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REPLICA_PACE_H
#define REPLICA_PACE_H

#include "core/time.h"

namespace calicoscale {

/**
 * Of two parts: what its calls were seen to take beyond what was expected, which fades over seconds, and what it tells itself of
 * the machine that it shares with others, which holds for some tenths of a second only. What it told explains a part of what its
 * calls took, so that a replica that shares its machine is not taken for a slow one.
 */
class replica_pace {
	double _learnt = 1.0;
	instant _learnt_at{};
	double _told = 1.0;
	instant _told_at{};

	double _get_learnt(instant p_now) const;

public:
	/** Time of a call over the usual one that is believed. */
	static constexpr double HIGHEST = 20.0;

	/** The replica told how long work takes there right now; 1 is as usual. */
	void tell(double p_factor, instant p_now);

	/** Of what the replica told, what still holds; 1 when that is nothing. */
	double get_told(instant p_now) const;

	/** A call ended. @param p_sample its time over the expected one. @param p_told_before what get_told() was as it began. */
	void learn(double p_sample, double p_told_before, instant p_now);

	/** A call takes far longer than expected. @param p_least over the expected time. */
	void note_overrun(double p_least, instant p_now);

	/** Time that a call takes now, over the usual one. */
	double get(instant p_now) const { return _get_learnt(p_now) * get_told(p_now); }
};

} // namespace calicoscale

#endif // REPLICA_PACE_H
