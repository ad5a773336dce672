/*
 * calicoscale: pool_caller.cpp
 * Calls the replicas of one stage pool.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/pool_caller.h"

#include "core/bounded_body.h"
#include "core/digest.h"
#include "drivers/activity_scope.h"
#include "drivers/http_status.h"
#include "main/gateway/retry_report.h"
#include "main/gateway/run_proof.h"
#include "platform/request_codec.h"
#include "platform/stage_codec.h"
#include "servers/gateway/pool_shards.h"

#include <algorithm>
#include <memory>

namespace calicoscale {

namespace {

/** Short, as items wait for the connection, and an unreachable replica must not delay them for long. */
constexpr duration CONNECT_TIMEOUT = std::chrono::milliseconds(120);
/** Maximum size of an answer in bytes: this and a part for each item. Parsing takes many times the memory of the text. */
constexpr std::size_t MAX_ANSWER_BYTES = 16UL * 1024;
/** A result takes some hundred bytes. */
constexpr std::size_t MAX_ITEM_BYTES = 4UL * 1024;
/** Maximum number of requests named in the log line of a call, which keeps the line within about a kilobyte. */
constexpr std::size_t MAX_LOGGED_REQUESTS = 32;
constexpr duration MAX_REPLICA_IDLE_TIME = std::chrono::milliseconds(3000);
/** Waiting time after which a release to a limited replica takes precedence over calls. Results expire after some seconds. */
constexpr duration MAX_RELEASE_DELAY = std::chrono::milliseconds(1500);

call_end get_call_end(channel_end p_end, int p_status, const endpoint_answer &p_answer) {
	switch (find_run_proof(get_answer_end(p_end), p_answer)) {
		case run_proof::NOT_SENT:
			return call_end::UNREACHABLE;
		case run_proof::REJECTED:
		case run_proof::OTHER_ENDPOINT:
			return call_end::REFUSED;
		case run_proof::NONE:
			break;
	}
	return p_end == channel_end::COMPLETE && p_status == http_status::OK ? call_end::ANSWERED : call_end::BROKEN;
}

/** Lists the ids of the requests that share a call, so that each request can be found in the log by its id. */
std::string list_attempts(const std::vector<stage_call_item> &p_items) {
	std::string list;
	std::size_t count = 0;
	const std::string *last = nullptr;
	for (const stage_call_item &item : p_items) {
		// Items of one request are adjacent.
		if (last != nullptr && *last == item.work->attempt) {
			continue;
		}
		last = &item.work->attempt;
		if (count++ < MAX_LOGGED_REQUESTS) {
			list += (list.empty() ? "" : ",") + item.work->attempt;
		}
	}
	return list;
}

} // namespace

pool_caller::pool_caller(gateway_context &p_context, endpoint_exchanges &p_endpoints, send_guard &p_guard, std::string p_name, pool_caller_hooks p_hooks) :
		_context(p_context), _endpoints(p_endpoints), _guard(p_guard), _name(std::move(p_name)), _service(parse_shard_name(_name).pool), _hooks(std::move(p_hooks)), _pool(p_context.settings.mechanisms), _repeats(p_context.settings.retries) {
	_pool.set_regions(p_context.settings.regions);
	_pool.set_limit([this](const endpoint_identity &p_replica, instant p_now) {
		return _guard.get_rollouts().may_call(_service, p_replica.vm, _pool.get_batch()) && _guard.may_send(p_replica, sender_share::FULL, p_now);
	});
}

bool pool_caller::_try_repeat(instant p_now) {
	const retry_decision decision = _repeats.try_repeat(_name, p_now);
	report_retry_decision(_context, decision, log_line(get_event_name(decision)).add("pool", _name));
	return decision.is_allowed;
}

void pool_caller::add(work_id p_id, stage_work p_work) {
	const instant now = event_loop::now();
	_repeats.on_request(_name, now);
	_pool.add(p_id, std::move(p_work), now);
}

std::optional<stage_call> pool_caller::_choose_call(instant p_now) {
	if (!_hooks.may_call()) {
		return std::nullopt;
	}
	const activity_scope scope(_context.loop, activity::STAGE_SEARCH);
	return _pool.next_call(p_now);
}

void pool_caller::pump() {
	const instant now = event_loop::now();
	for (std::optional<stage_call> call = _choose_call(now); call; call = _choose_call(now)) {
		_send(*call);
	}
	const activity_scope scope(_context.loop, activity::STAGE_ENDS);
	for (const work_result &result : _pool.take_ended()) {
		_hooks.on_ended(result);
	}
	release(_pool.take_unneeded_results());
}

void pool_caller::set_unreachable_zones(const std::set<std::string> &p_zones) {
	const instant now = event_loop::now();
	_pool.set_unreachable_zones(p_zones, [this, now] { return _try_repeat(now); });
}

void pool_caller::tick() {
	const instant now = event_loop::now();
	_pool.tick([this, now] { return _try_repeat(now); }, now);
	_give_up_overdue();
	_count_examined();
	_send_releases(MAX_RELEASE_DELAY);
	pump();
	_send_releases(duration::zero());
}

void pool_caller::_count_examined() {
	const std::uint64_t examined = _pool.get_examined();
	_context.metrics.count("stage_works_examined", static_cast<double>(examined - _examined_reported));
	_examined_reported = examined;
}

void pool_caller::_send(const stage_call &p_call) {
	const activity_scope scope(_context.loop, activity::STAGE_SEND);
	const instant now = event_loop::now();
	std::vector<stage_call_item> items;
	items.reserve(p_call.items.size());
	for (const stage_item &item : p_call.items) {
		const stage_work *work = _pool.find_work(item.work);
		items.push_back(stage_call_item{ work, item.piece, work->give_up_at - now });
	}
	channel_request request;
	request.endpoint = p_call.replica;
	request.to = p_call.to;
	request.zone = p_call.zone;
	request.service = _service;
	request.bytes = write_stage_call(p_call.replica.vm, p_call.to, items);
	request.longest_idle = MAX_REPLICA_IDLE_TIME;
	request.connect_timeout = CONNECT_TIMEOUT;
	struct answer_state {
		int status = 0;
		endpoint_answer notes;
		bounded_body body;
	};
	const std::shared_ptr<answer_state> answer = std::make_shared<answer_state>(answer_state{ 0, {}, bounded_body(MAX_ANSWER_BYTES + MAX_ITEM_BYTES * p_call.items.size()) });
	channel_hooks hooks;
	const auto break_off = [this, p_call, answer] {
		_endpoints.cancel(_exchanges[p_call.id]);
		_on_ended(p_call, channel_end::MALFORMED, answer->status, answer->notes, "");
	};
	hooks.on_head = [this, answer, replica = p_call.replica, now, break_off](const http_head &p_head) {
		const endpoint_answer head = read_endpoint_answer(p_head);
		answer->status = p_head.status;
		answer->notes = head;
		answer->body.clear();
		if (head.is_contradictory) {
			break_off();
			return;
		}
		if (!head.is_other_endpoint) {
			if (head.notice.load) {
				_pool.on_load_reported(replica, head.notice.load->pace, event_loop::now());
			}
			_guard.on_answer(replica, head.notice, head.did_not_run || p_head.status == http_status::OK, now);
		}
	};
	hooks.on_body = [answer, break_off](std::string_view p_bytes) {
		answer->body.append(p_bytes);
		if (!answer->body.is_complete()) {
			break_off();
		}
	};
	hooks.get_answer_digest = [answer]() -> std::optional<std::uint64_t> {
		if (answer->status != http_status::OK || !names_result(answer->body.get())) {
			return std::nullopt;
		}
		return hash_bytes(answer->body.get());
	};
	hooks.on_end = [this, p_call, answer](channel_end p_end) {
		_on_ended(p_call, p_end, answer->status, answer->notes, answer->body.get());
	};
	_runs[p_call.id] = sent_run{ _guard.get_rollouts().on_call(_service, p_call.replica.vm, p_call.items.size()), now };
	_guard.on_sent(p_call.replica, now);
	_context.metrics.count("stage_calls");
	_context.metrics.count("stage_pieces", static_cast<double>(p_call.items.size()));
	_context.log.write_request(log_line("stage_call").add("pool", _name).add("call", static_cast<long long>(p_call.id)).add("replica", p_call.replica.vm).add("pieces", static_cast<long long>(p_call.items.size())).add("requests", list_attempts(items)).add("waiting", static_cast<long long>(_pool.get_waiting_items())));
	_exchanges[p_call.id] = _endpoints.start(std::move(request), std::move(hooks));
}

void pool_caller::_give_up_overdue() {
	for (const std::uint64_t call : _pool.get_overdue(event_loop::now())) {
		_endpoints.cancel(_exchanges[call]);
		_exchanges.erase(call);
		_end_run(call, call_end::BROKEN, {});
		_context.metrics.count("stage_calls_overdue");
		_context.log.write_request(log_line("stage_call_overdue").add("pool", _name).add("call", static_cast<long long>(call)));
		_pool.on_call_ended(call, call_end::BROKEN, {}, event_loop::now());
	}
}

void pool_caller::_on_ended(const stage_call &p_call, channel_end p_end, int p_status, const endpoint_answer &p_answer, const std::string &p_body) {
	const activity_scope scope(_context.loop, activity::STAGE_ENDS);
	_exchanges.erase(p_call.id);
	call_end end = get_call_end(p_end, p_status, p_answer);
	std::vector<item_result> results;
	if (end == call_end::ANSWERED) {
		results = read_stage_answer(p_body, p_call.items.size());
	}
	// An answer that was truncated by an orderly close cannot be parsed.
	const bool is_cut = end == call_end::ANSWERED && results.empty();
	if (is_cut) {
		end = call_end::BROKEN;
	}
	if (is_cut || p_end == channel_end::BROKEN) {
		_report_interrupted_runs(p_call);
	}
	if (end != call_end::ANSWERED) {
		_context.metrics.count("stage_calls_failed");
		_context.log.write_request(log_line("stage_call_failed").add("pool", _name).add("call", static_cast<long long>(p_call.id)).add("replica", p_call.replica.vm).add("end", is_cut ? "cut" : get_name(p_end)).add("status", static_cast<long long>(p_status)));
	}
	_end_run(p_call.id, end, results);
	_record_without_capacity(p_call, results);
	_pool.on_call_ended(p_call.id, end, results, event_loop::now());
	pump();
}

void pool_caller::_end_run(std::uint64_t p_call, call_end p_end, const std::vector<item_result> &p_results) {
	const auto found = _runs.find(p_call);
	if (found == _runs.end()) {
		return;
	}
	const sent_run sent = found->second;
	_runs.erase(found);
	const bool has_failed_piece = std::any_of(p_results.begin(), p_results.end(), [](const item_result &p_result) { return p_result.end == item_end::FAILED; });
	if (p_end == call_end::ANSWERED || p_end == call_end::BROKEN) {
		_guard.get_rollouts().on_answer(sent.run, _service, p_end == call_end::BROKEN || has_failed_piece, event_loop::now() - sent.at);
	}
	_guard.get_rollouts().on_ended(sent.run);
}

void pool_caller::_report_interrupted_runs(const stage_call &p_call) {
	std::set<work_id> noted;
	for (const stage_item &item : p_call.items) {
		const stage_work *work = _pool.find_work(item.work);
		if (work != nullptr && noted.insert(item.work).second) {
			_hooks.on_run_interrupted(interrupted_run{ work->attempt, work->run, p_call.replica, p_call.to, _service, {} });
		}
	}
}

void pool_caller::_record_without_capacity(const stage_call &p_call, const std::vector<item_result> &p_results) {
	const std::ptrdiff_t without_room = std::count_if(p_results.begin(), p_results.end(), [](const item_result &p_result) { return p_result.end == item_end::NO_CAPACITY; });
	if (without_room > 0) {
		_context.metrics.count("stage_pieces_without_room", static_cast<double>(without_room));
		_context.log.write_request(log_line("stage_call_without_room").add("pool", _name).add("call", static_cast<long long>(p_call.id)).add("replica", p_call.replica.vm).add("pieces", static_cast<long long>(p_results.size())).add("without_room", static_cast<long long>(without_room)));
	}
}

void pool_caller::release(const std::vector<std::string> &p_handles) {
	if (p_handles.empty()) {
		return;
	}
	_pool.on_released(p_handles);
	for (const std::string &handle : p_handles) {
		pending_release &pending = _to_release[to_string(get_producer(handle))];
		pending.since = pending.handles.empty() ? event_loop::now() : pending.since;
		pending.handles.push_back(handle);
	}
}

void pool_caller::_send_releases(duration p_min_age) {
	const activity_scope scope(_context.loop, activity::STAGE_RELEASES);
	const instant now = event_loop::now();
	std::erase_if(_to_release, [this, p_min_age, now](const auto &p_entry) {
		const auto &[producer, pending] = p_entry;
		if (now - pending.since < p_min_age || !_may_release(producer, now)) {
			return false;
		}
		_send_release(producer, pending.handles);
		return true;
	});
}

bool pool_caller::_may_release(const std::string &p_producer, instant p_now) {
	const endpoint_limits &limits = _guard.get_limits();
	const std::optional<endpoint_identity> producer = limits.is_any_bounded() ? limits.find_at(parse_network_address(p_producer)) : std::nullopt;
	if (!producer) {
		return true;
	}
	if (!_guard.may_send(*producer, sender_share::FULL, p_now)) {
		return false;
	}
	_guard.on_sent(*producer, p_now);
	return true;
}

void pool_caller::_send_release(const std::string &p_producer, const std::vector<std::string> &p_handles) {
	channel_request request;
	request.endpoint.vm = "release/" + p_producer;
	request.service = _service;
	request.to = parse_network_address(p_producer);
	request.bytes = write_release(request.to, p_handles);
	request.longest_idle = MAX_REPLICA_IDLE_TIME;
	channel_hooks hooks;
	hooks.on_end = [this, p_producer](channel_end p_end) {
		if (p_end != channel_end::COMPLETE) {
			// The results expire by themselves, but use memory until then.
			_context.metrics.count("releases_failed");
			_context.log.write_request(log_line("release_failed").add("maker", p_producer).add("end", get_name(p_end)));
		}
	};
	_endpoints.start(std::move(request), std::move(hooks));
}

} // namespace calicoscale
