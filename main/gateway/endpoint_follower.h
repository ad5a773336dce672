/*
 * calicoscale: endpoint_follower.h
 * Keeps the list of endpoints, as read from the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_FOLLOWER_H
#define ENDPOINT_FOLLOWER_H

#include "main/gateway/topic_reader.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/endpoint_record_filter.h"
#include "servers/gateway/rejection_log_filter.h"

#include <sigc++/sigc++.h>

#include <optional>

namespace calicoscale {

/** Reads the endpoints' topic about once a second and merges its records into a directory. */
class endpoint_follower {
	gateway_context &_context;
	endpoint_directory _directory;
	endpoint_record_filter _filter;
	rejection_log_filter _rejections;
	topic_reader _reader;
	timer _drop_timer; ///< Drops entries that are missing since an outage of the store and did not come back.
	sigc::signal<void()> _changed;
	sigc::signal<void(const endpoint_delta &)> _delta_published;
	sigc::signal<void()> _era_entered;
	bool _is_era_unreported = false; ///< The first snapshot of the current era is still to be published to peers.
	instant _difference_found_at{}; ///< When this node's list last was found to differ from a peer's.
	bool _is_substitute = false; ///< The last read of this node was made in place of its silent reader.
	std::optional<read_reason> _list_need; ///< Why this node needs a snapshot from a peer, or from the store when its turn comes.
	std::string _list_source; ///< Peer whose delta showed the need.
	instant _list_needed_at{};
	timer _list_timer; ///< Reads the snapshot from the store if no peer has sent it.
	std::optional<double> _records_per_second; ///< Observed rate of the topic; empty before two positions were known.
	double _record_bytes; ///< Observed size of a record.
	instant _advanced_at{}; ///< When the known position last advanced.

	void _on_answer(const store_answer &p_answer, bool p_is_whole);
	void _on_failure();
	void _on_new_era();
	/**
	 * Returns the time until the next own read.
	 * @param p_awaits_entries some entries are missing since an outage of the store and may come back.
	 */
	duration _get_read_interval(bool p_awaits_entries) const;
	void _set_timers();
	void _on_drop_timer();
	/** Notes that the known position advances, for the estimate of the topic's rate. */
	void _on_advance(std::uint64_t p_records, instant p_now);
	double _estimate_bytes(bool p_is_whole) const;
	/** Requests a snapshot from the peer that sent the newer delta, or from another, and reads it from the store if none has sent it when this node's turn comes. */
	void _need_list(read_reason p_reason, const std::string &p_peer);
	void _on_list_timer();
	/** Notes that the list was read, or received from a peer, up to the known position. */
	void _on_list_read(bool p_is_whole);
	endpoint_delta _apply_records(const store_answer &p_answer);
	void _compare(const endpoint_delta &p_reading, const std::string &p_peer);
	void _apply_snapshot(const store_answer &p_answer);
	void _report_rejected();
	void _publish();

public:
	explicit endpoint_follower(gateway_context &p_context);

	/** Schedules the first read: after a random delay if there are peers, which may send the list earlier. */
	void start() { _reader.read_first(); }

	/** Sets the rank of this node in the order in which nodes of its zone read for the first time. */
	void set_read_rank(std::size_t p_rank) { _reader.set_read_rank(p_rank); }

	/** Sets whether a peer reads for this node as soon as the store answers that peer. */
	void set_has_peer_reader(bool p_is_patient) { _reader.set_has_peer_reader(p_is_patient); }

	/** Sets whether this node has a link to a peer, or has none and may still get one soon. */
	void set_linked(bool p_is_linked, bool p_is_linking) { _reader.set_linked(p_is_linked, p_is_linking); }

	/** Returns the position up to which this node knows the topic, or zero if it has no snapshot. */
	log_position get_known() const { return _reader.is_loaded() ? _reader.get_known() : log_position(); }

	/** Reads the changes made during a stall of this process immediately. */
	void catch_up() { _reader.read_after_stall(); }

	/** Whether the known list was confirmed at or after p_moment. */
	bool is_known_since(instant p_moment) const { return _reader.is_answered_since(p_moment); }

	/** Marks an endpoint as leaving, as reported by a peer or by an answer of the endpoint. */
	void mark_leaving(const endpoint_identity &p_identity, std::string_view p_source);

	/** Drops endpoints whose removal peers reported earlier and that count as removed by now. */
	void drop_reported_removals();

	/** Marks an endpoint as removed, as reported by a peer that reads the store continuously and saw the entry disappear. */
	void mark_removed(const endpoint_identity &p_identity, const std::string &p_peer);

	/** Offers the list of a peer and the position up to which the peer knows the topic. Both are adopted if this node has no list. */
	void offer(const std::vector<endpoint_listing> &p_listings, const log_position &p_known, const std::string &p_peer);

	/**
	 * Applies a delta received from a peer as if this node had read it, provided that it continues at the known position. This
	 * node then reads by itself only if no further delta arrives in time. A delta from a peer whose version does not count the
	 * starts of endpoints is ignored. A delta of a later era of the store, or one that does not continue at the known position,
	 * is applied if it is a snapshot; otherwise this node needs one.
	 * @return whether the delta was applied.
	 */
	bool apply_delta(const endpoint_delta &p_reading, const std::string &p_peer);

	/** Whether this node has a list and needs a newer snapshot from a peer. */
	bool needs_list() const { return _list_need.has_value(); }

	/** Returns the peer that is known to have that snapshot; empty if this node needs none. */
	const std::string &get_list_source() const { return _list_source; }

	/** Sets the position of this node in the order in which nodes read while their reader reports nothing. */
	void set_turn(std::size_t p_position) { _reader.set_turn(p_position); }

	/** Emitted with the delta of each read by this node, for peers that do not read the store. */
	sigc::signal<void(const endpoint_delta &)> &delta_published() { return _delta_published; }

	/** Emitted when the store was restored from an older copy, so that records which this node wrote may be missing. */
	sigc::signal<void()> &era_entered() { return _era_entered; }

	endpoint_directory &get_directory() { return _directory; }
	/** Whether endpoints are known. An empty list counts as unknown: no endpoint has registered yet. */
	bool is_loaded() const { return _directory.is_loaded() && _directory.get_size() > 0; }

	/** Emitted when the list of endpoints has changed. */
	sigc::signal<void()> &changed() { return _changed; }
};

} // namespace calicoscale

#endif // ENDPOINT_FOLLOWER_H
