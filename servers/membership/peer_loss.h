/*
 * calicoscale: peer_loss.h
 * Why a node considers another one failed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PEER_LOSS_H
#define PEER_LOSS_H

#include <array>
#include <string_view>

namespace calicoscale {

/** How the failure of a peer was detected. Between nodes that need no link, silence is no sign of a failure: heartbeats cease, then the link is closed. */
enum class peer_loss {
	LINK_BROKEN,
	SILENT,
	REPORTED_BY_HUB,
	REPLACED, ///< Another process runs under its name.
	COUNT,
};

/** Name for logs. */
constexpr std::string_view get_name(peer_loss p_value) {
	constexpr std::array<std::string_view, static_cast<std::size_t>(peer_loss::COUNT)> NAMES{ "link_broken", "silent", "told_by_hub", "replaced" };
	return NAMES[static_cast<std::size_t>(p_value)];
}

} // namespace calicoscale

#endif // PEER_LOSS_H
