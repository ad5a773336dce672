/*
 * calicoscale: bounded_body.h
 * Collects the body of a message up to a size.
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

/** Collects bytes, and knows whether it has them all: what is too large to hold must not pass for a shorter whole. */
class bounded_body {
	std::size_t _most;
	std::string _bytes;
	bool _is_whole = true;

public:
	/** @param p_most Bytes that are held at most. */
	explicit bounded_body(std::size_t p_most) :
			_most(p_most) {}

	/** Takes bytes. Once there are too many, none are held any more. */
	void append(std::string_view p_bytes);

	/** Begins anew. */
	void clear();

	/** False when more came than is held. */
	bool is_whole() const { return _is_whole; }

	/** All that came; empty when it was too much. */
	const std::string &get() const { return _bytes; }
};

} // namespace calicoscale

#endif // BOUNDED_BODY_H
