/*
 * calicoscale: endpoint_follower.h
 * Keeps the list of endpoints, from the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_FOLLOWER_H
#define ENDPOINT_FOLLOWER_H

#include "main/gateway/topic_reader.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/endpoint_record_filter.h"
#include "servers/gateway/rejection_notes.h"

#include <sigc++/sigc++.h>

namespace calicoscale {

/** Reads the endpoints' topic about once a second and folds it. */
class endpoint_follower {
	gateway_context &_context;
	endpoint_directory _directory;
	endpoint_record_filter _filter;
	rejection_notes _rejections;
	topic_reader _reader;
	timer _drop_timer; ///< Entries that went with an outage are dropped.
	sigc::signal<void()> _changed;
	sigc::signal<void(const endpoint_reading &)> _reading_taken;
	sigc::signal<void()> _era_entered;
	bool _is_era_untold = false; ///< The first whole reading of an era is to be told.
	instant _differed_at{}; ///< When this node last read the whole list because a peer's was another one.

	void _on_answer(const store_answer &p_answer, bool p_is_whole);
	void _on_failure();
	void _on_new_era();
	/** Until the next own read. @param p_awaits_entries some went with an outage of the store and may come back. */
	duration _get_read_interval(bool p_awaits_entries) const;
	void _set_timers();
	endpoint_reading _take_records(const store_answer &p_answer);
	void _compare(const endpoint_reading &p_reading, const std::string &p_peer);
	void _take_whole(const store_answer &p_answer);
	void _note_rejected();
	void _publish();

public:
	explicit endpoint_follower(gateway_context &p_context);

	/** Begins to read, in a moment if peers may tell before. */
	void start() { _reader.read_first(); }

	/** Place of this node in the order in which nodes of its zone read for the first time. */
	void set_place(std::size_t p_place) { _reader.set_place(p_place); }

	/** A peer reads for this node as soon as the store answers it. */
	void set_patient(bool p_is_patient) { _reader.set_patient(p_is_patient); }

	/** Up to where this node knows the topic; zero while it does not. */
	log_position get_known() const { return _reader.is_loaded() ? _reader.get_known() : log_position(); }

	/** This node was away: asks at once for what changed meanwhile. */
	void catch_up() { _reader.read_after_absence(); }

	/** Whether the endpoints are known as they were at a moment. */
	bool is_known_since(instant p_moment) const { return _reader.is_answered_since(p_moment); }

	/** A peer or an answer told that an endpoint leaves. */
	void mark_leaving(const endpoint_identity &p_identity, std::string_view p_source);

	/** Drops endpoints that peers told of before and that count as gone by now. */
	void drop_told();

	/** A peer that reads the store without a break saw an endpoint's entry go. */
	void mark_gone(const endpoint_identity &p_identity, const std::string &p_peer);

	/** A peer told its list, and up to where it knows the topic. A node that knows none takes both. */
	void offer(const std::vector<endpoint_listing> &p_listings, const log_position &p_known, const std::string &p_peer);

	/**
	 * A peer told what it read. Taken as if this node had read it, when nothing is missing in between; then this node reads
	 * by itself only if no peer tells in time. That of a peer of a version that does not know starts is not taken. One of a
	 * later era of the store is taken if it is whole; else this node reads the whole topic, soon.
	 */
	void take_reading(const endpoint_reading &p_reading, const std::string &p_peer);

	/** Emitted with what each read of this node brought, for peers that do not read. */
	sigc::signal<void(const endpoint_reading &)> &reading_taken() { return _reading_taken; }

	/** Emitted when the store came back from an older copy: what this node wrote there may be gone. */
	sigc::signal<void()> &era_entered() { return _era_entered; }

	endpoint_directory &get_directory() { return _directory; }
	/** Whether endpoints are known; an empty list means that none has said so yet. */
	bool is_loaded() const { return _directory.is_loaded() && _directory.get_size() > 0; }

	/** Emitted when the list of endpoints is another one. */
	sigc::signal<void()> &changed() { return _changed; }
};

} // namespace calicoscale

#endif // ENDPOINT_FOLLOWER_H
