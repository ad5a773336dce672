/*
 * calicoscale: stage_pool.cpp
 * Queues the work of one stage pool for all nodes and assigns it to replicas in batched calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace calicoscale {

namespace {

/** Time that one rank of priority counts for: about one call of a pool whose calls take some tenths of a second. */
constexpr duration PRIORITY_STEP = std::chrono::milliseconds(600);
/** Puts late work without inputs or results after all work that can be on time, whatever its priority. */
constexpr duration LATE_PENALTY = std::chrono::seconds(30);
/**
 * Late work that has inputs or results is delayed by their time to live divided by this: they occupy memory and expire.
 * Without the delay one late work would make all the work behind it late too.
 */
constexpr int LATE_TTL_DIVISOR = 2;
/**
 * Delay accepted to avoid sending a byte across zones: 40 ms a megabyte, up to the maximum below and a share of the time
 * left.
 */
constexpr double ZONE_MICROSECONDS_PER_BYTE = 0.04;
constexpr duration MAX_ZONE_PENALTY = std::chrono::milliseconds(350);
constexpr double MAX_ZONE_SLACK_SHARE = 0.4;
/** Multiplies the accepted delay between regions, because all their traffic shares one link. */
constexpr int REGION_FACTOR = 3;
/** Added to the wait for a busy replica, which may become free a little later than expected. */
constexpr duration BUSY_MARGIN = std::chrono::milliseconds(10);
/** The items of a call are queued again when it takes longer than its expected time multiplied by this, plus the margin. */
constexpr double OVERRUN_FACTOR = 2.0;
constexpr duration OVERRUN_MARGIN = std::chrono::milliseconds(150);
/**
 * An answer may be lost without an error. A call that exceeds its expected time by this factor and margin is abandoned;
 * otherwise its replica would count as busy forever.
 */
constexpr int OVERDUE_FACTOR = 6;
constexpr duration OVERDUE_MARGIN = std::chrono::milliseconds(500);
constexpr int MAX_TRIES = 3;
/** A search that found no call is repeated for the same works after this time, because limits, blocks and the time left change without an event. */
constexpr duration FRUITLESS_SEARCH_LIFETIME = std::chrono::milliseconds(30);
constexpr duration REFUSED_BLOCK = std::chrono::milliseconds(60);
constexpr duration NO_CAPACITY_BLOCK = std::chrono::milliseconds(150);
constexpr duration FIRST_FAILURE_BLOCK = std::chrono::milliseconds(300);
constexpr int MAX_BLOCK_DOUBLINGS = 4;

std::vector<work_id> sort_by_urgency(std::vector<std::pair<duration, work_id>> p_works) {
	std::sort(p_works.begin(), p_works.end());
	std::vector<work_id> ids;
	ids.reserve(p_works.size());
	for (const auto &[urgency, id] : p_works) {
		ids.push_back(id);
	}
	return ids;
}

} // namespace

void stage_pool::set_spec(const stage_pool_spec &p_spec) {
	_spec = p_spec;
	_result_capacity.set_bounds(p_spec.capacity_bytes, p_spec.result_ttl);
	_reset_search();
}

void stage_pool::set_replicas(const std::vector<endpoint_listing> &p_replicas) {
	_reset_search();
	for (auto &[id, replica] : _replicas) {
		replica.listed = false;
	}
	for (const endpoint_listing &listing : p_replicas) {
		stage_replica &replica = _replicas[listing.get_identity()];
		replica.listing = listing;
		replica.listed = true;
	}
	_handle_replaced();
	_remove_unlisted();
	_replica_counts.clear();
	for (const endpoint_listing &listing : p_replicas) {
		_replica_counts[""]++;
		_replica_counts[listing.zone] += listing.zone.empty() ? 0 : 1;
	}
}

void stage_pool::_handle_replaced() {
	std::vector<endpoint_identity> replaced;
	// The map is ordered, so the incarnations of one replica are neighbors.
	for (auto replica = _replicas.begin(); replica != _replicas.end(); ++replica) {
		const auto next = std::next(replica);
		const bool is_newly_replaced = next != _replicas.end() && is_replaced_by(replica->first, next->first) && !replica->second.replaced;
		if (is_newly_replaced) {
			replica->second.replaced = true;
			replaced.push_back(replica->first);
		}
	}
	for (const endpoint_identity &producer : replaced) {
		_result_capacity.forget_replica(producer);
		_requeue_lost_items(producer);
	}
}

void stage_pool::_requeue_lost_items(const endpoint_identity &p_producer) {
	std::vector<stage_item> lost;
	for (auto &[id, entry] : _works) {
		for (std::size_t piece = 0; piece < entry.states.size(); piece++) {
			if (entry.states[piece] == item_state::DONE && entry.producers[piece] == p_producer) {
				lost.push_back(stage_item{ id, piece });
			}
		}
	}
	for (const stage_item &item : lost) {
		queued_work &entry = _works.at(item.work);
		// The later incarnation may already have produced the result under the same name; it keeps the result until it is released.
		_unwanted.insert(std::move(entry.handles[item.piece]));
		entry.handles[item.piece].clear();
		entry.states[item.piece] = item_state::RUNNING;
		entry.missing++;
		_requeue(item, false);
	}
}

void stage_pool::_remove_unlisted() {
	for (auto replica = _replicas.begin(); replica != _replicas.end();) {
		if (replica->second.listed || replica->second.calls > 0) {
			++replica;
			continue;
		}
		_result_capacity.forget_replica(replica->first);
		replica = _replicas.erase(replica);
	}
}

bool stage_pool::_is_any_free(instant p_now) const {
	return std::any_of(_replicas.begin(), _replicas.end(), [this, p_now](const auto &p_entry) {
		const stage_replica &replica = p_entry.second;
		return replica.listed && replica.calls < _spec.slots && p_now >= replica.blocked_until && _is_reachable(replica) && _may_send(replica, p_now);
	});
}

bool stage_pool::_is_reachable(const stage_replica &p_replica) const {
	return !_unreachable_zones.contains(p_replica.listing.zone);
}

bool stage_pool::_may_send(const stage_replica &p_replica, instant p_now) const {
	return !_limit || _limit(p_replica.listing.get_identity(), p_now);
}

bool stage_pool::_may_run_in(const queued_work &p_work, const std::string &p_zone) const {
	return p_work.work.homes.admits(p_zone, _regions);
}

void stage_pool::_repeat_call(running_call &r_call, const std::function<bool()> &p_may_repeat) {
	r_call.repeated = true;
	if (!p_may_repeat()) {
		return;
	}
	for (const stage_item &item : r_call.items) {
		_requeue(item, true);
	}
}

void stage_pool::set_unreachable_zones(const std::set<std::string> &p_zones, const std::function<bool()> &p_may_repeat) {
	_reset_search();
	_unreachable_zones = p_zones;
	const bool is_any_left = std::any_of(_replicas.begin(), _replicas.end(), [this](const auto &p_entry) { return p_entry.second.listed && _is_reachable(p_entry.second); });
	if (!is_any_left) {
		_unreachable_zones.clear();
	}
	for (auto &[id, call] : _calls) {
		const auto replica = _replicas.find(call.replica);
		if (!call.repeated && replica != _replicas.end() && !_is_reachable(replica->second)) {
			_repeat_call(call, p_may_repeat);
		}
	}
}

void stage_pool::add(work_id p_id, stage_work p_work, instant p_now) {
	queued_work entry;
	entry.states.assign(p_work.pieces, item_state::WAITING);
	entry.tries.assign(p_work.pieces, 0);
	entry.handles.resize(p_work.pieces);
	entry.producers.resize(p_work.pieces);
	entry.waiting = p_work.pieces;
	entry.missing = p_work.pieces;
	entry.queued_at = p_now;
	entry.work = std::move(p_work);
	_waiting_items += entry.waiting;
	_works.emplace(p_id, std::move(entry));
	if (_fruitless_since) {
		_new_works.push_back(p_id);
	}
}

void stage_pool::cancel(work_id p_id) {
	const auto found = _works.find(p_id);
	if (found == _works.end()) {
		return;
	}
	for (const std::string &handle : found->second.handles) {
		if (!handle.empty()) {
			_unwanted.insert(handle);
		}
	}
	_waiting_items -= found->second.waiting;
	_works.erase(found);
}

void stage_pool::_end(work_id p_id, work_end p_end) {
	queued_work &entry = _works.at(p_id);
	work_result result{ p_id, p_end, {}, {} };
	if (p_end == work_end::DONE) {
		for (const endpoint_identity &producer : entry.producers) {
			result.incarnations.push_back(producer.incarnation);
		}
		result.handles = std::move(entry.handles);
		entry.handles.clear();
	}
	_ended.push_back(std::move(result));
	cancel(p_id);
}

duration stage_pool::_get_expected(std::size_t p_items) const {
	return _spec.call_time + _spec.piece_time * static_cast<duration::rep>(p_items);
}

duration stage_pool::_get_urgency(const queued_work &p_work, instant p_now) const {
	const duration left = p_work.work.due_at - p_now;
	const bool is_split = p_work.missing < p_work.states.size();
	const bool has_cost = is_split || !p_work.work.inputs.empty();
	const bool is_late = left < _get_expected(p_work.missing) && _mechanisms.has(mechanism::LATE_WORK_LAST);
	const int rank = _mechanisms.has(mechanism::PRIORITY_ORDER) ? p_work.work.priority : 0;
	const duration late_penalty = has_cost ? _spec.result_ttl / LATE_TTL_DIVISOR : LATE_PENALTY;
	return left + PRIORITY_STEP * rank + (is_late ? late_penalty : duration::zero());
}

std::vector<work_id> stage_pool::_order_works(instant p_now) const {
	std::vector<std::pair<duration, work_id>> order;
	for (const auto &[id, entry] : _works) {
		if (entry.waiting > 0) {
			order.emplace_back(_get_urgency(entry, p_now), id);
		}
	}
	return sort_by_urgency(std::move(order));
}

std::vector<work_id> stage_pool::_get_works_to_search(instant p_now) const {
	if (!_fruitless_since) {
		return _order_works(p_now);
	}
	std::vector<std::pair<duration, work_id>> order;
	for (const work_id id : _new_works) {
		const auto found = _works.find(id);
		if (found != _works.end() && found->second.waiting > 0) {
			order.emplace_back(_get_urgency(found->second, p_now), id);
		}
	}
	return sort_by_urgency(std::move(order));
}

void stage_pool::_reset_search() {
	_fruitless_since.reset();
	_new_works.clear();
}

void stage_pool::on_released(const std::vector<std::string> &p_handles) {
	_result_capacity.release(p_handles);
	_reset_search();
}

std::size_t stage_pool::_count_replicas(const std::string &p_zone) const {
	const auto counted = _replica_counts.find(p_zone);
	return counted == _replica_counts.end() ? 0 : counted->second;
}

duration stage_pool::_get_time_ahead(const items_ahead &p_ahead, const std::string &p_zone, std::size_t p_replicas) const {
	const auto ahead = p_ahead.find(p_zone);
	const std::size_t pieces = ahead == p_ahead.end() ? 0 : ahead->second;
	const std::size_t calls = pieces / (_spec.batch * std::max<std::size_t>(1, p_replicas));
	return _get_expected(_spec.batch) * static_cast<duration::rep>(calls);
}

double stage_pool::_get_slowness(const stage_replica &p_replica, instant p_now) const {
	return _mechanisms.has(mechanism::REPLICA_SLOWNESS) ? p_replica.pace.get(p_now) : 1.0;
}

duration stage_pool::_get_zone_penalty(const queued_work &p_work, const std::string &p_zone, instant p_now) const {
	if (p_work.work.zone.empty() || p_work.work.zone == p_zone || !_mechanisms.has(mechanism::REPLICA_ZONE)) {
		return duration::zero();
	}
	const bool is_other_region = _mechanisms.has(mechanism::REGIONS) && !is_same_region(p_work.work.zone, p_zone, _regions);
	const int factor = is_other_region ? REGION_FACTOR : 1;
	const duration wanted = duration(static_cast<duration::rep>(static_cast<double>(p_work.work.transfer_bytes) * ZONE_MICROSECONDS_PER_BYTE)) * factor;
	const duration slack = std::max(duration::zero(), p_work.work.due_at - p_now - _get_expected(p_work.missing));
	const duration affordable = duration(static_cast<duration::rep>(static_cast<double>(slack.count()) * MAX_ZONE_SLACK_SHARE));
	return std::min({ wanted, MAX_ZONE_PENALTY * factor, affordable });
}

double stage_pool::_get_free_bytes(const stage_replica &p_replica, instant p_now) const {
	return _mechanisms.has(mechanism::RESULT_CAPACITY) ? _result_capacity.get_left(p_replica.listing.get_identity(), p_now) : std::numeric_limits<double>::infinity();
}

void stage_pool::_estimate_unknown_usage(const running_call &p_call, const std::vector<item_result> &p_items, instant p_now) {
	double made_bytes = 0.0;
	bool was_full = false;
	for (std::size_t i = 0; i < p_items.size(); i++) {
		const auto work = _works.find(p_call.items[i].work);
		const bool is_made = p_items[i].end == item_end::DONE && work != _works.end();
		made_bytes += is_made ? static_cast<double>(work->second.work.result_bytes) : 0.0;
		was_full = was_full || p_items[i].end == item_end::NO_CAPACITY;
	}
	// The replica had no memory for an item although the known results fit, so results of an earlier dispatcher occupy the remainder.
	if (was_full) {
		_result_capacity.on_refused(p_call.replica, p_call.used_bytes + made_bytes, p_now);
	}
}

void stage_pool::on_results_reported(const std::string &p_owner, const std::vector<owned_result> &p_results, instant p_now) {
	for (const owned_result &result : p_results) {
		// Searches backwards for the latest incarnation, as the incarnations of one replica are in ascending order.
		const auto producer = std::find_if(_replicas.rbegin(), _replicas.rend(), [&result](const auto &p_entry) {
			const endpoint_listing &listing = p_entry.second.listing;
			const bool is_same_incarnation = result.incarnation == 0 || result.incarnation == listing.incarnation;
			return listing.address == result.producer && is_same_incarnation;
		});
		if (producer != _replicas.rend()) {
			_result_capacity.keep(result.handle, producer->first, result.bytes, p_owner, p_now);
		}
	}
}

call_candidates stage_pool::_get_candidates(duration p_expected, instant p_now) {
	call_candidates table;
	std::size_t rank = 0;
	for (auto &[id, replica] : _replicas) {
		rank++;
		if (!replica.listed || !_is_reachable(replica) || p_now < replica.blocked_until || !_may_send(replica, p_now)) {
			continue;
		}
		const bool is_busy = replica.calls >= _spec.slots;
		const duration own = duration(static_cast<duration::rep>(static_cast<double>(p_expected.count()) * _get_slowness(replica, p_now)));
		const duration wait = is_busy ? std::max(duration::zero(), replica.free_at - p_now) + BUSY_MARGIN : duration::zero();
		table.add(replica.listing.zone, _count_replicas(replica.listing.zone), call_candidate{ &replica, rank, own + wait, _get_free_bytes(replica, p_now), is_busy });
	}
	table.sort();
	return table;
}

stage_replica *stage_pool::_choose_replica(const queued_work &p_work, const call_candidates &p_candidates, const items_ahead &p_ahead, instant p_now) const {
	const call_candidate *best = nullptr;
	duration best_finish = duration::max();
	const double bytes = static_cast<double>(p_work.work.result_bytes);
	const bool has_zone = !p_work.work.zone.empty();
	const duration ahead_of_all = has_zone ? duration::zero() : _get_time_ahead(p_ahead, "", _count_replicas(""));
	for (const call_candidates::zone_candidates &zone : p_candidates.get_zones()) {
		if (!_may_run_in(p_work, zone.zone)) {
			continue;
		}
		const duration penalty = _get_zone_penalty(p_work, zone.zone, p_now);
		const duration ahead = has_zone ? _get_time_ahead(p_ahead, zone.zone, zone.replicas) : ahead_of_all;
		for (const call_candidate *first : { call_candidates::find_first_with_capacity(zone.free, bytes), call_candidates::find_first_with_capacity(zone.busy, bytes) }) {
			if (first == nullptr) {
				continue;
			}
			const duration finish = first->finish + penalty + (first->is_busy ? ahead : duration::zero());
			if (finish < best_finish || (finish == best_finish && first->rank < best->rank)) {
				best = first;
				best_finish = finish;
			}
		}
	}
	// A busy replica may be the best choice: waiting for it can take less time than a slow or distant free one.
	return best == nullptr ? nullptr : best->replica;
}

void stage_pool::_fill(stage_call &r_call, stage_replica &p_replica, const call_candidates &p_candidates, instant p_now) {
	double free_bytes = _get_free_bytes(p_replica, p_now);
	items_ahead ahead;
	for (const work_id id : _order_works(p_now)) {
		queued_work &entry = _works.at(id);
		if ((entry.work.is_alone && !r_call.items.empty()) || !_may_run_in(entry, p_replica.listing.zone)) {
			continue;
		}
		const bool is_elsewhere = !entry.work.zone.empty() && entry.work.zone != p_replica.listing.zone;
		const bool is_nearer = is_elsewhere && _choose_replica(entry, p_candidates, ahead, p_now) != &p_replica;
		ahead[entry.work.zone] += entry.waiting;
		if (is_nearer) {
			continue;
		}
		for (std::size_t piece = 0; piece < entry.states.size(); piece++) {
			if (r_call.items.size() >= _spec.batch) {
				return;
			}
			if (entry.states[piece] != item_state::WAITING) {
				continue;
			}
			const double bytes = static_cast<double>(entry.work.result_bytes);
			if (bytes > free_bytes) {
				break;
			}
			free_bytes -= bytes;
			entry.states[piece] = item_state::RUNNING;
			entry.waiting--;
			_waiting_items--;
			r_call.items.push_back(stage_item{ id, piece });
		}
		if (entry.work.is_alone && !r_call.items.empty()) {
			return;
		}
	}
}

std::optional<stage_call> stage_pool::next_call(instant p_now) {
	if (_fruitless_since && p_now - *_fruitless_since >= FRUITLESS_SEARCH_LIFETIME) {
		_reset_search();
	}
	// Under overload this runs for each work that arrives, and usually no replica is free. Ordering all works first would use
	// all the processor time of the dispatcher.
	const bool has_work = _waiting_items > 0 && (!_fruitless_since || !_new_works.empty());
	if (!has_work || !_is_any_free(p_now)) {
		return std::nullopt;
	}
	const call_candidates candidates = _get_candidates(_get_expected(std::min(_waiting_items, _spec.batch)), p_now);
	const call_candidates for_full_calls = _waiting_items < _spec.batch ? _get_candidates(_get_expected(_spec.batch), p_now) : candidates;
	items_ahead ahead;
	for (const work_id id : _get_works_to_search(p_now)) {
		const queued_work &entry = _works.at(id);
		_examined++;
		stage_replica *replica = _choose_replica(entry, candidates, ahead, p_now);
		ahead[""] += entry.waiting;
		if (!entry.work.zone.empty()) {
			ahead[entry.work.zone] += entry.waiting;
		}
		if (replica == nullptr || replica->calls >= _spec.slots) {
			continue;
		}
		stage_call call;
		call.id = _next_call++;
		call.replica = replica->listing.get_identity();
		call.to = replica->listing.address;
		call.zone = replica->listing.zone;
		_fill(call, *replica, for_full_calls, p_now);
		if (call.items.empty()) {
			continue;
		}
		running_call running{ call.replica, call.items, p_now, _get_expected(call.items.size()), false, _result_capacity.get_used(call.replica), replica->pace.get_reported(p_now) };
		replica->calls++;
		replica->free_at = p_now + duration(static_cast<duration::rep>(static_cast<double>(running.expected.count()) * _get_slowness(*replica, p_now)));
		_calls.emplace(call.id, std::move(running));
		_reset_search();
		return call;
	}
	_fruitless_since = _fruitless_since.value_or(p_now);
	_new_works.clear();
	return std::nullopt;
}

void stage_pool::_requeue(const stage_item &p_item, bool p_counts) {
	const auto found = _works.find(p_item.work);
	if (found == _works.end() || found->second.states[p_item.piece] != item_state::RUNNING) {
		return;
	}
	queued_work &entry = found->second;
	entry.tries[p_item.piece] += p_counts ? 1 : 0;
	const int max_tries = entry.work.is_alone ? 1 : MAX_TRIES;
	if (entry.tries[p_item.piece] >= max_tries) {
		_end(p_item.work, work_end::FAILED);
		return;
	}
	_reset_search();
	entry.states[p_item.piece] = item_state::WAITING;
	entry.waiting++;
	_waiting_items++;
}

void stage_pool::_block(stage_replica &p_replica, duration p_time, instant p_now) {
	p_replica.blocked_until = std::max(p_replica.blocked_until, p_now + p_time);
}

void stage_pool::_update_slowdown(stage_replica &p_replica, const running_call &p_call, instant p_now) {
	const double expected = static_cast<double>(p_call.expected.count());
	if (expected <= 0.0) {
		return;
	}
	p_replica.pace.learn(static_cast<double>((p_now - p_call.started_at).count()) / expected, p_call.reported_slowdown, p_now);
}

void stage_pool::on_load_reported(const endpoint_identity &p_replica, double p_factor, instant p_now) {
	const auto replica = _replicas.find(p_replica);
	if (replica != _replicas.end() && _mechanisms.has(mechanism::REPORTED_SLOWDOWN)) {
		replica->second.pace.tell(p_factor, p_now);
	}
}

void stage_pool::_apply_item(const stage_item &p_item, const item_result &p_result, stage_replica *p_replica, instant p_now) {
	const auto found = _works.find(p_item.work);
	if (p_result.end == item_end::DONE) {
		_meter.on_item_completed();
		const double bytes = found == _works.end() ? 0.0 : static_cast<double>(found->second.work.result_bytes);
		const endpoint_identity producer = p_replica == nullptr ? endpoint_identity() : p_replica->listing.get_identity();
		_result_capacity.keep(p_result.handle, producer, bytes, "", p_now);
		const bool is_made = found != _works.end() && found->second.states[p_item.piece] == item_state::DONE;
		if (found == _works.end() || (is_made && found->second.handles[p_item.piece] != p_result.handle)) {
			_unwanted.insert(p_result.handle);
		}
		if (found == _works.end() || is_made) {
			return;
		}
		queued_work &entry = found->second;
		if (entry.states[p_item.piece] == item_state::WAITING) {
			entry.waiting--;
			_waiting_items--;
		}
		entry.states[p_item.piece] = item_state::DONE;
		entry.handles[p_item.piece] = p_result.handle;
		entry.producers[p_item.piece] = producer;
		entry.missing--;
		if (entry.missing == 0) {
			_end(p_item.work, work_end::DONE);
		}
		return;
	}
	if (found == _works.end() || found->second.states[p_item.piece] != item_state::RUNNING) {
		return;
	}
	switch (p_result.end) {
		case item_end::LATE:
			_end(p_item.work, work_end::LATE);
			return;
		case item_end::INPUT_LOST:
			_end(p_item.work, work_end::INPUT_LOST);
			return;
		case item_end::NO_CAPACITY:
			if (p_replica != nullptr) {
				_block(*p_replica, NO_CAPACITY_BLOCK, p_now);
			}
			_requeue(p_item, false);
			return;
		default:
			_requeue(p_item, true);
	}
}

void stage_pool::on_call_ended(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_items, instant p_now) {
	const auto found = _calls.find(p_call);
	if (found == _calls.end()) {
		return;
	}
	_reset_search();
	const running_call call = std::move(found->second);
	_calls.erase(found);
	const auto replica_entry = _replicas.find(call.replica);
	stage_replica *replica = replica_entry == _replicas.end() ? nullptr : &replica_entry->second;
	if (replica != nullptr) {
		replica->calls--;
		replica->free_at = p_now;
	}
	const bool is_answered = p_end == call_end::ANSWERED && p_items.size() == call.items.size();
	if (replica != nullptr && is_answered) {
		replica->failures = 0;
		_update_slowdown(*replica, call, p_now);
	} else if (replica != nullptr && p_end == call_end::REFUSED) {
		_block(*replica, REFUSED_BLOCK, p_now);
	} else if (replica != nullptr) {
		const int doublings = std::min(replica->failures, MAX_BLOCK_DOUBLINGS);
		replica->failures++;
		_block(*replica, FIRST_FAILURE_BLOCK * (1 << doublings), p_now);
	}
	if (replica != nullptr && is_answered) {
		_estimate_unknown_usage(call, p_items, p_now);
	}
	for (std::size_t i = 0; i < call.items.size(); i++) {
		if (is_answered) {
			_apply_item(call.items[i], p_items[i], replica, p_now);
		} else {
			_requeue(call.items[i], p_end == call_end::ANSWERED || p_end == call_end::BROKEN);
		}
	}
	_remove_unlisted();
}

void stage_pool::tick(const std::function<bool()> &p_may_repeat, instant p_now) {
	_meter.tick(_spec, _waiting_items, p_now);
	std::vector<work_id> late;
	for (const auto &[id, entry] : _works) {
		if (p_now >= entry.work.give_up_at) {
			late.push_back(id);
		}
	}
	for (const work_id id : late) {
		_end(id, work_end::LATE);
	}
	for (auto &[id, call] : _calls) {
		const duration allowed = duration(static_cast<duration::rep>(static_cast<double>(call.expected.count()) * OVERRUN_FACTOR)) + OVERRUN_MARGIN;
		const auto replica = _replicas.find(call.replica);
		const bool is_lost = replica != _replicas.end() && replica->second.replaced;
		if (call.repeated || (!is_lost && p_now - call.started_at < allowed) || !_mechanisms.has(mechanism::REPEATED_CALLS)) {
			continue;
		}
		if (replica != _replicas.end()) {
			replica->second.pace.note_overrun(OVERRUN_FACTOR + 1.0, p_now);
			replica->second.free_at = p_now + call.expected;
		}
		_repeat_call(call, p_may_repeat);
	}
	_result_capacity.expire(p_now);
}

std::vector<std::uint64_t> stage_pool::get_overdue(instant p_now) const {
	std::vector<std::uint64_t> overdue;
	for (const auto &[id, call] : _calls) {
		if (p_now - call.started_at > call.expected * OVERDUE_FACTOR + OVERDUE_MARGIN && _mechanisms.has(mechanism::OVERDUE_CALLS)) {
			overdue.push_back(id);
		}
	}
	return overdue;
}

std::vector<work_result> stage_pool::take_ended() {
	std::vector<work_result> ended;
	ended.swap(_ended);
	return ended;
}

std::vector<std::string> stage_pool::take_unneeded_results() {
	std::vector<std::string> handles(_unwanted.begin(), _unwanted.end());
	_unwanted.clear();
	return handles;
}

const stage_work *stage_pool::find_work(work_id p_id) const {
	const auto found = _works.find(p_id);
	return found == _works.end() ? nullptr : &found->second.work;
}

double stage_pool::get_capacity(instant p_now) const {
	const double nominal = _get_nominal_capacity(p_now);
	const std::optional<double> measured = _mechanisms.has(mechanism::MEASURED_CAPACITY) ? _meter.get_capacity() : std::nullopt;
	return measured ? std::min(nominal, *measured) : nominal;
}

double stage_pool::_get_nominal_capacity(instant p_now) const {
	double capacity = 0.0;
	for (const auto &[id, replica] : _replicas) {
		const bool is_failing = replica.failures > 0 && p_now < replica.blocked_until;
		if (replica.listed && !is_failing && _is_reachable(replica)) {
			capacity += static_cast<double>(_spec.slots) / std::max(1.0, _get_slowness(replica, p_now));
		}
	}
	return capacity;
}

} // namespace calicoscale
