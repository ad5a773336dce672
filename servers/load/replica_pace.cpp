/*
 * calicoscale: replica_pace.cpp
 * How much longer than usual work takes at one replica.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/load/replica_pace.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

constexpr double STEP = 0.4;
constexpr double LEAST_SAMPLE = 0.3;
/** A replica that was slow is tried again as this passes; slow ones get no calls that would tell. */
constexpr duration LEARNT_MEMORY = std::chrono::seconds(3);
/** What a replica tells changes many times a second. */
constexpr duration TOLD_MEMORY = std::chrono::milliseconds(300);

double fade(double p_factor, duration p_age, duration p_memory) {
	return 1.0 + (p_factor - 1.0) * std::exp(-std::max(0.0, to_seconds(p_age) / to_seconds(p_memory)));
}

} // namespace

double replica_pace::_get_learnt(instant p_now) const {
	return fade(_learnt, p_now - _learnt_at, LEARNT_MEMORY);
}

void replica_pace::tell(double p_factor, instant p_now) {
	_told = std::clamp(p_factor, 1.0, HIGHEST);
	_told_at = p_now;
}

double replica_pace::get_told(instant p_now) const {
	return fade(_told, p_now - _told_at, TOLD_MEMORY);
}

void replica_pace::learn(double p_sample, double p_told_before, instant p_now) {
	// Its answer told how things are at the end of the call.
	const double explained = (p_told_before + get_told(p_now)) / 2.0;
	const double sample = std::clamp(p_sample, LEAST_SAMPLE, HIGHEST) / explained;
	const double current = _get_learnt(p_now);
	_learnt = current + (sample - current) * STEP;
	_learnt_at = p_now;
}

void replica_pace::note_overrun(double p_least, instant p_now) {
	_learnt = std::max(_get_learnt(p_now), p_least);
	_learnt_at = p_now;
}

} // namespace calicoscale
