/*
 * calicoscale: rollout_writer.cpp
 * Writes the states of roll-outs to the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/rollout_writer.h"

#include "main/gateway/write_turns.h"
#include "platform/rollout_codec.h"

namespace calicoscale {

namespace {

constexpr duration PAUSE_AFTER_FAILURE = std::chrono::seconds(1);

} // namespace

void rollout_writer::tick() {
	const instant now = event_loop::now();
	for (const auto &[service, entry] : _table.get_all()) {
		const std::optional<rollout_status> status = entry.get_unwritten();
		if (!status) {
			_pending.erase(service);
			continue;
		}
		pending_write &pending = _pending[service];
		if (pending.since == instant{} || pending.state != status->state || pending.order != status->order) {
			pending = pending_write{ status->state, status->order, now, now + get_write_delay(_fleet, service), false };
		}
		if (!pending.is_busy && now >= pending.next_try) {
			pending.is_busy = true;
			_read(*status);
		}
	}
}

void rollout_writer::_retry(const std::string &p_service, duration p_pause) {
	const auto pending = _pending.find(p_service);
	if (pending != _pending.end()) {
		pending->second.is_busy = false;
		pending->second.next_try = event_loop::now() + p_pause;
	}
}

void rollout_writer::_read(const rollout_status &p_status) {
	_context.store.read_newest(std::string(get_status_topic()), read_reason::ROLLOUTS, false, [this, p_status](const store_answer &p_answer) { _on_read(p_status, p_answer); });
}

void rollout_writer::_on_read(const rollout_status &p_status, const store_answer &p_answer) {
	rollout *known = _table.find(p_status.service);
	if (p_answer.status != store_status::OK || known == nullptr || known->get_order().at != p_status.order) {
		_retry(p_status.service, PAUSE_AFTER_FAILURE);
		return;
	}
	const instant now = event_loop::now();
	const unix_milliseconds wall = event_loop::wall();
	const std::optional<rollout_status> stored = find_rollout_status(p_answer.records, p_status.service, wall);
	const bool is_of_order = stored && known->apply_status(*stored, now);
	if (is_of_order && (stored->state == p_status.state || stored->state != rollout_state::IN_PROGRESS)) {
		_retry(p_status.service, duration::zero());
		return;
	}
	rollout_status status = p_status;
	status.age = known->get_age(now);
	_context.store.put_at(std::string(get_status_topic()), read_reason::ROLLOUTS, get_rollout_status_key(p_status.service), write_rollout_status(status, wall), p_answer.next_offset, [this, p_status](put_end p_end) { _on_put(p_status, p_end); });
}

void rollout_writer::_on_put(const rollout_status &p_status, put_end p_end) {
	rollout *known = _table.find(p_status.service);
	log_line line("rollout_state_written");
	line.add("service", p_status.service).add("version", p_status.target_version).add("state", get_name(p_status.state)).add("order_offset", static_cast<long long>(p_status.order.offset));
	if (p_end == put_end::DONE && known != nullptr && known->get_order().at == p_status.order) {
		known->on_written(p_status.state);
	}
	_context.log.write(line.add("outcome", get_name(p_end)));
	_retry(p_status.service, p_end == put_end::UNKNOWN ? PAUSE_AFTER_FAILURE : duration::zero());
}

} // namespace calicoscale
