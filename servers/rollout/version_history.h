/*
 * calicoscale: version_history.h
 * All answers since an order, including those counted by nodes that have failed since.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_HISTORY_H
#define VERSION_HISTORY_H

#include "core/time.h"
#include "servers/rollout/version_windows.h"

#include <deque>

namespace calicoscale {

/**
 * Accumulates the fleet's answers over the lifetime of an order. The current sums of the fleet lack the counts of failed nodes, so
 * this class keeps them. Closed windows are added up; every node stores and sends this total, so it survives as long as one node
 * does. In an open window a count never decreases. Counts of a node that reconnects, directly or through another hub, are already
 * included in the sum of their window and aren't added twice.
 */
class version_history {
	/** Minimum of all sums received since a point in time. */
	struct minimum_sum {
		version_windows minimum;
		instant since{};
	};

	version_tally _past; ///< Total of closed windows.
	version_windows _stable; ///< Highest stable sums of the open windows.
	version_windows _latest; ///< Sums as last received.
	std::deque<minimum_sum> _minimum_sums; ///< Ordered by time, oldest first.

public:
	/** Opens the window that contains a time since the order. */
	void advance_to(duration p_age);

	/** Opens a window by its number and closes those that are too old for further reports. */
	void advance_to(std::uint32_t p_index);

	/** Applies the current sum over the fleet. */
	void set_total(const version_windows &p_total, instant p_now);

	/** Merges the closed windows of another node. @param p_index number of the window that was open there. */
	void merge_past(const version_tally &p_past, std::uint32_t p_index);

	const version_tally &get_past() const { return _past; }
	std::uint32_t get_index() const { return _stable.get_index(); }

	/** Returns all answers since the order. */
	version_tally get_all() const;
};

} // namespace calicoscale

#endif // VERSION_HISTORY_H
