/*
 * calicoscale: version_record.h
 * All answers since an order, also those that nodes counted which are gone.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_RECORD_H
#define VERSION_RECORD_H

#include "core/time.h"
#include "servers/rollout/version_windows.h"

#include <deque>

namespace calicoscale {

/**
 * Keeps the sums of the fleet, which lack what a lost node counted, over the whole of an order. Windows that are closed are added
 * up; every node keeps this sum and tells it, so that it is lost with the last node only. In a window that is not closed a count
 * does not fall. Counts of a node that is heard again, or by way of another hub, are in the sum of its window already.
 */
class version_record {
	/** Least sums since a moment. */
	struct lasting_sum {
		version_windows least;
		instant since{};
	};

	version_tally _past; ///< Of closed windows.
	version_windows _kept; ///< Greatest sums of the windows that are not closed.
	version_windows _latest; ///< Sums as they were heard last.
	std::deque<lasting_sum> _lasting; ///< From the oldest moment on.

public:
	/** Opens the window of a time since the order. */
	void advance_to(duration p_age);

	/** Opens a window; those that end by it are closed. */
	void advance_to(std::uint32_t p_index);

	/** Takes the sum of the fleet as it is known now. */
	void take_total(const version_windows &p_total, instant p_now);

	/** Takes the closed windows of another node, and the number of the window that was open there. */
	void take_past(const version_tally &p_past, std::uint32_t p_index);

	const version_tally &get_past() const { return _past; }
	std::uint32_t get_index() const { return _kept.get_index(); }

	/** All answers since the order. */
	version_tally get_all() const;
};

} // namespace calicoscale

#endif // VERSION_RECORD_H
