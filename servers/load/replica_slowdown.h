/*
 * calicoscale: replica_slowdown.h
 * Estimates by which factor one replica is slower than typical.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REPLICA_SLOWDOWN_H
#define REPLICA_SLOWDOWN_H

#include "core/time.h"

namespace calicoscale {

/**
 * The factor by which calls at a replica take longer than typical. It is the product of two factors: an estimate from the measured
 * times of its calls, which decays over seconds, and a factor that the replica reports about the hardware that it shares with others,
 * which decays within some tenths of a second. The reported factor is divided out of the measured times, so that a replica whose
 * hardware is busy for a moment isn't estimated to be slow by itself.
 */
class replica_slowdown {
	double _estimated = 1.0;
	instant _estimated_at{};
	double _reported = 1.0;
	instant _reported_at{};

	double _get_estimated(instant p_now) const;

public:
	/** Upper bound of each of the two factors. */
	static constexpr double MAX_FACTOR = 20.0;

	/** Records the factor that the replica reported for the present; 1 is typical. */
	void tell(double p_factor, instant p_now);

	/** Returns the reported factor, decayed towards 1. */
	double get_reported(instant p_now) const;

	/** Updates the estimate from a completed call. @param p_sample its time divided by the expected time. @param p_reported_before get_reported() when the call began. */
	void learn(double p_sample, double p_reported_before, instant p_now);

	/** Raises the estimate while a call takes far longer than expected. @param p_min_factor elapsed time divided by the expected time. */
	void note_overrun(double p_min_factor, instant p_now);

	/** Returns the current factor: expected time of a call divided by the typical time. */
	double get(instant p_now) const { return _get_estimated(p_now) * get_reported(p_now); }
};

} // namespace calicoscale

#endif // REPLICA_SLOWDOWN_H
