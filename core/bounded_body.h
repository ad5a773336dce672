/*
 * calicoscale: bounded_body.h
 * Collects the body of a message up to a maximum size.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef BOUNDED_BODY_H
#define BOUNDED_BODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace calicoscale {

/**
 * Collects the bytes of a body up to a maximum. Once the body exceeds it, the bytes are discarded and is_complete() is false, so that
 * a truncated body can't be mistaken for a complete shorter one.
 */
class bounded_body {
	std::size_t _max_bytes;
	std::string _bytes;
	bool _is_whole = true;

public:
	/** @param p_max_bytes size above which the body is discarded. */
	explicit bounded_body(std::size_t p_max_bytes) :
			_max_bytes(p_max_bytes) {}

	/** Appends bytes; discards the whole body once it exceeds the maximum. */
	void append(std::string_view p_bytes);

	/** Resets to an empty, complete body and frees the memory. */
	void clear();

	/** Whether all bytes appended since the last clear() are stored. */
	bool is_complete() const { return _is_whole; }

	/** The complete body; empty when it exceeded the maximum. */
	const std::string &get() const { return _bytes; }
};

} // namespace calicoscale

#endif // BOUNDED_BODY_H
