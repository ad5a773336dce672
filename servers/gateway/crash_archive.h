/*
 * calicoscale: crash_archive.h
 * Text format of the crash records of a request in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_ARCHIVE_H
#define CRASH_ARCHIVE_H

#include "servers/gateway/crash_memory.h"

#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** The same moment on the node's monotonic clock and as wall-clock time, to convert one into the other. */
struct moment {
	instant at{};
	unix_milliseconds wall = 0;
};

/** Returns the key of a request: 48 hexadecimal digits. */
std::string write_crash_key(const request_fingerprint &p_run);

/**
 * Returns "NEWS:SUBJECT:WALL_MS" for each record, separated by blanks. Times are wall-clock times, because a reader that started
 * later has another monotonic clock.
 */
std::string write_crash_value(const std::vector<crash_record> &p_records, const moment &p_now);

/**
 * Parses a key and a value written by the functions above. Skips malformed records, because other writers may use the same topic.
 * Times later than the reader's wall clock count as now.
 */
std::vector<crash_record> read_crash_records(std::string_view p_key, std::string_view p_value, const moment &p_now);

} // namespace calicoscale

#endif // CRASH_ARCHIVE_H
