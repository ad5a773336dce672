/*
 * calicoscale: soak_endpoint.cpp
 * An endpoint of a soak: answers, misbehaves, crashes and starts again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_endpoint.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

/** While it misbehaves it does so with one request in so many. */
constexpr std::size_t FAULTY_PART = 2;
constexpr std::uint64_t USUAL_WORK_MS = 40;
/** One request in so many takes long. */
constexpr std::uint64_t LONG_WORK_PART = 12;
constexpr std::uint64_t LONG_WORK_MS = 900;
/** Of the answers of an endpoint that sends malformed ones, one in so many is. */
constexpr std::uint64_t MALFORMED_PART = 2;
constexpr duration EVENT_GAP = milliseconds(15);
constexpr int SLOTS = 64;

duration get_work_time(const std::string &p_id) {
	const std::uint64_t number = hash_bytes(p_id, 2);
	return milliseconds(1 + number % (number % LONG_WORK_PART == 0 ? LONG_WORK_MS : USUAL_WORK_MS));
}

std::string get(const caller_exchange &p_exchange, std::string_view p_name) {
	const std::string *value = p_exchange.head.find(p_name);
	return value == nullptr ? std::string() : *value;
}

/** The event inside which a stream ends. */
int get_cut_event(const std::string &p_id) {
	return 1 + static_cast<int>(hash_bytes(p_id, 4) % EVENTS_IN_STREAM);
}

/** Bytes of an event that a stream ends inside. A carriage return may end it, so that the last two may be one more end. */
std::size_t get_cut(const std::string &p_id, std::size_t p_size) {
	return 1 + hash_bytes(p_id, 5) % (p_size - 2);
}

/** Nothing but the end of the connection tells a caller of the protocol's first version where an answer ends. */
void write_without_framing(caller_exchange &p_exchange) {
	p_exchange.head.minor_version = 0;
}

} // namespace

soak_endpoint::soak_endpoint(event_loop &p_loop, promise_book &p_book, notice_book &p_notices, std::size_t p_number, std::string p_host) :
		_loop(p_loop), _book(p_book), _notices(p_notices), _number(p_number), _name("i-" + std::to_string(p_number)), _host(std::move(p_host)) {
}

void soak_endpoint::start() {
	_born = event_loop::wall();
	_sequence = 0;
	_mode = endpoint_mode::SOUND;
	_varies_ends = false;
	_sends_malformed = false;
	_rejected_part = 0;
	_work = std::make_unique<later_queue>(_loop);
	_server = std::make_unique<caller_server>(_loop, network_address{ _host, 0 }, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_exchange(p_exchange); });
}

void soak_endpoint::set_version(const std::string &p_version) {
	_version = p_version;
	_name = "i-" + std::to_string(_number) + "-" + p_version;
}

void soak_endpoint::crash() {
	_work.reset();
	// Freed from the loop, behind the connections that the server has dropped there before.
	const std::shared_ptr<caller_server> server = std::move(_server);
	_loop.post([server] {});
}

std::string soak_endpoint::write_record(const network_address &p_address, const std::string &p_zone, bool p_is_leaving) {
	return json{ { "service", "svc" }, { "address", to_string(p_address) }, { "zone", p_zone }, { "version", _version.empty() ? "v1" : _version }, { "slots", SLOTS }, { "state", p_is_leaving ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "seq_no", _sequence++ }, { "born", _born } }.dump();
}

endpoint_mode soak_endpoint::_take_mode() {
	return _served++ % FAULTY_PART == 0 ? _mode : endpoint_mode::SOUND;
}

void soak_endpoint::set_rejected_part(std::size_t p_part) {
	_rejected_part = p_part;
	_arrived = 0;
}

bool soak_endpoint::_is_rejected() {
	return _rejected_part > 0 && _arrived++ % _rejected_part == 0;
}

void soak_endpoint::_reject(caller_exchange &p_exchange) const {
	p_exchange.reply(503, { { "X-Not-Executed", "1" }, { "X-Attempt-Id", get(p_exchange, "X-Attempt-Id") } }, "");
}

answer_ending soak_endpoint::_choose_ending(const std::string &p_id) const {
	constexpr std::uint64_t ENDINGS = static_cast<std::uint64_t>(answer_ending::COUNT);
	return _varies_ends ? static_cast<answer_ending>(hash_bytes(p_id, 3) % ENDINGS) : answer_ending::USUAL;
}

std::vector<http_header> soak_endpoint::_make_headers(const std::string &p_id) const {
	std::vector<http_header> headers{ { "X-Attempt-Id", p_id }, { "X-Replica-Seal", _name } };
	const soak_notice &says = _notices.get(_number);
	if (says.limit) {
		headers.push_back({ "Server-Limit", std::to_string(*says.limit) });
	}
	if (says.is_leaving) {
		headers.push_back({ "Server-Leaving", "1" });
	}
	return headers;
}

void soak_endpoint::_on_exchange(const std::shared_ptr<caller_exchange> &p_exchange) {
	if (!is_running()) {
		return;
	}
	const std::string expected = get(*p_exchange, "X-Expect-Replica");
	if (!expected.empty() && expected != _name) {
		p_exchange->reply(421, { { "X-Replica-Id", _name }, { "X-Attempt-Id", get(*p_exchange, "X-Attempt-Id") } }, "");
		return;
	}
	_notices.on_arrival(_number, get(*p_exchange, "X-Attempt-Id"), event_loop::now());
	const duration rest = _notices.get(_number).rest;
	if (rest > duration::zero()) {
		std::vector<http_header> headers = _make_headers(get(*p_exchange, "X-Attempt-Id"));
		headers.push_back({ "X-Not-Executed", "1" });
		headers.push_back({ "Retry-After", std::to_string(to_seconds(rest)) });
		_notices.on_told(_number, get(*p_exchange, "X-Attempt-Id"), event_loop::now());
		p_exchange->reply(503, headers, "");
		return;
	}
	if (_is_rejected()) {
		_reject(*p_exchange);
		return;
	}
	const endpoint_mode mode = _take_mode();
	if (mode == endpoint_mode::SHEDS) {
		_reject(*p_exchange);
		return;
	}
	_book.on_run(_number, p_exchange->head, p_exchange->body, event_loop::now());
	_work->add(get_work_time(get(*p_exchange, "X-Attempt-Id")), [this, p_exchange, mode] {
		const std::string id = get(*p_exchange, "X-Attempt-Id");
		if (mode == endpoint_mode::SOUND && _is_malformed(id)) {
			_answer_malformed(*p_exchange, id);
			return;
		}
		const bool is_stream = p_exchange->head.target.starts_with("/stream/") || p_exchange->head.target.starts_with("/resumable/");
		const bool answers_events = is_stream && (mode == endpoint_mode::SOUND || mode == endpoint_mode::CUTS);
		if (!answers_events) {
			_answer(*p_exchange, mode);
			return;
		}
		_begin_stream(p_exchange, mode);
	});
}

void soak_endpoint::_begin_stream(const std::shared_ptr<caller_exchange> &p_exchange, endpoint_mode p_mode) {
	const std::string id = get(*p_exchange, "X-Attempt-Id");
	const std::string last = get(*p_exchange, "Last-Event-Id");
	const answer_ending ending = p_mode == endpoint_mode::SOUND ? _choose_ending(id) : answer_ending::USUAL;
	if (ending == answer_ending::WITH_CONNECTION || ending == answer_ending::CUT_WITH_CONNECTION) {
		write_without_framing(*p_exchange);
	}
	std::vector<http_header> headers = _make_headers(id);
	headers.push_back({ "Content-Type", "text/event-stream" });
	p_exchange->start(200, headers);
	if (p_mode == endpoint_mode::SOUND) {
		_notices.on_told(_number, id, event_loop::now());
	}
	_stream(p_exchange, last.empty() ? 1 : std::atoi(last.c_str()) + 1, p_mode, ending);
}

void soak_endpoint::_answer_with_bad_headers(caller_exchange &p_exchange, const std::string &p_id) const {
	constexpr std::uint64_t KINDS = 3;
	std::vector<http_header> headers = _make_headers(p_id);
	switch (hash_bytes(p_id, 5) % KINDS) {
		case 0:
			p_exchange.reply(200, { { "X-Attempt-Id", p_id } }, "forged");
			return;
		case 1:
			headers.push_back({ "X-Attempt-Id", _book.find_other(p_id) });
			p_exchange.reply(200, headers, "forged");
			return;
		default:
			headers.push_back({ "Connection", "X-Replica-Seal" });
			p_exchange.reply(200, headers, make_answer_body(p_id, _name));
	}
}

bool soak_endpoint::_is_malformed(const std::string &p_id) const {
	return _sends_malformed && hash_bytes(p_id, 7) % MALFORMED_PART == 0;
}

void soak_endpoint::_answer_malformed(caller_exchange &p_exchange, const std::string &p_id) const {
	// The length makes the rest of the head a body where a line that begins with CR or LF is taken for the end of the head.
	static const std::vector<std::vector<http_header>> LINES{
		{ { " X-Injected", "1" } },
		{ { "\tX-Injected", "1" } },
		{ { "X Injected", "1" } },
		{ { "X-\x01Injected", "1" } },
		{ { "Content-Length", "5" }, { "\rX-Injected", "1" } },
		{ { "Content-Length", "5" }, { "\nX-Injected", "1" } },
	};
	constexpr int NO_STATUS = 0;
	std::vector<http_header> headers = _make_headers(p_id);
	const std::size_t kind = hash_bytes(p_id, 8) % (LINES.size() + 1);
	if (kind == LINES.size()) {
		p_exchange.reply(NO_STATUS, headers, make_answer_body(p_id, _name));
		return;
	}
	headers.insert(headers.end(), LINES[kind].begin(), LINES[kind].end());
	p_exchange.reply(200, headers, make_answer_body(p_id, _name));
}

void soak_endpoint::_answer(caller_exchange &p_exchange, endpoint_mode p_mode) {
	const std::string id = get(p_exchange, "X-Attempt-Id");
	const std::string body = make_answer_body(id, _name);
	switch (p_mode) {
		case endpoint_mode::FAILS:
			_notices.on_told(_number, id, event_loop::now());
			p_exchange.reply(500, _make_headers(id), "failed");
			return;
		case endpoint_mode::CLOSES:
			p_exchange.abort();
			return;
		case endpoint_mode::MISTAKES: {
			const std::string other = _book.find_other(id);
			p_exchange.reply(200, _make_headers(other), make_answer_body(other, _name));
			return;
		}
		case endpoint_mode::CUTS:
			p_exchange.start(200, _make_headers(id));
			p_exchange.send(body.substr(0, body.size() / 2));
			p_exchange.abort();
			return;
		case endpoint_mode::UNSEALED:
			_answer_with_bad_headers(p_exchange, id);
			return;
		case endpoint_mode::HANGS:
			return;
		default:
			_notices.on_told(_number, id, event_loop::now());
			if (_choose_ending(id) == answer_ending::USUAL) {
				p_exchange.reply(200, _make_headers(id), body);
				return;
			}
			write_without_framing(p_exchange);
			p_exchange.start(200, _make_headers(id));
			p_exchange.send(body);
			p_exchange.end();
	}
}

void soak_endpoint::_stream(const std::shared_ptr<caller_exchange> &p_exchange, int p_number, endpoint_mode p_mode, answer_ending p_ending) {
	if (p_number > EVENTS_IN_STREAM) {
		p_exchange->end();
		return;
	}
	const std::string id = get(*p_exchange, "X-Attempt-Id");
	const std::string event = make_event(id, p_number, _version);
	if (p_mode == endpoint_mode::CUTS && p_number == EVENTS_IN_STREAM / 2) {
		p_exchange->send(event.substr(0, event.size() / 2));
		p_exchange->abort();
		return;
	}
	const bool is_cut = p_ending == answer_ending::CUT_WITH_CONNECTION || p_ending == answer_ending::CUT_IN_CHUNKS;
	if (is_cut && p_number == get_cut_event(id)) {
		p_exchange->send(event.substr(0, get_cut(id, event.size())));
		p_exchange->end();
		return;
	}
	p_exchange->send(event);
	_work->add(EVENT_GAP, [this, p_exchange, p_number, p_mode, p_ending] { _stream(p_exchange, p_number + 1, p_mode, p_ending); });
}

} // namespace calicoscale
