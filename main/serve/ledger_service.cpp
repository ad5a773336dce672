/*
 * calicoscale: ledger_service.cpp
 * Writes this node's costs to the log and sums the costs of all nodes on demand.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/ledger_service.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration MIN_FLUSH_INTERVAL = std::chrono::seconds(2);
/** Ledger appends per second by the whole fleet; the log supports several hundred appends of all kinds. */
constexpr double FLEET_APPENDS_PER_SECOND = 50.0;
constexpr duration APPEND_TIMEOUT = std::chrono::seconds(3);
constexpr std::size_t RECORDS_PER_READ = 500;

} // namespace

ledger_service::ledger_service(node_context &p_context) :
		_context(p_context),
		_ledger(p_context.settings.vm, p_context.incarnation),
		_flush_timer(p_context.loop, [this] { _flush(); }) {
	_flush_timer.set(MIN_FLUSH_INTERVAL);
}

duration ledger_service::_get_interval() const {
	const duration shared = from_seconds(static_cast<double>(_fleet_size) / FLEET_APPENDS_PER_SECOND);
	return std::max<duration>(MIN_FLUSH_INTERVAL, shared);
}

void ledger_service::_flush() {
	_flush_timer.set(_get_interval());
	if (_is_appending || _platform_cut) {
		return;
	}
	const ledger_entry *entry = _ledger.get_entry(event_loop::wall());
	if (entry == nullptr) {
		return;
	}
	_is_appending = true;
	_context.log.append(log_stream::LEDGER, encode(*entry), APPEND_TIMEOUT, [this](append_result p_result, std::uint64_t) {
		_is_appending = false;
		_ledger.on_append_ended(p_result);
		_context.metrics.count(p_result == append_result::DONE ? "ledger_append_done" : "ledger_append_failed");
	});
}

void ledger_service::_read_to_end(std::function<void(bool)> p_hook) {
	if (_platform_cut) {
		p_hook(false);
		return;
	}
	_context.log.read(log_stream::LEDGER, _position, RECORDS_PER_READ, [this, hook = std::move(p_hook)](const std::optional<log_read> &p_read) {
		if (!p_read) {
			hook(false);
			return;
		}
		if (p_read->earliest > _position) {
			_lost_records += p_read->earliest - _position;
			_position = p_read->earliest;
		}
		for (const log_entry &entry : p_read->entries) {
			// Two calls of sum() may read concurrently; the offset check ensures that each record is counted once.
			if (entry.offset >= _position) {
				_fold.take(entry.bytes);
				_position = entry.offset + 1;
			}
		}
		if (!p_read->entries.empty() && _position < p_read->next) {
			_read_to_end(hook);
			return;
		}
		hook(true);
	});
}

} // namespace calicoscale
