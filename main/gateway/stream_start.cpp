/*
 * calicoscale: stream_start.cpp
 * Records which version began a stream, for nodes at which the caller may resume it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/stream_start.h"

#include <set>

namespace calicoscale {

namespace {

/** Time after the caller's deadline for which the record of its stream is kept. */
constexpr duration RECORD_GRACE = std::chrono::seconds(1);

} // namespace

void record_stream_start(request_services &p_services, const admitted_request &p_request, const endpoint_identity &p_endpoint, instant p_deadline) {
	const std::string customer = p_request.customer == nullptr ? std::string() : p_request.customer->name;
	stream_record record;
	record.customer = get_customer_code(customer);
	record.origin = stream_origin{ p_request.service, p_request.stream_version.value_or("") };
	record.expires_at = p_deadline + RECORD_GRACE;
	std::size_t nodes = 0;
	// A caller names the attempt that began the stream each time it resumes it, so that record must outlive this attempt.
	for (const std::string &attempt : std::set<std::string>{ p_request.stream_attempt, p_request.facts.attempt }) {
		record.key = make_stream_key(customer, attempt);
		nodes = p_services.streams.publish(record);
	}
	p_services.context.metrics.count("streams_begun");
	p_services.context.log.write_request(log_line("stream_begun").add("request", p_request.facts.attempt).add("stream", p_request.stream_attempt).add("service", p_request.service).add("endpoint", p_endpoint.vm).add("endpoint_version", record.origin.version).add("holders", static_cast<long long>(nodes)));
}

} // namespace calicoscale
