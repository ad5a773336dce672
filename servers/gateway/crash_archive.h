/*
 * calicoscale: crash_archive.h
 * Form in which what is known of a request that ends endpoints lasts in the store.
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

/** A moment on the node's time line and by the time of day, to turn one into the other. */
struct moment {
	instant at{};
	unix_milliseconds wall = 0;
};

/** Key of a request: 48 hexadecimal digits. */
std::string write_crash_key(const request_fingerprint &p_run);

/** "NEWS:SUBJECT:WALL_MS" for each record, by blanks. Times are by the time of day, as whoever reads them started later. */
std::string write_crash_value(const std::vector<crash_record> &p_records, const moment &p_now);

/**
 * Reads what the two wrote. What is malformed is left out: others may have written there. Times ahead of the reader's time of
 * day count as now.
 */
std::vector<crash_record> read_crash_records(std::string_view p_key, std::string_view p_value, const moment &p_now);

} // namespace calicoscale

#endif // CRASH_ARCHIVE_H
