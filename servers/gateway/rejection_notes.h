/*
 * calicoscale: rejection_notes.h
 * Which rejected records are worth a line of the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REJECTION_NOTES_H
#define REJECTION_NOTES_H

#include "core/token_bucket.h"
#include "servers/gateway/entry_fault.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace calicoscale {

/** Remembers what was told of which key, so that a flood of spoilt records fills neither the log nor the memory. */
class rejection_notes {
	std::map<std::string, entry_fault> _told;
	token_bucket _lines;
	std::uint64_t _untold = 0;

public:
	static constexpr double LINES_PER_SECOND = 1.0;
	static constexpr double LINES_BURST = 20.0;
	/** Keys remembered; with the rate of lines a key is told again after some minutes of a flood at the earliest. */
	static constexpr std::size_t MOST_KEYS = 256;

	explicit rejection_notes(instant p_now) :
			_lines(LINES_PER_SECOND, LINES_BURST, p_now) {}

	/** Whether this rejection is to be told: the first of its key, or another fault than before. */
	bool is_news(const std::string &p_key, entry_fault p_fault, instant p_now);

	/** Rejections that were news and found no line since the last call. */
	std::uint64_t take_untold() { return std::exchange(_untold, 0); }

	std::size_t get_size() const { return _told.size(); }
};

} // namespace calicoscale

#endif // REJECTION_NOTES_H
