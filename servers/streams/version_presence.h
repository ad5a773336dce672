/*
 * calicoscale: version_presence.h
 * Which software versions a service has had in the recent past.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_PRESENCE_H
#define VERSION_PRESENCE_H

#include "core/time.h"
#include "servers/routing/endpoint_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Remembers when endpoints of each version of a service were last listed. A version that was not listed for longer than a stream can
 * exist began none that can still be resumed. The caller passes the current time.
 */
class version_presence {
	using last_listed = std::map<std::string, instant>; ///< When an endpoint was last listed, by version.

	std::map<std::string, last_listed> _services;
	std::vector<endpoint_listing> _listings; ///< The current list.
	std::optional<instant> _confirmed_at;
	instant _known_since{}; ///< Since when the list has been confirmed without a gap.

	void _note_listed(instant p_now);

public:
	/** A version may come and go unnoticed while the list isn't confirmed for longer than this. */
	static constexpr duration MAX_GAP = std::chrono::seconds(10);
	/** Versions that were last listed before this are forgotten, and no stream that may be older is judged. */
	static constexpr duration MAX_MEMORY = std::chrono::minutes(15);

	/** Applies the list of all endpoints, including those that are leaving. */
	void set_listings(const std::vector<endpoint_listing> &p_listings, instant p_now);

	/** Records that the list was confirmed. Call it often while the store answers. */
	void on_confirmed(instant p_now);

	/** Returns the versions that were listed within the last p_age; empty if the list isn't known for so long. */
	std::optional<std::set<std::string>> find_recent(const std::string &p_service, duration p_age, instant p_now) const;
};

} // namespace calicoscale

#endif // VERSION_PRESENCE_H
