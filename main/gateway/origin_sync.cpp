/*
 * calicoscale: origin_sync.cpp
 * Keeps the record of the versions at which streams may have begun in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/origin_sync.h"

#include "main/gateway/write_turns.h"

#include <algorithm>

namespace calicoscale {

namespace {

const std::string RECORD_KEY = "origins";
/** Share of the store's reads that all nodes together may use for the record. */
constexpr double READ_SHARE = 0.05;
constexpr duration MIN_READ_SPREAD = std::chrono::milliseconds(100);
/** A node that has just started does not know yet how many others start with it. */
constexpr duration FIRST_READ_SPREAD = std::chrono::milliseconds(400);
/** Time for the first writer to write a new version, after which the other nodes read it. */
constexpr duration FIRST_WRITE_TIME = std::chrono::milliseconds(300);
/** Longest wait of new streams for a read. If the store does not answer by then, streams begin without it. */
constexpr duration MAX_READ_WAIT = std::chrono::milliseconds(1500);
constexpr duration REREAD_INTERVAL = std::chrono::seconds(1);
constexpr duration MIN_FAILURE_PAUSE = std::chrono::milliseconds(250);
constexpr duration MAX_FAILURE_PAUSE = std::chrono::seconds(4);
/** An endpoint may serve for some seconds after its entry was removed. */
constexpr duration UNLISTED_SERVICE_TIME = std::chrono::seconds(10);

std::set<std::string> find_resumable_services(const gateway_configuration &p_configuration) {
	std::set<std::string> services;
	for (const gateway_route &route : p_configuration.routes) {
		if (route.is_resumable) {
			for (const service_share &share : route.services) {
				services.insert(share.service);
			}
		}
	}
	return services;
}

} // namespace

origin_sync::origin_sync(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, gateway_fleet &p_fleet) :
		_context(p_context), _configuration(p_configuration), _endpoints(p_endpoints), _fleet(p_fleet), _era_since(event_loop::now()) {
	_endpoints.era_entered().connect([this] { _enter_era(_endpoints.get_known().era); });
}

duration origin_sync::_get_read_spread() const {
	const double reads_per_second = _context.settings.store.reads_per_second * READ_SHARE;
	return std::max<duration>(MIN_READ_SPREAD, from_seconds(static_cast<double>(_fleet.get_live_count()) / reads_per_second));
}

void origin_sync::set_listings(const std::vector<endpoint_listing> &p_listings) {
	_presence.set_listings(p_listings, event_loop::now());
	const service_versions listed_before = std::move(_listed);
	_listed.clear();
	_staying.clear();
	if (!_configuration.get_current()) {
		return;
	}
	const std::set<std::string> services = find_resumable_services(*_configuration.get_current());
	for (const endpoint_listing &listing : p_listings) {
		if (!services.contains(listing.pool)) {
			continue;
		}
		_listed[listing.pool].insert(listing.version);
		if (!listing.leaving) {
			_staying[listing.pool].insert(listing.version);
		}
	}
	_note_returned(listed_before);
	_update_mixed();
	_update_need();
}

bool origin_sync::_is_recorded(const std::string &p_service, const std::string &p_version) const {
	return _is_believed() && _record->contains(p_service, p_version) && !_returned.contains(stream_origin{ p_service, p_version });
}

void origin_sync::_note_returned(const service_versions &p_listed_before) {
	bool has_new = false;
	for (const auto &[service, versions] : _listed) {
		const auto before = p_listed_before.find(service);
		for (const std::string &version : versions) {
			if (before == p_listed_before.end() || !before->second.contains(version)) {
				_returned[stream_origin{ service, version }] = event_loop::now();
				has_new = true;
			}
		}
	}
	if (has_new && !_is_believed()) {
		// New streams wait for this read.
		_write_due = std::min(_write_due, event_loop::now() + from_seconds(to_seconds(_get_read_spread()) * _context.random.get_unit()));
	}
}

void origin_sync::_update_mixed() {
	_mixed.clear();
	if (!_is_believed()) {
		return;
	}
	for (const auto &[service, versions] : _staying) {
		std::size_t recorded = 0;
		for (const std::string &version : versions) {
			recorded += _is_recorded(service, version) ? 1 : 0;
		}
		if (recorded > 0 && recorded < versions.size()) {
			_mixed.insert(service);
		}
	}
}

bool origin_sync::must_wait(const std::string &p_service) const {
	const auto staying = _staying.find(p_service);
	if (_is_believed() || staying == _staying.end() || staying->second.size() < 2) {
		return false;
	}
	const instant now = event_loop::now();
	return std::any_of(staying->second.begin(), staying->second.end(), [this, &p_service, now](const std::string &p_version) {
		const auto returned = _returned.find(stream_origin{ p_service, p_version });
		return returned != _returned.end() && now - returned->second < MAX_READ_WAIT;
	});
}

bool origin_sync::_may_begin() const {
	const duration lifetime = _context.settings.stream_lifetime + UNLISTED_SERVICE_TIME;
	return (_context.settings.is_first_start && _is_topic_empty && !_has_era_changed) || event_loop::now() - _era_since >= lifetime;
}

std::optional<origin_record> origin_sync::_plan() const {
	const bool is_believed = _is_believed();
	if (!is_believed && !_may_begin()) {
		return std::nullopt;
	}
	const duration age = _context.settings.stream_lifetime + UNLISTED_SERVICE_TIME;
	const instant now = event_loop::now();
	origin_record planned = is_believed ? *_record : origin_record(_era, {});
	for (const auto &[service, versions] : _listed) {
		const std::optional<std::set<std::string>> recent = _presence.find_recent(service, age, now);
		if (recent && is_believed) {
			planned.keep(service, *recent);
		} else if (recent) {
			planned.add({ { service, *recent } });
		}
		planned.add({ { service, versions } });
	}
	const bool is_written = is_believed && planned == *_record && _returned.empty() && !_must_rewrite;
	return is_written ? std::nullopt : std::optional(planned);
}

void origin_sync::tick() {
	const instant now = event_loop::now();
	if (_endpoints.is_known_since(now - version_presence::MAX_GAP / 2)) {
		_presence.on_confirmed(now);
	}
	_update_need();
}

void origin_sync::_update_need() {
	if (_listed.empty()) {
		return;
	}
	const bool is_unread = _read_began_at == instant{};
	if (!is_unread && !_plan()) {
		_write_needed_since.reset();
	} else if (!_write_needed_since) {
		const instant now = event_loop::now();
		_write_needed_since = now;
		const bool is_first_writer = !is_unread && get_write_delay(_fleet, RECORD_KEY) == duration::zero();
		const duration spread = is_unread ? std::max(FIRST_READ_SPREAD, _get_read_spread()) : _get_read_spread();
		const duration lead = is_unread || is_first_writer ? duration::zero() : FIRST_WRITE_TIME;
		_write_due = now + lead + (is_first_writer ? duration::zero() : from_seconds(to_seconds(spread) * _context.random.get_unit()));
	}
	_call_store_if_due();
}

void origin_sync::request_read(instant p_since) {
	_wanted_since = std::max(_wanted_since, p_since);
	_call_store_if_due();
}

void origin_sync::_call_store_if_due() {
	const instant now = event_loop::now();
	const bool is_wanted = _read_began_at < _wanted_since || (_write_needed_since && now >= _write_due);
	if (is_wanted && !_is_busy && now >= _paused_until) {
		_read();
	}
}

void origin_sync::_read() {
	_is_busy = true;
	_context.store.read_newest(std::string(get_origin_topic()), read_reason::STREAMS, true, [this, began_at = event_loop::now()](const store_answer &p_answer) { _on_read(p_answer, began_at); });
}

void origin_sync::_enter_era(std::uint64_t p_era) {
	if (p_era <= _era) {
		return;
	}
	_has_era_changed = _read_began_at != instant{};
	_era = p_era;
	_era_since = event_loop::now();
	_update_mixed();
}

void origin_sync::_on_read(const store_answer &p_answer, instant p_began_at) {
	_is_busy = false;
	if (p_answer.status != store_status::OK) {
		_failure_pause = std::clamp<duration>(_failure_pause * 2, MIN_FAILURE_PAUSE, MAX_FAILURE_PAUSE);
		_paused_until = event_loop::now() + _failure_pause + from_seconds(to_seconds(_get_read_spread()) * _context.random.get_unit());
		_context.log.write(log_line("stream_origins_read").add("outcome", "failed").add("status", static_cast<long long>(p_answer.http_status)));
		return;
	}
	_failure_pause = duration::zero();
	_paused_until = event_loop::now() + _get_read_spread();
	_take_record(p_answer, p_began_at);
	const std::optional<origin_record> planned = _plan();
	if (!planned) {
		_write_needed_since.reset();
		return;
	}
	const instant needed_since = _write_needed_since.value_or(event_loop::now());
	if (event_loop::now() - needed_since < get_write_delay(_fleet, RECORD_KEY)) {
		_write_due = event_loop::now() + REREAD_INTERVAL;
		return;
	}
	_write(*planned);
}

void origin_sync::_take_record(const store_answer &p_answer, instant p_began_at) {
	_enter_era(p_answer.era);
	_read_began_at = p_began_at;
	std::erase_if(_returned, [p_began_at](const auto &p_entry) { return p_entry.second <= p_began_at; });
	_end_offset = p_answer.next_offset;
	_is_topic_empty = p_answer.next_offset == 0 && p_answer.records.empty();
	const auto found = std::find_if(p_answer.records.begin(), p_answer.records.end(), [](const store_record &p_entry) { return p_entry.key == RECORD_KEY; });
	const bool has_value = found != p_answer.records.end() && found->value;
	std::optional<origin_record> read = has_value ? read_origin_record(*found->value) : std::nullopt;
	const bool is_news = read != _record;
	_record = std::move(read);
	_update_mixed();
	if (is_news) {
		_context.log.write(log_line("stream_origins_read").add("outcome", _is_believed() ? "believed" : (_record ? "older_copy" : "absent")).add("era", static_cast<long long>(_era)).add("end", static_cast<long long>(_end_offset)).add("record", has_value ? *found->value : ""));
	}
}

void origin_sync::_write(const origin_record &p_record) {
	_is_busy = true;
	_context.store.put_at(std::string(get_origin_topic()), read_reason::STREAMS, RECORD_KEY, write_origin_record(p_record), _end_offset, [this, p_record](put_end p_end) { _on_written(p_record, p_end); });
}

void origin_sync::_on_written(const origin_record &p_record, put_end p_end) {
	_is_busy = false;
	_must_rewrite = p_end == put_end::UNKNOWN;
	if (p_end == put_end::DONE) {
		_record = p_record;
		std::erase_if(_returned, [&p_record](const auto &p_entry) { return p_record.contains(p_entry.first.service, p_entry.first.version); });
		_write_needed_since.reset();
		_update_mixed();
	}
	_write_due = event_loop::now() + (p_end == put_end::UNKNOWN ? REREAD_INTERVAL : duration::zero());
	_context.metrics.count("stream_origins_written_" + std::string(get_name(p_end)));
	_context.log.write(log_line("stream_origins_written").add("outcome", get_name(p_end)).add("end", static_cast<long long>(_end_offset)).add("record", write_origin_record(p_record)));
}

std::optional<std::string> origin_sync::find_only(const std::string &p_service) const {
	return _is_believed() ? _record->find_only(p_service) : std::nullopt;
}

void origin_sync::report() {
	_context.metrics.set_gauge("stream_origins_believed", _is_believed() ? 1.0 : 0.0);
	_context.metrics.set_gauge("stream_origins_restricted", static_cast<double>(_mixed.size()));
}

} // namespace calicoscale
