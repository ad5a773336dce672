/*
 * calicoscale: configuration_follower.cpp
 * Keeps the newest configuration, from the store or from peers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/configuration_follower.h"

#include "core/document_problem.h"
#include "platform/configuration_codec.h"

#include <algorithm>

namespace calicoscale {

namespace {

/**
 * Of the time that a change may take, what is left after a waiting read: an overdue answer is noticed (0.3 s), peers that
 * leave the following to this node are told (0.2 s), they read for themselves and parse the version.
 */
constexpr duration AFTER_WAIT = std::chrono::milliseconds(1000);
constexpr duration SHORTEST_WAIT = std::chrono::milliseconds(200);
/** A store that is fifty times slower than usual answers within 0.2 s. */
constexpr duration OVERDUE = std::chrono::milliseconds(300);
/** While the store is silent; a version is in force this long after its return at the latest. */
constexpr duration REPEAT = std::chrono::milliseconds(700);
/** Of a node whose reader is turned away as well; it reads this often within the time that a change may take. */
constexpr int RETRIES_IN_TIME = 3;
constexpr duration RETRY_INTERVAL = std::chrono::milliseconds(300);

/** A node whose zone has a reader is told the configuration by its peers; a document of hundreds of routes is not read by each. */
constexpr duration TOLD_AT_START = std::chrono::milliseconds(1000);
/** Between nodes of a zone that read it one after the other while nobody tells them. */
constexpr duration PLACE_STEP = std::chrono::milliseconds(500);

read_times get_times(duration p_apply) {
	return read_times{ std::max(SHORTEST_WAIT, p_apply - AFTER_WAIT), OVERDUE, REPEAT, RETRY_INTERVAL, p_apply / RETRIES_IN_TIME, TOLD_AT_START, PLACE_STEP };
}

/** What the operator writes there is in force within the shorter of the times for each. */
duration get_apply_time(const gateway_settings &p_settings) {
	return std::min(p_settings.configuration_apply, p_settings.evacuation_apply);
}

} // namespace

configuration_follower::configuration_follower(gateway_context &p_context) :
		_context(p_context),
		_reader(p_context, get_configuration_topic(), "store_configuration", get_times(get_apply_time(p_context.settings)),
				topic_reader_hooks{
						[this](const store_answer &p_answer, bool p_is_whole) { _take_records(p_answer, p_is_whole); },
						[] {},
						[] {},
						[this](log_line &r_line) { r_line.add("version", static_cast<long long>(get_version())); } }) {
}

void configuration_follower::_take_records(const store_answer &p_answer, bool p_is_whole) {
	_topic_read.emit(p_answer, p_is_whole);
	// Versions rise with the offset, and parsing one takes milliseconds: what the newest replaces is not parsed.
	for (auto record = p_answer.records.rbegin(); record != p_answer.records.rend(); ++record) {
		if (record->key == get_configuration_key() && record->value && offer(*record->value, "store")) {
			break;
		}
	}
	_is_proven = true;
	if (!_is_covered) {
		_reader.read();
	}
}

void configuration_follower::set_covered(bool p_is_covered) {
	if (p_is_covered) {
		_reader.note_answered();
	}
	if (p_is_covered == _is_covered) {
		return;
	}
	_is_covered = p_is_covered;
	_context.log.write(log_line("configuration_followed").add("by", p_is_covered ? "peers" : "this node").add("version", static_cast<long long>(get_version())));
	_is_proven = false;
	if (p_is_covered) {
		_reader.pause();
	} else {
		_reader.read();
	}
}

bool configuration_follower::offer(const std::string &p_document, std::string_view p_source) {
	try {
		if (!_versions.take(p_document)) {
			return true;
		}
	} catch (const document_error &error) {
		_context.metrics.count("configuration_rejected");
		_context.log.write(log_line("configuration_rejected").add("source", p_source).add("reason", error.what()).add("version_in_force", static_cast<long long>(get_version())));
		return false;
	}
	_context.log.write(log_line("configuration_in_force").add("version", static_cast<long long>(get_version())).add("source", p_source).add("routes", static_cast<long long>(get_current()->routes.size())).add("idle_limit_ms", get_current()->limits.idle_timeout));
	_changed.emit();
	return true;
}

} // namespace calicoscale
