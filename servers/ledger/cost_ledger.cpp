/*
 * calicoscale: cost_ledger.cpp
 * Sums up the costs of this node until their append to the ledger is confirmed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/ledger/cost_ledger.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t MAX_ENTRY_BYTES = 4 * 1024 * 1024;

} // namespace

void cost_sum::add(const cost_sum &p_other) {
	micro_units += p_other.micro_units;
	micro_cost += p_other.micro_cost;
	attempts += p_other.attempts;
}

cost_ledger::cost_ledger(std::string p_vm, std::uint64_t p_incarnation) :
		_vm(std::move(p_vm)), _incarnation(p_incarnation) {
}

void cost_ledger::book(const cost_key &p_key, const cost_sum &p_sum) {
	_unsent[p_key].add(p_sum);
}

const ledger_entry *cost_ledger::get_entry(unix_milliseconds p_wall) {
	if (!_sending && !_unsent.empty()) {
		_sending = ledger_entry{ _incarnation, _next_sequence++, _vm, p_wall, std::move(_unsent) };
		_unsent.clear();
	}
	return _sending ? &*_sending : nullptr;
}

void cost_ledger::on_append_ended(append_result p_result) {
	if (p_result == append_result::DONE) {
		_sending.reset();
	}
}

std::size_t cost_ledger::get_row_count() const {
	return _unsent.size() + (_sending ? _sending->rows.size() : 0);
}

std::string encode(const ledger_entry &p_entry) {
	json rows = json::array();
	for (const auto &[key, sum] : p_entry.rows) {
		rows.push_back({ key.customer, key.pipeline, key.stage, key.pool, std::string(get_name(key.use)), sum.micro_units, sum.micro_cost, sum.attempts });
	}
	json record;
	record["incarnation"] = p_entry.incarnation;
	record["sequence"] = p_entry.sequence;
	record["vm"] = p_entry.vm;
	record["written_at"] = p_entry.written_at;
	record["rows"] = std::move(rows);
	return record.dump();
}

std::optional<ledger_entry> decode_ledger_entry(std::string_view p_bytes) {
	if (p_bytes.size() > MAX_ENTRY_BYTES) {
		return std::nullopt;
	}
	const json record = json::parse(p_bytes, nullptr, false);
	if (!record.is_object()) {
		return std::nullopt;
	}
	try {
		ledger_entry entry;
		entry.incarnation = record.at("incarnation").get<std::uint64_t>();
		entry.sequence = record.at("sequence").get<std::uint64_t>();
		entry.vm = record.at("vm").get<std::string>();
		entry.written_at = record.at("written_at").get<unix_milliseconds>();
		for (const json &row : record.at("rows")) {
			cost_key key;
			key.customer = row.at(0).get<std::string>();
			key.pipeline = row.at(1).get<std::string>();
			key.stage = row.at(2).get<std::string>();
			key.pool = row.at(3).get<std::string>();
			key.use = find_cost_use(row.at(4).get<std::string>());
			const cost_sum sum{ row.at(5).get<std::int64_t>(), row.at(6).get<std::int64_t>(), row.at(7).get<std::int64_t>() };
			entry.rows[key].add(sum);
		}
		return entry;
	} catch (const json::exception &) {
		return std::nullopt;
	}
}

} // namespace calicoscale
