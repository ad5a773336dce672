/*
 * calicoscale: stream_table.h
 * Records of streams that callers may still resume.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_TABLE_H
#define STREAM_TABLE_H

#include "servers/streams/stream_record.h"

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace calicoscale {

/**
 * Stores records by key until they expire. A lookup costs O(log n). Memory is bounded: a customer with too many records loses those
 * that expire first, and if the table is full, the customer with the most records does. The caller passes the current time.
 */
class stream_table {
	struct entry {
		stream_record record;
		bool is_contradicted = false; ///< Two records of the key name different origins.
	};

	using expiry_order = std::set<std::pair<instant, stream_key>>;

	std::map<stream_key, entry> _entries;
	std::unordered_map<std::uint32_t, expiry_order> _by_customer;
	std::uint64_t _dropped = 0;

	void _insert(const stream_record &p_record);
	void _extend(entry &r_entry, instant p_expires_at);
	void _erase(const stream_key &p_key);
	void _drop_first(std::uint32_t p_customer);
	std::uint32_t _find_largest_customer() const;

public:
	static constexpr std::size_t MAX_RECORDS = 32'768;
	static constexpr std::size_t MAX_RECORDS_PER_CUSTOMER = 8'192;
	/** Bounds lifetimes, which callers choose by their deadlines. */
	static constexpr duration MAX_LIFETIME = std::chrono::minutes(10);

	/**
	 * Stores a record, or extends the lifetime of a known one. If it contradicts the known one, the stream's origin counts as
	 * unknown until both have expired. Returns whether the record was unknown.
	 */
	bool take(const stream_record &p_record, instant p_now);

	/** Returns the record of a stream; nullptr if it is unknown, expired or contradicted. */
	const stream_record *find(const stream_key &p_key, instant p_now) const;

	/** Removes expired records. */
	void expire(instant p_now);

	std::size_t get_size() const { return _entries.size(); }

	/** Returns the number of records that were dropped before they expired. */
	std::uint64_t get_dropped() const { return _dropped; }
};

} // namespace calicoscale

#endif // STREAM_TABLE_H
