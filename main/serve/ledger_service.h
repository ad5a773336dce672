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

/** Carries cost_ledger and ledger_fold. */
class ledger_service {
	node_context &_context;
	cost_ledger _ledger;
	ledger_fold _fold;
	std::uint64_t _position = 0;
	std::uint64_t _lost_records = 0; ///< Entries the log forgot before they were summed here.
	bool _is_appending = false;
	bool _platform_cut = false;
	std::size_t _fleet_size = 1;
	timer _flush_timer;

	duration _get_interval() const;
	void _flush();
	void _read_on(std::function<void(bool)> p_hook);

public:
	explicit ledger_service(node_context &p_context);

	/** Books one cost. */
	void book(const cost_key &p_key, const cost_sum &p_sum) { _ledger.book(p_key, p_sum); }

	/** Tells how many nodes share the log's rate of appends. */
	void set_fleet_size(std::size_t p_size) { _fleet_size = p_size; }

	/** Flushes now, as before a planned stop. */
	void flush_now() { _flush(); }

	/** Reads the ledger stream to its end; the hook tells whether the log answered. The totals are then current. */
	void sum(std::function<void(bool p_complete)> p_hook) { _read_on(std::move(p_hook)); }

	const ledger_fold &get_fold() const { return _fold; }
	bool owes() const { return _ledger.owes(); }
	std::size_t get_unflushed_rows() const { return _ledger.get_row_count(); }
	std::uint64_t get_lost_records() const { return _lost_records; }

	/** Cuts this node off from the platform, for failure tests. */
	void set_platform_cut(bool p_cut) { _platform_cut = p_cut; }
};

} // namespace calicoscale

#endif // LEDGER_SERVICE_H
