/*
 * calicoscale: rejection_notes.cpp
 * Which rejected records are worth a line of the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/rejection_notes.h"

namespace calicoscale {

bool rejection_notes::is_news(const std::string &p_key, entry_fault p_fault, instant p_now) {
	const auto found = _told.find(p_key);
	if (found != _told.end() && found->second == p_fault) {
		return false;
	}
	if (!_lines.try_take(1.0, p_now)) {
		_untold++;
		return false;
	}
	if (_told.size() >= MOST_KEYS) {
		_told.clear();
	}
	_told[p_key] = p_fault;
	return true;
}

} // namespace calicoscale
