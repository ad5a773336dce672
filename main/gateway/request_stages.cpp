/*
 * calicoscale: request_stages.cpp
 * The stages of one request, from the first requested work to the results that its service reads.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/request_stages.h"

#include "platform/stage_codec.h"
#include "servers/gateway/stage_times.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr int MAX_RESTARTS = 2;
/** Size in bytes from which a transfer is worth some delay to keep it within a zone. */
constexpr std::size_t LARGE_TRANSFER = 200'000;

} // namespace

request_stages::request_stages(request_services &p_services, const admitted_request &p_request, instant p_started, instant p_give_up_at, request_stages_hooks p_hooks) :
		_services(p_services),
		_request(p_request),
		_started(p_started),
		_give_up_at(p_give_up_at),
		_hooks(std::move(p_hooks)),
		_graph(p_request.route->stages, p_request.facts.stage_pieces),
		_transfers(_graph, [this](const std::string &p_handle) { return _services.endpoints.get_directory().find_zone(get_producer(p_handle)); }),
		_remaining_stage_times(get_remaining_stage_times(*p_request.configuration, *p_request.route, p_request.facts.stage_pieces)) {
}

request_stages::~request_stages() {
	_cancel_works();
}

void request_stages::begin(bool p_is_alone) {
	_is_alone = p_is_alone;
	_fingerprint = make_fingerprint(get_content(_request));
	_commit();
	_advance();
}

void request_stages::_commit() {
	_committed.assign(_graph.get_stage_count(), duration::zero());
	for (std::size_t i = 0; i < _committed.size(); i++) {
		const std::string &pool = _graph.get_spec(i).pool;
		const gateway_service *service = _request.configuration->find_service(pool);
		if (service != nullptr && service->stage_pool) {
			_committed[i] = commitment_table::get_cost(*service->stage_pool, _graph.get_pieces(i));
			_services.commitments.add(pool, get_priority(_request), _committed[i]);
		}
	}
}

void request_stages::_uncommit(std::size_t p_stage) {
	if (p_stage < _committed.size() && _committed[p_stage] > duration::zero()) {
		_services.commitments.remove(_graph.get_spec(p_stage).pool, get_priority(_request), _committed[p_stage]);
		_committed[p_stage] = duration::zero();
	}
}

instant request_stages::_get_due(std::size_t p_stage) const {
	const instant objective = _started + _request.route->objective;
	if (!_services.context.settings.mechanisms.has(mechanism::STAGE_DUE_TIMES)) {
		return objective;
	}
	return objective - _remaining_stage_times[p_stage] - get_first_event_time(_services, _request.route->name);
}

void request_stages::_set_zone(std::size_t p_stage, stage_work &r_work) {
	const stage_spec &spec = _graph.get_spec(p_stage);
	std::size_t input_bytes = 0;
	for (const std::size_t input : spec.inputs) {
		input_bytes += _graph.get_spec(input).result_bytes * _graph.get_pieces(input);
	}
	// Each item reads all inputs.
	const std::size_t read_bytes = input_bytes * _graph.get_pieces(p_stage);
	const std::size_t made_bytes = _graph.is_final(p_stage) ? spec.result_bytes * _graph.get_pieces(p_stage) : 0;
	r_work.transfer_bytes = std::max(read_bytes, made_bytes);
	if (r_work.transfer_bytes < LARGE_TRANSFER) {
		return;
	}
	if (read_bytes >= made_bytes) {
		r_work.zone = _transfers.find_producers_zone(_graph.get_inputs(p_stage));
		return;
	}
	_results_zone = _hooks.choose_zone();
	r_work.zone = _results_zone;
}

std::size_t request_stages::_count_read(const std::vector<result_transfer> &p_transfers) {
	for (const result_transfer &transfer : p_transfers) {
		_services.context.metrics.on_results_read(transfer.from_pool, transfer.to, transfer.from_zone, transfer.to_zone, static_cast<double>(transfer.bytes));
	}
	return get_cross_zone_bytes(p_transfers);
}

std::size_t request_stages::count_final_read(const std::string &p_zone) {
	return _count_read(_transfers.get_final_read(_request.service, p_zone));
}

void request_stages::_advance() {
	for (const std::size_t stage : _graph.take_ready()) {
		_ask(stage);
	}
}

void request_stages::_ask(std::size_t p_stage) {
	const stage_spec &spec = _graph.get_spec(p_stage);
	stage_work work;
	work.attempt = _request.facts.attempt;
	work.stage = p_stage;
	work.pieces = _graph.get_pieces(p_stage);
	work.caller_key = _request.facts.stage_key;
	work.inputs = _graph.get_inputs(p_stage);
	work.give_up_at = _give_up_at;
	work.due_at = _get_due(p_stage);
	work.priority = get_priority(_request);
	_set_zone(p_stage, work);
	work.result_bytes = spec.result_bytes;
	work.run = _fingerprint;
	work.is_alone = _is_alone;
	work.homes = _request.homes;
	const std::shared_ptr<std::uint64_t> id = std::make_shared<std::uint64_t>(0);
	*id = _services.dispatcher.submit(spec.pool, std::move(work), [this, id](const work_result &p_result) { _on_work_ended(*id, p_result); });
	_works[*id] = requested_stage{ p_stage, event_loop::now() };
}

void request_stages::_on_work_ended(std::uint64_t p_id, const work_result &p_result) {
	const requested_stage asked = _works.at(p_id);
	_works.erase(p_id);
	const bool is_done = p_result.end == work_end::DONE;
	std::size_t crossed = 0;
	if (is_done) {
		_graph.set_done(asked.stage, p_result.handles);
		crossed = _count_read(_transfers.get_inputs_read(asked.stage));
	}
	_services.context.log.write_request(log_line(is_done ? "stage_done" : "stage_failed").add("request", _request.facts.attempt).add("stage", static_cast<long long>(asked.stage)).add("pool", _graph.get_spec(asked.stage).pool).add("end", get_name(p_result.end)).add("took_ms", event_loop::now() - asked.asked_at).add("crossed_bytes", static_cast<long long>(crossed)));
	if (is_done) {
		_uncommit(asked.stage);
		_release_unneeded();
		if (_graph.is_complete()) {
			_hooks.on_complete();
		} else {
			_advance();
		}
		return;
	}
	_may_have_run = true;
	if (p_result.end == work_end::INPUT_LOST && may_remake()) {
		remake();
		return;
	}
	_hooks.on_failed(p_result.end == work_end::LATE ? reason::DEADLINE_PASSED : reason::ENDPOINT_ERROR);
}

void request_stages::_cancel_works() {
	for (const auto &[id, asked] : _works) {
		_services.dispatcher.cancel(id);
	}
	_works.clear();
}

bool request_stages::may_remake() const {
	return _restarts < MAX_RESTARTS;
}

void request_stages::remake() {
	_restarts++;
	_cancel_works();
	_release_all();
	_graph.restart();
	_has_results = true;
	_advance();
}

void request_stages::on_results_read() {
	if (_has_results) {
		_has_results = false;
		_release_all();
	}
}

void request_stages::_release_unneeded() {
	for (std::size_t i = 0; i < _graph.get_stage_count(); i++) {
		_services.dispatcher.release(_graph.get_spec(i).pool, _graph.take_unneeded(i));
	}
}

void request_stages::_release_all() {
	for (std::size_t i = 0; i < _graph.get_stage_count(); i++) {
		_services.dispatcher.release(_graph.get_spec(i).pool, _graph.take_all(i));
	}
}

void request_stages::end() {
	_cancel_works();
	for (std::size_t i = 0; i < _committed.size(); i++) {
		_uncommit(i);
	}
	_release_all();
}

} // namespace calicoscale
