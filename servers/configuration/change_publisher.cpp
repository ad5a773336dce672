/*
 * calicoscale: change_publisher.cpp
 * Publishes one configuration change: appends it until its result is read back from the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/change_publisher.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr duration APPEND_RETRY_DELAY = std::chrono::milliseconds(500);

constexpr std::array<enum_name<publish_result>, 6> RESULT_NAMES{ {
		{ publish_result::PENDING, "pending" },
		{ publish_result::ACCEPTED, "accepted" },
		{ publish_result::OVERTAKEN, "overtaken" },
		{ publish_result::REJECTED, "rejected" },
		{ publish_result::NOT_PUBLISHED, "not_published" },
		{ publish_result::UNKNOWN, "unknown" },
} };

} // namespace

std::string_view get_name(publish_result p_result) {
	return find_name(RESULT_NAMES, p_result);
}

change_publisher::change_publisher(std::string p_change_id, instant p_give_up_at) :
		_change_id(std::move(p_change_id)), _give_up_at(p_give_up_at) {
}

publish_step change_publisher::get_step(instant p_now) {
	if (_result != publish_result::PENDING) {
		return publish_step::FINISHED;
	}
	if (p_now >= _give_up_at) {
		const bool may_take_effect = _may_be_on_log || _is_appending;
		_result = may_take_effect ? publish_result::UNKNOWN : publish_result::NOT_PUBLISHED;
		return publish_step::FINISHED;
	}
	if (!_is_appending && p_now >= _next_append_at) {
		return publish_step::APPEND;
	}
	return publish_step::READ;
}

void change_publisher::on_append_started() {
	_is_appending = true;
}

void change_publisher::on_append_ended(append_result p_result, instant p_now) {
	_is_appending = false;
	if (p_result != append_result::NOT_DONE) {
		_may_be_on_log = true;
	}
	// A successful append isn't repeated; the change only has to be read back.
	_next_append_at = p_result == append_result::DONE ? _give_up_at : p_now + APPEND_RETRY_DELAY;
}

void change_publisher::on_fold_moved(const configuration_fold &p_fold) {
	if (_result != publish_result::PENDING) {
		return;
	}
	const history_entry *entry = p_fold.find_change(_change_id);
	if (entry == nullptr) {
		return;
	}
	_entry = *entry;
	switch (entry->status) {
		case change_status::ACCEPTED:
			_result = publish_result::ACCEPTED;
			break;
		case change_status::OVERTAKEN:
			_result = publish_result::OVERTAKEN;
			break;
		case change_status::INVALID:
			_result = publish_result::REJECTED;
			break;
		case change_status::UNDECIDED:
			break;
	}
}

} // namespace calicoscale
