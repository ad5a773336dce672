/*
 * calicoscale: seed_order.h
 * Order in which a node dials the seeds of its settings.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SEED_ORDER_H
#define SEED_ORDER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace calicoscale {

/**
 * A node dials its seeds in turn, from a position given by a hash of its name. All nodes have the same seeds in the same order, so
 * that nodes that start together would otherwise all connect to the first one.
 */
class seed_order {
	std::uint64_t _position;

public:
	/** @param p_vm name of this node. */
	explicit seed_order(std::string_view p_vm);

	/** Returns the index of the seed to dial next. @param p_seeds number of seeds, at least 1. */
	std::size_t take_next(std::size_t p_seeds);
};

} // namespace calicoscale

#endif // SEED_ORDER_H
