/*
 * calicoscale: configuration_follower.cpp
 * Keeps the newest configuration, from the store or from peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/configuration_follower.h"

#include "core/document_problem.h"
#include "platform/configuration_codec.h"

namespace calicoscale {

namespace {

/** A waiting read ends by itself after this; the read after it shows whether the store is still there. */
constexpr duration LONGEST_WAIT = std::chrono::milliseconds(4000);
constexpr duration RETRY_INTERVAL = std::chrono::milliseconds(300);

} // namespace

configuration_follower::configuration_follower(gateway_context &p_context) :
		_context(p_context), _confirmed_at(event_loop::now()), _retry_timer(p_context.loop, [this] { _offset == 0 ? _read_all() : _follow(); }) {
}

void configuration_follower::_set_reachable(bool p_reachable) {
	if (p_reachable != _is_reachable) {
		_is_reachable = p_reachable;
		const instant now = event_loop::now();
		_context.log.write(log_line(p_reachable ? "dependency_regained" : "dependency_lost").add("dependency", "store_configuration").add("version", static_cast<long long>(get_version())).add("read_ms", now - _asked_at).add("unconfirmed_ms", get_unconfirmed_time(now)));
	}
}

void configuration_follower::_read_all() {
	_asked_at = event_loop::now();
	_context.store.read_newest(std::string(get_configuration_topic()), [this](const store_answer &p_answer) { _on_answer(p_answer); });
}

void configuration_follower::_follow() {
	_asked_at = event_loop::now();
	_context.store.follow(std::string(get_configuration_topic()), _offset, LONGEST_WAIT, [this](const store_answer &p_answer) { _on_answer(p_answer); });
}

void configuration_follower::_on_answer(const store_answer &p_answer) {
	_set_reachable(p_answer.status != store_status::UNAVAILABLE);
	if (p_answer.status != store_status::UNAVAILABLE) {
		_confirmed_at = event_loop::now();
	}
	switch (p_answer.status) {
		case store_status::UNAVAILABLE:
			_retry_timer.set(RETRY_INTERVAL);
			return;
		case store_status::HISTORY_GONE:
			_context.log.write(log_line("history_gone").add("topic", get_configuration_topic()).add("offset", static_cast<long long>(_offset)));
			_read_all();
			return;
		case store_status::OK:
			_offset = p_answer.next_offset;
			_take_records(p_answer);
			_follow();
	}
}

void configuration_follower::_take_records(const store_answer &p_answer) {
	for (const store_record &record : p_answer.records) {
		if (record.key == get_configuration_key() && record.value) {
			offer(*record.value, "store");
		}
	}
}

void configuration_follower::offer(const std::string &p_document, std::string_view p_source) {
	try {
		std::shared_ptr<const gateway_configuration> offered = parse_gateway_configuration(p_document);
		if (offered->version <= get_version()) {
			return;
		}
		_current = std::move(offered);
		_document = p_document;
	} catch (const document_error &error) {
		_context.metrics.count("configuration_rejected");
		_context.log.write(log_line("configuration_rejected").add("source", p_source).add("reason", error.what()).add("version_in_force", static_cast<long long>(get_version())));
		return;
	}
	_context.log.write(log_line("configuration_in_force").add("version", static_cast<long long>(get_version())).add("source", p_source).add("routes", static_cast<long long>(_current->routes.size())));
	_changed.emit();
}

} // namespace calicoscale
