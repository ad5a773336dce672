/*
 * calicoscale: engine_view.cpp
 * Estimates of each engine's prompt cache and of the prompts it still has to read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/engine_view.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

/** Initial estimate of the prompt tokens an engine reads in a millisecond; the order of magnitude of large models on current accelerators. */
constexpr double INITIAL_TOKENS_PER_MS = 50.0;
constexpr double MIN_TOKENS_PER_MS = 1.0;
constexpr double MAX_TOKENS_PER_MS = 10000.0;
/** Time from sending to the first event when there is nothing to read. */
constexpr duration BASE_TIME = std::chrono::milliseconds(20);
/** For shorter prompts the reading time is too small a part of the measured time to estimate the speed. */
constexpr std::uint64_t MIN_TOKENS_FOR_ESTIMATE = 2000;
constexpr double SPEED_STEP = 0.1;
constexpr double SLOWNESS_STEP = 0.3;
constexpr double MAX_SLOWNESS = 30.0;
constexpr duration SLOWNESS_DECAY_TIME = std::chrono::seconds(6);
/** An engine evicts the least recently used parts; one that was not used for two minutes may have been evicted. */
constexpr duration PART_LIFETIME = std::chrono::seconds(120);
constexpr std::size_t MAX_USES = 50000;
/** Reading shared tokens again has an extra cost beyond its time; this many tokens cost as much as one millisecond. */
constexpr double SHARED_TOKENS_PER_PENALTY_MS = 33.0;
/** Cost of a large transfer between zones. */
constexpr duration ZONE_PENALTY = std::chrono::milliseconds(60);
/** Cost of a transfer between regions, which are further apart and share one link for all their traffic. */
constexpr duration REGION_PENALTY = std::chrono::milliseconds(180);
/**
 * Cost of each rank in the hash order of engines for a prompt, up to MAX_PENALIZED_RANKS. It makes nodes choose the same engine
 * that receive the same prompt at the same time, or that have just started and don't know yet which engine has read what.
 */
constexpr duration RANK_PENALTY = std::chrono::milliseconds(30);
constexpr std::size_t MAX_PENALIZED_RANKS = 3;
/** Each other running request takes a part of every step of the engine. */
constexpr duration IN_FLIGHT_PENALTY = std::chrono::milliseconds(4);

} // namespace

engine_view::engine_view(const mechanism_set &p_mechanisms) :
		_tokens_per_ms(INITIAL_TOKENS_PER_MS), _mechanisms(p_mechanisms) {
}

bool engine_view::_has_read(const endpoint_identity &p_engine, std::uint64_t p_chain) const {
	const auto part = _parts.find(p_chain);
	return _mechanisms.has(mechanism::ENGINE_CACHE) && part != _parts.end() && part->second.read_by.contains(p_engine);
}

double engine_view::_get_slowness(const endpoint_identity &p_engine, instant p_now) const {
	const auto found = _engines.find(p_engine);
	if (found == _engines.end() || !_mechanisms.has(mechanism::ENGINE_SLOWNESS)) {
		return 1.0;
	}
	const double age = to_seconds(p_now - found->second.learned_at) / to_seconds(SLOWNESS_DECAY_TIME);
	return 1.0 + (found->second.slowness - 1.0) * std::exp(-std::max(0.0, age));
}

duration engine_view::_get_reading_time(std::uint64_t p_tokens) const {
	return from_seconds(static_cast<double>(p_tokens) / _tokens_per_ms / 1e3);
}

engine_prediction engine_view::predict(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now) const {
	engine_prediction prediction;
	bool is_prefix_cached = true;
	for (std::size_t i = 0; i < p_prompt.size(); i++) {
		// A part is cached only if all parts before it are.
		is_prefix_cached = is_prefix_cached && _has_read(p_engine, p_prompt[i].chain);
		if (is_prefix_cached) {
			continue;
		}
		prediction.unread += p_prompt[i].tokens;
		prediction.unread_shared += i + 1 < p_prompt.size() ? p_prompt[i].tokens : 0;
	}
	const auto found = _engines.find(p_engine);
	if (found != _engines.end() && _mechanisms.has(mechanism::ENGINE_WAIT)) {
		prediction.wait = std::max(duration::zero(), found->second.busy_until - p_now);
	}
	const double slowness = _get_slowness(p_engine, p_now);
	const duration reading = _get_reading_time(prediction.unread) + BASE_TIME;
	prediction.reading = duration(static_cast<duration::rep>(static_cast<double>(reading.count()) * slowness));
	return prediction;
}

void engine_view::on_sent(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now) {
	if (_is_replaced(p_engine)) {
		return;
	}
	const engine_prediction prediction = predict(p_engine, p_prompt, p_now);
	engine_state &engine = _engines[p_engine];
	engine.busy_until = std::max(engine.busy_until, p_now) + _get_reading_time(prediction.unread);
	for (const prompt_link &link : p_prompt) {
		_parts[link.chain].read_by[p_engine] = p_now;
		_uses.emplace_back(p_now, link.chain);
	}
	_expire_parts(p_now);
}

void engine_view::_expire_parts(instant p_now) {
	while (!_uses.empty() && (_uses.size() > MAX_USES || p_now - _uses.front().first > PART_LIFETIME)) {
		const auto [used_at, chain] = _uses.front();
		_uses.pop_front();
		const auto part = _parts.find(chain);
		if (part == _parts.end()) {
			continue;
		}
		std::erase_if(part->second.read_by, [used_at = used_at](const auto &p_entry) { return p_entry.second <= used_at; });
		if (part->second.read_by.empty()) {
			_parts.erase(part);
		}
	}
}

void engine_view::on_first_event(const endpoint_identity &p_engine, const engine_prediction &p_predicted, duration p_elapsed, instant p_now) {
	const duration expected = p_predicted.wait + p_predicted.reading;
	if (expected <= duration::zero() || _is_replaced(p_engine)) {
		return;
	}
	engine_state &engine = _engines[p_engine];
	const double current = _get_slowness(p_engine, p_now);
	const double sample = static_cast<double>(p_elapsed.count()) / static_cast<double>(expected.count());
	engine.slowness = std::clamp(current * (1.0 + (sample - 1.0) * SLOWNESS_STEP), 0.7, MAX_SLOWNESS);
	engine.learned_at = p_now;
	if (p_predicted.wait == duration::zero() && p_predicted.unread >= MIN_TOKENS_FOR_ESTIMATE && p_elapsed > BASE_TIME) {
		const double speed = static_cast<double>(p_predicted.unread) / to_milliseconds(p_elapsed - BASE_TIME);
		_tokens_per_ms = std::clamp(_tokens_per_ms + (speed - _tokens_per_ms) * SPEED_STEP, MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
	}
}

void engine_view::forget_engine(const endpoint_identity &p_engine) {
	_engines.erase(p_engine);
	const auto newest = _newest_starts.find(p_engine.vm);
	if (newest != _newest_starts.end() && newest->second == p_engine.incarnation) {
		_newest_starts.erase(newest);
	}
	for (auto &[chain, part] : _parts) {
		part.read_by.erase(p_engine);
	}
}

bool engine_view::_is_replaced(const endpoint_identity &p_engine) const {
	const auto newest = _newest_starts.find(p_engine.vm);
	return newest != _newest_starts.end() && is_replaced_by(p_engine, endpoint_identity{ p_engine.vm, newest->second });
}

void engine_view::set_start(const endpoint_identity &p_engine) {
	std::uint64_t &newest = _newest_starts[p_engine.vm];
	const endpoint_identity earlier{ p_engine.vm, newest };
	newest = std::max(newest, p_engine.incarnation);
	if (is_replaced_by(earlier, p_engine)) {
		forget_engine(earlier);
	}
}

std::size_t engine_view::choose(const std::vector<engine_candidate> &p_candidates, const std::vector<prompt_link> &p_prompt, const std::string &p_zone, instant p_now) const {
	const std::uint64_t key = p_prompt.empty() ? 0 : p_prompt[p_prompt.size() > 1 ? p_prompt.size() - 2 : 0].chain;
	std::vector<std::pair<std::uint64_t, std::size_t>> order;
	order.reserve(p_candidates.size());
	for (std::size_t i = 0; i < p_candidates.size(); i++) {
		order.emplace_back(hash_bytes(p_candidates[i].engine.vm, key), i);
	}
	std::sort(order.rbegin(), order.rend());
	const double shared_price = _mechanisms.has(mechanism::SHARED_PART_PRICE) ? 1.0 / SHARED_TOKENS_PER_PENALTY_MS : 0.0;
	const double rank_price = _mechanisms.has(mechanism::ENGINE_RANKS) ? to_milliseconds(RANK_PENALTY) : 0.0;
	const double zone_price = _mechanisms.has(mechanism::ENGINE_ZONE) ? to_milliseconds(ZONE_PENALTY) : 0.0;
	const double region_price = _mechanisms.has(mechanism::REGIONS) ? to_milliseconds(REGION_PENALTY) : 0.0;
	const duration in_flight_price = _mechanisms.has(mechanism::ENGINE_IN_FLIGHT) ? IN_FLIGHT_PENALTY : duration::zero();
	std::size_t best = 0;
	double best_score = 0.0;
	for (std::size_t rank = 0; rank < order.size(); rank++) {
		const engine_candidate &candidate = p_candidates[order[rank].second];
		const engine_prediction prediction = predict(candidate.engine, p_prompt, p_now);
		double score = to_milliseconds(prediction.wait + prediction.reading + in_flight_price * candidate.in_flight);
		score += static_cast<double>(prediction.unread_shared) * shared_price;
		score += rank_price * static_cast<double>(std::min(rank, MAX_PENALIZED_RANKS));
		score += p_zone.empty() || p_zone == candidate.zone ? 0.0 : zone_price;
		score += candidate.is_in_other_region ? region_price : 0.0;
		if (rank == 0 || score < best_score) {
			best = order[rank].second;
			best_score = score;
		}
	}
	return best;
}

} // namespace calicoscale
