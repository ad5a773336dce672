/*
 * calicoscale: forwarding_capacity.h
 * Limits the exchanges that this node carries out for other nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FORWARDING_CAPACITY_H
#define FORWARDING_CAPACITY_H

#include "core/process_stall.h"
#include "core/time.h"

#include <cstddef>

namespace calicoscale {

/**
 * A node forwards only what it can carry beside its own requests: the bytes of forwarded exchanges are bounded by a part of its memory,
 * and new exchanges are declined while its event loop is late, which is when its processor share is used up.
 */
class forwarding_capacity {
	std::size_t _max_bytes;
	std::size_t _reserved = 0;
	duration _lateness = duration::zero();

public:
	/** Bytes of an answer that may be on their way to the owner of an exchange before it confirms them. */
	static constexpr std::size_t WINDOW_BYTES = 64UL * 1024;
	/** Lateness of the event loop above which nothing new is forwarded: the process counts as stalled. */
	static constexpr duration MAX_LATENESS = stall_detector::MIN_STALL;
	/** Fraction of the node's memory for forwarded exchanges. */
	static constexpr double MEMORY_FRACTION = 0.125;

	explicit forwarding_capacity(double p_memory_bytes) :
			_max_bytes(static_cast<std::size_t>(p_memory_bytes * MEMORY_FRACTION)) {}

	/** Sets by how much the event loop was late most recently. */
	void set_lateness(duration p_lateness) { _lateness = p_lateness; }

	/** Reserves memory for an exchange. @return whether the exchange may be carried out. */
	bool try_reserve(std::size_t p_request_bytes) {
		const std::size_t needed = p_request_bytes + WINDOW_BYTES;
		if (_lateness > MAX_LATENESS || needed > _max_bytes - _reserved) {
			return false;
		}
		_reserved += needed;
		return true;
	}

	/** Releases what try_reserve() reserved. */
	void release(std::size_t p_request_bytes) { _reserved -= p_request_bytes + WINDOW_BYTES; }
};

} // namespace calicoscale

#endif // FORWARDING_CAPACITY_H
