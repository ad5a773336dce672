/*
 * calicoscale: timer_queue.h
 * Queue of timers, ordered by due time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TIMER_QUEUE_H
#define TIMER_QUEUE_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace calicoscale {

/** When a due timer runs relative to socket input that is pending, e.g. after a process stall. */
enum class timer_order {
	BEFORE_SOCKETS, ///< The timer prevents something from being sent too late, so it runs before any socket is written.
	AFTER_SOCKETS, ///< The timer checks for missing input, or does work, so it runs after pending input of the sockets was read.
};

/** Pending timers by id. The caller passes the current time. */
class timer_queue {
	struct entry {
		instant due{};
		timer_order order = timer_order::AFTER_SOCKETS;
	};

	using timer_key = std::pair<instant, std::uint64_t>; ///< Due time, then id; ids rise in the order in which timers are created.

	std::map<std::uint64_t, entry> _entries;
	std::set<timer_key> _all;
	std::set<timer_key> _before_sockets;

public:
	/** Sets a timer; replaces its earlier due time. */
	void set(std::uint64_t p_id, instant p_due, timer_order p_order);

	/** Removes a timer; does nothing when it isn't set. */
	void cancel(std::uint64_t p_id);

	/** Returns the earliest due time; empty without timers. @param p_only_before_sockets ignores AFTER_SOCKETS timers. */
	std::optional<instant> get_next(bool p_only_before_sockets) const;

	/** Removes the timer with the earliest due time and returns its id; empty when none is due. @param p_only_before_sockets ignores AFTER_SOCKETS timers. */
	std::optional<std::uint64_t> take_due(bool p_only_before_sockets, instant p_now);
};

} // namespace calicoscale

#endif // TIMER_QUEUE_H
