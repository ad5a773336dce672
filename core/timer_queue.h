/*
 * calicoscale: timer_queue.h
 * Which timers are due, in the order of their times.
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

/** What a timer judges, which says when it runs after this process stood still. */
enum class timer_order {
	BEFORE_SOCKETS, ///< It keeps something from being sent too late: it runs before any socket is written.
	AFTER_SOCKETS, ///< It judges a silence, or does work: it runs once what waits at the sockets was read.
};

/** Timers that are set, by their ids. Told the time with each call. */
class timer_queue {
	struct entry {
		instant due{};
		timer_order order = timer_order::AFTER_SOCKETS;
	};

	using place = std::pair<instant, std::uint64_t>; ///< Due time, then the order in which timers were made.

	std::map<std::uint64_t, entry> _entries;
	std::set<place> _all;
	std::set<place> _before_sockets;

public:
	/** Sets a timer; replaces an earlier time. */
	void set(std::uint64_t p_id, instant p_due, timer_order p_order);

	/** Forgets the time set. */
	void cancel(std::uint64_t p_id);

	/** When the next one is due. @param p_only_before_sockets others are passed over. */
	std::optional<instant> get_next(bool p_only_before_sockets) const;

	/** Takes out the one that is due first, if its time has come. */
	std::optional<std::uint64_t> take_due(bool p_only_before_sockets, instant p_now);
};

} // namespace calicoscale

#endif // TIMER_QUEUE_H
