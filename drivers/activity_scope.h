/*
 * calicoscale: activity_scope.h
 * Records the time of a block under an activity of its loop.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ACTIVITY_SCOPE_H
#define ACTIVITY_SCOPE_H

#include "drivers/event_loop.h"

namespace calicoscale {

/** Records the time from its construction to its destruction under an activity. */
class activity_scope {
	event_loop &_loop;

public:
	activity_scope(event_loop &p_loop, activity p_activity) :
			_loop(p_loop) {
		_loop.get_meter().begin(p_activity, event_loop::now());
	}
	~activity_scope() { _loop.get_meter().end(event_loop::now()); }
	activity_scope(const activity_scope &) = delete;
	activity_scope &operator=(const activity_scope &) = delete;
};

} // namespace calicoscale

#endif // ACTIVITY_SCOPE_H
