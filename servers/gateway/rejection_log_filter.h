/*
 * calicoscale: rejection_log_filter.h
 * Selects the rejected records that are logged.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REJECTION_LOG_FILTER_H
#define REJECTION_LOG_FILTER_H

#include "core/token_bucket.h"
#include "servers/gateway/entry_fault.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace calicoscale {

/** Remembers the last logged fault of each key, so that a flood of invalid records fills neither the log nor the memory. */
class rejection_log_filter {
	std::map<std::string, entry_fault> _logged_faults;
	token_bucket _log_rate;
	std::uint64_t _suppressed = 0;

public:
	static constexpr double LOG_LINES_PER_SECOND = 1.0;
	static constexpr double LOG_LINES_BURST = 20.0;
	/** Maximum number of keys remembered. At the rate above, a key is logged again after some minutes of a flood at the earliest. */
	static constexpr std::size_t MAX_KEYS = 256;

	explicit rejection_log_filter(instant p_now) :
			_log_rate(LOG_LINES_PER_SECOND, LOG_LINES_BURST, p_now) {}

	/** Returns whether to log this rejection: it is the first of its key or has another fault than before, and the rate allows it. */
	bool is_new(const std::string &p_key, entry_fault p_fault, instant p_now);

	/** Returns the number of new rejections that the rate suppressed since the last call. */
	std::uint64_t take_suppressed() { return std::exchange(_suppressed, 0); }

	std::size_t get_size() const { return _logged_faults.size(); }
};

} // namespace calicoscale

#endif // REJECTION_LOG_FILTER_H
