/*
 * calicoscale: endpoint_record_filter.h
 * Which records of the endpoints' topic name an endpoint to use.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_RECORD_FILTER_H
#define ENDPOINT_RECORD_FILTER_H

#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/entry_fault.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace calicoscale {

/** A record as it was read: an entry, why it is none, or neither when the entry went. */
struct read_endpoint_record {
	std::string name;
	std::optional<std::variant<endpoint_listing, entry_fault>> entry;
};

/** A record that names no endpoint to use. */
struct rejected_entry {
	std::string name;
	entry_fault fault = entry_fault::UNREADABLE;
	bool was_in_use = false; ///< An endpoint of that name was known when the record was read.
};

/**
 * Keeps records of other writers away from the list of endpoints. A record that overwrites the entry of an endpoint in use
 * takes it out after HOLD, so that one spoilt record which the endpoint soon writes over costs nothing; only a state that is
 * not known takes it out at once, as it may say that the endpoint stops. An entry without its start is used only where no
 * more endpoints tell their start than do not: where most tell it, it was written by another.
 */
class endpoint_record_filter {
	std::map<std::string, instant> _held; ///< Endpoints in use whose entry was overwritten, by when that was read first.
	std::vector<rejected_entry> _rejected;

	/** Whether an endpoint in use stays so after its entry was overwritten. */
	bool _hold(const std::string &p_name, entry_fault p_fault, instant p_now);
	void _end_holds(const std::function<bool(const std::string &)> &p_is_known, instant p_now, std::vector<endpoint_record> &r_records);

public:
	/**
	 * The endpoint's own next record ends it. The topic is read each 0.9 s, so that a hold ends with the reading after the one
	 * that began it, within the two seconds after which an endpoint that leaves gets no new work.
	 */
	static constexpr duration HOLD = std::chrono::milliseconds(800);

	/**
	 * Records in the order of the topic, as the directory is to take them. To be called with each answer, also an empty one.
	 * @param p_known what the directory lists before it takes them.
	 */
	std::vector<endpoint_record> take(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now);

	/** Endpoints by the newest record of each key, as the directory is to take them. */
	std::vector<endpoint_listing> take_whole(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now);

	/** A peer told what it read: the entries that were written or went are not held any more. */
	void on_told(const endpoint_reading &p_reading);

	/** Records that were rejected since the last call. */
	std::vector<rejected_entry> take_rejected() { return std::exchange(_rejected, {}); }
};

} // namespace calicoscale

#endif // ENDPOINT_RECORD_FILTER_H
