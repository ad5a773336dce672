/*
 * calicoscale: rollout_order.h
 * An operator's order to move a service to another version, and the order's state.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_ORDER_H
#define ROLLOUT_ORDER_H

#include "core/log_position.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace calicoscale {

/** The operator's newest record for a service: an order to move it to a version, or the withdrawal of one. */
struct rollout_order {
	std::string service;
	std::string target_version;
	duration time = duration::zero(); ///< Time from the order until its deadline.
	log_position at; ///< Position of the record in the operator's log.
	bool is_withdrawn = false; ///< The order is withdrawn and its target version is blocked.
};

/** State of an order. COMPLETED and ROLLED_BACK are final. */
enum class rollout_state : std::uint8_t {
	IN_PROGRESS,
	COMPLETED, ///< Endpoints of other versions are stopped as soon as the order is in this state.
	ROLLED_BACK,
	COUNT,
};

/** Name of a state, e.g. "in_progress". */
std::string_view get_name(rollout_state p_state);

/** State of an order as stored in the store. */
struct rollout_status {
	std::string service;
	std::string target_version;
	rollout_state state = rollout_state::IN_PROGRESS;
	log_position order; ///< Position of the order that it belongs to; zero if not recorded.
	std::optional<duration> age; ///< Time since the order was learned; empty if not recorded or unreadable.
};

} // namespace calicoscale

#endif // ROLLOUT_ORDER_H
