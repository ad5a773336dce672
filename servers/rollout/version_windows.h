/*
 * calicoscale: version_windows.h
 * Answers in the two latest time windows since an order.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_WINDOWS_H
#define VERSION_WINDOWS_H

#include "servers/rollout/version_tally.h"

#include <cstdint>
#include <string_view>

namespace calicoscale {

/**
 * Answers of the open window and of the previous one, for which reports still arrive. Windows are numbered, so that the counts of
 * several nodes are added up window by window. Older windows are dropped here.
 */
class version_windows {
	std::uint32_t _index = 0;
	version_tally _current;
	version_tally _previous;

public:
	version_windows() = default;
	version_windows(std::uint32_t p_index, version_tally p_current, version_tally p_previous) :
			_index(p_index), _current(std::move(p_current)), _previous(std::move(p_previous)) {}

	/** Opens a later window; an earlier one is ignored. */
	void advance_to(std::uint32_t p_index);

	/** Counts an answer in the open window. */
	void add(std::string_view p_route, std::uint8_t p_group, bool p_is_bad) { _current.add(p_route, p_group, p_is_bad); }

	/** Adds counts of other nodes, and opens the later window of both. */
	void add(version_windows p_other);

	/** Raises each count to that of p_other if it is higher, and opens the later window of both. */
	void raise_to(version_windows p_other);

	/** Lowers each count to that of p_other if it is lower, and opens the later window of both. */
	void lower_to(version_windows p_other);

	/** Returns the number of the open window. */
	std::uint32_t get_index() const { return _index; }
	const version_tally &get_current() const { return _current; }
	const version_tally &get_previous() const { return _previous; }
};

} // namespace calicoscale

#endif // VERSION_WINDOWS_H
