/*
 * calicoscale: endpoint_record_filter.h
 * Filters out records of the endpoints' topic that don't describe a usable endpoint.
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

/** A record as it was read: an entry, the fault that makes it unusable, or neither when the entry was removed. */
struct read_endpoint_record {
	std::string name;
	std::optional<std::variant<endpoint_listing, entry_fault>> entry;
};

/** A record that doesn't describe a usable endpoint. */
struct rejected_entry {
	std::string name;
	entry_fault fault = entry_fault::UNREADABLE;
	bool was_in_use = false; ///< Whether an endpoint of that name was listed when the record was read.
};

/**
 * Keeps records of other writers out of the list of endpoints. When a faulty record overwrites the entry of an endpoint in
 * use, the endpoint is removed only after HOLD, so that a single faulty record which the endpoint soon overwrites has no effect.
 * Only an unknown state removes it at once, because it may mean that the endpoint is stopping. An entry without its start
 * (incarnation) is used unless more than half of the endpoints report theirs; in that case another writer wrote it.
 */
class endpoint_record_filter {
	std::map<std::string, instant> _overwritten_at; ///< Endpoints in use whose entry was overwritten, with the time when that was first read.
	std::vector<rejected_entry> _rejected;

	/** Returns whether an endpoint in use stays listed after its entry was overwritten. */
	bool _keep_listed(const std::string &p_name, entry_fault p_fault, instant p_now);
	void _expire_overwritten(const std::function<bool(const std::string &)> &p_is_known, instant p_now, std::vector<endpoint_record> &r_records);

public:
	/**
	 * How long an endpoint whose entry was overwritten stays listed, unless its own next record ends this time. The topic is read
	 * every 0.9 s, so it ends with the read after the one that started it. That is within the two seconds after which an endpoint
	 * that is leaving must get no new work.
	 */
	static constexpr duration HOLD = std::chrono::milliseconds(800);

	/**
	 * Returns the records that the directory is to apply, in the order of the topic. Call it with each answer, also an empty one.
	 * @param p_known entries of the directory before it applies them.
	 */
	std::vector<endpoint_record> take(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now);

	/** Returns the entries that the directory is to apply as a snapshot. @param p_records the newest record of each key. */
	std::vector<endpoint_listing> apply_snapshot(const std::vector<read_endpoint_record> &p_records, const std::vector<endpoint_listing> &p_known, instant p_now);

	/** Applies a peer's changes: stops keeping endpoints listed whose entry was written or removed. */
	void on_told(const endpoint_delta &p_delta);

	/** Returns the records rejected since the last call. */
	std::vector<rejected_entry> take_rejected() { return std::exchange(_rejected, {}); }
};

} // namespace calicoscale

#endif // ENDPOINT_RECORD_FILTER_H
