/*
 * calicoscale: platform_log.h
 * The platform's append-only log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PLATFORM_LOG_H
#define PLATFORM_LOG_H

#include "drivers/http_client.h"
#include "servers/configuration/change_publisher.h"
#include "servers/configuration/configuration_fold.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Streams that this system stores in the log. */
enum class log_stream {
	CONFIGURATION,
	CLAIMS,
	LEDGER,
};

/** Returns the name of a stream in the log, e.g. "configuration". */
std::string_view get_name(log_stream p_stream);

/** One read of a stream. */
struct log_read {
	std::uint64_t earliest = 0; ///< First offset that the log still stores.
	std::uint64_t next = 0; ///< Offset of the next append, as far as known.
	std::vector<log_entry> entries;
};

/** Client of the log service, whose interface docs/PLATFORM.md gives. */
class platform_log {
	http_client &_client;
	network_address _address;

public:
	platform_log(http_client &p_client, network_address p_address);

	/** Appends a record; the hook is called once. */
	void append(log_stream p_stream, const std::string &p_bytes, duration p_timeout, std::function<void(append_result p_result, std::uint64_t p_offset)> p_hook);

	/** Reads records from an offset on; the hook receives an empty value unless the log sent a complete answer. */
	void read(log_stream p_stream, std::uint64_t p_from, std::size_t p_most, std::function<void(const std::optional<log_read> &p_read)> p_hook);

	const network_address &get_address() const { return _address; }
};

} // namespace calicoscale

#endif // PLATFORM_LOG_H
