/*
 * calicoscale: stream_record.h
 * Which software version of a service began a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_RECORD_H
#define STREAM_RECORD_H

#include "core/digest.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace calicoscale {

/** Identifies a stream in the whole fleet, by its customer and the attempt that brought its first event. */
struct stream_key {
	half_digest digest;
	auto operator<=>(const stream_key &p_other) const = default;
};

/** Returns the key of the stream that an attempt of a customer began. @param p_customer empty on public routes. */
stream_key make_stream_key(std::string_view p_customer, std::string_view p_attempt);

/** What began a stream. It may be continued only by endpoints of the same service and version. */
struct stream_origin {
	std::string service;
	std::string version; ///< Of the endpoint's software; empty if the endpoint does not report it.
	auto operator<=>(const stream_origin &p_other) const = default;
};

/** Record of a stream that has begun. The origin of a stream never changes. */
struct stream_record {
	stream_key key;
	std::uint32_t customer = 0; ///< Code of the customer, by which records are counted; see get_customer_code().
	stream_origin origin;
	instant expires_at{}; ///< No caller resumes the stream later than this.
};

} // namespace calicoscale

#endif // STREAM_RECORD_H
