/*
 * calicoscale: log_position.h
 * A position in a log that may be restored from an older copy.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOG_POSITION_H
#define LOG_POSITION_H

#include <compare>
#include <cstdint>

namespace calicoscale {

/**
 * An offset and its era. The era is the generation of the log and rises each time the log is restored from an older copy. After a
 * restore the offsets behind the end of the copy are assigned again, so that an offset alone would identify different records.
 */
struct log_position {
	std::uint64_t era = 0; ///< 0 for a log that reports no era.
	std::uint64_t offset = 0; ///< Offset of the next record to be read.
	auto operator<=>(const log_position &p_other) const = default;
};

} // namespace calicoscale

#endif // LOG_POSITION_H
