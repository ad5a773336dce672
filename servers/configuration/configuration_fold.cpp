/*
 * calicoscale: configuration_fold.cpp
 * Computes the configuration from the log; every node gets the same result.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/configuration_fold.h"

#include "core/document_problem.h"
#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::size_t MAX_HISTORY_ENTRIES = 512;
constexpr std::size_t MAX_PENDING_CHANGES = 4096;

constexpr std::array<enum_name<change_status>, 4> STATUS_NAMES{ {
		{ change_status::ACCEPTED, "accepted" },
		{ change_status::OVERTAKEN, "overtaken" },
		{ change_status::INVALID, "invalid" },
		{ change_status::UNDECIDED, "undecided" },
} };

} // namespace

std::string_view get_name(change_status p_status) {
	return find_name(STATUS_NAMES, p_status);
}

configuration_fold::configuration_fold(document_check p_check) :
		_check(std::move(p_check)) {
}

void configuration_fold::_begin_uncertain(std::uint64_t p_first_offset) {
	_certain = false;
	_pending.clear();
	_position = p_first_offset;
	_window_start = p_first_offset;
}

void configuration_fold::_add_history(history_entry p_entry) {
	_history.push_back(std::move(p_entry));
	if (_history.size() > MAX_HISTORY_ENTRIES) {
		_history.pop_front();
	}
}

void configuration_fold::_put_in_force(const version_state &p_state) {
	if (p_state.version <= _in_force.version) {
		return;
	}
	configuration parsed = _check(p_state.document);
	_parsed = std::make_unique<const configuration>(std::move(parsed));
	_in_force = p_state;
}

void configuration_fold::_update_newest_copy(std::uint64_t p_version, unix_milliseconds p_written_at, unix_milliseconds p_wall) {
	if (p_version != _folded.version) {
		return;
	}
	_newest_copy_at = std::max(_newest_copy_at, std::min(p_written_at, p_wall));
}

void configuration_fold::_decide(std::uint64_t p_offset, const std::optional<change_record> &p_change) {
	history_entry entry;
	entry.offset = p_offset;
	entry.version_after = _folded.version;
	if (!p_change) {
		entry.status = change_status::INVALID;
		entry.detail = "/: found a malformed or oversized record, expected a change or a checkpoint";
		_invalid_count++;
		_add_history(std::move(entry));
		return;
	}
	entry.change_id = p_change->change_id;
	entry.author = p_change->author;
	entry.written_at = p_change->written_at;
	entry.base = p_change->base;
	if (p_change->base != _folded.version) {
		entry.status = change_status::OVERTAKEN;
		_add_history(std::move(entry));
		return;
	}
	const version_state candidate{ p_offset + 1, p_change->change_id, p_change->document };
	try {
		// The document is checked also when a peer relayed this version earlier and it is already in force: whether a record is
		// accepted must not depend on the configuration in force at this node.
		_check(candidate.document);
	} catch (const document_error &error) {
		entry.status = change_status::INVALID;
		entry.detail = error.what();
		_invalid_count++;
		_add_history(std::move(entry));
		return;
	}
	_folded = candidate;
	_put_in_force(candidate);
	_newest_copy_at = p_change->written_at;
	entry.status = change_status::ACCEPTED;
	entry.version_after = candidate.version;
	_add_history(std::move(entry));
}

void configuration_fold::_store_pending(pending_change p_pending) {
	if (_pending.size() >= MAX_PENDING_CHANGES) {
		_pending.clear();
		_window_start = p_pending.offset;
	}
	_pending.push_back(std::move(p_pending));
}

void configuration_fold::_become_certain(const version_state &p_state, std::uint64_t p_position) {
	_put_in_force(p_state);
	_folded = p_state;
	_certain = true;
	std::vector<pending_change> pending = std::move(_pending);
	_pending.clear();
	for (const pending_change &kept : pending) {
		if (kept.offset >= p_position) {
			_decide(kept.offset, kept.change);
		}
	}
}

void configuration_fold::_apply_checkpoint(std::uint64_t p_offset, const checkpoint_record &p_checkpoint, unix_milliseconds p_wall) {
	const bool is_plausible = p_checkpoint.position <= p_offset && p_checkpoint.version <= p_checkpoint.position;
	if (!is_plausible) {
		_invalid_count++;
		return;
	}
	if (!_certain && p_checkpoint.position >= _window_start) {
		const version_state state{ p_checkpoint.version, p_checkpoint.change_id, p_checkpoint.document };
		try {
			_become_certain(state, p_checkpoint.position);
		} catch (const document_error &) {
			_invalid_count++;
			return;
		}
	}
	_update_newest_copy(p_checkpoint.version, p_checkpoint.written_at, p_wall);
}

void configuration_fold::_apply_entry(const log_entry &p_entry, unix_milliseconds p_wall) {
	const std::optional<configuration_record> record = decode_configuration_record(p_entry.bytes);
	if (record && std::holds_alternative<checkpoint_record>(*record)) {
		_apply_checkpoint(p_entry.offset, std::get<checkpoint_record>(*record), p_wall);
		return;
	}
	std::optional<change_record> change;
	if (record) {
		change = std::get<change_record>(*record);
	}
	if (_certain) {
		_decide(p_entry.offset, change);
		return;
	}
	_store_pending(pending_change{ p_entry.offset, std::move(change) });
}

bool configuration_fold::take_read(std::uint64_t p_earliest, const std::vector<log_entry> &p_entries, unix_milliseconds p_wall) {
	const std::uint64_t version_before = _in_force.version;
	if (!_has_read && p_earliest == 0 && _position == 0) {
		_certain = true;
	}
	_has_read = true;
	if (p_earliest > _position) {
		_begin_uncertain(p_earliest);
	}
	for (const log_entry &entry : p_entries) {
		if (entry.offset < _position) {
			continue;
		}
		if (entry.offset > _position) {
			_begin_uncertain(entry.offset);
		}
		_apply_entry(entry, p_wall);
		_position = entry.offset + 1;
	}
	return _in_force.version > version_before;
}

bool configuration_fold::apply_snapshot(const configuration_snapshot &p_snapshot) {
	const std::uint64_t version_before = _in_force.version;
	const version_state state{ p_snapshot.version, p_snapshot.change_id, p_snapshot.document };
	try {
		const bool may_continue = p_snapshot.certain && p_snapshot.version <= p_snapshot.position;
		if (!_certain && may_continue && p_snapshot.position >= _window_start) {
			_become_certain(state, p_snapshot.position);
			_position = std::max(_position, p_snapshot.position);
			_has_read = true;
		}
		_put_in_force(state);
	} catch (const document_error &) {
		_invalid_count++;
	}
	return _in_force.version > version_before;
}

configuration_snapshot configuration_fold::get_snapshot() const {
	configuration_snapshot snapshot;
	snapshot.version = _in_force.version;
	snapshot.change_id = _in_force.change_id;
	snapshot.document = _in_force.document;
	snapshot.position = _position;
	snapshot.certain = _certain && _folded.version == _in_force.version;
	return snapshot;
}

std::optional<checkpoint_record> configuration_fold::make_checkpoint(unix_milliseconds p_wall, duration p_wait) const {
	if (!_certain || _folded.version != _in_force.version) {
		return std::nullopt;
	}
	const unix_milliseconds wait = std::chrono::duration_cast<std::chrono::milliseconds>(p_wait).count();
	if (p_wall - _newest_copy_at < wait) {
		return std::nullopt;
	}
	return checkpoint_record{ _folded.version, _position, _folded.change_id, p_wall, _folded.document };
}

const history_entry *configuration_fold::find_change(std::string_view p_change_id) const {
	const auto found = std::find_if(_history.begin(), _history.end(), [p_change_id](const history_entry &p_entry) {
		return p_entry.change_id == p_change_id;
	});
	return found == _history.end() ? nullptr : &*found;
}

} // namespace calicoscale
