/*
 * calicoscale: standin_endpoint.cpp
 * Stand-in for model engines, pools and plain services.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_endpoint.h"

#include "core/digest.h"
#include "core/ids.h"
#include "main/load/answer_check.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr double PREFILL_PER_KILOBYTE_MS = 4.0;
constexpr double CACHED_PREFILL_PART = 0.1;
constexpr std::size_t PREFIX_BYTES = 200;
constexpr duration ORPHAN_GRACE = std::chrono::seconds(5);
constexpr duration WORK_KEPT = std::chrono::seconds(30);
constexpr duration SWEEP = std::chrono::milliseconds(500);
constexpr double KILOBYTE = 1024.0;

std::string get_marker(const json &p_body) {
	const json &input = p_body.at("input");
	if (input.is_object() && input.contains("marker") && input["marker"].is_string()) {
		return input["marker"].get<std::string>();
	}
	return "h" + to_hex(hash_bytes(input.dump()));
}

/** Refuses an order before any of it runs. */
void refuse(http_exchange &r_exchange, int p_status, const std::string &p_why, const std::string &p_body) {
	r_exchange.reply(p_status, "text/plain", p_body, { { "Attempt", r_exchange.find_header("Attempt").value_or("") }, { "Not-Run", p_why } });
}

} // namespace

standin_endpoint::standin_endpoint(event_loop &p_loop, const network_address &p_address, endpoint_listing p_listing, endpoint_model p_model, std::uint64_t p_seed) :
		_loop(p_loop),
		_listing(std::move(p_listing)),
		_model(p_model),
		_server(p_loop, p_address, [this](std::unique_ptr<http_exchange> p_exchange) { _on_exchange(std::move(p_exchange)); }),
		_random(p_seed),
		_sweep_timer(p_loop, [this] { _sweep(); }) {
	_listing.address = _server.get_address();
	_sweep_timer.set(SWEEP);
}

void standin_endpoint::set_fault(const fault_setting<endpoint_fault> &p_fault) {
	_fault = p_fault;
	_server.set_open(p_fault.fault != endpoint_fault::REFUSE);
	if (p_fault.fault != endpoint_fault::HANG) {
		_hanging.clear();
	}
}

void standin_endpoint::_on_exchange(std::unique_ptr<http_exchange> p_exchange) {
	const std::shared_ptr<http_exchange> exchange = std::move(p_exchange);
	const std::string path = exchange->get_path();
	if (path == "/v1/run") {
		_take_order(exchange, false);
	} else if (path == "/v1/generate") {
		_take_order(exchange, true);
	} else if (path == "/v1/resume") {
		_take_resume(exchange);
	} else if (path == "/v1/settle") {
		_take_settle(*exchange);
	} else if (path == "/v1/load") {
		_show_load(*exchange);
	} else {
		exchange->reply(404, "text/plain", "no such path\n");
	}
}

bool standin_endpoint::_refuse(http_exchange &r_exchange, bool p_hit) {
	const bool is_full = _running >= _model.slots && static_cast<int>(_queue.size()) >= _model.queue;
	const bool is_busy = is_full || (p_hit && _fault.fault == endpoint_fault::BUSY);
	const bool is_leaving = p_hit && _fault.fault == endpoint_fault::LEAVING;
	const std::optional<std::string> give_up = r_exchange.find_header("Give-Up-Unix-Ms");
	const bool is_late = _model.checks_give_up && give_up && event_loop::wall() > std::stoll(*give_up);
	if (!is_busy && !is_leaving && !is_late) {
		return false;
	}
	_truth.refused++;
	const char *why = is_leaving ? "leaving" : (is_busy ? "busy" : "late");
	refuse(r_exchange, 503, why, "refused\n");
	return true;
}

void standin_endpoint::_take_order(const std::shared_ptr<http_exchange> &p_exchange, bool p_is_stream) {
	const bool hit = _fault.fault != endpoint_fault::NONE && _random.get_unit() < _fault.share;
	if (_refuse(*p_exchange, hit)) {
		return;
	}
	const json body = json::parse(p_exchange->take_body(), nullptr, false);
	if (!body.is_object() || !body.contains("attempt") || !body.contains("input")) {
		refuse(*p_exchange, 400, "input", "bad order\n");
		return;
	}
	const std::shared_ptr<work> made = std::make_shared<work>();
	made->attempt = body.at("attempt").get<std::string>();
	if (_stopped.contains(made->attempt)) {
		refuse(*p_exchange, 409, "input", "stopped before it came\n");
		return;
	}
	made->echo = made->attempt;
	made->customer = body.at("customer").get<std::string>();
	made->marker = get_marker(body);
	made->input_bytes = body.at("input").dump().size();
	made->prefix = body.value("cache_scope", "") + "\n" + body.at("input").dump().substr(0, PREFIX_BYTES);
	made->reader = p_exchange;
	made->faulty = hit;
	if (p_is_stream) {
		made->total_tokens = std::max(1, std::min(_model.tokens, body.value("max_tokens", _model.tokens)));
		made->tokens = body.value("tokens_before", std::vector<std::string>());
		made->sent = made->tokens.size();
	}
	_works[made->attempt] = made;
	_watch_reader(made);
	if (_running >= _model.slots) {
		_queue.push_back(made);
		return;
	}
	_start(made);
}

void standin_endpoint::_watch_reader(const std::shared_ptr<work> &p_work) {
	const std::weak_ptr<work> weak = p_work;
	p_work->reader->set_on_disconnect([weak] {
		const std::shared_ptr<work> lost = weak.lock();
		if (lost) {
			lost->reader.reset();
			lost->orphaned_at = event_loop::now();
		}
	});
}

duration standin_endpoint::_get_factor_time(double p_milliseconds) const {
	return duration(static_cast<duration::rep>(p_milliseconds * 1000.0));
}

bool standin_endpoint::_touch_prefix(const std::string &p_prefix) {
	const auto found = std::find(_prefixes.begin(), _prefixes.end(), p_prefix);
	const bool is_hit = found != _prefixes.end();
	if (is_hit) {
		_prefixes.erase(found);
	}
	_prefixes.push_back(p_prefix);
	if (_prefixes.size() > _model.cached_prefixes) {
		_prefixes.pop_front();
	}
	(is_hit ? _truth.prefix_hits : _truth.prefix_misses)++;
	return is_hit;
}

void standin_endpoint::_charge(work &r_work, double p_units) {
	r_work.units += p_units;
	_truth.units_by_customer[r_work.customer] += p_units;
}

void standin_endpoint::_start(const std::shared_ptr<work> &p_work) {
	_running++;
	p_work->running = true;
	_truth.runs++;
	_truth.runs_by_marker[p_work->marker]++;
	const double kilobytes = static_cast<double>(p_work->input_bytes) / KILOBYTE;
	double time = _model.base_ms + kilobytes * _model.per_kilobyte_ms;
	if (_model.kind == stage_kind::GENERATE) {
		const double part = _touch_prefix(p_work->prefix) ? CACHED_PREFILL_PART : 1.0;
		time += kilobytes * PREFILL_PER_KILOBYTE_MS * part;
		_charge(*p_work, kilobytes * part);
	} else {
		_charge(*p_work, 1.0 + kilobytes);
	}
	if (p_work->faulty && _fault.fault == endpoint_fault::SLOW) {
		time *= _fault.amount;
	}
	if (p_work->faulty && _fault.fault == endpoint_fault::LATE) {
		time += _fault.amount;
	}
	const std::weak_ptr<work> weak = p_work;
	p_work->step = std::make_unique<timer>(_loop, [this, weak] {
		const std::shared_ptr<work> due = weak.lock();
		if (due && due->running) {
			_step(due);
		}
	});
	p_work->step->set(_get_factor_time(time));
}

void standin_endpoint::_step(const std::shared_ptr<work> &p_work) {
	if (p_work->faulty && _fault.fault == endpoint_fault::HANG) {
		// Holds its place and says nothing until it is settled.
		return;
	}
	if (_model.kind != stage_kind::GENERATE) {
		_finish_unary(p_work);
		return;
	}
	if (static_cast<int>(p_work->tokens.size()) < p_work->total_tokens) {
		std::string text;
		for (const std::string &token : p_work->tokens) {
			text += token;
		}
		p_work->tokens.push_back(p_work->tokens.empty() ? p_work->marker : make_chain_token(text, _listing.vm));
		_charge(*p_work, 1.0);
		_send_tokens(p_work);
		if (!p_work->running) {
			return;
		}
	}
	if (static_cast<int>(p_work->tokens.size()) >= p_work->total_tokens) {
		_send_done(p_work);
		return;
	}
	double time = _model.token_ms;
	if (p_work->faulty && _fault.fault == endpoint_fault::SLOW) {
		time *= _fault.amount;
	}
	p_work->step->set(_get_factor_time(time));
}

void standin_endpoint::_finish_unary(const std::shared_ptr<work> &p_work) {
	const std::shared_ptr<http_exchange> reader = p_work->reader;
	_free_slot(p_work);
	if (!reader) {
		return;
	}
	json answer;
	const bool wrong = p_work->faulty && _fault.fault == endpoint_fault::WRONG_ECHO;
	answer["attempt"] = wrong ? "0000000000000000-0000000000000000.0.0" : p_work->attempt;
	answer["output"] = { { "marker", p_work->marker }, { "by", _listing.vm } };
	answer["units"] = p_work->units;
	const std::string text = answer.dump();
	const endpoint_fault fault = p_work->faulty ? _fault.fault : endpoint_fault::NONE;
	if (fault == endpoint_fault::ERROR_AFTER) {
		reader->reply(500, "text/plain", "failed after running\n");
	} else if (fault == endpoint_fault::RESET) {
		reader->start_stream(200, "application/json");
		reader->break_stream();
	} else if (fault == endpoint_fault::TRUNCATE) {
		reader->start_stream(200, "application/json");
		reader->send_part(text.substr(0, text.size() / 2));
		_half_sent.push_back(std::make_unique<timer>(_loop, [reader] { reader->break_stream(); }));
		_half_sent.back()->set(std::chrono::milliseconds(2));
	} else if (fault == endpoint_fault::SECOND_ANSWER) {
		reader->reply(200, "application/json", text + text);
	} else {
		reader->reply(200, "application/json", text);
	}
}

void standin_endpoint::_send_line(const work &p_work, const json &p_line) {
	if (!p_work.reader) {
		return;
	}
	if (!p_work.reader->is_streaming()) {
		p_work.reader->start_stream(200, "application/x-ndjson", { { "Attempt", p_work.echo } });
	}
	p_work.reader->send_part(p_line.dump() + "\n");
}

bool standin_endpoint::_show_stream_fault(const std::shared_ptr<work> &p_work) {
	if (!p_work->faulty || p_work->fault_shown || !p_work->reader) {
		return false;
	}
	const std::size_t at = static_cast<std::size_t>(_fault.amount);
	switch (_fault.fault) {
		case endpoint_fault::RESET:
		case endpoint_fault::MID_STREAM_RESET:
		case endpoint_fault::TRUNCATE: {
			if (p_work->sent < at) {
				return false;
			}
			p_work->fault_shown = true;
			const std::shared_ptr<http_exchange> reader = std::move(p_work->reader);
			p_work->orphaned_at = event_loop::now();
			reader->set_on_disconnect(nullptr);
			if (!reader->is_streaming()) {
				reader->start_stream(200, "application/x-ndjson");
			}
			reader->break_stream();
			return true;
		}
		case endpoint_fault::MID_STREAM_LOSS: {
			if (p_work->sent < at) {
				return false;
			}
			p_work->fault_shown = true;
			const std::shared_ptr<http_exchange> reader = std::move(p_work->reader);
			if (!reader->is_streaming()) {
				reader->start_stream(200, "application/x-ndjson");
			}
			p_work->forgotten = true;
			_free_slot(p_work);
			reader->set_on_disconnect(nullptr);
			reader->break_stream();
			return true;
		}
		default:
			return false;
	}
}

void standin_endpoint::_send_tokens(const std::shared_ptr<work> &p_work) {
	while (p_work->reader && p_work->sent < p_work->tokens.size()) {
		if (_show_stream_fault(p_work)) {
			return;
		}
		const std::size_t offset = p_work->sent++;
		const endpoint_fault fault = p_work->faulty ? _fault.fault : endpoint_fault::NONE;
		const bool here = offset == static_cast<std::size_t>(_fault.amount);
		const std::string echo = fault == endpoint_fault::WRONG_ECHO ? "0000000000000000-0000000000000000.0.0" : p_work->echo;
		const json line{ { "attempt", echo }, { "offset", offset }, { "token", p_work->tokens[offset] } };
		if (fault == endpoint_fault::TOKEN_GAP && here) {
			continue;
		}
		_send_line(*p_work, line);
		if ((fault == endpoint_fault::TOKEN_REPEAT && here) || fault == endpoint_fault::SECOND_ANSWER) {
			_send_line(*p_work, line);
		}
	}
}

void standin_endpoint::_send_done(const std::shared_ptr<work> &p_work) {
	_free_slot(p_work);
	if (!p_work->reader) {
		return;
	}
	const endpoint_fault fault = p_work->faulty ? _fault.fault : endpoint_fault::NONE;
	stream_digest digest;
	for (const std::string &token : p_work->tokens) {
		digest.add(token);
	}
	if (fault == endpoint_fault::WRONG_DIGEST) {
		digest.add("something else");
	}
	const std::shared_ptr<http_exchange> reader = p_work->reader;
	if (fault == endpoint_fault::ERROR_AFTER) {
		reader->break_stream();
		return;
	}
	_send_line(*p_work, json{ { "attempt", p_work->echo }, { "done", true }, { "count", p_work->tokens.size() }, { "digest", digest.to_string() }, { "units", p_work->units } });
	reader->end_stream();
	p_work->reader.reset();
}

void standin_endpoint::_free_slot(const std::shared_ptr<work> &p_work) {
	if (!p_work->running) {
		return;
	}
	p_work->running = false;
	p_work->finished = true;
	p_work->ended_at = event_loop::now();
	_running--;
	while (_running < _model.slots && !_queue.empty()) {
		const std::shared_ptr<work> next = _queue.front();
		_queue.pop_front();
		if (next->reader && _works.contains(next->attempt)) {
			_start(next);
		} else {
			next->ended_at = event_loop::now();
			next->finished = true;
		}
	}
}

void standin_endpoint::_take_resume(const std::shared_ptr<http_exchange> &p_exchange) {
	const json body = json::parse(p_exchange->take_body(), nullptr, false);
	const std::string name = body.is_object() ? body.value("resume", "") : "";
	const auto found = _works.find(name);
	const bool is_known = found != _works.end() && found->second->customer == body.value("customer", "") && !found->second->forgotten;
	const std::size_t offset = is_known ? body.value("offset", std::size_t(0)) : 0;
	if (!is_known || offset > found->second->tokens.size()) {
		refuse(*p_exchange, 404, "input", "no such stream\n");
		return;
	}
	const std::shared_ptr<work> target = found->second;
	target->reader = p_exchange;
	target->echo = body.at("attempt").get<std::string>();
	target->sent = offset;
	_watch_reader(target);
	_send_tokens(target);
	if (target->finished) {
		_send_done(target);
	}
}

void standin_endpoint::_take_settle(http_exchange &r_exchange) {
	const json body = json::parse(r_exchange.take_body(), nullptr, false);
	const std::string name = body.is_object() ? body.value("attempt", "") : "";
	double units = 0.0;
	const auto found = _works.find(name);
	if (found != _works.end()) {
		const std::shared_ptr<work> target = found->second;
		units = target->units;
		if (target->running || !target->finished) {
			target->finished = true;
			target->ended_at = event_loop::now();
			std::erase(_queue, target);
			if (target->running) {
				_free_slot(target);
			}
			target->reader.reset();
		}
	} else {
		_stopped[name] = true;
	}
	r_exchange.reply(200, "application/json", json({ { "attempt", name }, { "units", units } }).dump());
}

void standin_endpoint::_show_load(http_exchange &r_exchange) {
	const instant now = event_loop::now();
	_loads.push_back(load_sample{ now, _running, static_cast<int>(_queue.size()) });
	const duration lag = _get_factor_time(_model.report_lag_ms);
	while (_loads.size() > 1 && _loads[1].at <= now - lag) {
		_loads.pop_front();
	}
	if (!_model.reports_load) {
		r_exchange.reply(404, "text/plain", "does not report\n");
		return;
	}
	const load_sample &told = _loads.front();
	const std::int64_t age = (now - told.at).count() / 1000;
	r_exchange.reply(200, "application/json", json({ { "running", told.running }, { "queued", told.queued }, { "age_ms", age }, { "leaving", _fault.fault == endpoint_fault::LEAVING } }).dump());
}

void standin_endpoint::_sweep() {
	const instant now = event_loop::now();
	std::vector<std::shared_ptr<work>> orphans;
	for (const auto &[name, entry] : _works) {
		const bool is_orphan = entry->running && !entry->reader && now - entry->orphaned_at > ORPHAN_GRACE;
		if (is_orphan) {
			orphans.push_back(entry);
		}
	}
	for (const std::shared_ptr<work> &entry : orphans) {
		_free_slot(entry);
	}
	std::erase_if(_works, [now](const auto &p_entry) { return p_entry.second->finished && now - p_entry.second->ended_at > WORK_KEPT; });
	_sweep_timer.set(SWEEP);
}

} // namespace calicoscale
