/*
 * calicoscale: configuration_follower.h
 * Keeps the newest configuration, as received from the store or from peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_FOLLOWER_H
#define CONFIGURATION_FOLLOWER_H

#include "main/gateway/topic_reader.h"
#include "platform/configuration_reader.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>

namespace calicoscale {

/** Follows the configuration's topic by long-polling reads. Only a higher version replaces the one in force. */
class configuration_follower {
	gateway_context &_context;
	configuration_reader _versions; ///< Holds the version in force.
	topic_reader _reader;
	double _whole_bytes; ///< Size of a read of the newest records.
	bool _is_covered = false; ///< Peers follow the configuration for this node.
	bool _is_proven = false; ///< The store has answered since this node began to follow it.
	sigc::signal<void()> _changed;
	sigc::signal<void(const store_answer &, bool)> _topic_read;

	double _estimate_bytes(bool p_is_whole) const;
	void _apply_records(const store_answer &p_answer, bool p_is_whole);

public:
	explicit configuration_follower(gateway_context &p_context);

	/** Schedules the first read: after a random delay if there are peers, which may send the configuration earlier. */
	void start() { _reader.read_first(); }

	/** Sets the rank of this node in the order in which nodes of its zone read for the first time. */
	void set_read_rank(std::size_t p_rank) { _reader.set_read_rank(p_rank); }

	/** Sets whether a peer reads for this node as soon as the store answers that peer. */
	void set_has_peer_reader(bool p_is_patient) { _reader.set_has_peer_reader(p_is_patient); }

	/** Sets whether this node has a link to a peer, or has none and may still get one soon. */
	void set_linked(bool p_is_linked, bool p_is_linking) { _reader.set_linked(p_is_linked, p_is_linking); }

	/** Sets the position of this node in the order in which nodes read while no peer follows the configuration for them. */
	void set_turn(std::size_t p_position) { _reader.set_turn(p_position); }

	/**
	 * Puts a document in force if its version is higher.
	 * @param p_source sender of the document, for the log.
	 * @return whether the document is valid, even if its version is not higher.
	 */
	bool offer(const std::string &p_document, std::string_view p_source);

	/** Returns the version in force, or null if none is known yet. */
	const std::shared_ptr<const gateway_configuration> &get_current() const { return _versions.get_current(); }
	/** Returns the text of the version in force, to be sent to peers. */
	const std::string &get_document() const { return _versions.get_text(); }
	std::uint64_t get_version() const { return get_current() ? get_current()->version : 0; }

	/** Time since the store last answered a read of the configuration, or since the start if it has not answered yet. */
	duration get_unconfirmed_time(instant p_now) const { return _reader.get_unconfirmed_time(p_now); }

	/** Reads the changes made during a stall of this process immediately. */
	void catch_up() { _reader.read_after_stall(); }

	/** Whether the known configuration was confirmed at or after p_moment. */
	bool is_known_since(instant p_moment) const { return _reader.is_answered_since(p_moment); }

	/**
	 * Sets whether responsive peers follow the configuration, so that this node need not. Called often; each call with true counts
	 * as an answer of the store.
	 */
	void set_covered(bool p_is_covered);

	/** Whether this node follows the store itself and the store answers in time. */
	bool is_following() const { return !_is_covered && _is_proven && _reader.is_answered(); }

	/**
	 * Emitted for each answer of the store, with whether it is a snapshot. It is emitted before a version in the answer comes into
	 * force, so that the handlers of changed() already know the other records of that answer.
	 */
	sigc::signal<void(const store_answer &, bool)> &topic_read() { return _topic_read; }

	/** Emitted when a new version has come into force. */
	sigc::signal<void()> &changed() { return _changed; }
};

} // namespace calicoscale

#endif // CONFIGURATION_FOLLOWER_H
