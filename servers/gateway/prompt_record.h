/*
 * calicoscale: prompt_record.h
 * A prompt that a node sent to an engine, as reported to other nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROMPT_RECORD_H
#define PROMPT_RECORD_H

#include "servers/gateway/engine_view.h"
#include "servers/gateway/update_batch.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace calicoscale {

/** A prompt that a node sent to an engine. */
struct prompt_record {
	std::uint32_t origin = 0; ///< Code of the node that sent it to the engine; see get_origin_code().
	endpoint_identity engine;
	std::vector<prompt_link> prompt;
};

/** Returns a short hash of a node's name, by which a node recognizes its own prompts when a peer forwards them to it. */
std::uint32_t get_origin_code(std::string_view p_vm);

/** Creates the batch of prompts to report. The shortest are dropped first, because knowing them saves other nodes the least work. */
update_batch<prompt_record> make_prompt_digest();

} // namespace calicoscale

#endif // PROMPT_RECORD_H
