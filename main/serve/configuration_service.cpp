/*
 * calicoscale: configuration_service.cpp
 * Keeps this node's configuration current: reads the log, publishes, writes checkpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/configuration_service.h"

#include "core/ids.h"
#include "servers/configuration/configuration_parser.h"

#include <glog/logging.h>

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration MIN_POLL_INTERVAL = std::chrono::milliseconds(200);
constexpr duration PUBLISHING_POLL_INTERVAL = std::chrono::milliseconds(40);
/** Polls per second by the whole fleet; the first node that reads a change relays it to the others. */
constexpr double FLEET_POLLS_PER_SECOND = 25.0;
constexpr std::size_t RECORDS_PER_READ = 200;
constexpr duration APPEND_TIMEOUT = std::chrono::seconds(2);
constexpr duration CHECKPOINT_CHECK_INTERVAL = std::chrono::seconds(2);
constexpr int CHECKPOINTS_PER_RETENTION = 4;

} // namespace

configuration_service::configuration_service(node_context &p_context) :
		_context(p_context),
		_fold(parse_configuration),
		_poll_timer(p_context.loop, [this] { _read(); }),
		_checkpoint_timer(p_context.loop, [this] { _maybe_checkpoint(); }),
		_random(p_context.seed) {
}

void configuration_service::start() {
	_read();
	_checkpoint_timer.set(CHECKPOINT_CHECK_INTERVAL);
}

duration configuration_service::_get_poll_interval() {
	if (!_publications.empty()) {
		return PUBLISHING_POLL_INTERVAL;
	}
	const duration shared = from_seconds(static_cast<double>(_fleet_size) / FLEET_POLLS_PER_SECOND);
	const duration base = std::max(MIN_POLL_INTERVAL, shared);
	return base / 2 + duration(static_cast<duration::rep>(static_cast<double>(base.count()) * _random.get_unit()));
}

void configuration_service::_read() {
	if (_is_reading) {
		return;
	}
	if (_platform_cut) {
		_log_answers = false;
		_advance_publications();
		_poll_timer.set(_get_poll_interval());
		return;
	}
	_is_reading = true;
	_context.log.read(log_stream::CONFIGURATION, _fold.get_position(), RECORDS_PER_READ, [this](const std::optional<log_read> &p_read) { _on_read(p_read); });
}

void configuration_service::_on_read(const std::optional<log_read> &p_read) {
	_is_reading = false;
	const bool answers = p_read.has_value();
	if (answers != _log_answers) {
		_log_answers = answers;
		LOG(INFO) << "event=log_state stream=configuration answers=" << answers;
	}
	bool has_more = false;
	if (answers) {
		const bool version_increased = _fold.take_read(p_read->earliest, p_read->entries, event_loop::wall());
		has_more = !p_read->entries.empty() && _fold.get_position() < p_read->next;
		_note_change(version_increased, "log");
	} else {
		_context.metrics.count("log_read_failed");
	}
	_advance_publications();
	if (has_more) {
		_read();
		return;
	}
	_poll_timer.set(_get_poll_interval());
}

void configuration_service::_note_change(bool p_version_increased, const std::string &p_source) {
	if (_fold.get_invalid_count() != _reported_invalid_count) {
		_context.metrics.count("configuration_record_invalid", static_cast<double>(_fold.get_invalid_count() - _reported_invalid_count));
		_reported_invalid_count = _fold.get_invalid_count();
		_context.timeline.add(event_kind::CONFIGURATION_REJECTED, "", "records", std::to_string(_reported_invalid_count) + " invalid so far");
	}
	if (!p_version_increased) {
		return;
	}
	const std::string version = std::to_string(_fold.get_version());
	LOG(INFO) << "event=configuration_in_force version=" << version << " source=" << p_source;
	_context.timeline.add(event_kind::CONFIGURATION_IN_FORCE, "", "version " + version, "from " + p_source);
	_context.metrics.set_gauge("configuration_version", static_cast<double>(_fold.get_version()));
	_version_in_force.emit();
}

void configuration_service::apply_snapshot(const configuration_snapshot &p_snapshot, const std::string &p_peer) {
	const bool version_increased = _fold.apply_snapshot(p_snapshot);
	_note_change(version_increased, p_peer);
	_advance_publications();
}

void configuration_service::publish(const std::string &p_document, std::uint64_t p_base, const std::string &p_author, duration p_within, std::function<void(const publication &)> p_hook) {
	_published++;
	const std::string change_id = to_string(request_id{ _context.incarnation, _published });
	change_record record{ change_id, p_base, p_author, event_loop::wall(), p_document };
	const instant give_up_at = event_loop::now() + p_within;
	_publications.push_back(std::make_unique<open_publication>(open_publication{ std::move(record), change_publisher(change_id, give_up_at), std::move(p_hook) }));
	_advance_publications();
	_poll_timer.set(PUBLISHING_POLL_INTERVAL);
}

void configuration_service::_append(open_publication &r_publication) {
	r_publication.publisher.on_append_started();
	const std::string change_id = r_publication.publisher.get_change_id();
	_context.log.append(log_stream::CONFIGURATION, encode(r_publication.record), APPEND_TIMEOUT, [this, change_id](append_result p_result, std::uint64_t) {
		const auto found = std::find_if(_publications.begin(), _publications.end(), [&change_id](const std::unique_ptr<open_publication> &p_entry) {
			return p_entry->publisher.get_change_id() == change_id;
		});
		if (found != _publications.end()) {
			(*found)->publisher.on_append_ended(p_result, event_loop::now());
		}
		_poll_timer.set(duration::zero());
	});
}

void configuration_service::_advance(open_publication &r_publication) {
	r_publication.publisher.on_fold_moved(_fold);
	const bool may_append = !_platform_cut;
	if (r_publication.publisher.get_step(event_loop::now()) == publish_step::APPEND && may_append) {
		_append(r_publication);
	}
}

void configuration_service::_advance_publications() {
	for (const std::unique_ptr<open_publication> &entry : _publications) {
		_advance(*entry);
	}
	std::vector<std::unique_ptr<open_publication>> finished;
	for (std::unique_ptr<open_publication> &entry : _publications) {
		if (entry->publisher.get_step(event_loop::now()) == publish_step::FINISHED) {
			finished.push_back(std::move(entry));
		}
	}
	std::erase(_publications, nullptr);
	for (const std::unique_ptr<open_publication> &entry : finished) {
		const change_publisher &publisher = entry->publisher;
		LOG(INFO) << "event=configuration_published change=" << publisher.get_change_id() << " result=" << get_name(publisher.get_result());
		entry->hook(publication{ publisher.get_result(), publisher.get_fate(), publisher.get_change_id(), _fold.get_version() });
	}
}

void configuration_service::_maybe_checkpoint() {
	// Each node draws a random wait and reads the checkpoints of the others, so usually only one node writes.
	const double factor = 1.0 + _random.get_unit();
	const duration base_wait = _context.settings.platform.log_retention / CHECKPOINTS_PER_RETENTION;
	const duration wait(static_cast<duration::rep>(static_cast<double>(base_wait.count()) * factor));
	const std::optional<checkpoint_record> checkpoint = _fold.make_checkpoint(event_loop::wall(), wait);
	if (checkpoint && _log_answers && !_platform_cut) {
		_context.metrics.count("checkpoint_written");
		_context.log.append(log_stream::CONFIGURATION, encode(*checkpoint), APPEND_TIMEOUT, [](append_result, std::uint64_t) {});
	}
	const double spread = 0.5 + _random.get_unit();
	_checkpoint_timer.set(duration(static_cast<duration::rep>(static_cast<double>(CHECKPOINT_CHECK_INTERVAL.count()) * spread)));
}

} // namespace calicoscale
