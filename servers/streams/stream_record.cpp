/*
 * calicoscale: stream_record.cpp
 * Which software version of a service began a stream.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/stream_record.h"

namespace calicoscale {

stream_key make_stream_key(std::string_view p_customer, std::string_view p_attempt) {
	field_digest digest;
	digest.add(p_customer);
	digest.add(p_attempt);
	return stream_key{ digest.finish() };
}

} // namespace calicoscale
