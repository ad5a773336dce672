/*
 * calicoscale: configuration_follower.cpp
 * Keeps the newest configuration, as received from the store or from peers.
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
 * Part of the time allowed for a change that is reserved after a long-polling read: to detect an overdue answer (0.3 s), to
 * notify the peers for which this node reads (0.2 s), and for these to read for themselves and parse the version.
 */
constexpr duration AFTER_WAIT = std::chrono::milliseconds(1000);
constexpr duration MIN_WAIT = std::chrono::milliseconds(200);
/** An answer later than this is overdue. A store that is fifty times slower than typical answers within 0.2 s. */
constexpr duration OVERDUE = std::chrono::milliseconds(300);
/** Interval between repeated reads while the store does not answer. A version is in force at most this long after its return. */
constexpr duration REPEAT = std::chrono::milliseconds(700);
/** Number of reads within the time allowed for a change by a node for which a peer reads, when the store rejects that peer too. */
constexpr int RETRIES_PER_APPLY_TIME = 3;
constexpr duration RETRY_INTERVAL = std::chrono::milliseconds(300);

/**
 * Time for which a node that has a reader in its zone waits for its peers to send the configuration, so that not every node reads
 * a document of hundreds of routes.
 */
constexpr duration FIRST_READ_DELAY = std::chrono::milliseconds(1000);
/** Interval between the first reads of nodes of a zone, which read one after the other while no peer sends the configuration. */
constexpr duration FIRST_READ_STEP = std::chrono::milliseconds(500);

/** Size of the newest records before they were read. */
constexpr double FIRST_WHOLE_BYTES = 65536.0;
/** Size of a document in a read of the newest records, as a multiple of its own: values are encoded as base64. */
constexpr double SNAPSHOT_FACTOR = 4.0 / 3.0;

read_times get_times(duration p_apply) {
	return read_times{ std::max(MIN_WAIT, p_apply - AFTER_WAIT), OVERDUE, REPEAT, RETRY_INTERVAL, p_apply / RETRIES_PER_APPLY_TIME, FIRST_READ_DELAY, FIRST_READ_STEP };
}

/** Returns the shorter of the two allowed times, as the topic carries both configurations and evacuations. */
duration get_apply_time(const gateway_settings &p_settings) {
	return std::min(p_settings.configuration_apply, p_settings.evacuation_apply);
}

} // namespace

configuration_follower::configuration_follower(gateway_context &p_context) :
		_context(p_context),
		_reader(p_context, get_configuration_topic(), "store_configuration", get_times(get_apply_time(p_context.settings)),
				topic_reader_hooks{
						[this](const store_answer &p_answer, bool p_is_whole) { _apply_records(p_answer, p_is_whole); },
						[] {},
						[] {},
						[this](bool p_is_whole) { return _estimate_bytes(p_is_whole); },
						[this](log_line &r_line) { r_line.add("version", static_cast<long long>(get_version())); } }),
		_whole_bytes(FIRST_WHOLE_BYTES) {
}

double configuration_follower::_estimate_bytes(bool p_is_whole) const {
	// Each record of the configuration is a whole document.
	const double document_bytes = static_cast<double>(get_document().size());
	return p_is_whole ? std::max(_whole_bytes, document_bytes * SNAPSHOT_FACTOR) : document_bytes;
}

void configuration_follower::_apply_records(const store_answer &p_answer, bool p_is_whole) {
	if (p_is_whole) {
		_whole_bytes = static_cast<double>(p_answer.bytes);
	}
	_topic_read.emit(p_answer, p_is_whole);
	// Versions increase with the offset, and parsing one takes milliseconds: begins with the newest and stops at the first valid one.
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
		_reader.read_in(duration::zero(), read_reason::NOT_COVERED);
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
	_reader.note_told();
	_changed.emit();
	return true;
}

} // namespace calicoscale
