/*
 * calicoscale: ledger_fold.h
 * Sums the ledger stream, counting each entry once.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LEDGER_FOLD_H
#define LEDGER_FOLD_H

#include "servers/ledger/cost_ledger.h"

#include <set>

namespace calicoscale {

/** Totals over the entries read so far. */
class ledger_fold {
	struct seen_sequences {
		std::uint64_t all_up_to = 0;
		std::set<std::uint64_t> beyond;
	};

	std::map<std::uint64_t, seen_sequences> _seen;
	cost_table _totals;
	std::uint64_t _entries = 0;
	std::uint64_t _repeated = 0;
	std::uint64_t _malformed = 0;

	bool _is_new(std::uint64_t p_incarnation, std::uint64_t p_sequence);

public:
	/** Takes in one record. */
	void take(std::string_view p_bytes);

	const cost_table &get_totals() const { return _totals; }
	std::uint64_t get_entry_count() const { return _entries; }
	std::uint64_t get_repeated_count() const { return _repeated; }
	std::uint64_t get_malformed_count() const { return _malformed; }
};

} // namespace calicoscale

#endif // LEDGER_FOLD_H
