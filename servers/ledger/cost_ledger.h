/*
 * calicoscale: cost_ledger.h
 * Sums up the costs of this node until their append to the ledger is confirmed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COST_LEDGER_H
#define COST_LEDGER_H

#include "servers/configuration/change_publisher.h"
#include "servers/request/request_action.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Properties by which costs are broken down. */
struct cost_key {
	std::string customer;
	std::string pipeline;
	std::string stage;
	std::string pool;
	cost_use use = cost_use::USEFUL;
	auto operator<=>(const cost_key &p_other) const = default;
};

/** A sum of costs, in integers so that it doesn't depend on the order of addition. */
struct cost_sum {
	std::int64_t micro_units = 0; ///< Millionths of the endpoint's unit.
	std::int64_t micro_cost = 0; ///< Millionths of the currency unit.
	std::int64_t attempts = 0;
	void add(const cost_sum &p_other);
	bool operator==(const cost_sum &p_other) const = default;
};

using cost_table = std::map<cost_key, cost_sum>;

/** One record of the ledger stream, identified by (incarnation, sequence). */
struct ledger_entry {
	std::uint64_t incarnation = 0;
	std::uint64_t sequence = 0;
	std::string vm;
	unix_milliseconds written_at = 0;
	cost_table rows;
};

/**
 * Accumulates costs and returns entries to append to the ledger, one at a time. An entry keeps its (incarnation, sequence) until its
 * append is confirmed, so that it may be appended any number of times while ledger_fold counts it once. While the log is unavailable,
 * new costs are added to the next entry, so that memory is bounded by the number of keys.
 */
class cost_ledger {
	std::string _vm;
	std::uint64_t _incarnation;
	std::uint64_t _next_sequence = 1;
	cost_table _unsent;
	std::optional<ledger_entry> _sending;

public:
	cost_ledger(std::string p_vm, std::uint64_t p_incarnation);

	/** Adds a cost. */
	void book(const cost_key &p_key, const cost_sum &p_sum);

	/** Returns the entry to append now: the same one until on_append_ended() confirms it. nullptr when there is nothing to append. @param p_wall time written into a new entry. */
	const ledger_entry *get_entry(unix_milliseconds p_wall);

	/** Records the result of an append; any result but DONE leaves the entry to be appended again. */
	void on_append_ended(append_result p_result);

	/** Whether there are costs whose append is not confirmed yet. */
	bool owes() const { return _sending.has_value() || !_unsent.empty(); }

	/** Number of rows whose append is not confirmed yet. */
	std::size_t get_row_count() const;
};

/** Encodes an entry as JSON, as stored in the log. */
std::string encode(const ledger_entry &p_entry);
/** Decodes an entry; empty when malformed or larger than 4 MiB. */
std::optional<ledger_entry> decode_ledger_entry(std::string_view p_bytes);

} // namespace calicoscale

#endif // COST_LEDGER_H
