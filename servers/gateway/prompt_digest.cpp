/*
 * calicoscale: prompt_digest.cpp
 * Prompts sent to engines that other nodes are still to be told of, within a budget.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/prompt_digest.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Messages a second for prompts told at once: at 25 us each (assumed) half a percent of a processor core. */
constexpr double MESSAGES_PER_SECOND = 200.0;
/** A second's worth, as sends come in bursts. */
constexpr double MOST_SAVED_MESSAGES = 200.0;
/** Prompts in a message; about 32 bytes each, so that five a second take 22 KB/s. */
constexpr std::size_t MOST_PROMPTS = 140;

std::uint64_t count_tokens(const told_prompt &p_prompt) {
	std::uint64_t tokens = 0;
	for (const prompt_link &link : p_prompt.prompt) {
		tokens += link.tokens;
	}
	return tokens;
}

} // namespace

std::uint32_t get_origin_code(std::string_view p_vm) {
	return static_cast<std::uint32_t>(hash_bytes(p_vm));
}

prompt_digest::prompt_digest() :
		_tokens(MOST_SAVED_MESSAGES) {
}

void prompt_digest::add(told_prompt p_prompt) {
	_pending.push_back(std::move(p_prompt));
}

bool prompt_digest::try_spend(std::size_t p_messages, instant p_now) {
	if (_filled_at != instant{}) {
		_tokens = std::min(MOST_SAVED_MESSAGES, _tokens + to_seconds(p_now - _filled_at) * MESSAGES_PER_SECOND);
	}
	_filled_at = p_now;
	if (_tokens < static_cast<double>(p_messages)) {
		return false;
	}
	_tokens -= static_cast<double>(p_messages);
	return true;
}

std::vector<told_prompt> prompt_digest::take() {
	std::vector<told_prompt> taken;
	taken.swap(_pending);
	if (taken.size() > MOST_PROMPTS) {
		_dropped += taken.size() - MOST_PROMPTS;
		const auto is_longer = [](const told_prompt &p_left, const told_prompt &p_right) { return count_tokens(p_left) > count_tokens(p_right); };
		std::stable_sort(taken.begin(), taken.end(), is_longer);
		taken.resize(MOST_PROMPTS);
	}
	return taken;
}

} // namespace calicoscale
