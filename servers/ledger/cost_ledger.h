/*
 * calicoscale: cost_ledger.h
 * What this node owes the ledger: costs summed up until an append is confirmed.
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

/** What costs are told apart by. */
struct cost_key {
	std::string customer;
	std::string pipeline;
	std::string stage;
	std::string pool;
	cost_use use = cost_use::USEFUL;
	auto operator<=>(const cost_key &p_other) const = default;
};

/** A sum of costs. Whole numbers, so that sums do not depend on their order. */
struct cost_sum {
	std::int64_t micro_units = 0; ///< Millionths of the endpoint's unit.
	std::int64_t micro_cost = 0; ///< Millionths of the currency unit.
	std::int64_t attempts = 0;
	void add(const cost_sum &p_other);
	bool operator==(const cost_sum &p_other) const = default;
};

/** Costs by key. */
using cost_table = std::map<cost_key, cost_sum>;

/** One record of the ledger stream. */
struct ledger_entry {
	std::uint64_t incarnation = 0;
	std::uint64_t sequence = 0;
	std::string vm;
	unix_milliseconds written_at = 0;
	cost_table rows;
};

/**
 * Gathers costs and hands out entries for appending, one at a time. An entry keeps its (incarnation, sequence) until
 * its append is confirmed, so it may be appended any number of times; the fold counts it once. While the log is down
 * new costs merge into the next entry, so memory is bounded by the number of keys.
 */
class cost_ledger {
	std::string _vm;
	std::uint64_t _incarnation;
	std::uint64_t _next_sequence = 1;
	cost_table _gathered;
	std::optional<ledger_entry> _sending;

public:
	cost_ledger(std::string p_vm, std::uint64_t p_incarnation);

	/** Books one cost. */
	void book(const cost_key &p_key, const cost_sum &p_sum);

	/** The entry to append now; the same one again until on_append_ended confirms it. Empty when nothing is owed. */
	const ledger_entry *get_entry(unix_milliseconds p_wall);

	/** The append of the entry ended. */
	void on_append_ended(append_result p_result);

	/** Whether anything is not yet confirmed. */
	bool owes() const { return _sending.has_value() || !_gathered.empty(); }

	/** Rows not yet confirmed. */
	std::size_t get_row_count() const;
};

/** Form of an entry on the log. */
std::string encode(const ledger_entry &p_entry);
/** Reads an entry; empty when malformed. */
std::optional<ledger_entry> decode_ledger_entry(std::string_view p_bytes);

} // namespace calicoscale

#endif // COST_LEDGER_H
