/*
 * calicoscale: write_turns.cpp
 * The order in which nodes write a record of the store that any of them may write.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/write_turns.h"

#include "core/digest.h"

#include <algorithm>
#include <vector>

namespace calicoscale {

namespace {

/** Time of one turn. A node that reads and writes without a failure has finished within it, and has notified the others. */
constexpr duration TURN_INTERVAL = std::chrono::milliseconds(1500);
/** Maximum number of turns. All nodes of a lower rank wait for this number of turns. */
constexpr std::ptrdiff_t MAX_WRITERS = 8;

} // namespace

duration get_write_delay(const gateway_fleet &p_fleet, const std::string &p_subject) {
	const std::vector<std::string> nodes = p_fleet.get_dispatch_nodes();
	const auto score = [&p_subject](const std::string &p_vm) { return hash_bytes(p_subject + "/" + p_vm); };
	const std::uint64_t own = score(p_fleet.get_vm());
	const bool is_writer = nodes.empty() || std::find(nodes.begin(), nodes.end(), p_fleet.get_vm()) != nodes.end();
	const std::ptrdiff_t higher_ranked = std::count_if(nodes.begin(), nodes.end(), [&score, own](const std::string &p_vm) { return score(p_vm) > own; });
	return TURN_INTERVAL * (is_writer ? std::min(higher_ranked, MAX_WRITERS) : MAX_WRITERS);
}

} // namespace calicoscale
