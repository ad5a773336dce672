/*
 * calicoscale: send_guard.cpp
 * Keeps what this node sends within the limits that endpoints advertise.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/send_guard.h"

namespace calicoscale {

namespace {

/** Maximum number of limits in one message. At five messages a second they stay within a node's budget for control traffic. */
constexpr std::size_t MAX_RECORDS = 60;
/** Maximum number of limits sent over a new link. */
constexpr std::size_t MAX_KNOWN_RECORDS = 500;

update_batch<limit_record> make_digest() {
	// Limits take precedence over ends of limits: the next answer shows the end of a limit anyway, while an unknown limit lets this node
	// overload the endpoint.
	return update_batch<limit_record>(MAX_RECORDS, [](const limit_record &p_record) { return p_record.rate ? 1.0 : 0.0; });
}

} // namespace

send_guard::send_guard(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, endpoint_follower &p_endpoints, rollout_service &p_rollouts) :
		_context(p_context),
		_configuration(p_configuration),
		_fleet(p_fleet),
		_endpoints(p_endpoints),
		_rollouts(p_rollouts),
		_limits(p_context.settings.vm, p_context.settings.zone, p_context.settings.mechanisms.has(mechanism::COLD_RANKS) ? limit_sharing::RANKS : limit_sharing::EVEN),
		_relay(p_context.loop, p_fleet, make_digest(), [this](const std::string &p_vm, const std::vector<limit_record> &p_records) { _send(p_vm, p_records); }) {
	_fleet.get_link().link_up().connect([this](const std::string &p_vm) { _on_link_up(p_vm); });
	_fleet.get_link().limits_reported().connect([this](const std::string &p_vm, const report_limits_message &p_message) { _on_limits_reported(p_vm, p_message); });
}

void send_guard::on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at) {
	const instant now = event_loop::now();
	if (p_notice.cold_left > duration::zero() && _configuration.get_current()) {
		_limits.on_cold(p_endpoint, *_configuration.get_current(), p_notice.cold_left, now);
	}
	if (p_notice.limit != limit_statement::NONE) {
		_context.metrics.count(p_notice.limit == limit_statement::ADVERTISED ? "answers_with_limit" : "answers_with_unreadable_limit");
	}
	if (p_notice.is_leaving) {
		_context.metrics.count("answers_that_leave");
		_endpoints.mark_leaving(p_endpoint, "answer");
	}
	if (p_notice.rest > duration::zero()) {
		_limits.get_backoffs().add(p_endpoint, p_notice.rest, now);
		_context.metrics.count("answers_that_ask_for_rest");
		_context.log.write_request(log_line("endpoint_asks_rest").add("endpoint", p_endpoint.vm).add("rest_ms", p_notice.rest).add("sent_before_ms", now - p_sent_at));
	}
	_log_change(_limits.get_advertised().on_answer(p_endpoint, p_notice, p_is_signed, p_sent_at, now), p_endpoint, "answer");
	const std::vector<limit_record> updates = _limits.get_advertised().take_updates();
	for (const limit_record &record : updates) {
		_relay.add_own(record);
	}
	if (!updates.empty()) {
		_relay.send_soon();
	}
}

void send_guard::_log_change(limit_change p_change, const endpoint_identity &p_endpoint, std::string_view p_source) {
	if (p_change == limit_change::NONE || p_change == limit_change::RENEWED) {
		return;
	}
	_context.metrics.count("endpoint_limit_" + std::string(get_name(p_change)));
	log_line line("endpoint_limit");
	line.add("endpoint", p_endpoint.vm).add("incarnation", static_cast<long long>(p_endpoint.incarnation)).add("change", get_name(p_change));
	const std::optional<double> rate = _limits.get_advertised().find_rate(p_endpoint);
	if (rate) {
		line.add("rate", std::to_string(*rate));
	}
	_context.log.write(line.add("source", p_source));
}

void send_guard::_on_link_up(const std::string &p_vm) {
	const std::vector<limit_record> records = _limits.get_advertised().get_records(MAX_KNOWN_RECORDS);
	if (!records.empty()) {
		_send(p_vm, records);
	}
}

void send_guard::_send(const std::string &p_vm, const std::vector<limit_record> &p_records) {
	const instant now = event_loop::now();
	report_limits_message message;
	message.limits.reserve(p_records.size());
	for (const limit_record &record : p_records) {
		message.limits.push_back(reported_limit{ record.endpoint, record.rate, now - record.at });
	}
	_fleet.get_link().send(p_vm, message);
	_context.metrics.count("limits_told", static_cast<double>(p_records.size()));
}

void send_guard::_on_limits_reported(const std::string &p_vm, const report_limits_message &p_message) {
	const instant now = event_loop::now();
	std::vector<limit_record> updates;
	for (const reported_limit &reported : p_message.limits) {
		const limit_record record{ reported.endpoint, reported.rate, now - reported.age };
		const limit_change change = _limits.get_advertised().take(record, now);
		if (change != limit_change::NONE) {
			_log_change(change, record.endpoint, "peer/" + p_vm);
			updates.push_back(record);
		}
	}
	_relay.add_reported(p_vm, updates);
	_relay.send_soon();
}

send_prospect send_guard::predict(router &r_choices, const choice_request &p_request, std::size_t p_before) {
	const send_prospect at_once{ duration::zero(), std::nullopt };
	if (!_limits.is_any_bounded()) {
		return at_once;
	}
	const std::vector<endpoint_identity> open = r_choices.get_open(p_request);
	return open.empty() ? at_once : _limits.predict(open, p_before, event_loop::now());
}

void send_guard::tick(bool p_is_settled) {
	const instant now = event_loop::now();
	for (const endpoint_identity &endpoint : _limits.forget_old(now)) {
		_context.log.write(log_line("endpoint_limit").add("endpoint", endpoint.vm).add("incarnation", static_cast<long long>(endpoint.incarnation)).add("change", "forgotten").add("source", "silence"));
	}
	_limits.set_senders(known_senders{ _fleet.get_zone_nodes(), _fleet.get_live_count(), p_is_settled }, now);
}

void send_guard::report() {
	_context.metrics.set_gauge("cold_endpoints", static_cast<double>(_limits.get_cold_count(event_loop::now())));
	_context.metrics.set_gauge("limited_endpoints", static_cast<double>(_limits.get_advertised().count()));
	_context.metrics.set_gauge("resting_endpoints", static_cast<double>(_limits.get_backoffs().count()));
	_context.metrics.set_gauge("sends_held_back", static_cast<double>(_limits.get_deferred_count()));
	_context.metrics.set_gauge("limits_not_told", static_cast<double>(_relay.get_dropped()));
}

} // namespace calicoscale
