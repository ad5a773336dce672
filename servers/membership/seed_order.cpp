/*
 * calicoscale: seed_order.cpp
 * Order in which a node dials the seeds of its settings.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/seed_order.h"

#include "core/digest.h"

namespace calicoscale {

seed_order::seed_order(std::string_view p_vm) :
		_position(hash_bytes(p_vm)) {
}

std::size_t seed_order::take_next(std::size_t p_seeds) {
	const std::size_t seed = static_cast<std::size_t>(_position % p_seeds);
	_position = seed + 1;
	return seed;
}

} // namespace calicoscale
