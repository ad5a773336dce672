/*
 * calicoscale: prompt_digest.h
 * Prompts sent to engines that other nodes are still to be told of, within a budget.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROMPT_DIGEST_H
#define PROMPT_DIGEST_H

#include "servers/gateway/engine_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace calicoscale {

/** A prompt that a node sent to an engine. */
struct told_prompt {
	std::uint32_t origin = 0; ///< Code of the node that sent it; see get_origin_code().
	endpoint_identity engine;
	std::vector<prompt_link> prompt;
};

/** Short code of a node's name, so that a node knows its own prompts when they come back. */
std::uint32_t get_origin_code(std::string_view p_vm);

/**
 * Collects prompts to tell of. They go out at once while the messages this takes are within the budget, else together with
 * the next heartbeat; what is more than a heartbeat may carry is dropped, the shortest prompts first, as knowing of them
 * saves others least. So what a node spends on telling prompts is bounded, whatever the size of the fleet and its load; in
 * a small fleet everything is told at once. Told the time with each call.
 */
class prompt_digest {
	std::vector<told_prompt> _pending;
	double _tokens;
	instant _filled_at{};
	std::uint64_t _dropped = 0;

public:
	prompt_digest();

	void add(told_prompt p_prompt);

	/** Whether telling so many nodes at once is within the budget; takes it out of the budget if so. */
	bool try_spend(std::size_t p_messages, instant p_now);

	/** Hands out what is pending, within the bound of one heartbeat. */
	std::vector<told_prompt> take();

	bool is_empty() const { return _pending.empty(); }

	/** Prompts that were not told, in all. */
	std::uint64_t get_dropped() const { return _dropped; }
};

} // namespace calicoscale

#endif // PROMPT_DIGEST_H
