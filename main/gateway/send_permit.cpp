/*
 * calicoscale: send_permit.cpp
 * Decides whether one request may be sent, given the endpoints that crashed while running it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/send_permit.h"

namespace calicoscale {

namespace {

/** Retry time given to the caller when another node already runs the trial of the request. */
constexpr duration OTHER_TRIAL_RETRY_AFTER = std::chrono::seconds(1);

} // namespace

send_permit::send_permit(crash_guard &p_guard, std::function<request_content()> p_get_content) :
		_guard(p_guard), _get_content(std::move(p_get_content)) {
}

void send_permit::ask(const permit_hooks &p_hooks) {
	if (_has_unused_trial) {
		_has_unused_trial = false;
		p_hooks.on_granted(send_mode::QUIETEST);
		return;
	}
	const crash_verdict verdict = _guard.judge(_get_content());
	switch (verdict.standing) {
		case crash_state::FREE:
			p_hooks.on_granted(send_mode::NONE);
			return;
		case crash_state::SUSPECT:
			p_hooks.on_granted(send_mode::QUIETEST);
			return;
		case crash_state::BLOCKED:
			p_hooks.on_refused(verdict.retry_after);
			return;
		case crash_state::ON_TRIAL:
			break;
	}
	_trial = _guard.request_trial(_get_content(), [hooks = p_hooks](bool p_may_send) {
		if (p_may_send) {
			hooks.on_granted(send_mode::QUIETEST);
		} else {
			hooks.on_refused(OTHER_TRIAL_RETRY_AFTER);
		}
	});
}

void send_permit::end() {
	if (_trial != 0) {
		_guard.end_trial(_trial);
		_trial = 0;
	}
}

} // namespace calicoscale
