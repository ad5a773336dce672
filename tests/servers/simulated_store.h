/*
 * calicoscale: simulated_store.h
 * A store in virtual time that gives its bytes at a rate.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SIMULATED_STORE_H
#define SIMULATED_STORE_H

#include "core/log_position.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace calicoscale {

/** How a simulated_store answers. */
enum class store_condition {
	NORMAL,
	REFUSING, ///< Answers 503 to each read.
	SILENT, ///< Answers nothing, and spends no bytes.
	SLOW, ///< Answers 60 times later.
};

/** Answer to one read. */
struct simulated_answer {
	bool is_answered = true; ///< False if no answer ever arrives.
	bool is_refused = false; ///< 503.
	bool is_compacted = false; ///< The records after the position are forgotten.
	log_position known; ///< Position up to which the answer goes.
	instant state_at{}; ///< When the store had the state that is told.
	instant begins_at{}; ///< When its first byte is sent.
	instant arrives_at{};
};

/**
 * Serves reads in the order of arrival at a rate of bytes, and answers 503 at once to a read that would wait for longer than
 * half a second. Each endpoint writes a record of 300 bytes each five seconds; records older than 20 s are forgotten.
 */
class simulated_store {
	const double _endpoints;
	instant _free_at{}; ///< When all accepted reads are served.
	std::uint64_t _era = 1;
	duration _lost{}; ///< Time whose records the restored copy lacks.
	store_condition _condition = store_condition::NORMAL;
	std::size_t _calls = 0;
	std::vector<double> _asked_bytes; ///< By second.

	std::uint64_t _get_offset(instant p_now) const;

public:
	explicit simulated_store(std::size_t p_endpoints) :
			_endpoints(static_cast<double>(p_endpoints)) {}

	/** Bytes that the store gives in a second. */
	static constexpr double BYTES_PER_SECOND = 20e6;

	void set_condition(store_condition p_condition) { _condition = p_condition; }

	/** Restores the store from a copy that is five seconds old. */
	void restore_copy();

	/** Serves a read. @param p_is_turned_away whether the store answers 503 to this node. */
	simulated_answer read(const log_position &p_known, bool p_is_whole, bool p_is_turned_away, instant p_now);

	/** Position after the last record. */
	log_position get_known(instant p_now) const { return log_position{ _era, _get_offset(p_now) }; }

	/** Number of reads so far. */
	std::size_t get_calls() const { return _calls; }

	/** Bytes of all reads by second of their arrival, whether served or not. */
	const std::vector<double> &get_asked_bytes() const { return _asked_bytes; }
};

} // namespace calicoscale

#endif // SIMULATED_STORE_H
