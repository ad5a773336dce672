/*
 * calicoscale: rollout_order.h
 * An operator's order to move a service to another version, and how it stands.
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

/** The newest that the operator wrote of a service: to move it to a version, or that this is taken back. */
struct rollout_order {
	std::string service;
	std::string target_version;
	duration time = duration::zero(); ///< From the order until its deadline.
	log_position at; ///< Of the record.
	bool is_withdrawn = false; ///< Nothing is ordered; the version named before gets nothing.
};

/** How an order stands. The last two are final. */
enum class rollout_state : std::uint8_t {
	IN_PROGRESS,
	COMPLETED, ///< The endpoints of other versions stop at once.
	ROLLED_BACK,
	COUNT,
};

/** Name of a state, e.g. "in_progress". */
std::string_view get_name(rollout_state p_state);

/** What is kept in the store of an order's state. */
struct rollout_status {
	std::string service;
	std::string target_version;
	rollout_state state = rollout_state::IN_PROGRESS;
	log_position order; ///< The order it answers; zero when its writer told none.
	std::optional<duration> age; ///< Since the order was learnt; empty when its writer told none that can be read.
};

} // namespace calicoscale

#endif // ROLLOUT_ORDER_H
