/*
 * calicoscale: rollout.cpp
 * State of one service's roll-out at one node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/rollout/rollout.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Answers of the target that are required before its share rises; waived from the midpoint between the regular start of the rise and the deadline on. */
constexpr std::uint32_t MIN_ANSWERS = 20;
/** Long enough for nodes that were disconnected only briefly to be counted again. */
constexpr duration MIN_QUIET_TIME = std::chrono::seconds(1);

} // namespace

rollout::rollout(const rollout_bounds &p_bounds, const rollout_order &p_order, instant p_now) :
		_bounds(p_bounds) {
	_begin(p_order, p_now);
}

void rollout::_begin(const rollout_order &p_order, instant p_learned_at) {
	const bool was_completed = _state == rollout_state::COMPLETED;
	if (!_order.target_version.empty() && !was_completed) {
		_blocked_versions.insert(_order.target_version);
	}
	if (!p_order.is_withdrawn) {
		_blocked_versions.erase(p_order.target_version);
	} else if (!p_order.target_version.empty() && !(was_completed && p_order.target_version == _order.target_version)) {
		_blocked_versions.insert(p_order.target_version);
	}
	_order = p_order;
	_learned_at = p_learned_at;
	_is_age_estimated = false;
	_state = rollout_state::IN_PROGRESS;
	_is_confirmed = false;
	_is_written = false;
	_moving_since.reset();
	_is_quiet = false;
	_verdict = version_verdict();
	_answers = version_windows();
	_record = version_history();
}

void rollout::_set_state(rollout_state p_state) {
	if (_state == p_state) {
		return;
	}
	_state = p_state;
	if (p_state == rollout_state::ROLLED_BACK) {
		_blocked_versions.insert(_order.target_version);
	}
	if (p_state == rollout_state::COMPLETED) {
		_blocked_versions.insert(_versions.begin(), _versions.end());
		_blocked_versions.erase(_order.target_version);
	}
}

bool rollout::apply_order(const rollout_order &p_order, instant p_now) {
	if (p_order.at <= _order.at) {
		return false;
	}
	// The operator wrote the order again after the log was restored from an older copy.
	const bool is_same = p_order.at.era != _order.at.era && !p_order.is_withdrawn && !_order.is_withdrawn && p_order.target_version == _order.target_version && p_order.time == _order.time;
	if (is_same) {
		_order.at = p_order.at;
		_is_written = false;
		return true;
	}
	_begin(p_order, p_now);
	return true;
}

void rollout::_apply_reported_age(const rollout_update &p_update, instant p_now) {
	// A node that has just restarted must not change the age at running nodes because its time of day was set.
	const bool is_known = _is_confirmed && !_is_age_estimated;
	if (is_known && p_update.is_age_estimated) {
		return;
	}
	const instant learned_at = p_now - p_update.age;
	const bool is_better_known = _is_age_estimated && p_update.is_confirmed && !p_update.is_age_estimated;
	if (is_better_known || learned_at < _learned_at) {
		_learned_at = learned_at;
		_is_age_estimated = p_update.is_age_estimated;
	}
}

void rollout::_apply_stored_age(const rollout_status &p_status, instant p_now) {
	const bool is_known = _is_confirmed && !_is_age_estimated;
	if (is_known || !p_status.age) {
		return;
	}
	// A state of another era that is older than the order's time may belong to an earlier order to the same version.
	if (p_status.order.era != _order.at.era && *p_status.age >= _order.time) {
		return;
	}
	const instant learned_at = p_now - std::min(*p_status.age, _order.time);
	if (learned_at < _learned_at) {
		_learned_at = learned_at;
		_is_age_estimated = true;
	}
}

bool rollout::apply_update(const rollout_update &p_update, instant p_now) {
	bool is_new = apply_order(p_update.order, p_now);
	if (p_update.order.at != _order.at) {
		return is_new;
	}
	_apply_reported_age(p_update, p_now);
	is_new = is_new || (p_update.is_confirmed && !_is_confirmed) || (p_update.is_written && !_is_written);
	_is_confirmed = _is_confirmed || p_update.is_confirmed;
	if (p_update.report.order == _order.at) {
		_record.merge_past(p_update.past, p_update.report.answers.get_index());
	}
	for (const std::string &version : p_update.barred) {
		if (_order.is_withdrawn || version != _order.target_version) {
			_blocked_versions.insert(version);
		}
	}
	const bool is_final = p_update.state != rollout_state::IN_PROGRESS;
	if (is_final && !_is_written && (p_update.is_written || _state == rollout_state::IN_PROGRESS)) {
		is_new = is_new || _state != p_update.state;
		_set_state(p_update.state);
		_is_written = p_update.is_written;
	}
	if (p_update.is_moving && !_moving_since) {
		_moving_since = p_now;
		is_new = true;
	}
	return is_new;
}

bool rollout::apply_status(const rollout_status &p_status, instant p_now) {
	// After the log was restored from an older copy the order has another position.
	const bool is_same_order = p_status.order == _order.at || p_status.order.era != _order.at.era;
	if (!is_same_order || p_status.target_version != _order.target_version || _order.is_withdrawn) {
		return false;
	}
	_apply_stored_age(p_status, p_now);
	_is_confirmed = true;
	if (p_status.state != rollout_state::IN_PROGRESS) {
		_set_state(p_status.state);
		_is_written = true;
	}
	return true;
}

void rollout::on_written(rollout_state p_state) {
	_is_confirmed = true;
	if (p_state != rollout_state::IN_PROGRESS) {
		_set_state(p_state);
		_is_written = true;
	}
}

void rollout::set_endpoints(const std::vector<std::pair<std::string, std::string>> &p_endpoints) {
	_versions.clear();
	_target_endpoints.clear();
	_current_endpoint_count = 0;
	for (const auto &[name, version] : p_endpoints) {
		_versions.insert(version);
		const version_role side = get_side(version);
		if (side == version_role::TARGET) {
			_target_endpoints.push_back(name);
		} else if (side == version_role::CURRENT) {
			_current_endpoint_count++;
		}
	}
}

double rollout::_get_share(instant p_now) const {
	// While the stored state is unknown, the order may have ended long ago; without current sums of the fleet, the version may be bad.
	if (!_is_confirmed || !_is_fresh) {
		return 0.0;
	}
	const rollout_schedule schedule(_bounds, _order.time);
	return _moving_since ? schedule.get_share(p_now - *_moving_since) : schedule.get_canary_share();
}

version_role rollout::get_side(std::string_view p_version) const {
	if (_blocked_versions.contains(std::string(p_version))) {
		return version_role::BLOCKED;
	}
	const bool is_target = !_is_ended() && p_version == _order.target_version;
	return is_target ? version_role::TARGET : version_role::CURRENT;
}

bool rollout::is_for_target(std::string_view p_request, instant p_now) const {
	if (_is_ended() || _target_endpoints.empty()) {
		return false;
	}
	// Without endpoints of another version only the target can serve, and it may have done so before the order.
	if (_current_endpoint_count == 0) {
		return true;
	}
	return rollout_schedule::is_chosen(p_request, _get_share(p_now));
}

bool rollout::is_canary_endpoint(std::string_view p_endpoint, instant p_now) const {
	const double share = _get_share(p_now);
	const rollout_schedule schedule(_bounds, _order.time);
	const bool is_any = std::any_of(_target_endpoints.begin(), _target_endpoints.end(), [this, &schedule, share](const std::string &p_name) { return schedule.is_canary_endpoint(p_name, _target_endpoints.size(), share); });
	return !is_any || schedule.is_canary_endpoint(p_endpoint, _target_endpoints.size(), share);
}

void rollout::_consider_moving(const rollout_view &p_view, instant p_now) {
	const duration elapsed = get_age(p_now);
	const rollout_schedule schedule(_bounds, _order.time);
	const duration late_time = (schedule.get_rise_start() + _order.time) / 2;
	const bool is_due = elapsed >= schedule.get_rise_start() && (_verdict.answers >= MIN_ANSWERS || elapsed >= late_time);
	const bool is_too_late = elapsed > std::max(late_time, _order.time - schedule.get_rise_time());
	if (!_moving_since && _is_confirmed && p_view.is_fresh && !_target_endpoints.empty() && is_due && !is_too_late) {
		_moving_since = p_now;
	}
}

void rollout::_consider_end(const rollout_view &p_view, instant p_now) {
	if (_verdict.is_bad) {
		_set_state(rollout_state::ROLLED_BACK);
		return;
	}
	// The share never rose before the deadline, so there is no evidence that the version is good.
	if (!_moving_since && _is_confirmed && p_view.is_fresh && get_age(p_now) >= _order.time) {
		_set_state(rollout_state::ROLLED_BACK);
		return;
	}
	const rollout_report &total = p_view.total;
	const bool all_moved = p_view.is_fresh && _is_moved(p_now) && total.order == _order.at && total.moved == total.nodes && total.nodes >= p_view.live_nodes;
	const bool is_quiet = all_moved && total.open_at_present == 0;
	if (!is_quiet || !_is_quiet) {
		_is_quiet = is_quiet;
		_quiet_since = p_now;
		return;
	}
	if (p_now - _quiet_since >= std::max(MIN_QUIET_TIME, p_view.quiet_time)) {
		_set_state(rollout_state::COMPLETED);
	}
}

void rollout::consider(const rollout_view &p_view, instant p_now) {
	_is_fresh = p_view.is_fresh;
	if (_is_ended()) {
		return;
	}
	_is_age_estimated = _is_age_estimated && !(_is_confirmed && _is_fresh);
	_record.advance_to(get_age(p_now));
	if (p_view.total.order == _order.at) {
		_record.set_total(p_view.total.answers, p_now);
		_verdict = _record.get_all().judge();
	}
	_answers.advance_to(_record.get_index());
	_consider_end(p_view, p_now);
	if (!_is_ended()) {
		_consider_moving(p_view, p_now);
	}
}

void rollout::add_answer(std::string_view p_endpoint, std::string_view p_version, std::string_view p_route, bool p_is_bad) {
	const version_role side = get_side(p_version);
	if (!_is_ended() && side != version_role::BLOCKED) {
		_answers.add(p_route, side == version_role::TARGET ? version_tally::get_group(p_endpoint) : 0, p_is_bad);
	}
}

rollout_report rollout::get_report(instant p_now) const {
	rollout_report report;
	report.order = _order.at;
	report.nodes = 1;
	report.moved = has_moved(p_now) ? 1 : 0;
	report.open_at_present = _open_at_present;
	report.answers = _answers;
	// The closed windows that are sent along with the report end where this window begins.
	report.answers.advance_to(_record.get_index());
	return report;
}

rollout_update rollout::make_update(instant p_now) const {
	rollout_update update;
	update.order = _order;
	update.age = get_age(p_now);
	update.is_age_estimated = _is_age_estimated;
	update.state = _state;
	update.is_confirmed = _is_confirmed;
	update.is_written = _is_written;
	update.is_moving = _moving_since.has_value();
	update.barred.assign(_blocked_versions.begin(), _blocked_versions.end());
	return update;
}

std::optional<rollout_status> rollout::get_unwritten() const {
	const bool is_known = _state == rollout_state::IN_PROGRESS ? _is_confirmed : _is_written;
	if (_order.is_withdrawn || is_known) {
		return std::nullopt;
	}
	return rollout_status{ _order.service, _order.target_version, _state, _order.at, {} };
}

} // namespace calicoscale
