/*
 * calicoscale: told_prompt.h
 * A prompt that a node sent to an engine, as nodes tell each other.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TOLD_PROMPT_H
#define TOLD_PROMPT_H

#include "servers/gateway/engine_view.h"
#include "servers/gateway/news_digest.h"

#include <cstdint>
#include <string_view>
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

/** Prompts still to be told; the shortest are dropped first, as knowing of them saves others least. */
news_digest<told_prompt> make_prompt_digest();

} // namespace calicoscale

#endif // TOLD_PROMPT_H
