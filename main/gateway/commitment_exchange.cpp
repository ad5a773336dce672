/*
 * calicoscale: commitment_exchange.cpp
 * Exchanges the commitments of nodes and the capacities of pools by heartbeats.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/commitment_exchange.h"

namespace calicoscale {

beat_part commitment_exchange::make_part() {
	beat_part section;
	section.write = [this](beat_peer p_peer, const beat_sender &p_sender, heartbeat_message &r_message) { _write(p_peer, p_sender, r_message); };
	section.read = [this](const beat_source &p_source, const heartbeat_message &p_message) { _read(p_source, p_message); };
	section.on_told_hub = [this](const heartbeat_message &p_message) { _own_reported = p_message.commitments; };
	section.on_lost = [this](const std::string &p_vm) { _commitments.forget_peer(p_vm); };
	section.on_hubs_known = [this] { _commitments.forget_total(); };
	return section;
}

void commitment_exchange::_write(beat_peer p_peer, const beat_sender &p_sender, heartbeat_message &r_message) const {
	if (p_peer == beat_peer::OTHER && _get_capacities) {
		r_message.capacities = _get_capacities();
	}
	if (p_peer == beat_peer::HUB) {
		r_message.commitments = p_sender.is_hub ? _commitments.get_subtree() : _commitments.get_own();
	}
	if (p_peer == beat_peer::FOLLOWER) {
		r_message.capacities = _commitments.get_capacities();
		// A hub that has just started may have had contact with only some of the other hubs.
		r_message.commitments = p_sender.knows_hubs ? _commitments.get_total() : std::vector<pool_commitment>();
	}
}

void commitment_exchange::_read(const beat_source &p_source, const heartbeat_message &p_message) {
	for (const pool_capacity &entry : p_message.capacities) {
		_commitments.set_capacity(entry.pool, entry.replicas);
	}
	if (p_message.relies_on_you) {
		_commitments.take_follower(p_source.vm, p_message.commitments);
	} else if (p_message.is_total) {
		if (p_source.is_relied_on) {
			_commitments.take_total(p_message.commitments, _own_reported);
		}
	} else if (p_source.is_other_hub) {
		_commitments.take_peer(p_source.vm, p_message.commitments);
	} else {
		_commitments.forget_peer(p_source.vm);
	}
}

} // namespace calicoscale
