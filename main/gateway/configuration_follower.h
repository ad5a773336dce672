/*
 * calicoscale: configuration_follower.h
 * Keeps the newest configuration, from the store or from peers.
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

/** Follows the configuration's topic by waiting reads. Only a higher version replaces the one in force. */
class configuration_follower {
	gateway_context &_context;
	configuration_reader _versions; ///< Holds the version in force.
	topic_reader _reader;
	bool _is_covered = false;
	bool _is_proven = false; ///< The store answered since this node began to follow it.
	sigc::signal<void()> _changed;
	sigc::signal<void(const store_answer &, bool)> _topic_read;

	void _take_records(const store_answer &p_answer, bool p_is_whole);

public:
	explicit configuration_follower(gateway_context &p_context);

	/** Begins to read, in a moment if peers may tell before. */
	void start() { _reader.read_first(); }

	/** Place of this node in the order in which nodes of its zone read for the first time. */
	void set_place(std::size_t p_place) { _reader.set_place(p_place); }

	/** A peer reads for this node as soon as the store answers it. */
	void set_patient(bool p_is_patient) { _reader.set_patient(p_is_patient); }

	/**
	 * Puts a document in force if its version is higher.
	 * @param p_source who told it, for the log.
	 * @return whether it is valid, also if its version is not higher.
	 */
	bool offer(const std::string &p_document, std::string_view p_source);

	/** The version in force; null before the first is known. */
	const std::shared_ptr<const gateway_configuration> &get_current() const { return _versions.get_current(); }
	/** Its text, for peers. */
	const std::string &get_document() const { return _versions.get_text(); }
	std::uint64_t get_version() const { return get_current() ? get_current()->version : 0; }

	/** How long ago the store last answered a read of the configuration; since the start if it has not yet. */
	duration get_unconfirmed_time(instant p_now) const { return _reader.get_unconfirmed_time(p_now); }

	/** This node was away: asks at once for what changed meanwhile. */
	void catch_up() { _reader.read_after_absence(); }

	/** Whether the configuration is known as it was at a moment. */
	bool is_known_since(instant p_moment) const { return _reader.is_answered_since(p_moment); }

	/** Peers that are heard follow the configuration, so that this node need not. Told often; the last time counts as an answer. */
	void set_covered(bool p_is_covered);

	/** Whether this node follows the store itself and was answered in time. */
	bool is_following() const { return !_is_covered && _is_proven && _reader.is_answered(); }

	/**
	 * Emitted with each answer of the store and whether it is the newest record of each key, before a version in it is in force:
	 * what else the operator wrote there is known to whoever acts on the version.
	 */
	sigc::signal<void(const store_answer &, bool)> &topic_read() { return _topic_read; }

	/** Emitted when a new version is in force. */
	sigc::signal<void()> &changed() { return _changed; }
};

} // namespace calicoscale

#endif // CONFIGURATION_FOLLOWER_H
