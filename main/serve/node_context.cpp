/*
 * calicoscale: node_context.cpp
 * State and drivers that all services of one node share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/node_context.h"

#include <openssl/rand.h>

namespace calicoscale {

namespace {

constexpr int RANDOM_BITS_OF_INCARNATION = 20;
constexpr std::uint64_t RANDOM_BITS_MASK = (1U << RANDOM_BITS_OF_INCARNATION) - 1;

std::uint64_t draw_bits() {
	std::uint64_t bits = 0;
	RAND_bytes(reinterpret_cast<unsigned char *>(&bits), sizeof(bits));
	return bits;
}

/** Each start of a VM gets a higher incarnation as long as its clock does not step back; member_table handles the case that it does. */
std::uint64_t make_incarnation() {
	const std::uint64_t wall = static_cast<std::uint64_t>(event_loop::wall());
	return (wall << RANDOM_BITS_OF_INCARNATION) | (draw_bits() & RANDOM_BITS_MASK);
}

} // namespace

node_context::node_context(event_loop &p_loop, node_settings p_settings) :
		loop(p_loop),
		settings(std::move(p_settings)),
		incarnation(make_incarnation()),
		seed(settings.random_seed != 0 ? settings.random_seed : draw_bits()),
		client(p_loop),
		log(client, settings.platform.log),
		list(client, settings.platform.vm_list),
		endpoints(client),
		timeline(settings.timeline_events) {
}

} // namespace calicoscale
