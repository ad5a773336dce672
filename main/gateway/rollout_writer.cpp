/*
 * calicoscale: rollout_writer.cpp
 * Writes the states of roll-outs to the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/rollout_writer.h"

#include "core/digest.h"
#include "platform/rollout_codec.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Time of one turn. A node that reads and writes without a failure has finished within it, and has notified the others. */
constexpr duration TURN_INTERVAL = std::chrono::milliseconds(1500);
constexpr duration PAUSE_AFTER_FAILURE = std::chrono::seconds(1);
/** Maximum number of turns. All nodes of a lower rank wait for this number of turns. */
constexpr std::ptrdiff_t MAX_WRITERS = 8;

} // namespace

duration rollout_writer::_get_write_delay(const std::string &p_service) const {
	const std::vector<std::string> nodes = _fleet.get_dispatch_nodes();
	const auto score = [&p_service](const std::string &p_vm) { return hash_bytes(p_service + "/" + p_vm); };
	const std::uint64_t own = score(_fleet.get_vm());
	const bool is_writer = nodes.empty() || std::find(nodes.begin(), nodes.end(), _fleet.get_vm()) != nodes.end();
	const std::ptrdiff_t higher_ranked = std::count_if(nodes.begin(), nodes.end(), [&score, own](const std::string &p_vm) { return score(p_vm) > own; });
	// A node that dispatches nothing writes only if no dispatching node can.
	return TURN_INTERVAL * (is_writer ? std::min(higher_ranked, MAX_WRITERS) : MAX_WRITERS);
}

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
			pending = pending_write{ status->state, status->order, now, now + _get_write_delay(service), false };
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
	switch (p_end) {
		case put_end::DONE:
			if (known != nullptr && known->get_order().at == p_status.order) {
				known->on_written(p_status.state);
			}
			_context.log.write(line.add("outcome", "done"));
			break;
		case put_end::OVERTAKEN:
			_context.log.write(line.add("outcome", "overtaken"));
			break;
		case put_end::UNKNOWN:
			_context.log.write(line.add("outcome", "unknown"));
			break;
	}
	_retry(p_status.service, p_end == put_end::UNKNOWN ? PAUSE_AFTER_FAILURE : duration::zero());
}

} // namespace calicoscale
