/*
 * calicoscale: store_fleet.cpp
 * A whole fleet in virtual time that follows the endpoints in a simulated store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/store_fleet.h"

#include "core/digest.h"
#include "servers/membership/peer_contacts.h"
#include "servers/membership/read_order.h"
#include "servers/membership/read_rank.h"
#include "servers/membership/store_coverage.h"

#include <algorithm>
#include <utility>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t ZONES = 5;
constexpr std::size_t HUBS_PER_ZONE = 5;
constexpr std::size_t ENDPOINTS_PER_NODE = 10;

// Times of the nodes, as in topic_reader, endpoint_follower and store_sharing.
constexpr duration FIRST_READ_SPREAD = milliseconds(500);
constexpr duration WAIT_CHECK_INTERVAL = milliseconds(100);
constexpr duration READ_INTERVAL = milliseconds(900);
constexpr duration PEER_READ_TIMEOUT = milliseconds(1350);
constexpr duration LIST_TIMEOUT = milliseconds(600);
constexpr duration READ_CHECK_INTERVAL = milliseconds(100);
constexpr duration MIN_SNAPSHOT_INTERVAL = seconds(4);
constexpr duration MEETING_PAUSE = milliseconds(300);
constexpr duration MAX_USUAL_TIME = milliseconds(1200);
constexpr duration CALL_TIMEOUT = milliseconds(1500);
constexpr read_times TIMES{ duration::zero(), milliseconds(400), milliseconds(400), milliseconds(300), milliseconds(1000), milliseconds(1500), milliseconds(500) };
constexpr double RECORD_BYTES = 300.0;
constexpr double SNAPSHOT_BYTES = 400.0;
constexpr double RECORDS_PER_ENDPOINT_SECOND = 0.2;
constexpr double MAX_ANSWER_BYTES = 1024.0 * 1024.0;

// The links between nodes.
constexpr double LINK_BYTES_PER_SECOND = 125e6;
constexpr duration LINK_DELAY = milliseconds(1);
/** Renewed entries are not in a delta, as they change nothing. */
constexpr double DELTA_BYTES = 1000.0;
/** Size of an endpoint in a list between nodes, as peer_bootstrap takes it. */
constexpr double PEER_LISTING_BYTES = 100.0;
/** A whole list arrives in pages, each of which shows its reader that the store answers. */
constexpr duration PAGE_INTERVAL = milliseconds(200);

// The play.
constexpr instant TRIGGER_AT{ seconds(3) };
constexpr instant END_AT{ seconds(30) };
constexpr duration STORE_FAILURE = milliseconds(4500);
constexpr duration TURNED_AWAY_TIME = seconds(9);
constexpr duration MEETING_TIME = milliseconds(500);
constexpr duration LOSS_NOTICED_AFTER = milliseconds(750);
constexpr duration RECOVERY_TIME = seconds(3);
constexpr duration MAX_AGE = seconds(2);

duration get_trigger_time(store_trigger p_trigger) {
	switch (p_trigger) {
		case store_trigger::STORE_REFUSES:
		case store_trigger::STORE_SILENT:
		case store_trigger::STORE_SLOW:
			return STORE_FAILURE;
		case store_trigger::THIRD_TURNED_AWAY:
		case store_trigger::FIRST_READERS_TURNED_AWAY:
			return TURNED_AWAY_TIME;
		case store_trigger::ALL_START:
			return MEETING_TIME;
		case store_trigger::READERS_LOST:
		case store_trigger::STORE_RESTORED:
		case store_trigger::LISTS_DIFFER:
			return duration::zero();
	}
	return duration::zero();
}

std::string get_zone_name(std::size_t p_zone) {
	return "z" + std::to_string(p_zone);
}

} // namespace

store_fleet::node::node(std::string p_vm, std::size_t p_zone) :
		vm(std::move(p_vm)), zone(p_zone), schedule(TIMES), budget(LINK_BYTES_PER_SECOND) {
}

store_fleet::store_fleet(std::size_t p_nodes, read_policy p_policy, store_trigger p_trigger) :
		_policy(p_policy), _trigger(p_trigger), _zones(ZONES), _store(p_nodes * ENDPOINTS_PER_NODE) {
	_nodes.reserve(p_nodes);
	for (std::size_t i = 0; i < p_nodes; i++) {
		_nodes.emplace_back("node-" + std::to_string(i), i % ZONES);
		_zones[i % ZONES].push_back(i);
	}
}

void store_fleet::_at(instant p_at, std::function<void()> p_act) {
	_events.push(event{ p_at, _event_count++, std::move(p_act) });
}

double store_fleet::_get_unit() {
	return static_cast<double>(_random() >> 11U) * 0x1.0p-53;
}

fleet_result store_fleet::play() {
	const instant trigger_at = _trigger == store_trigger::ALL_START ? _now : TRIGGER_AT;
	const instant trigger_end = trigger_at + get_trigger_time(_trigger);
	_first_check = trigger_end + RECOVERY_TIME;
	_result.first_check = to_seconds(_first_check.time_since_epoch());
	_at(trigger_at, [this] { _start_trigger(); });
	_at(trigger_end, [this] { _end_trigger(); });
	if (_trigger == store_trigger::ALL_START) {
		_start_unlinked();
	} else {
		_start_running();
	}
	while (!_events.empty() && _events.top().at < END_AT) {
		const event next = _events.top();
		_events.pop();
		_now = next.at;
		next.act();
	}
	_now = END_AT;
	for (node &entry : _nodes) {
		if (entry.is_alive) {
			_record_age(entry);
			_result.differing_lists += entry.list != 0 ? 1 : 0;
		}
	}
	const std::vector<double> &asked = _store.get_asked_bytes();
	const std::size_t first_second = static_cast<std::size_t>(to_seconds(_first_check.time_since_epoch() + milliseconds(999)));
	for (std::size_t i = first_second; i < asked.size(); i++) {
		_result.most_asked_bytes = std::max(_result.most_asked_bytes, asked[i]);
	}
	_result.calls_per_node = static_cast<double>(_store.get_calls()) / static_cast<double>(_nodes.size());
	return _result;
}

void store_fleet::_start_trigger() {
	switch (_trigger) {
		case store_trigger::STORE_REFUSES:
			_store.set_condition(store_condition::REFUSING);
			return;
		case store_trigger::STORE_SILENT:
			_store.set_condition(store_condition::SILENT);
			return;
		case store_trigger::STORE_SLOW:
			_store.set_condition(store_condition::SLOW);
			return;
		case store_trigger::ALL_START:
			return;
		case store_trigger::READERS_LOST:
			for (node &entry : _nodes) {
				entry.is_alive = !entry.is_reader;
			}
			_at(_now + LOSS_NOTICED_AFTER, [this] { _assign_roles(); });
			return;
		case store_trigger::THIRD_TURNED_AWAY:
		case store_trigger::FIRST_READERS_TURNED_AWAY:
			for (node &entry : _nodes) {
				const bool is_first = _trigger == store_trigger::FIRST_READERS_TURNED_AWAY && entry.position < 2;
				entry.is_turned_away = is_first || hash_bytes(entry.vm, 3) % 3 == 0;
			}
			return;
		case store_trigger::STORE_RESTORED:
			_store.restore_copy();
			return;
		case store_trigger::LISTS_DIFFER:
			for (std::size_t i = 0; i < _nodes.size(); i++) {
				_nodes[i].list = _nodes[i].is_reader ? 0 : i + 1;
			}
			return;
	}
}

void store_fleet::_end_trigger() {
	_store.set_condition(store_condition::NORMAL);
	if (_trigger == store_trigger::THIRD_TURNED_AWAY || _trigger == store_trigger::FIRST_READERS_TURNED_AWAY) {
		for (node &entry : _nodes) {
			if (entry.is_turned_away) {
				_record_age(entry);
			}
			entry.is_turned_away = false;
		}
	}
	if (_trigger == store_trigger::ALL_START) {
		for (node &entry : _nodes) {
			entry.is_linked = true;
		}
		_assign_roles();
	}
}

void store_fleet::_assign_roles() {
	for (const std::vector<std::size_t> &zone : _zones) {
		_assign_roles(zone);
	}
}

void store_fleet::_assign_roles(const std::vector<std::size_t> &p_zone) {
	const std::string zone_name = get_zone_name(_nodes[p_zone.front()].zone);
	std::vector<overlay_node> nodes;
	for (const std::size_t i : p_zone) {
		if (_nodes[i].is_alive) {
			nodes.push_back(overlay_node{ _nodes[i].vm, zone_name, 1.0 });
		}
	}
	std::vector<std::string> hubs;
	for (const overlay_node &entry : nodes) {
		if (find_read_rank(entry.vm, nodes) < HUBS_PER_ZONE) {
			hubs.push_back(entry.vm);
		}
	}
	const std::string reader = choose_reader(zone_name, hubs);
	for (const std::size_t i : p_zone) {
		node &entry = _nodes[i];
		entry.is_hub = std::find(hubs.begin(), hubs.end(), entry.vm) != hubs.end();
		entry.is_reader = entry.vm == reader;
		const bool is_meeting = _trigger == store_trigger::ALL_START && _is_in_turns();
		entry.schedule.set_has_peer_reader(!entry.is_reader || is_meeting);
		if (entry.is_reader && is_meeting) {
			_at(_now + MEETING_PAUSE, [&entry] { entry.schedule.set_has_peer_reader(false); });
		}
		entry.schedule.set_read_rank(find_read_rank(entry.vm, nodes));
		entry.position = find_read_position(entry.vm, zone_name, hubs, nodes);
		if (_is_in_turns()) {
			entry.schedule.set_turn(entry.position);
		}
	}
}

void store_fleet::_start_running() {
	_assign_roles();
	for (node &entry : _nodes) {
		entry.is_linked = true;
		entry.is_loaded = true;
		entry.was_loaded = true;
		entry.known = _store.get_known(_now);
		entry.ready_at = _now;
		entry.answered_at = _now;
		entry.state_at = _now;
		_read_in(entry, entry.is_reader ? from_seconds(_get_unit() * to_seconds(READ_INTERVAL)) : PEER_READ_TIMEOUT);
	}
}

void store_fleet::_start_unlinked() {
	for (node &entry : _nodes) {
		entry.is_reader = true;
		entry.schedule.set_has_peer_reader(_is_in_turns());
		entry.answered_at = _now;
		entry.state_at = _now;
		_read_in(entry, from_seconds(_get_unit() * to_seconds(FIRST_READ_SPREAD)));
		_schedule_asking(entry);
	}
}

void store_fleet::_set_timer(node &r_node, duration p_wait) {
	const std::uint64_t timer = ++r_node.timer;
	_at(_now + p_wait, [this, &r_node, timer] {
		if (r_node.timer == timer && r_node.is_alive) {
			_check(r_node);
		}
	});
}

void store_fleet::_read_in(node &r_node, duration p_wait) {
	if (r_node.schedule.is_reading()) {
		return;
	}
	r_node.due_at = _now + p_wait;
	_set_timer(r_node, p_wait);
}

duration store_fleet::_get_turn_wait(const node &p_node, bool p_is_whole) const {
	const double endpoints = static_cast<double>(_nodes.size() * ENDPOINTS_PER_NODE);
	const double bytes = p_is_whole ? (p_node.was_loaded ? endpoints * SNAPSHOT_BYTES : 0.0) : std::min(MAX_ANSWER_BYTES, endpoints * RECORDS_PER_ENDPOINT_SECOND * RECORD_BYTES * to_seconds(_now - p_node.answered_at));
	return p_node.schedule.get_turn_wait(get_read_step(store_rates{ 2000.0, simulated_store::BYTES_PER_SECOND }, ZONES, bytes));
}

duration store_fleet::_get_check_time(const node &p_node, const planned_read &p_read) const {
	const duration usual_time = _is_in_turns() ? std::min(p_node.answer_time * 2, MAX_USUAL_TIME) : duration::zero();
	return std::max(p_read.check_in, usual_time) + _get_turn_wait(p_node, !p_node.is_loaded);
}

duration store_fleet::_get_read_interval(const node &p_node) const {
	if (!p_node.schedule.has_peer_reader()) {
		return READ_INTERVAL;
	}
	return p_node.is_substitute && _is_in_turns() ? READ_INTERVAL : PEER_READ_TIMEOUT;
}

void store_fleet::_check(node &r_node) {
	if (r_node.schedule.is_reading()) {
		const std::optional<planned_read> repeated = r_node.schedule.check();
		if (repeated) {
			_send_read(r_node, *repeated);
		} else {
			_set_timer(r_node, r_node.schedule.get_repeat() + _get_turn_wait(r_node, !r_node.is_loaded));
		}
		return;
	}
	duration wait = r_node.due_at + _get_turn_wait(r_node, !r_node.is_loaded) - _now;
	if (!r_node.was_loaded) {
		wait = std::max(wait, r_node.schedule.get_first_wait(_now.time_since_epoch()));
	}
	if (wait > duration::zero()) {
		_set_timer(r_node, std::min(wait, WAIT_CHECK_INTERVAL));
		return;
	}
	_read(r_node);
}

void store_fleet::_read(node &r_node) {
	_send_read(r_node, r_node.schedule.begin());
}

void store_fleet::_load_snapshot(node &r_node) {
	r_node.is_loaded = false;
	_read(r_node);
}

void store_fleet::_send_read(node &r_node, const planned_read &p_read) {
	const bool is_whole = !r_node.is_loaded;
	const simulated_answer answer = _store.read(r_node.known, is_whole, r_node.is_turned_away, _now);
	const std::uint64_t reading = p_read.reading;
	_set_timer(r_node, _get_check_time(r_node, p_read));
	if (!answer.is_answered || answer.arrives_at - _now > CALL_TIMEOUT) {
		_at(_now + CALL_TIMEOUT, [this, &r_node, reading] { _on_failed(r_node, reading); });
		return;
	}
	if (answer.is_refused) {
		_at(answer.arrives_at, [this, &r_node, reading] { _on_failed(r_node, reading); });
		return;
	}
	for (instant page_at = answer.begins_at; is_whole && page_at < answer.arrives_at; page_at += PAGE_INTERVAL) {
		_at(page_at, [this, &r_node, p_read] { _on_page(r_node, p_read); });
	}
	const duration took = (is_whole ? answer.begins_at : answer.arrives_at) - _now;
	_at(answer.arrives_at, [this, &r_node, reading, answer, is_whole, took] {
		r_node.answer_time = std::max(took, r_node.answer_time / 2);
		_on_answered(r_node, reading, answer, is_whole);
	});
}

void store_fleet::_on_page(node &r_node, const planned_read &p_read) {
	if (r_node.schedule.is_open(p_read.reading)) {
		_set_timer(r_node, _get_check_time(r_node, p_read));
	}
}

void store_fleet::_on_failed(node &r_node, std::uint64_t p_reading) {
	if (r_node.is_alive && r_node.schedule.on_failed(p_reading)) {
		_read_in(r_node, r_node.schedule.get_retry());
	}
}

void store_fleet::_on_answered(node &r_node, std::uint64_t p_reading, const simulated_answer &p_answer, bool p_is_whole) {
	if (!r_node.is_alive || !r_node.schedule.on_answered(p_reading)) {
		return;
	}
	if (p_answer.known.era < r_node.known.era) {
		_read_in(r_node, r_node.schedule.get_retry());
		return;
	}
	r_node.answered_at = _now;
	const log_position from = r_node.known;
	const bool is_other_era = p_answer.known.era != from.era;
	r_node.known.era = p_answer.known.era;
	r_node.is_era_unreported = r_node.is_era_unreported || (is_other_era && from != log_position());
	if (p_answer.is_compacted || (is_other_era && !p_is_whole)) {
		_load_snapshot(r_node);
		return;
	}
	if (!r_node.was_loaded) {
		r_node.ready_at = _now;
	}
	r_node.is_loaded = true;
	r_node.was_loaded = true;
	r_node.known = p_answer.known;
	r_node.is_substitute = r_node.schedule.has_peer_reader();
	_set_state(r_node, p_answer.state_at);
	_on_list_read(r_node, p_is_whole);
	if (p_is_whole) {
		r_node.list = 0;
	}
	_read_in(r_node, _get_read_interval(r_node));
	if (!p_is_whole) {
		_publish(r_node, delta{ from, r_node.known, r_node.state_at, r_node.list, false });
	} else if (std::exchange(r_node.is_era_unreported, false) && _is_in_turns()) {
		_publish(r_node, delta{ log_position{ r_node.known.era, 0 }, r_node.known, r_node.state_at, r_node.list, true });
	}
}

void store_fleet::_send_message(node &r_node, double p_bytes, std::function<void()> p_receive) {
	r_node.link_free_at = std::max(r_node.link_free_at, _now) + from_seconds(p_bytes / LINK_BYTES_PER_SECOND);
	_at(r_node.link_free_at + LINK_DELAY, std::move(p_receive));
}

void store_fleet::_publish(node &r_node, const delta &p_delta) {
	if (!r_node.is_linked || (!r_node.is_reader && !_is_in_turns())) {
		return;
	}
	const double bytes = p_delta.is_whole ? static_cast<double>(_nodes.size() * ENDPOINTS_PER_NODE) * PEER_LISTING_BYTES : DELTA_BYTES;
	for (const std::size_t i : _zones[r_node.zone]) {
		node &peer = _nodes[i];
		// A node that is no hub has links to the hubs only.
		if (&peer != &r_node && peer.is_alive && (r_node.is_hub || peer.is_hub)) {
			_send_message(r_node, bytes, [this, &peer, p_delta] { _apply(peer, p_delta); });
		}
	}
}

void store_fleet::_apply(node &r_node, const delta &p_delta) {
	const log_position known = r_node.known;
	const bool is_usable = r_node.is_loaded || (p_delta.is_whole && r_node.has_list_need);
	if (!r_node.is_alive || !is_usable || p_delta.to.era < known.era) {
		return;
	}
	if (p_delta.to.era > known.era && !p_delta.is_whole) {
		_need_list(r_node, false);
		return;
	}
	const bool is_same_era = p_delta.to.era == known.era;
	if (is_same_era && p_delta.from.offset > known.offset) {
		_need_list(r_node, true);
		return;
	}
	if (is_same_era && p_delta.to.offset < known.offset) {
		return;
	}
	r_node.known = p_delta.to;
	r_node.is_loaded = true;
	r_node.answered_at = _now;
	r_node.schedule.abandon();
	_on_list_read(r_node, p_delta.is_whole);
	r_node.is_substitute = false;
	_set_state(r_node, p_delta.state_at);
	if (p_delta.is_whole) {
		r_node.list = p_delta.list;
	}
	_read_in(r_node, _is_in_turns() && !r_node.schedule.has_peer_reader() ? READ_INTERVAL : PEER_READ_TIMEOUT);
	_compare(r_node, p_delta);
	if (r_node.is_reader && !p_delta.is_whole && _is_in_turns()) {
		_publish(r_node, p_delta);
	}
}

void store_fleet::_compare(node &r_node, const delta &p_delta) {
	const bool is_recent = r_node.difference_found_at != instant{} && _now - r_node.difference_found_at < MIN_SNAPSHOT_INTERVAL;
	if (r_node.list == p_delta.list || is_recent) {
		return;
	}
	r_node.difference_found_at = _now;
	_need_list(r_node, false);
}

void store_fleet::_need_list(node &r_node, bool p_is_missed_delta) {
	if (!_is_in_turns()) {
		if (!p_is_missed_delta) {
			r_node.is_loaded = false;
			_read_in(r_node, from_seconds(_get_unit() * to_seconds(LIST_TIMEOUT)));
		}
		return;
	}
	if (r_node.has_list_need) {
		return;
	}
	r_node.has_list_need = true;
	r_node.is_missed_delta = p_is_missed_delta;
	r_node.list_needed_at = _now;
	_set_list_timer(r_node, LIST_TIMEOUT);
	_schedule_asking(r_node);
}

void store_fleet::_on_list_read(node &r_node, bool p_is_whole) {
	if (p_is_whole || r_node.is_missed_delta) {
		r_node.has_list_need = false;
		r_node.is_missed_delta = false;
		r_node.list_timer++;
	}
}

void store_fleet::_set_list_timer(node &r_node, duration p_wait) {
	const std::uint64_t timer = ++r_node.list_timer;
	_at(_now + p_wait, [this, &r_node, timer] {
		if (r_node.list_timer == timer && r_node.is_alive) {
			_on_list_timer(r_node);
		}
	});
}

void store_fleet::_on_list_timer(node &r_node) {
	if (!r_node.has_list_need) {
		return;
	}
	const duration wait = _get_turn_wait(r_node, true) + LIST_TIMEOUT - (_now - r_node.list_needed_at);
	if (wait > duration::zero() || r_node.schedule.is_reading()) {
		_set_list_timer(r_node, std::clamp(wait, READ_CHECK_INTERVAL, LIST_TIMEOUT));
		return;
	}
	_load_snapshot(r_node);
}

void store_fleet::_schedule_asking(node &r_node) {
	if (r_node.asks_lists) {
		return;
	}
	r_node.asks_lists = true;
	const duration interval = peer_contacts::get_interval(true);
	_at(_now + from_seconds(_get_unit() * to_seconds(interval)), [this, &r_node] {
		r_node.asks_lists = false;
		_ask_list(r_node);
	});
}

void store_fleet::_ask_list(node &r_node) {
	if (!r_node.is_alive || (r_node.was_loaded && !r_node.has_list_need)) {
		return;
	}
	const duration interval = peer_contacts::get_interval(true);
	if (!r_node.asks_lists) {
		r_node.asks_lists = true;
		_at(_now + interval, [this, &r_node] {
			r_node.asks_lists = false;
			_ask_list(r_node);
		});
	}
	if (!r_node.is_linked) {
		return;
	}
	std::vector<list_source> sources;
	for (const std::size_t i : _zones[r_node.zone]) {
		const node &peer = _nodes[i];
		const bool is_known_ready = peer.was_loaded && _now - peer.ready_at >= interval;
		if (&peer != &r_node && peer.is_alive && (r_node.is_hub || peer.is_hub) && is_known_ready) {
			sources.push_back(list_source{ peer.vm, true, 1.0 });
		}
	}
	const std::string vm = r_node.request.choose(sources, _get_unit(), _now);
	if (vm.empty()) {
		return;
	}
	node &source = _nodes[static_cast<std::size_t>(std::stoul(vm.substr(vm.find('-') + 1)))];
	_at(_now + LINK_DELAY, [this, &source, &r_node] { _on_list_asked(source, r_node); });
}

void store_fleet::_on_list_asked(node &r_source, node &r_node) {
	const double bytes = static_cast<double>(_nodes.size() * ENDPOINTS_PER_NODE) * PEER_LISTING_BYTES;
	const bool may_send = r_source.is_alive && r_source.was_loaded && !r_source.has_list_need && r_source.budget.try_spend(static_cast<std::size_t>(bytes), _now);
	// A node that has a list is sent a snapshot with its position, which the source lacks while it reads the list anew.
	const bool is_sent = may_send && (!r_node.was_loaded || r_source.is_loaded);
	if (!is_sent) {
		_send_message(r_source, 0.0, [this, &r_source, &r_node] {
			r_node.request.on_declined(r_source.vm, _now);
			_ask_list(r_node);
		});
		return;
	}
	const delta snapshot{ log_position{ r_source.known.era, 0 }, r_source.known, r_source.state_at, r_source.list, true };
	const bool is_first = !r_node.was_loaded;
	_send_message(r_source, bytes, [this, &r_source, &r_node, snapshot, is_first] {
		r_node.request.on_answered(r_source.vm);
		if (is_first) {
			_adopt(r_node, snapshot);
		} else {
			_apply(r_node, snapshot);
		}
	});
}

void store_fleet::_adopt(node &r_node, const delta &p_delta) {
	if (r_node.was_loaded) {
		return;
	}
	r_node.is_loaded = true;
	r_node.was_loaded = true;
	r_node.ready_at = _now;
	r_node.known = p_delta.to;
	r_node.list = p_delta.list;
	r_node.answered_at = _now;
	r_node.schedule.abandon();
	_set_state(r_node, p_delta.state_at);
	const bool reads_now = _is_in_turns() && !r_node.schedule.has_peer_reader();
	_read_in(r_node, reads_now ? duration::zero() : PEER_READ_TIMEOUT);
}

void store_fleet::_record_age(node &r_node) {
	const double age = to_seconds(_now - r_node.state_at);
	const bool is_outdated = _now - r_node.state_at > MAX_AGE;
	if (r_node.is_turned_away) {
		_result.outdated_turned_away += is_outdated && !r_node.was_outdated_turned_away ? 1 : 0;
		r_node.was_outdated_turned_away = r_node.was_outdated_turned_away || is_outdated;
		_result.oldest_turned_away = std::max(_result.oldest_turned_away, age);
	}
	if (is_outdated) {
		_result.last_outdated_at = std::max(_result.last_outdated_at, to_seconds(_now.time_since_epoch()));
	}
	if (_now <= _first_check) {
		return;
	}
	_result.outdated_nodes += is_outdated && !r_node.was_outdated ? 1 : 0;
	r_node.was_outdated = r_node.was_outdated || is_outdated;
	_result.oldest_age = std::max(_result.oldest_age, age);
}

void store_fleet::_set_state(node &r_node, instant p_state_at) {
	_record_age(r_node);
	r_node.state_at = std::max(r_node.state_at, p_state_at);
}

} // namespace calicoscale
