/*
 * calicoscale: ledger_fold.cpp
 * Sums the ledger stream, counting each entry once.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/ledger/ledger_fold.h"

namespace calicoscale {

bool ledger_fold::_is_new(std::uint64_t p_incarnation, std::uint64_t p_sequence) {
	seen_sequences &seen = _seen[p_incarnation];
	if (p_sequence <= seen.all_up_to || !seen.beyond.insert(p_sequence).second) {
		return false;
	}
	while (!seen.beyond.empty() && *seen.beyond.begin() == seen.all_up_to + 1) {
		seen.all_up_to++;
		seen.beyond.erase(seen.beyond.begin());
	}
	return true;
}

void ledger_fold::take(std::string_view p_bytes) {
	const std::optional<ledger_entry> entry = decode_ledger_entry(p_bytes);
	if (!entry) {
		_malformed++;
		return;
	}
	if (!_is_new(entry->incarnation, entry->sequence)) {
		_repeated++;
		return;
	}
	_entries++;
	for (const auto &[key, sum] : entry->rows) {
		_totals[key].add(sum);
	}
}

} // namespace calicoscale
