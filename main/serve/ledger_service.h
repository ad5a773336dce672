/*
 * calicoscale: ledger_service.h
 * Writes this node's costs to the log and sums everybody's on demand.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LEDGER_SERVICE_H
#define LEDGER_SERVICE_H

#include "main/serve/node_context.h"
#include "servers/ledger/ledger_fold.h"

#include <functional>

namespace calicoscale {

/** Appends this node's costs from cost_ledger to the log and sums the costs of all nodes with ledger_fold. */
class ledger_service {
	node_context &_context;
	cost_ledger _ledger;
	ledger_fold _fold;
	std::uint64_t _position = 0;
	std::uint64_t _lost_records = 0; ///< Entries that the log dropped before this node had read them.
	bool _is_appending = false;
	bool _platform_cut = false;
	std::size_t _fleet_size = 1;
	timer _flush_timer;

	duration _get_interval() const;
	void _flush();
	void _read_to_end(std::function<void(bool)> p_hook);

public:
	explicit ledger_service(node_context &p_context);

	/** Adds a cost to the rows that a later flush writes. */
	void book(const cost_key &p_key, const cost_sum &p_sum) { _ledger.book(p_key, p_sum); }

	/** Sets the number of nodes that share FLEET_APPENDS_PER_SECOND. */
	void set_fleet_size(std::size_t p_size) { _fleet_size = p_size; }

	/** Flushes immediately, e.g. before a planned stop. Does nothing while an append is in progress. */
	void flush_now() { _flush(); }

	/** Reads the ledger stream to its end and calls the hook with true, or with false if the log didn't answer. After true, the totals are current. */
	void sum(std::function<void(bool p_complete)> p_hook) { _read_to_end(std::move(p_hook)); }

	const ledger_fold &get_fold() const { return _fold; }
	bool owes() const { return _ledger.owes(); }
	std::size_t get_unflushed_rows() const { return _ledger.get_row_count(); }
	std::uint64_t get_lost_records() const { return _lost_records; }

	/** Simulates loss of the platform's log for failure tests: while set, the log is neither read nor appended to. */
	void set_platform_cut(bool p_cut) { _platform_cut = p_cut; }
};

} // namespace calicoscale

#endif // LEDGER_SERVICE_H
