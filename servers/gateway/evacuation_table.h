/*
 * calicoscale: evacuation_table.h
 * Evacuated availability zones, according to the newest known read of the operator's records.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef EVACUATION_TABLE_H
#define EVACUATION_TABLE_H

#include "core/log_position.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** One record of the operator: starts or ends the evacuation of a zone. */
struct evacuation_record {
	std::string zone;
	bool is_evacuated = false;
	std::uint64_t offset = 0; ///< Offset of the record in the operator's log.
};

/** The evacuated zones as of a position in the operator's log, as nodes exchange them. */
struct evacuation_state {
	log_position known; ///< All records before it are included. Zero until something has been read.
	std::vector<std::string> zones; ///< Sorted.
};

/** A zone whose evacuation started or ended. */
struct evacuation_change {
	std::string zone;
	bool is_evacuated = false;
};

/**
 * Folds the operator's records. A state replaces another only if its position is later, so that a delayed read or an outdated
 * report of a peer never ends an evacuation. Only a later read ends one: a node that can't confirm its state for long keeps it,
 * because sending to a zone that is being evacuated does harm, while not using an available zone only costs capacity.
 *
 * A log that is restored from an older copy may lack evacuations that were confirmed. They stay in force for RETENTION_AFTER_RESTORE, in
 * which the operator can write them again.
 */
class evacuation_table {
	std::set<std::string> _zones; ///< Evacuated zones according to the log.
	std::map<std::string, instant> _retained; ///< Evacuations missing after a restore of the log, with the time until which they stay in force.
	std::set<std::string> _in_force; ///< As of the last call of take_changes().
	log_position _known;

	void _set(const log_position &p_known, std::set<std::string> p_zones, instant p_now);

public:
	/** Operators and endpoints write records missing from the copy again within a few seconds. */
	static constexpr duration RETENTION_AFTER_RESTORE = std::chrono::seconds(10);

	/**
	 * Applies consecutive records of the log; skips those that this node knows already. Ignores records of another era than the
	 * known one; only apply_snapshot() and apply_update() start a new era.
	 */
	void apply_records(const std::vector<evacuation_record> &p_records, std::uint64_t p_era);

	/** Applies a snapshot: all zones that are evacuated as of a position. */
	void apply_snapshot(const std::vector<std::string> &p_zones, const log_position &p_known, instant p_now);

	/** Applies a peer's state. Returns whether it was newer. */
	bool apply_update(const evacuation_state &p_state, instant p_now);

	/** Ends evacuations that were kept in force for RETENTION_AFTER_RESTORE. */
	void tick(instant p_now);

	/** Returns the zones that must get no new requests now. */
	std::set<std::string> get_zones() const;

	/** Returns the state to report to peers: the state of the log, without evacuations that are only kept in force. */
	evacuation_state get_state() const;

	/** Returns the next time at which a kept evacuation ends; empty when there is none. */
	std::optional<instant> get_next_end() const;

	/** Returns the changes since the last call. */
	std::vector<evacuation_change> take_changes();
};

} // namespace calicoscale

#endif // EVACUATION_TABLE_H
