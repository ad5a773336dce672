/*
 * calicoscale: read_schedule.h
 * Decides when a topic of the store is read again, and how.
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

/** Times of reading one topic. */
struct read_times {
	duration wait{}; ///< A read waits this long at the store for the next record; zero for reads that are answered at once.
	duration overdue{}; ///< An answer that takes longer than this beyond the wait may never come: another read is sent beside it.
	duration repeat{}; ///< Between the further reads that are sent beside it.
	duration retry{}; ///< From the failure of the last open read to the next one.
	duration longest_retry{}; ///< Both of them after a while, for nodes that leave the reading to a peer; zero is no longer than at first.
	duration first_wait{}; ///< From the start, in which a node for which a peer reads is told by it rather than reading the whole topic too; zero for none.
	duration place_step{}; ///< Longer for each place in the order in which nodes read while nobody tells them.
};

/** One read to be sent. */
struct planned_read {
	std::uint64_t reading = 0; ///< Which reading it belongs to.
	duration wait{}; ///< For the next record, at the store.
	bool on_new_connection = false; ///< Kept connections may be as dead as the one that is silent.
	duration check_in{}; ///< When to ask the schedule again if no answer has come.
};

/**
 * A waiting read is silent when nothing has changed and when its connection is dead, so its silence counts only as long as
 * it was told to wait. Beyond that reads that do not wait are sent beside it, on new connections, until one is answered.
 * A reading is the set of reads until an answer comes; what comes later of earlier readings does not count.
 */
class read_schedule {
	const read_times _times;
	std::size_t _place = 0;
	std::uint64_t _reading = 0;
	int _open = 0; ///< Reads of this reading without an answer.
	int _failures = 0; ///< Without an answer between them.
	int _repeats = 0; ///< Reads sent beside others since the last answer.
	bool _is_patient = false; ///< A peer reads for this node as soon as it can.
	bool _is_heard = true; ///< The store answered the last reading, and the open one is not overdue.

	planned_read _plan(bool p_is_first);
	duration _space_out(duration p_first, int p_count) const;

public:
	explicit read_schedule(const read_times &p_times) :
			_times(p_times) {}

	/** Begins a reading, whatever is still open of the one before. */
	planned_read begin();

	/** Begins a reading that does not wait, on a new connection: this node was away, and what is open may be dead or old. */
	planned_read begin_after_absence();

	/** The time that the last read named has passed without an answer. Empty while as many are open as may be. */
	std::optional<planned_read> check();

	/** A read was answered. False if it belongs to an earlier reading. */
	bool on_answered(std::uint64_t p_reading);

	/** A read ended without an answer. False if it belongs to an earlier reading. */
	bool on_failed(std::uint64_t p_reading);

	/** Answers to what is open are not waited for any more, as it became known otherwise. */
	void abandon();

	/** Whether the store answered the last reading, and the open one is not overdue. True before the first. */
	bool is_heard() const { return _is_heard; }

	/** Whether an answer may still come. */
	bool is_reading() const { return _open > 0; }

	/** Whether an answer to this reading may still come. */
	bool is_open(std::uint64_t p_reading) const { return _open > 0 && p_reading == _reading; }

	/** Whether another node reads for this one. */
	bool is_patient() const { return _is_patient; }

	/** Place of this node in the order in which nodes read for the first time. */
	void set_place(std::size_t p_place) { _place = p_place; }

	/** How long the first reading is left to a peer. @param p_since_start how long ago this node started. */
	duration get_first_wait(duration p_since_start) const;

	/**
	 * Whether a peer reads for this node as soon as the store answers it. Then failures space out the retries: 86
	 * nodes whose store was away for 6.5 s made 3,748 and 3,899 calls without it, 2,353 and 2,350 with it (one replay, two seeds).
	 * Silence spaces out the reads beside silent ones in the same way: a node asks 23 times for its endpoints in nine
	 * seconds without it, 11 times with it (read_schedule_test).
	 */
	void set_patient(bool p_is_patient) { _is_patient = p_is_patient; }

	/** From a failure to the next read. */
	duration get_retry() const;

	/** From a read without an answer to the one beside it. */
	duration get_repeat() const;
};

} // namespace calicoscale

#endif // READ_SCHEDULE_H
