/*
 * calicoscale: commitment_sync.cpp
 * Exchanges the commitments of nodes and the capacities of pools by heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/commitment_sync.h"

namespace calicoscale {

heartbeat_section commitment_sync::make_part() {
	heartbeat_section section;
	section.write = [this](heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message) { _write(p_peer, p_sender, r_message); };
	section.read = [this](const heartbeat_source &p_source, const heartbeat_message &p_message) { _read(p_source, p_message); };
	section.on_told_hub = [this](const heartbeat_message &p_message) { _own_reported = p_message.commitments; };
	section.on_lost = [this](const std::string &p_vm) { _commitments.remove_peer(p_vm); };
	section.on_hubs_known = [this] { _commitments.clear_total(); };
	return section;
}

void commitment_sync::_write(heartbeat_peer p_peer, const heartbeat_sender &p_sender, heartbeat_message &r_message) const {
	if (p_peer == heartbeat_peer::OTHER && _get_capacities) {
		r_message.capacities = _get_capacities();
	}
	if (p_peer == heartbeat_peer::HUB) {
		r_message.commitments = p_sender.is_hub ? _commitments.get_subtree() : _commitments.get_own();
	}
	if (p_peer == heartbeat_peer::FOLLOWER) {
		r_message.capacities = _commitments.get_capacities();
		// A hub that has just started may have had contact with only some of the other hubs.
		r_message.commitments = p_sender.knows_hubs ? _commitments.get_total() : std::vector<pool_commitment>();
	}
}

void commitment_sync::_read(const heartbeat_source &p_source, const heartbeat_message &p_message) {
	for (const pool_capacity &entry : p_message.capacities) {
		_commitments.set_capacity(entry.pool, entry.replicas);
	}
	if (p_message.relies_on_you) {
		_commitments.set_follower(p_source.vm, p_message.commitments);
	} else if (p_message.is_total) {
		if (p_source.is_relied_on) {
			_commitments.set_total(p_message.commitments, _own_reported);
		}
	} else if (p_source.is_other_hub) {
		_commitments.set_peer(p_source.vm, p_message.commitments);
	} else {
		_commitments.remove_peer(p_source.vm);
	}
}

} // namespace calicoscale
