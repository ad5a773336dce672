/*
 * calicoscale: bounded_body.cpp
 * Collects the body of a message up to a maximum size.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/bounded_body.h"

namespace calicoscale {

void bounded_body::append(std::string_view p_bytes) {
	_is_whole = _is_whole && p_bytes.size() <= _max_bytes - _bytes.size();
	if (_is_whole) {
		_bytes.append(p_bytes);
	} else {
		_bytes = std::string();
	}
}

void bounded_body::clear() {
	_bytes = std::string();
	_is_whole = true;
}

} // namespace calicoscale
