/*
 * calicoscale: evacuation_follower.h
 * Keeps the set of evacuated availability zones, as received from the store or from peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVACUATION_FOLLOWER_H
#define EVACUATION_FOLLOWER_H

#include "main/gateway/configuration_follower.h"
#include "servers/gateway/evacuation_table.h"

#include <sigc++/sigc++.h>

#include <map>
#include <set>
#include <string>

namespace calicoscale {

/**
 * Follows the operator's evacuations. They are stored in the configuration's topic and read together with it. A node for which
 * peers read the topic receives both with their heartbeats.
 */
class evacuation_follower {
	gateway_context &_context;
	configuration_follower &_configuration;
	evacuation_table _table;
	std::map<std::string, instant> _since; ///< When this node learned of the evacuation, by zone.
	timer _tick_timer;
	sigc::signal<void(const evacuation_change &)> _changed;

	void _apply_answer(const store_answer &p_answer, bool p_is_whole);
	void _tick();
	void _publish(std::string_view p_source);

public:
	evacuation_follower(gateway_context &p_context, configuration_follower &p_configuration);

	/** Merges the state that a peer reported. */
	void offer(const evacuation_state &p_state, const std::string &p_peer);

	/** Returns the state to report to peers. */
	evacuation_state get_state() const { return _table.get_state(); }

	/** Returns the evacuated zones, whose endpoints get no new requests. */
	std::set<std::string> get_zones() const { return _table.get_zones(); }

	/** Returns when this node learned of each evacuation, by zone. */
	const std::map<std::string, instant> &get_since() const { return _since; }

	/** Emitted for each zone that is evacuated or restored, when the change is in force. */
	sigc::signal<void(const evacuation_change &)> &changed() { return _changed; }
};

} // namespace calicoscale

#endif // EVACUATION_FOLLOWER_H
