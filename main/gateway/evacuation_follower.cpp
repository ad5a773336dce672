/*
 * calicoscale: evacuation_follower.cpp
 * Keeps the set of evacuated availability zones, as received from the store or from peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/evacuation_follower.h"

#include "platform/evacuation_codec.h"

namespace calicoscale {

evacuation_follower::evacuation_follower(gateway_context &p_context, configuration_follower &p_configuration) :
		_context(p_context),
		_configuration(p_configuration),
		_tick_timer(p_context.loop, [this] { _tick(); }) {
	_configuration.topic_read().connect([this](const store_answer &p_answer, bool p_is_whole) { _apply_answer(p_answer, p_is_whole); });
}

void evacuation_follower::_apply_answer(const store_answer &p_answer, bool p_is_whole) {
	if (p_is_whole) {
		_table.apply_snapshot(read_evacuated_zones(p_answer.records), log_position{ p_answer.era, p_answer.next_offset }, event_loop::now());
	} else {
		_table.apply_records(read_evacuations(p_answer.records, p_answer.next_offset - p_answer.records.size()), p_answer.era);
	}
	_publish("store");
}

void evacuation_follower::offer(const evacuation_state &p_state, const std::string &p_peer) {
	if (_table.apply_update(p_state, event_loop::now())) {
		_publish("peer/" + p_peer);
	}
}

void evacuation_follower::_tick() {
	_table.tick(event_loop::now());
	_publish("not written again");
}

void evacuation_follower::_publish(std::string_view p_source) {
	const instant now = event_loop::now();
	const log_position known = _table.get_state().known;
	for (const evacuation_change &change : _table.take_changes()) {
		if (change.is_evacuated) {
			_since[change.zone] = now;
		} else {
			_since.erase(change.zone);
			_context.metrics.set_gauge("zone_evacuated_for_seconds_" + change.zone, 0.0);
		}
		_context.log.write(log_line(change.is_evacuated ? "zone_evacuated" : "zone_taken_back").add("zone", change.zone).add("source", p_source).add("era", static_cast<long long>(known.era)).add("offset", static_cast<long long>(known.offset)).add("unconfirmed_ms", _configuration.get_unconfirmed_time(now)));
		_changed.emit(change);
	}
	const std::optional<instant> next_end = _table.get_next_end();
	if (next_end) {
		_tick_timer.set_at(*next_end);
	}
}

} // namespace calicoscale
