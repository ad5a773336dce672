/*
 * calicoscale: topic_reader.h
 * Follows one topic of the store by repeated reads.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TOPIC_READER_H
#define TOPIC_READER_H

#include "core/log_position.h"
#include "main/gateway/gateway_context.h"
#include "servers/gateway/read_reason.h"
#include "servers/gateway/read_schedule.h"

#include <functional>
#include <optional>
#include <string>

namespace calicoscale {

/** Callbacks from a topic_reader to its owner. */
struct topic_reader_hooks {
	std::function<void(const store_answer &p_answer, bool p_is_whole)> on_answer; ///< p_is_whole: the answer is a snapshot.
	std::function<void()> on_failure; ///< A read failed without an answer.
	std::function<void()> on_new_era; ///< The store was restored from an older copy; a snapshot of the topic is read next.
	std::function<double(bool p_is_whole)> estimate_bytes; ///< Returns the expected size of an answer.
	std::function<void(log_line &r_line)> describe; ///< Adds the owner's current state to the log line that reports a lost or regained store.
};

/**
 * Keeps the position in a topic and reads the records after it. Reads a snapshot first, and again when the store has compacted
 * the history after the position or was restored from an older copy, since offsets then refer to other records. Ignores answers
 * whose era is older than the known one.
 */
class topic_reader {
	gateway_context &_context;
	const std::string _topic;
	const std::string _dependency; ///< Name of the dependency in log lines.
	const topic_reader_hooks _hooks;
	read_schedule _schedule;
	log_position _known;
	bool _is_loaded = false; ///< A snapshot is known, so that reads continue from the offset.
	bool _was_loaded = false; ///< The topic was known at least once. The delay of the first read does not apply to later ones.
	bool _is_reachable = true;
	bool _is_linked = false; ///< This node has a link to a peer.
	bool _is_linking = false; ///< This node has no link and may still get one soon.
	bool _has_failed = false; ///< The last read failed.
	std::optional<read_reason> _next_reason; ///< Reason of the next read, if the state of this reader does not imply it.
	read_reason _reason = read_reason::READER; ///< Reason of the current read.
	const instant _started_at;
	instant _read_began_at; ///< When the current read began.
	instant _answered_at; ///< When the store last answered.
	duration _answer_time{}; ///< Time that the store recently took to answer a read that does not wait.
	instant _due_at{}; ///< When the next read is due, apart from the wait for this node's turn.
	timer _timer;

	read_reason _find_reason();
	void _send(const planned_read &p_read, read_reason p_reason);
	duration _get_remaining_wait() const;
	duration _get_check_time(const planned_read &p_read) const;
	void _check();
	/** Restarts the check for an overdue answer, as a page of the snapshot arrived after p_took. */
	void _on_page(const planned_read &p_read, duration p_took);
	void _note_answer_time(duration p_took);
	void _on_answer(const store_answer &p_answer, std::uint64_t p_read_id, bool p_is_whole);
	void _enter_era(std::uint64_t p_era);
	/** @param p_status HTTP status with which the store answered a failed read; 0 if it gave no answer. */
	void _set_reachable(bool p_reachable, int p_status);

public:
	topic_reader(gateway_context &p_context, std::string_view p_topic, const std::string &p_dependency, const read_times &p_times, topic_reader_hooks p_hooks);

	/** Schedules the first read: after a random delay if there are peers, which may send the data earlier. */
	void read_first();

	/** Begins a read immediately. */
	void read(std::optional<read_reason> p_reason = std::nullopt);

	/** Begins, after a stall of this process, a read that the store answers immediately. */
	void read_after_stall();

	/** Whether the store, or the node that reads for this one, answered at or after p_moment. */
	bool is_answered_since(instant p_moment) const { return _answered_at >= p_moment; }

	/** Begins to read a snapshot, the newest record of each key, immediately. */
	void load_snapshot(read_reason p_reason);

	/** Schedules a read after this time. Does nothing if a read is in progress. */
	void read_in(duration p_time, std::optional<read_reason> p_reason = std::nullopt);

	/** Advances to this offset of the known era, whose records were received by other means, and abandons the read in progress. */
	void skip_to(std::uint64_t p_offset);

	/** Sets the position after a peer sent all records up to it, and abandons the read in progress. */
	void adopt(const log_position &p_known);

	/** Abandons the read in progress. The next one begins only when the owner requests it. */
	void pause();

	/**
	 * Sets whether a peer reads for this node as soon as the store answers that peer; see read_schedule. A node that becomes the
	 * reader reads at once unless the store answered it just now.
	 */
	void set_has_peer_reader(bool p_has_peer_reader);

	/**
	 * Sets whether this node has a link to a peer.
	 * @param p_is_linking whether it has none and may still get one soon. The first read waits meanwhile.
	 */
	void set_linked(bool p_is_linked, bool p_is_linking) {
		_is_linked = p_is_linked;
		_is_linking = p_is_linking;
	}

	/** Sets the rank of this node in the order in which nodes read for the first time; see read_schedule. */
	void set_read_rank(std::size_t p_rank) { _schedule.set_read_rank(p_rank); }

	/** Sets the position of this node in the order in which nodes read while their reader reports nothing; see read_schedule. */
	void set_turn(std::size_t p_position) { _schedule.set_turn(p_position); }

	/** Returns the time that this node leaves to the nodes before it in that order. @param p_is_whole whether it would read a snapshot. */
	duration get_turn_wait(bool p_is_whole) const;

	/** Whether another node reads for this one. */
	bool has_peer_reader() const { return _schedule.has_peer_reader(); }

	/** Records that the owner received the data by other means, although not the position. */
	void note_told() { _was_loaded = true; }

	/** Records that the known data were confirmed as the newest by other means. */
	void note_answered() { _answered_at = event_loop::now(); }

	/** Whether a read is in progress. */
	bool is_reading() const { return _schedule.is_reading(); }

	/** Whether the store answered the last read in time and the open read is not overdue. */
	bool is_answered() const { return _schedule.is_responsive(); }

	/** Whether a snapshot of the topic is known, so that reads continue from the offset. */
	bool is_loaded() const { return _is_loaded; }

	/** Position up to which the topic is known. */
	const log_position &get_known() const { return _known; }

	/** Time since the store last answered a read of this topic, or since the start of this reader if it has not answered yet. */
	duration get_unconfirmed_time(instant p_now) const { return p_now - _answered_at; }
};

} // namespace calicoscale

#endif // TOPIC_READER_H
