/*
 * calicoscale: store_traffic.h
 * Counts the calls of a node to the store by topic and reason.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STORE_TRAFFIC_H
#define STORE_TRAFFIC_H

#include "core/time.h"
#include "servers/gateway/read_reason.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace calicoscale {

/** Sums over the calls of one topic and reason. */
struct store_traffic_sum {
	std::uint64_t calls = 0;
	std::uint64_t answered = 0; ///< Answered with success.
	std::uint64_t refused = 0; ///< Answered with an error.
	std::uint64_t unanswered = 0; ///< Timed out, or the connection broke.
	std::uint64_t bytes = 0; ///< Bytes of answers.
	std::uint64_t unused_bytes = 0; ///< Bytes of answers that were discarded, e.g. because a later read was answered first.
	duration longest{}; ///< Time of the longest call.
};

/** Counts the calls of a node to the store between two reports. */
class store_traffic {
public:
	/** Topic and reason of a call. */
	using key = std::pair<std::string, read_reason>;

private:
	std::map<key, store_traffic_sum> _sums;

public:
	/**
	 * Counts a call that has ended.
	 * @param p_status HTTP status; 0 when there was no answer.
	 * @param p_bytes size of the answer's body, complete or not.
	 */
	void add_call(const std::string &p_topic, read_reason p_reason, int p_status, std::size_t p_bytes, duration p_took);

	/** Counts bytes of answers that were discarded. */
	void add_unused(const std::string &p_topic, read_reason p_reason, std::size_t p_bytes);

	/** Returns the sums since the last call; topics and reasons without calls are absent. */
	std::map<key, store_traffic_sum> take() { return std::exchange(_sums, {}); }
};

} // namespace calicoscale

#endif // STORE_TRAFFIC_H
