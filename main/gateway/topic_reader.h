/*
 * calicoscale: topic_reader.h
 * Reads one topic of the store, again and again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TOPIC_READER_H
#define TOPIC_READER_H

#include "core/log_position.h"
#include "main/gateway/gateway_context.h"
#include "servers/gateway/read_schedule.h"

#include <functional>
#include <string>

namespace calicoscale {

/** What a reader tells its owner. */
struct topic_reader_hooks {
	std::function<void(const store_answer &p_answer, bool p_is_whole)> on_answer; ///< p_is_whole: the newest record of each key.
	std::function<void()> on_failure; ///< A read ended without an answer.
	std::function<void()> on_new_era; ///< The store came back from an older copy; the topic is read as a whole next.
	std::function<void(log_line &r_line)> describe; ///< Adds to a log line what is known while the store is away.
};

/**
 * Keeps the position in a topic and reads it from there on; whole at first, when its history is gone, and when the store came
 * back from an older copy, as offsets name other records then. Answers of an era before the known one are not taken.
 */
class topic_reader {
	gateway_context &_context;
	const std::string _topic;
	const std::string _dependency; ///< Its name in the log.
	const topic_reader_hooks _hooks;
	read_schedule _schedule;
	log_position _known;
	bool _is_loaded = false; ///< Read as a whole, so that it is read on from the offset.
	bool _was_loaded = false; ///< Once; what is read as a whole again is waited for by nobody.
	bool _is_reachable = true;
	const instant _started_at;
	instant _read_since; ///< When this reading began.
	instant _answered_at; ///< When the store last answered.
	timer _timer;

	void _send(const planned_read &p_read);
	void _check();
	/** A page of a list came, so that its reading is not silent. */
	void _on_page(const planned_read &p_read);
	void _on_answer(const store_answer &p_answer, std::uint64_t p_reading, bool p_is_whole);
	void _enter_era(std::uint64_t p_era);
	/** @param p_status that the store answered a read with that failed; 0 when it gave no answer. */
	void _set_reachable(bool p_reachable, int p_status);

public:
	topic_reader(gateway_context &p_context, std::string_view p_topic, const std::string &p_dependency, const read_times &p_times, topic_reader_hooks p_hooks);

	/** Begins to read for the first time: in a moment, if there are peers that may tell before. */
	void read_first();

	/** Begins a reading at once. */
	void read();

	/** This node was away: begins a reading that is answered at once. */
	void read_after_absence();

	/** Whether the store, or whoever reads for this node, answered since a moment. */
	bool is_answered_since(instant p_moment) const { return _answered_at >= p_moment; }

	/** Begins a reading of the newest record of each key at once. */
	void read_whole();

	/** Begins a reading after this time; a reading that is under way goes on instead. */
	void read_in(duration p_time);

	/** The topic is known up to this offset of the known era by other means; what is under way is not waited for. */
	void skip_to(std::uint64_t p_offset);

	/** A peer told all there is up to this position. */
	void adopt(const log_position &p_known);

	/** Ends the reading that is under way; the next one begins when it is asked for. */
	void pause();

	/** A peer reads for this node as soon as the store answers it; see read_schedule. */
	void set_patient(bool p_is_patient) { _schedule.set_patient(p_is_patient); }

	/** Place of this node in the order in which nodes read for the first time; see read_schedule. */
	void set_place(std::size_t p_place) { _schedule.set_place(p_place); }

	/** Whether another node reads for this one. */
	bool is_patient() const { return _schedule.is_patient(); }

	/** What is known is known to be the newest by other means. */
	void note_answered() { _answered_at = event_loop::now(); }

	/** Whether the store answered the last read within its time, and the one that is open is not overdue. */
	bool is_answered() const { return _schedule.is_heard(); }

	/** Whether the topic was read as a whole. */
	bool is_loaded() const { return _is_loaded; }

	/** Position up to which the topic is known. */
	const log_position &get_known() const { return _known; }

	/** How long ago the store last answered a read of this topic; since the start if it has not yet. */
	duration get_unconfirmed_time(instant p_now) const { return p_now - _answered_at; }
};

} // namespace calicoscale

#endif // TOPIC_READER_H
