/*
 * calicoscale: version_windows.h
 * Answers of the last windows of time since an order.
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
 * Answers of the window that is open, and of the one before, of which reports still arrive. Windows are numbered, so that those of
 * several nodes are added up window by window; what is older than two windows is dropped here.
 */
class version_windows {
	std::uint32_t _index = 0;
	version_tally _current;
	version_tally _previous;

public:
	version_windows() = default;
	version_windows(std::uint32_t p_index, version_tally p_current, version_tally p_previous) :
			_index(p_index), _current(std::move(p_current)), _previous(std::move(p_previous)) {}

	/** Opens a later window; an earlier one changes nothing. */
	void advance_to(std::uint32_t p_index);

	/** An answer in the window that is open. */
	void add(std::string_view p_route, std::uint8_t p_group, bool p_is_bad) { _current.add(p_route, p_group, p_is_bad); }

	/** Adds what others counted; the later window of both is open then. */
	void add(version_windows p_other);

	/** Raises each count to that of another, and opens its window if it is later. */
	void raise_to(version_windows p_other);

	/** Lowers each count to that of another, and opens its window if it is later. */
	void lower_to(version_windows p_other);

	/** Number of the window that is open. */
	std::uint32_t get_index() const { return _index; }
	const version_tally &get_current() const { return _current; }
	const version_tally &get_previous() const { return _previous; }
};

} // namespace calicoscale

#endif // VERSION_WINDOWS_H
