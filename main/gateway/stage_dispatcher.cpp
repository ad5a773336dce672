/*
 * calicoscale: stage_dispatcher.cpp
 * Assigns stage work to the node that dispatches its pool, and dispatches the pools assigned to this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/stage_dispatcher.h"

#include "drivers/activity_scope.h"
#include "platform/stage_codec.h"
#include "servers/gateway/work_report.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration TICK = std::chrono::milliseconds(30);
/** A longer gap between ticks means that this process was stalled; by then the work assigned to it has moved to other nodes. */
constexpr duration STALL_THRESHOLD = std::chrono::milliseconds(600);
/** A silent node may return with its requests. After this time its results are released, which is before they expire by themselves. */
constexpr duration FAILED_NODE_RESULT_LIFETIME = std::chrono::milliseconds(600);

/** Returns zero if p_begin is not set. */
duration get_time_since(instant p_begin, instant p_now) {
	return p_begin == instant{} ? duration::zero() : p_now - p_begin;
}

} // namespace

stage_dispatcher::stage_dispatcher(gateway_context &p_context, configuration_follower &p_configuration, gateway_fleet &p_fleet, endpoint_exchanges &p_endpoints, commitment_table &p_commitments, send_guard &p_guard) :
		_context(p_context), _configuration(p_configuration), _fleet(p_fleet), _endpoints(p_endpoints), _commitments(p_commitments), _tick_timer(p_context.loop, [this] { _tick(); }), _guard(p_guard) {
	node_link &link = _fleet.get_link();
	link.work_handed().connect([this](const std::string &p_vm, const assign_work_message &p_message) { _on_work_assigned(p_vm, p_message); });
	link.work_ended().connect([this](const std::string &p_vm, const work_ended_message &p_message) { _on_assigned_work_ended(p_vm, p_message); });
	link.work_cancelled().connect([this](const std::string &p_vm, const cancel_work_message &p_message) {
		const auto found = _pools.find(p_message.pool);
		if (found != _pools.end()) {
			_cancel_accepted(found->second, p_vm, p_message.id);
		}
	});
	link.results_released().connect([this](const std::string &, const release_results_message &p_message) {
		_get_pool(p_message.pool).calls.release(p_message.handles);
	});
	link.results_reported().connect([this](const std::string &p_vm, const report_results_message &p_message) { _on_results_reported(p_vm, p_message); });
	link.peer_replaced().connect([this](const std::string &p_vm) { _on_peer_replaced(p_vm); });
	_fleet.reachability_changed().connect([this](const std::set<std::string> &p_zones) { _on_reach_changed(p_zones); });
	_fleet.peer_failed().connect([this](const std::string &p_vm) { _on_peer_lost(p_vm); });
}

void stage_dispatcher::start() {
	_ticked_at = event_loop::now();
	_tick_timer.set(TICK);
}

void stage_dispatcher::set_endpoints(const std::vector<endpoint_listing> &p_listings) {
	const std::shared_ptr<const gateway_configuration> &configuration = _configuration.get_current();
	if (!configuration) {
		return;
	}
	_staying.clear();
	for (const endpoint_listing &listing : p_listings) {
		if (!listing.leaving) {
			_staying[listing.pool].push_back(listing);
		}
	}
	for (const auto &[name, service] : configuration->services) {
		if (service.stage_pool) {
			_commitments.set_shards(name, _count_shards(name));
			for (const std::string &shard : _get_shard_names(name)) {
				_get_pool(shard);
			}
		}
	}
	// Pools that remain from another number of shards still complete the work that they accepted.
	for (auto &[name, entry] : _pools) {
		_update_replicas(name, entry);
	}
	_on_reach_changed(_fleet.get_unreachable_zones());
}

std::size_t stage_dispatcher::_count_shards(const std::string &p_pool) const {
	const auto staying = _staying.find(p_pool);
	const bool may_split = _context.settings.mechanisms.has(mechanism::POOL_SHARDS);
	return staying == _staying.end() || !may_split ? 1 : count_shards(staying->second.size());
}

std::vector<std::string> stage_dispatcher::_get_shard_names(const std::string &p_pool) const {
	const std::size_t count = _count_shards(p_pool);
	std::vector<std::string> names;
	for (std::size_t index = 0; index < count; index++) {
		names.push_back(make_shard_name(pool_shard{ p_pool, index, count }));
	}
	return names;
}

std::vector<endpoint_listing> stage_dispatcher::_get_replicas(const std::string &p_name) const {
	const pool_shard shard = parse_shard_name(p_name);
	const auto staying = _staying.find(shard.pool);
	std::vector<endpoint_listing> replicas;
	if (staying == _staying.end()) {
		return replicas;
	}
	std::copy_if(staying->second.begin(), staying->second.end(), std::back_inserter(replicas), [this, &shard](const endpoint_listing &p_listing) {
		return shard.has(p_listing.vm) && !_evacuated_zones.contains(p_listing.zone);
	});
	return replicas;
}

void stage_dispatcher::_update_replicas(const std::string &p_name, pool_entry &r_entry) {
	const gateway_service *service = _configuration.get_current() ? _configuration.get_current()->find_service(parse_shard_name(p_name).pool) : nullptr;
	if (service != nullptr && service->stage_pool) {
		r_entry.calls.get_pool().set_spec(*service->stage_pool);
		r_entry.calls.get_pool().set_replicas(_get_replicas(p_name));
	}
}

bool stage_dispatcher::has_no_admitted_endpoint(const std::string &p_pool, const home_regions &p_homes) const {
	const auto staying = _staying.find(p_pool);
	return staying != _staying.end() && std::all_of(staying->second.begin(), staying->second.end(), [this, &p_homes](const endpoint_listing &p_listing) {
		return _evacuated_zones.contains(p_listing.zone) || !p_homes.admits(p_listing.zone, _context.settings.regions);
	});
}

stage_dispatcher::pool_entry &stage_dispatcher::_get_pool(const std::string &p_name) {
	const auto found = _pools.find(p_name);
	if (found != _pools.end()) {
		return found->second;
	}
	pool_caller_hooks hooks;
	hooks.on_run_interrupted = [this](const interrupted_run &p_run) { _on_run_lost(p_run); };
	// After a process stall, answers are read before the tick drops the work that has moved to other nodes. No calls are sent until then.
	hooks.may_call = [this] { return event_loop::now() - _ticked_at <= STALL_THRESHOLD; };
	hooks.on_ended = [this, p_name](const work_result &p_result) { _on_ended(_pools.at(p_name), p_result); };
	pool_entry &made = _pools.try_emplace(p_name, _context, _endpoints, _guard, p_name, std::move(hooks)).first->second;
	_update_replicas(p_name, made);
	return made;
}

dispatch_view stage_dispatcher::_get_view() const {
	if (!_context.settings.mechanisms.has(mechanism::SHARED_DISPATCH)) {
		return dispatch_view{ _fleet.get_vm(), {}, false, {} };
	}
	return dispatch_view{ _fleet.get_vm(), _fleet.get_dispatch_nodes(), !_fleet.is_hub(), [this](const std::string &p_vm) { return _fleet.get_link().is_linked(p_vm); } };
}

void stage_dispatcher::_update_no_dispatcher_since(const dispatch_view &p_view, instant p_now) {
	if (!p_view.nodes.empty() || !p_view.is_follower) {
		_no_dispatcher_since = instant{};
	} else if (_no_dispatcher_since == instant{}) {
		_no_dispatcher_since = p_now;
	}
}

std::string stage_dispatcher::_choose_node(const std::string &p_pool) const {
	return choose_dispatcher(p_pool, _get_view(), [](const std::string &) { return true; });
}

std::uint64_t stage_dispatcher::submit(const std::string &p_pool, stage_work p_work, end_hook p_hook) {
	const std::uint64_t id = _next_own++;
	const std::string shard = choose_shard(p_pool, _count_shards(p_pool), p_work.attempt);
	_own.emplace(id, own_work{ shard, std::move(p_work), "", std::move(p_hook), {} });
	_assign(id, "");
	return id;
}

assign_work_message stage_dispatcher::_make_assignment(std::uint64_t p_id, const own_work &p_own) const {
	const instant now = event_loop::now();
	assign_work_message message;
	message.id = p_id;
	message.pool = p_own.pool;
	message.attempt = p_own.work.attempt;
	message.stage = static_cast<std::uint32_t>(p_own.work.stage);
	message.pieces = static_cast<std::uint32_t>(p_own.work.pieces);
	message.caller_key = p_own.work.caller_key;
	message.inputs = p_own.work.inputs;
	message.give_up_in = p_own.work.give_up_at - now;
	message.due_in = p_own.work.due_at - now;
	message.priority = p_own.work.priority;
	message.zone = p_own.work.zone;
	message.result_bytes = p_own.work.result_bytes;
	message.transfer_bytes = p_own.work.transfer_bytes;
	message.run = p_own.work.run;
	message.is_alone = p_own.work.is_alone;
	message.homes = p_own.work.homes.get_regions();
	return message;
}

void stage_dispatcher::_assign(std::uint64_t p_id, const std::string &p_except) {
	own_work &own = _own.at(p_id);
	const instant now = event_loop::now();
	const dispatch_view view = _get_view();
	_update_no_dispatcher_since(view, now);
	const dispatch_wait wait{ get_time_since(_no_dispatcher_since, now), get_time_since(own.waits_since, now) };
	const std::optional<std::string> node = choose_work_node(own.pool, p_except, view, wait);
	if (!node) {
		own.node.clear();
		return;
	}
	if (*node == _fleet.get_vm()) {
		own.node = *node;
		_log_requested(own);
		_accept(own.pool, "", p_id, own.work);
		return;
	}
	if (_fleet.get_link().send(*node, _make_assignment(p_id, own))) {
		own.node = *node;
		_log_requested(own);
		return;
	}
	_fleet.keep_link(*node);
	own.node.clear();
	own.waits_since = own.waits_since == instant{} ? now : own.waits_since;
}

void stage_dispatcher::_assign_waiting() {
	std::vector<std::uint64_t> waiting;
	for (const auto &[id, own] : _own) {
		if (own.node.empty()) {
			waiting.push_back(id);
		}
	}
	for (const std::uint64_t id : waiting) {
		if (_own.contains(id)) {
			_assign(id, "");
		}
	}
}

void stage_dispatcher::_keep_links() {
	if (!_configuration.get_current()) {
		return;
	}
	for (const auto &[name, service] : _configuration.get_current()->services) {
		for (const std::string &shard : service.stage_pool ? _get_shard_names(name) : std::vector<std::string>()) {
			const std::string node = _choose_node(shard);
			if (node != _fleet.get_vm()) {
				_fleet.keep_link(node);
			}
		}
	}
}

void stage_dispatcher::_log_requested(const own_work &p_own) {
	const instant now = event_loop::now();
	_context.log.write_request(log_line("stage_asked").add("request", p_own.work.attempt).add("stage", static_cast<long long>(p_own.work.stage)).add("pool", p_own.pool).add("pieces", static_cast<long long>(p_own.work.pieces)).add("node", p_own.node).add("left_ms", p_own.work.give_up_at - now).add("link_wait_ms", get_time_since(p_own.waits_since, now)));
}

void stage_dispatcher::_accept(const std::string &p_pool, const std::string &p_node, std::uint64_t p_id, stage_work p_work) {
	pool_entry &entry = _get_pool(p_pool);
	const work_id id = _next_accepted++;
	entry.accepted[id] = accepted_work{ p_node, p_id, p_work.attempt, p_work.stage };
	entry.by_owner[{ p_node, p_id }] = id;
	entry.calls.add(id, std::move(p_work));
	_pump_soon();
}

void stage_dispatcher::_on_work_assigned(const std::string &p_vm, const assign_work_message &p_message) {
	constexpr std::uint32_t MAX_ITEMS = 4096;
	if (p_message.pieces == 0 || p_message.pieces > MAX_ITEMS) {
		_context.metrics.count("work_rejected");
		_context.log.write(log_line("work_rejected").add("node", p_vm).add("pieces", static_cast<long long>(p_message.pieces)));
		return;
	}
	const instant now = event_loop::now();
	stage_work work;
	work.attempt = p_message.attempt;
	work.stage = p_message.stage;
	work.pieces = p_message.pieces;
	work.caller_key = p_message.caller_key;
	work.inputs = p_message.inputs;
	work.give_up_at = now + p_message.give_up_in;
	work.due_at = now + p_message.due_in;
	work.priority = p_message.priority;
	work.zone = p_message.zone;
	work.result_bytes = static_cast<std::size_t>(p_message.result_bytes);
	work.transfer_bytes = static_cast<std::size_t>(p_message.transfer_bytes);
	work.run = p_message.run;
	work.is_alone = p_message.is_alone;
	work.homes = home_regions(p_message.homes);
	_accept(p_message.pool, p_vm, p_message.id, std::move(work));
}

void stage_dispatcher::_on_assigned_work_ended(const std::string &p_vm, const work_ended_message &p_message) {
	const auto found = _own.find(p_message.id);
	// Ignores the message if the work has since been assigned to another node.
	if (found == _own.end() || found->second.node != p_vm) {
		return;
	}
	const work_mismatch mismatch = find_mismatch(found->second.work, work_report{ p_message.end, p_message.attempt, p_message.stage, p_message.handles.size() });
	if (mismatch != work_mismatch::NONE) {
		_context.metrics.count("work_results_rejected");
		_context.log.write(log_line("work_result_rejected").add("request", found->second.work.attempt).add("pool", found->second.pool).add("node", p_vm).add("mismatch", get_name(mismatch)).add("reported_request", p_message.attempt));
		_fleet.get_link().send(p_vm, cancel_work_message{ p_message.id, found->second.pool });
		_assign(p_message.id, p_vm);
		return;
	}
	const work_end end = static_cast<work_end>(p_message.end);
	if (end == work_end::DROPPED) {
		_context.log.write_request(log_line("stage_asked_again").add("request", found->second.work.attempt).add("pool", found->second.pool).add("dropped_by", p_vm));
		_assign(p_message.id, "");
		return;
	}
	_end_own(p_message.id, work_result{ p_message.id, end, p_message.handles, p_message.incarnations });
}

void stage_dispatcher::_drop_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id) {
	const auto found = p_entry.by_owner.find({ p_node, p_id });
	if (found == p_entry.by_owner.end()) {
		return;
	}
	const accepted_work accepted = p_entry.accepted.at(found->second);
	_cancel_accepted(p_entry, p_node, p_id);
	_report_end(accepted, work_result{ p_id, work_end::DROPPED, {}, {} });
}

void stage_dispatcher::_report_end(const accepted_work &p_accepted, const work_result &p_result) {
	_fleet.get_link().send(p_accepted.node, work_ended_message{ p_accepted.id, static_cast<std::uint8_t>(p_result.end), p_result.handles, p_result.incarnations, p_accepted.attempt, static_cast<std::uint32_t>(p_accepted.stage) });
}

void stage_dispatcher::_cancel_accepted(pool_entry &p_entry, const std::string &p_node, std::uint64_t p_id) {
	const auto found = p_entry.by_owner.find({ p_node, p_id });
	if (found == p_entry.by_owner.end()) {
		return;
	}
	p_entry.calls.get_pool().cancel(found->second);
	p_entry.accepted.erase(found->second);
	p_entry.by_owner.erase(found);
}

void stage_dispatcher::cancel(std::uint64_t p_id) {
	const auto found = _own.find(p_id);
	if (found == _own.end()) {
		return;
	}
	const own_work own = std::move(found->second);
	_own.erase(found);
	if (own.node == _fleet.get_vm()) {
		_cancel_accepted(_get_pool(own.pool), "", p_id);
	} else if (!own.node.empty()) {
		_fleet.get_link().send(own.node, cancel_work_message{ p_id, own.pool });
	}
}

void stage_dispatcher::_end_own(std::uint64_t p_id, const work_result &p_result) {
	const auto found = _own.find(p_id);
	if (found == _own.end()) {
		return;
	}
	const own_work own = std::move(found->second);
	_own.erase(found);
	for (std::size_t i = 0; i < p_result.handles.size(); i++) {
		const std::uint64_t incarnation = i < p_result.incarnations.size() ? p_result.incarnations[i] : 0;
		_used_results[own.pool][p_result.handles[i]] = own_result{ own.work.result_bytes, own.node, incarnation };
	}
	own.hook(p_result);
}

void stage_dispatcher::_report_used_results(const std::string &p_pool, std::map<std::string, own_result> &r_results) {
	if (r_results.empty() || !_context.settings.mechanisms.has(mechanism::REPORTED_RESULTS)) {
		return;
	}
	const std::string node = _choose_node(p_pool);
	report_results_message message;
	message.pool = p_pool;
	for (const auto &[handle, result] : r_results) {
		if (result.reported_to != node) {
			message.handles.push_back(handle);
			message.result_bytes.push_back(result.bytes);
			message.incarnations.push_back(result.incarnation);
		}
	}
	if (message.handles.empty()) {
		return;
	}
	if (node == _fleet.get_vm()) {
		_on_results_reported("", message);
	} else if (!_fleet.get_link().send(node, message)) {
		return;
	}
	for (auto &[handle, result] : r_results) {
		result.reported_to = node;
	}
	_context.log.write(log_line("results_told").add("pool", p_pool).add("node", node).add("count", static_cast<long long>(message.handles.size())));
}

void stage_dispatcher::_on_results_reported(const std::string &p_owner, const report_results_message &p_message) {
	std::vector<owned_result> results;
	for (std::size_t i = 0; i < p_message.handles.size(); i++) {
		const std::uint64_t incarnation = i < p_message.incarnations.size() ? p_message.incarnations[i] : 0;
		results.push_back(owned_result{ p_message.handles[i], get_producer(p_message.handles[i]), incarnation, static_cast<double>(p_message.result_bytes[i]) });
	}
	_get_pool(p_message.pool).calls.get_pool().on_results_reported(p_owner, results, event_loop::now());
}

void stage_dispatcher::_release_results_of(const std::string &p_vm) {
	for (auto &[name, entry] : _pools) {
		const std::vector<std::string> handles = entry.calls.get_pool().get_results_of(p_vm);
		entry.calls.release(handles);
		if (!handles.empty()) {
			_context.log.write(log_line("results_of_lost_released").add("pool", name).add("vm", p_vm).add("count", static_cast<long long>(handles.size())));
		}
	}
}

void stage_dispatcher::_on_peer_replaced(const std::string &p_vm) {
	_failed_at.erase(p_vm);
	_release_results_of(p_vm);
	for (auto &[pool, results] : _used_results) {
		for (auto &[handle, result] : results) {
			if (result.reported_to == p_vm) {
				result.reported_to.clear();
			}
		}
	}
}

void stage_dispatcher::_release_results_of_failed() {
	const instant now = event_loop::now();
	for (auto lost = _failed_at.begin(); lost != _failed_at.end();) {
		if (!_fleet.is_responsive(lost->first) && now - lost->second < FAILED_NODE_RESULT_LIFETIME) {
			++lost;
			continue;
		}
		if (!_fleet.is_responsive(lost->first) && _context.settings.mechanisms.has(mechanism::LOST_RESULTS)) {
			_release_results_of(lost->first);
		}
		lost = _failed_at.erase(lost);
	}
}

void stage_dispatcher::_on_peer_lost(const std::string &p_vm) {
	_failed_at[p_vm] = event_loop::now();
	std::vector<std::uint64_t> moved;
	for (const auto &[id, own] : _own) {
		if (own.node == p_vm) {
			moved.push_back(id);
		}
	}
	for (const std::uint64_t id : moved) {
		_assign(id, p_vm);
	}
	for (auto &[name, entry] : _pools) {
		std::vector<std::uint64_t> orphans;
		for (const auto &[owner, id] : entry.by_owner) {
			if (owner.first == p_vm) {
				orphans.push_back(owner.second);
			}
		}
		for (const std::uint64_t id : orphans) {
			_drop_accepted(entry, p_vm, id);
		}
	}
	if (!moved.empty()) {
		_context.log.write(log_line("work_moved").add("from", p_vm).add("count", static_cast<long long>(moved.size())));
	}
}

void stage_dispatcher::_on_reach_changed(const std::set<std::string> &p_zones) {
	for (auto &[name, entry] : _pools) {
		entry.calls.set_unreachable_zones(p_zones);
	}
	_pump_soon();
}

void stage_dispatcher::_pump_soon() {
	if (_pump_posted) {
		return;
	}
	_pump_posted = true;
	_context.loop.post([this] {
		_pump_posted = false;
		_pump();
	});
}

void stage_dispatcher::_pump() {
	for (auto &[name, entry] : _pools) {
		entry.calls.pump();
	}
}

void stage_dispatcher::_on_ended(pool_entry &p_entry, const work_result &p_result) {
	const auto found = p_entry.accepted.find(p_result.id);
	if (found == p_entry.accepted.end()) {
		p_entry.calls.release(p_result.handles);
		return;
	}
	const accepted_work accepted = found->second;
	p_entry.accepted.erase(found);
	p_entry.by_owner.erase({ accepted.node, accepted.id });
	if (accepted.node.empty()) {
		_end_own(accepted.id, work_result{ accepted.id, p_result.end, p_result.handles, p_result.incarnations });
		return;
	}
	p_entry.calls.get_pool().set_owner(p_result.handles, accepted.node);
	_report_end(accepted, p_result);
}

std::string stage_dispatcher::_remove_used_result(const std::string &p_pool, const std::string &p_handle) {
	for (auto &[name, used_results] : _used_results) {
		if (used_results.contains(p_handle) && parse_shard_name(name).pool == p_pool) {
			used_results.erase(p_handle);
			return name;
		}
	}
	return choose_shard(p_pool, _count_shards(p_pool), p_handle);
}

void stage_dispatcher::release(const std::string &p_pool, const std::vector<std::string> &p_handles) {
	std::map<std::string, std::vector<std::string>> by_shard;
	for (const std::string &handle : p_handles) {
		by_shard[_remove_used_result(p_pool, handle)].push_back(handle);
	}
	for (const auto &[shard, handles] : by_shard) {
		const std::string node = _choose_node(shard);
		if (node == _fleet.get_vm() || !_fleet.get_link().send(node, release_results_message{ shard, handles })) {
			_get_pool(shard).calls.release(handles);
		}
	}
}

void stage_dispatcher::_drop_work_after_stall() {
	for (auto &[name, entry] : _pools) {
		std::vector<std::pair<std::string, std::uint64_t>> handed;
		for (const auto &[owner, id] : entry.by_owner) {
			if (!owner.first.empty()) {
				handed.push_back(owner);
			}
		}
		for (const auto &[node, id] : handed) {
			_drop_accepted(entry, node, id);
		}
		if (!handed.empty()) {
			_context.log.write(log_line("work_forgotten_after_pause").add("pool", name).add("count", static_cast<long long>(handed.size())));
		}
	}
}

bool stage_dispatcher::_is_dispatching(const std::string &p_name) const {
	const pool_shard shard = parse_shard_name(p_name);
	return shard.count == _count_shards(shard.pool) && _choose_node(p_name) == _fleet.get_vm();
}

void stage_dispatcher::_update_slack_parts() {
	// A dispatcher repeats for the nodes that reach it. Nodes that do not may have another dispatcher.
	const double part = _context.settings.mechanisms.has(mechanism::SHARED_DISPATCH) ? _fleet.get_reached_part() : _fleet.get_own_part();
	for (auto &[name, entry] : _pools) {
		entry.calls.set_slack_part(_is_dispatching(name) ? part / static_cast<double>(parse_shard_name(name).count) : 0.0);
	}
}

std::vector<pool_capacity> stage_dispatcher::get_capacities() {
	std::vector<pool_capacity> capacities;
	for (const auto &[name, entry] : _pools) {
		if (!_is_dispatching(name)) {
			continue;
		}
		const double replicas = entry.calls.get_pool().get_capacity(event_loop::now());
		_commitments.set_capacity(name, replicas);
		capacities.push_back(pool_capacity{ name, replicas });
	}
	return capacities;
}

void stage_dispatcher::_tick() {
	const activity_scope scope(_context.loop, activity::STAGE_TICK);
	const instant now = event_loop::now();
	if (now - _ticked_at > STALL_THRESHOLD) {
		_drop_work_after_stall();
	}
	_ticked_at = now;
	_update_no_dispatcher_since(_get_view(), now);
	_keep_links();
	_assign_waiting();
	for (auto &[name, used_results] : _used_results) {
		_report_used_results(name, used_results);
	}
	_release_results_of_failed();
	_update_slack_parts();
	for (auto &[name, entry] : _pools) {
		entry.calls.tick();
	}
	_tick_timer.set(TICK);
}

std::size_t stage_dispatcher::get_accepted_count() const {
	std::size_t count = 0;
	for (const auto &[name, entry] : _pools) {
		count += entry.accepted.size();
	}
	return count;
}

} // namespace calicoscale
