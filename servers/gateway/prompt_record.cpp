/*
 * calicoscale: prompt_record.cpp
 * A prompt that a node sent to an engine, as reported to other nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/prompt_record.h"

#include "core/digest.h"

namespace calicoscale {

namespace {

/** Maximum number of prompts in a message. At about 32 bytes each, five messages a second take 22 KB/s. */
constexpr std::size_t MAX_PROMPTS = 140;

double count_tokens(const prompt_record &p_prompt) {
	std::uint64_t tokens = 0;
	for (const prompt_link &link : p_prompt.prompt) {
		tokens += link.tokens;
	}
	return static_cast<double>(tokens);
}

} // namespace

std::uint32_t get_origin_code(std::string_view p_vm) {
	return static_cast<std::uint32_t>(hash_bytes(p_vm));
}

update_batch<prompt_record> make_prompt_digest() {
	return update_batch<prompt_record>(MAX_PROMPTS, &count_tokens);
}

} // namespace calicoscale
