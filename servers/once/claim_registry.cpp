/*
 * calicoscale: claim_registry.cpp
 * Claims of callers' idempotency keys on the log; the claim at the lowest offset wins.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/once/claim_registry.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t MAX_BATCH_BYTES = 256 * 1024;
/** A key's creation time may be this far in the future, in milliseconds; clocks of nodes may differ by as much. */
constexpr unix_milliseconds MAX_CLOCK_SKEW_MS = 30'000;

once_answer refuse(reason p_reason, verdict p_verdict = verdict::NOT_RUN) {
	once_answer answer;
	answer.step = once_step::REFUSE;
	answer.refusal = outcome{ p_verdict, p_reason };
	return answer;
}

unix_milliseconds to_unix(duration p_value) {
	return std::chrono::duration_cast<std::chrono::milliseconds>(p_value).count();
}

} // namespace

claim_registry::claim_registry(std::string p_vm, std::uint64_t p_incarnation, duration p_key_age, std::size_t p_capacity) :
		_vm(std::move(p_vm)), _incarnation(p_incarnation), _key_age(p_key_age), _capacity(p_capacity) {
}

std::string claim_registry::_make_key_id(const std::string &p_customer, const std::string &p_key_hash) {
	return p_customer + "\n" + p_key_hash;
}

once_answer claim_registry::submit(const std::string &p_customer, const std::string &p_key, unix_milliseconds p_wall, std::uint64_t &r_claim) {
	const std::optional<claimed_key> parsed = parse_claimed_key(p_key);
	if (!parsed) {
		return refuse(reason::KEY_MALFORMED);
	}
	const std::string key_hash = sha256_hex(p_key);
	const std::string key_id = _make_key_id(p_customer, key_hash);
	once_answer answer;
	const auto known = _known.find(key_id);
	if (known != _known.end()) {
		const known_claim &winner = known->second;
		const bool is_own = winner.vm == _vm && winner.incarnation == _incarnation;
		if (!is_own) {
			answer.step = once_step::PASS_ON;
			answer.owner_vm = winner.vm;
			answer.owner_incarnation = winner.incarnation;
			return answer;
		}
		if (winner.done) {
			answer.step = once_step::REPLAY;
			answer.kept = winner.outcome;
			return answer;
		}
		const auto own = _own.find(winner.claim);
		if (own != _own.end() && own->second.current == state::RUNNING) {
			answer.step = once_step::WAIT;
			return answer;
		}
		if (parsed->made_at <= _complete_from) {
			// Records were removed from the log before this node read them, and an earlier claim of the key may be among
			// them. Being the first of the claims that were read proves nothing.
			return refuse(reason::CLAIM_UNAVAILABLE, verdict::MAY_HAVE_RUN);
		}
		// This node owns the key, and the winning claim did not run: it was abandoned, or its request ended without
		// running. This submission may run it.
		_own[winner.claim] = own_claim{ key_id, claim_entry{ p_customer, key_hash, parsed->made_at, winner.claim }, state::RUNNING, true };
		r_claim = winner.claim;
		answer.step = once_step::RUN;
		return answer;
	}
	if (_claiming.contains(key_id)) {
		answer.step = once_step::WAIT;
		return answer;
	}
	const unix_milliseconds age = to_unix(_key_age);
	if (parsed->made_at < p_wall - age) {
		// The key may have been claimed earlier and its claim removed since.
		return refuse(reason::KEY_EXPIRED, verdict::MAY_HAVE_RUN);
	}
	if (parsed->made_at > p_wall + MAX_CLOCK_SKEW_MS) {
		return refuse(reason::KEY_MALFORMED);
	}
	// Until the stream has been read back to the creation time of the key, a competing claim could be missed.
	if (!_has_read_to_end || parsed->made_at <= _complete_from || _known.size() + _own.size() >= _capacity) {
		return refuse(reason::CLAIM_UNAVAILABLE);
	}
	r_claim = _next_claim++;
	_own[r_claim] = own_claim{ key_id, claim_entry{ p_customer, key_hash, parsed->made_at, r_claim }, state::CLAIMING, false };
	_claiming[key_id] = r_claim;
	_unsent.push_back(r_claim);
	answer.step = once_step::CLAIM;
	return answer;
}

std::optional<claim_batch> claim_registry::take_batch() {
	claim_batch batch;
	batch.vm = _vm;
	batch.incarnation = _incarnation;
	for (const std::uint64_t claim : _unsent) {
		const auto own = _own.find(claim);
		if (own == _own.end()) {
			continue;
		}
		own->second.sent = true;
		batch.claims.push_back(own->second.entry);
	}
	_unsent.clear();
	if (batch.claims.empty()) {
		return std::nullopt;
	}
	return batch;
}

std::vector<settled_claim> claim_registry::on_append_ended(const claim_batch &p_batch, append_result p_result) {
	std::vector<settled_claim> settled;
	if (p_result != append_result::NOT_DONE) {
		return settled;
	}
	for (const claim_entry &entry : p_batch.claims) {
		const auto own = _own.find(entry.claim);
		if (own == _own.end() || own->second.current != state::CLAIMING) {
			continue;
		}
		settled.push_back(settled_claim{ entry.claim, refuse(reason::CLAIM_UNAVAILABLE) });
		_claiming.erase(own->second.key_id);
		_own.erase(own);
	}
	return settled;
}

void claim_registry::_apply_claim(const claim_batch &p_batch, const claim_entry &p_entry, std::vector<settled_claim> &r_settled) {
	const std::string key_id = _make_key_id(p_entry.customer, p_entry.key_hash);
	const auto [winner, is_first] = _known.try_emplace(key_id, known_claim{ p_batch.vm, p_batch.incarnation, p_entry.claim, p_entry.made_at, false, {} });
	const auto claiming = _claiming.find(key_id);
	if (claiming == _claiming.end()) {
		return;
	}
	// A claim of this node is open for this key; the key now has a winner, so the claim is settled.
	const std::uint64_t claim = claiming->second;
	const known_claim &known = winner->second;
	_claiming.erase(claiming);
	settled_claim result;
	result.claim = claim;
	const bool is_own = known.vm == _vm && known.incarnation == _incarnation;
	if (is_own) {
		// The winner may be an earlier, abandoned claim of this node. It never ran, so it counts as the current claim.
		winner->second.claim = claim;
		_own[claim].current = state::RUNNING;
		result.answer.step = once_step::RUN;
	} else {
		_own.erase(claim);
		result.answer.step = once_step::PASS_ON;
		result.answer.owner_vm = known.vm;
		result.answer.owner_incarnation = known.incarnation;
	}
	r_settled.push_back(result);
}

void claim_registry::_refuse_claiming(std::vector<settled_claim> &r_settled) {
	for (const auto &[key_id, claim] : _claiming) {
		r_settled.push_back(settled_claim{ claim, refuse(reason::CLAIM_UNAVAILABLE, verdict::MAY_HAVE_RUN) });
		_own.erase(claim);
	}
	_claiming.clear();
}

std::vector<settled_claim> claim_registry::take_read(std::uint64_t p_earliest, const std::vector<std::optional<claim_batch>> &p_batches, std::uint64_t p_next, bool p_at_end, unix_milliseconds p_wall) {
	std::vector<settled_claim> settled;
	if (p_earliest > _position) {
		// The log removed records before this node read them. Keys that may have been claimed in them are refused until
		// they are too old. The time of the first remaining record is no bound: a delayed append may carry older keys
		// than the records removed before it.
		_complete_from = p_wall + MAX_CLOCK_SKEW_MS;
		_refuse_claiming(settled);
	}
	for (const std::optional<claim_batch> &batch : p_batches) {
		if (!batch) {
			continue;
		}
		for (const claim_entry &entry : batch->claims) {
			_apply_claim(*batch, entry, settled);
		}
	}
	_position = std::max(_position, p_next);
	_has_read_to_end = _has_read_to_end || p_at_end;
	return settled;
}

void claim_registry::give_up(std::uint64_t p_claim) {
	const auto own = _own.find(p_claim);
	if (own == _own.end()) {
		return;
	}
	_claiming.erase(own->second.key_id);
	_own.erase(own);
}

void claim_registry::on_done(std::uint64_t p_claim, bool p_may_have_run, kept_outcome p_outcome) {
	const auto own = _own.find(p_claim);
	if (own == _own.end()) {
		return;
	}
	const auto known = _known.find(own->second.key_id);
	if (known != _known.end() && p_may_have_run) {
		known->second.done = true;
		known->second.outcome = std::move(p_outcome);
	}
	_own.erase(own);
}

void claim_registry::expire(unix_milliseconds p_wall) {
	// Twice the maximum age, so that a key that a caller's clock dated into the future still finds its first claim.
	const unix_milliseconds oldest = p_wall - 2 * to_unix(_key_age);
	std::erase_if(_known, [oldest](const auto &p_entry) { return p_entry.second.made_at < oldest; });
}

std::string encode(const claim_batch &p_batch) {
	json claims = json::array();
	for (const claim_entry &entry : p_batch.claims) {
		claims.push_back({ entry.customer, entry.key_hash, entry.made_at, entry.claim });
	}
	return json({ { "vm", p_batch.vm }, { "incarnation", p_batch.incarnation }, { "claims", claims } }).dump();
}

std::optional<claim_batch> decode_claim_batch(std::string_view p_bytes) {
	if (p_bytes.size() > MAX_BATCH_BYTES) {
		return std::nullopt;
	}
	const json record = json::parse(p_bytes, nullptr, false);
	if (!record.is_object()) {
		return std::nullopt;
	}
	try {
		claim_batch batch;
		batch.vm = record.at("vm").get<std::string>();
		batch.incarnation = record.at("incarnation").get<std::uint64_t>();
		for (const json &row : record.at("claims")) {
			claim_entry entry;
			entry.customer = row.at(0).get<std::string>();
			entry.key_hash = row.at(1).get<std::string>();
			entry.made_at = row.at(2).get<unix_milliseconds>();
			entry.claim = row.at(3).get<std::uint64_t>();
			batch.claims.push_back(std::move(entry));
		}
		return batch;
	} catch (const json::exception &) {
		return std::nullopt;
	}
}

} // namespace calicoscale
