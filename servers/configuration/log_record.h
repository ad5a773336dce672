/*
 * calicoscale: log_record.h
 * Records of the configuration stream, and their form on the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOG_RECORD_H
#define LOG_RECORD_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace calicoscale {

/** An operator's change: a whole document and the version it was built on. */
struct change_record {
	std::string change_id; ///< Unique for each change, so that a repeated append is recognised.
	std::uint64_t base = 0; ///< Version the document was built on; 0 means none.
	std::string author;
	unix_milliseconds written_at = 0;
	std::string document; ///< JSON text.
};

/** The state of the fold, written again so that it outlives the log's retention. */
struct checkpoint_record {
	std::uint64_t version = 0;
	std::uint64_t position = 0; ///< Every record below this offset is taken into account.
	std::string change_id;
	unix_milliseconds written_at = 0;
	std::string document; ///< Empty for version 0.
};

using configuration_record = std::variant<change_record, checkpoint_record>;

/** Form of a change on the log. */
std::string encode(const change_record &p_record);
/** Form of a checkpoint on the log. */
std::string encode(const checkpoint_record &p_record);

/** Reads a record; empty when it is malformed or over LARGEST_CONFIGURATION plus its envelope. */
std::optional<configuration_record> decode_configuration_record(std::string_view p_bytes);

} // namespace calicoscale

#endif // LOG_RECORD_H
