/*
 * calicoscale: read_schedule.h
 * Schedules the reads of one topic of the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef READ_SCHEDULE_H
#define READ_SCHEDULE_H

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace calicoscale {

/** Times for the reads of one topic. */
struct read_times {
	duration wait{}; ///< How long a read waits at the store for the next record; zero for reads that are answered at once.
	duration overdue{}; ///< Time beyond the wait after which an answer may never arrive and an additional read is sent.
	duration repeat{}; ///< Time between additional reads.
	duration retry{}; ///< Time from the failure of the last open read to the next read.
	duration longest_retry{}; ///< Upper bound to which repeat and retry grow on nodes for which a peer reads; zero disables the growth.
	duration first_wait{}; ///< Time from the start of a node in which it expects the topic from the peer that reads for it, instead of reading the whole topic too; zero for none.
	duration rank_step{}; ///< Added to first_wait for each position in the order in which nodes begin to read when no peer sends them the topic.
};

/** One read to send. */
struct planned_read {
	std::uint64_t reading = 0; ///< Reading that it belongs to; see read_schedule.
	duration wait{}; ///< How long it waits at the store for the next record.
	bool on_new_connection = false; ///< Idle connections may be as broken as the one that does not answer.
	duration check_in{}; ///< Time after which to call read_schedule::check() if no answer has arrived.
};

/**
 * Schedules the reads of one topic. A waiting read gets no answer both when nothing has changed and when its connection is
 * broken, so a missing answer is normal only for the time of the wait. After it, additional reads that do not wait are sent
 * on new connections until one is answered.
 *
 * A reading is a series of reads that ends with the first answer; later answers and failures of its reads are ignored.
 */
class read_schedule {
	const read_times _times;
	std::size_t _read_position = 0;
	std::size_t _turn = 0; ///< Position among the nodes that read while the reader reports nothing.
	std::uint64_t _reading = 0;
	int _open = 0; ///< Open reads of the current reading.
	int _failures = 0; ///< Failed reads since the last answer.
	int _repeats = 0; ///< Additional reads since the last answer.
	bool _has_peer_reader = false; ///< A peer reads for this node as soon as the store answers the peer.
	bool _is_responsive = true; ///< The store answered the last reading, and the current one is not overdue.

	planned_read _plan(bool p_is_first);
	duration _apply_backoff(duration p_first, int p_count) const;

public:
	explicit read_schedule(const read_times &p_times) :
			_times(p_times) {}

	/** Begins a reading; open reads of the previous one are ignored. */
	planned_read begin();

	/** Begins a reading that does not wait, on a new connection. For use after a process stall, when open connections may be broken and their answers outdated. */
	planned_read begin_after_stall();

	/** Returns the next read once the check_in time of the last one has passed without an answer; empty while the maximum number of reads is open. */
	std::optional<planned_read> check();

	/** Records the answer to a read. Returns false if the read belongs to an earlier reading. */
	bool on_answered(std::uint64_t p_reading);

	/** Records that a read ended without an answer. Returns false if the read belongs to an earlier reading. */
	bool on_failed(std::uint64_t p_reading);

	/** Ends the current reading because the topic was received from a peer. */
	void abandon();

	/** Returns whether the store answered the last reading and the current one is not overdue. True before the first reading. */
	bool is_responsive() const { return _is_responsive; }

	/** Returns whether a read is open. */
	bool is_reading() const { return _open > 0; }

	/** Returns whether a read of this reading is open. */
	bool is_open(std::uint64_t p_reading) const { return _open > 0 && p_reading == _reading; }

	/** Returns whether a peer reads for this node. */
	bool has_peer_reader() const { return _has_peer_reader; }

	/** Sets the position of this node in the order in which nodes read for the first time. */
	void set_read_rank(std::size_t p_position) { _read_position = p_position; }

	/** Sets the position of this node in the order in which nodes read while their reader reports nothing; see find_read_position(). */
	void set_turn(std::size_t p_position) { _turn = p_position; }

	/**
	 * Returns the time after the reader's silence became known, or after a failed read, until this node reads for itself. The
	 * nodes before it report what they read, so that it need not read in most cases. Doubles with each read that failed or was
	 * repeated since the last answer.
	 * @param p_step interval between the reads of two successive nodes; see get_read_step().
	 */
	duration get_turn_wait(duration p_step) const;

	/**
	 * Returns the remaining time in which the first reading is left to a peer.
	 * @param p_since_start time since the start of this node.
	 */
	duration get_first_wait(duration p_since_start) const;

	/**
	 * Sets whether a peer reads for this node as soon as the store answers the peer. If so, the time between retries doubles
	 * with each failure: 86 nodes whose store was unavailable for 6.5 s sent 2,353 and 2,350 requests instead of 3,748 and
	 * 3,899 (two seeds). The time between additional reads grows in the same way: while the store is silent for nine
	 * seconds, a node requests its endpoints 11 times instead of 23 times.
	 */
	void set_has_peer_reader(bool p_has_peer_reader) { _has_peer_reader = p_has_peer_reader; }

	/** Returns the time from a failure to the next read. */
	duration get_retry() const;

	/** Returns the time from an unanswered read to the next additional one. */
	duration get_repeat() const;
};

} // namespace calicoscale

#endif // READ_SCHEDULE_H
