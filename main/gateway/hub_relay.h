/*
 * calicoscale: hub_relay.h
 * Sends records to all nodes through the hubs. Each record crosses each link once.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HUB_RELAY_H
#define HUB_RELAY_H

#include "main/gateway/gateway_fleet.h"
#include "servers/gateway/update_batch.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace calicoscale {

/**
 * A node sends its records to the hub that it follows. Hubs send each other their own records and those of their followers, and
 * send their followers the records of all nodes. The budget of update_batch limits the traffic of a node.
 */
template <typename record>
class hub_relay {
public:
	/** Sends records to one node. */
	using sender = std::function<void(const std::string &p_vm, const std::vector<record> &p_records)>;

private:
	gateway_fleet &_fleet;
	update_batch<record> _upward; ///< Pending for the other hubs, or for the hub that this node follows.
	update_batch<record> _downward; ///< Pending for the nodes that follow this one.
	sender _send_to;
	timer _timer;
	bool _is_flush_due = false;

	std::vector<std::string> _get_upward_receivers() const {
		const std::string hub = _fleet.get_followed_hub();
		return hub.empty() ? _fleet.get_other_hubs() : std::vector<std::string>{ hub };
	}

	void _send(update_batch<record> &r_digest, const std::vector<std::string> &p_receivers) {
		const std::vector<record> records = r_digest.take();
		if (records.empty()) {
			return;
		}
		for (const std::string &vm : p_receivers) {
			_send_to(vm, records);
		}
	}

	void _send_if_affordable(update_batch<record> &r_digest, const std::vector<std::string> &p_receivers, instant p_now) {
		if (!r_digest.is_empty() && r_digest.try_spend(p_receivers.size(), p_now)) {
			_send(r_digest, p_receivers);
		}
	}

	void _flush() {
		_is_flush_due = false;
		_send(_upward, _get_upward_receivers());
		_send(_downward, _fleet.get_followers());
	}

public:
	/** @param p_empty an empty digest, copied for each direction. */
	hub_relay(event_loop &p_loop, gateway_fleet &p_fleet, const update_batch<record> &p_empty, sender p_send_to) :
			_fleet(p_fleet), _upward(p_empty), _downward(p_empty), _send_to(std::move(p_send_to)), _timer(p_loop, [this] { _flush(); }) {}

	/** Adds a record of this node. It is sent by send_soon(). */
	void add_own(const record &p_record) {
		_upward.add(p_record);
		_downward.add(p_record);
	}

	/** Adds records received from another node if this node is a hub, which forwards them. */
	void add_reported(const std::string &p_vm, const std::vector<record> &p_records) {
		if (!_fleet.is_hub()) {
			return;
		}
		const std::vector<std::string> hubs = _fleet.get_other_hubs();
		const bool is_from_hub = std::find(hubs.begin(), hubs.end(), p_vm) != hubs.end();
		for (const record &received : p_records) {
			_downward.add(received);
			if (!is_from_hub) {
				_upward.add(received);
			}
		}
	}

	/** Sends the pending records: immediately if the budget allows, otherwise after the interval of a heartbeat. */
	void send_soon() {
		const instant now = event_loop::now();
		_send_if_affordable(_upward, _get_upward_receivers(), now);
		_send_if_affordable(_downward, _fleet.get_followers(), now);
		if (!_is_flush_due && (!_upward.is_empty() || !_downward.is_empty())) {
			_is_flush_due = true;
			_timer.set(peer_contacts::get_interval(true));
		}
	}

	/** Number of records that were dropped unsent since the start. */
	std::uint64_t get_dropped() const { return _upward.get_dropped() + _downward.get_dropped(); }
};

} // namespace calicoscale

#endif // HUB_RELAY_H
