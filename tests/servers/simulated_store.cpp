/*
 * calicoscale: simulated_store.cpp
 * A store in virtual time that gives its bytes at a rate.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/simulated_store.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr double RECORD_BYTES = 300.0;
constexpr double RECORD_INTERVAL_SECONDS = 5.0;
constexpr double LISTING_BYTES = 400.0;
constexpr duration MAX_WAIT = std::chrono::milliseconds(500);
constexpr duration ANSWER_TIME = std::chrono::milliseconds(4);
constexpr duration HISTORY = std::chrono::seconds(20);
constexpr duration COPY_AGE = std::chrono::seconds(5);
constexpr int SLOW_FACTOR = 60;
/** Age of the store when the play begins. */
constexpr duration STORE_AGE = std::chrono::seconds(100);

} // namespace

std::uint64_t simulated_store::_get_offset(instant p_now) const {
	return static_cast<std::uint64_t>(to_seconds(STORE_AGE + p_now.time_since_epoch() - _lost) * _endpoints / RECORD_INTERVAL_SECONDS);
}

void simulated_store::restore_copy() {
	_era++;
	_lost += COPY_AGE;
}

simulated_answer simulated_store::read(const log_position &p_known, bool p_is_whole, bool p_is_turned_away, instant p_now) {
	_calls++;
	simulated_answer answer;
	answer.known = get_known(p_now);
	answer.state_at = p_now;
	answer.is_compacted = !p_is_whole && p_known.era == _era && p_known.offset < _get_offset(p_now - HISTORY);
	const bool has_records = !p_is_whole && !answer.is_compacted && p_known.era == _era && p_known.offset < answer.known.offset;
	const double records = has_records ? static_cast<double>(answer.known.offset - p_known.offset) : 1.0;
	const double bytes = p_is_whole ? _endpoints * LISTING_BYTES : records * RECORD_BYTES;
	const std::size_t second = static_cast<std::size_t>(to_seconds(p_now.time_since_epoch()));
	_asked_bytes.resize(std::max(_asked_bytes.size(), second + 1));
	_asked_bytes[second] += bytes;
	answer.is_answered = _condition != store_condition::SILENT;
	const instant begins_at = std::max(_free_at, p_now);
	answer.is_refused = _condition == store_condition::REFUSING || p_is_turned_away || begins_at - p_now > MAX_WAIT;
	if (answer.is_refused || !answer.is_answered) {
		answer.arrives_at = p_now + ANSWER_TIME;
		return answer;
	}
	_free_at = begins_at + from_seconds(bytes / BYTES_PER_SECOND);
	const int factor = _condition == store_condition::SLOW ? SLOW_FACTOR : 1;
	answer.begins_at = p_now + (begins_at - p_now) * factor;
	answer.arrives_at = p_now + (_free_at - p_now + ANSWER_TIME) * factor;
	return answer;
}

} // namespace calicoscale
