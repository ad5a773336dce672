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

/** Sums up the records of the ledger stream. A repeated (incarnation, sequence) is counted once. */
class ledger_fold {
	/** Sequence numbers read of one incarnation. */
	struct seen_sequences {
		std::uint64_t all_up_to = 0; ///< All numbers from 1 up to this one were read.
		std::set<std::uint64_t> beyond; ///< Numbers read beyond the first gap.
	};

	std::map<std::uint64_t, seen_sequences> _seen; ///< By incarnation.
	cost_table _totals;
	std::uint64_t _entries = 0;
	std::uint64_t _repeated = 0;
	std::uint64_t _malformed = 0;

	bool _is_new(std::uint64_t p_incarnation, std::uint64_t p_sequence);

public:
	/** Adds one encoded record; counts repeated and malformed ones without adding them. */
	void take(std::string_view p_bytes);

	const cost_table &get_totals() const { return _totals; }
	std::uint64_t get_entry_count() const { return _entries; }
	std::uint64_t get_repeated_count() const { return _repeated; }
	std::uint64_t get_malformed_count() const { return _malformed; }
};

} // namespace calicoscale

#endif // LEDGER_FOLD_H
