/*
 * calicoscale: log_record.h
 * Records of the configuration stream, and their encoding on the log.
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

/** An operator's change: a complete document and the version that it is based on. */
struct change_record {
	std::string change_id; ///< Unique for each change, so that a repeated append is recognised.
	std::uint64_t base = 0; ///< Version that the document is based on; 0 means none.
	std::string author;
	unix_milliseconds written_at = 0;
	std::string document; ///< JSON text.
};

/** Result of folding the records below a position (see configuration_fold), appended again so that it isn't removed by the log's retention. */
struct checkpoint_record {
	std::uint64_t version = 0;
	std::uint64_t position = 0; ///< All records below this offset are applied.
	std::string change_id;
	unix_milliseconds written_at = 0;
	std::string document; ///< Empty for version 0.
};

using configuration_record = std::variant<change_record, checkpoint_record>;

std::string encode(const change_record &p_record);
std::string encode(const checkpoint_record &p_record);

/** Decodes a record; empty when it is malformed or larger than MAX_CONFIGURATION_BYTES plus its envelope. */
std::optional<configuration_record> decode_configuration_record(std::string_view p_bytes);

} // namespace calicoscale

#endif // LOG_RECORD_H
