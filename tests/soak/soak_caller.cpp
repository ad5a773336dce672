/*
 * calicoscale: soak_caller.cpp
 * A caller of a soak: keeps connections, rests, sends, leaves.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_caller.h"

#include <cstdlib>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr double SHARE_PROXIED = 0.5;
/** Of requests whose body comes some time after the head. */
constexpr double SHARE_IN_PARTS = 0.15;
/** Of callers that leave before their answer. */
constexpr double SHARE_LEAVING = 0.03;
/** Of callers that do not heed how long the node told them to rest at most; they too must be able to tell what became of a request. */
constexpr double SHARE_HEEDLESS = 0.3;
constexpr double SHARE_SHORT_REST = 0.6;
constexpr double SHARE_MIDDLE_REST = 0.25;
/** The other rests last about as long as a node keeps a connection that rests. */
constexpr double LEAST_LONG_REST = 0.8;
constexpr double MOST_LONG_REST = 1.15;
/** An answer may be so much later than its deadline. */
constexpr duration LAST_WAIT = milliseconds(2000);
constexpr duration FIRST_WAIT_MOST = milliseconds(1000);
constexpr duration NO_NODE_WAIT = milliseconds(200);
/** Of streams that may be resumed, by callers that resume. */
constexpr double SHARE_DROPPED = 0.4;
constexpr double LEAST_PATIENCE_MS = 40;
constexpr double MOST_PATIENCE_MS = 200;
/** Of requests, by callers that resume streams; the others are of any kind. */
constexpr double SHARE_RESUMABLE = 0.4;
constexpr double LEAST_RETURN_MS = 2;
constexpr double MOST_RETURN_MS = 60;
constexpr int MOST_RESUMPTIONS = 4;
/** A stream is not resumed when less time is left. */
constexpr duration LEAST_LEFT = milliseconds(300);

request_kind pick_kind(soak_random &r_random) {
	constexpr std::array<request_kind, 6> KINDS{ request_kind::SAFE, request_kind::SAFE, request_kind::ONCE, request_kind::ONCE, request_kind::STREAM, request_kind::RESUMABLE };
	return KINDS.at(r_random.pick(KINDS.size()));
}

std::optional<duration> read_keep_alive(const http_head &p_head) {
	static constexpr std::string_view PARAMETER = "timeout=";
	const std::string *value = p_head.find("Keep-Alive");
	const std::size_t at = value == nullptr ? std::string::npos : value->find(PARAMETER);
	if (at == std::string::npos) {
		return std::nullopt;
	}
	return std::chrono::seconds(std::strtol(value->c_str() + at + PARAMETER.size(), nullptr, 10));
}

} // namespace

std::string write_request_head(const soak_attempt &p_attempt, const std::string &p_key) {
	const std::string resumed = p_attempt.stream.empty() ? "" : "\r\nResumes: " + p_attempt.stream + "\r\nLast-Event-Id: " + std::to_string(p_attempt.resumed_after);
	return "POST " + p_attempt.target + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + p_attempt.id + "\r\nX-Deadline-Ms: " + std::to_string((p_attempt.give_up_at - p_attempt.begun_at).count() / 1000) + "\r\nAuthorization: Bearer " + p_key + resumed + "\r\nContent-Length: " + std::to_string(p_attempt.body.size()) + "\r\n\r\n";
}

soak_caller::soak_caller(caller_context &p_context, std::uint64_t p_seed) :
		_context(p_context), _random(p_seed), _next_timer(p_context.loop, [this] { _next(); }), _part_timer(p_context.loop, [this] {
			if (_attempt && _connection) {
				_connection->send(_attempt->body, true);
			}
		}),
		_give_up_timer(p_context.loop, [this] { _give_up(); }) {
	_is_heedless = _random.has_luck(SHARE_HEEDLESS);
	_next_timer.set(_random.pick_time(0, to_milliseconds(FIRST_WAIT_MOST)));
}

void soak_caller::_next() {
	if (_is_stopped || _attempt) {
		return;
	}
	if (_connection && _broken) {
		// A stream is resumed on a new connection, which may lead to another node.
		_end_connection();
	}
	const bool is_too_old = !_is_heedless && _told_rest && event_loop::now() - _rested_since >= *_told_rest;
	if (_connection && is_too_old) {
		_end_connection();
	}
	if (!_connection && !_open()) {
		_next_timer.set(NO_NODE_WAIT);
		return;
	}
	_send();
}

bool soak_caller::_open() {
	std::vector<std::size_t> open;
	for (std::size_t i = 0; i < _context.sites.size(); i++) {
		if (_context.sites[i].takes_new) {
			open.push_back(i);
		}
	}
	if (open.empty()) {
		return false;
	}
	_node = open[_random.pick(open.size())];
	_is_proxied = _random.has_luck(SHARE_PROXIED);
	const caller_site &site = _context.sites[_node];
	soak_connection_hooks hooks;
	hooks.on_sent = [this] { _attempt->sent_at = event_loop::now(); };
	hooks.on_answer = [this](const http_head &p_head, const std::string &p_body) { _on_answer(p_head, p_body); };
	hooks.on_broken = [this](unanswered_end p_end, bool p_has_begun) { _on_broken(p_end, p_has_begun); };
	hooks.on_closed = [this] { _end_connection(); };
	hooks.on_surplus = [this](const std::string &p_bytes) { _context.book.on_surplus(_node, p_bytes); };
	_connection = std::make_unique<soak_connection>(_context.loop, _is_proxied ? site.proxied_address : site.address, std::move(hooks));
	_told_rest.reset();
	return true;
}

void soak_caller::_send() {
	const instant now = event_loop::now();
	const std::size_t life = _context.sites[_node].life;
	const bool is_resumed = _broken && _broken->give_up_at - now > LEAST_LEFT;
	const request_kind kind = _context.resumes_streams && _random.has_luck(SHARE_RESUMABLE) ? request_kind::RESUMABLE : pick_kind(_random);
	_attempt = is_resumed ? _context.book.open_resumption(*_broken, _node, life, _is_proxied, now) : _context.book.open(kind, _node, life, _is_proxied, now);
	_resumptions = is_resumed ? _resumptions + 1 : 0;
	_broken.reset();
	const std::string head = write_request_head(*_attempt, std::string(STEADY_KEY));
	if (_random.has_luck(SHARE_IN_PARTS)) {
		_connection->send(head, false);
		_part_timer.set(_random.pick_time(10, 300));
	} else {
		_connection->send(head + _attempt->body, true);
	}
	const bool leaves = _random.has_luck(SHARE_LEAVING);
	const duration patience = _random.pick_time(0, 400);
	const bool drops = _context.resumes_streams && _attempt->kind == request_kind::RESUMABLE && _random.has_luck(SHARE_DROPPED);
	_give_up_timer.set(drops ? _random.pick_time(LEAST_PATIENCE_MS, MOST_PATIENCE_MS) : leaves ? patience
																							   : _attempt->give_up_at + LAST_WAIT - now);
}

bool soak_caller::_keep_stream() {
	const bool is_resumable = _context.resumes_streams && _attempt->kind == request_kind::RESUMABLE;
	const int received = _attempt->resumed_after + _attempt->events;
	if (!is_resumable || received == 0 || received >= EVENTS_IN_STREAM || _resumptions >= MOST_RESUMPTIONS) {
		return false;
	}
	_broken = _attempt;
	return true;
}

void soak_caller::_rest() {
	const bool resumes = _attempt && _attempt->has_ended && _attempt->status != 200 && _keep_stream();
	_attempt.reset();
	_give_up_timer.cancel();
	_part_timer.cancel();
	_rested_since = event_loop::now();
	if (resumes) {
		_next_timer.set(_random.pick_time(LEAST_RETURN_MS, MOST_RETURN_MS));
		return;
	}
	const double kind = _random.get_unit();
	const double idle = to_milliseconds(_context.idle_limit);
	if (kind < SHARE_SHORT_REST) {
		_next_timer.set(_random.pick_time(0, 100));
	} else if (kind < SHARE_SHORT_REST + SHARE_MIDDLE_REST) {
		_next_timer.set(_random.pick_time(100, idle / 2));
	} else {
		_next_timer.set(_random.pick_time(idle * LEAST_LONG_REST, idle * MOST_LONG_REST));
	}
}

void soak_caller::_end_connection() {
	// Freed from the loop, as this may run inside one of its hooks.
	const std::shared_ptr<soak_connection> ended = std::move(_connection);
	if (ended) {
		ended->abandon();
	}
	_context.loop.post([ended] {});
}

void soak_caller::_give_up() {
	const bool has_left = event_loop::now() < _attempt->give_up_at;
	if (has_left) {
		_attempt->is_dropped = _context.resumes_streams && _attempt->kind == request_kind::RESUMABLE;
		_context.book.on_left(*_attempt, _connection->get_body(), event_loop::now());
	} else if (_connection->is_closed()) {
		// It tells by itself whether a reset followed.
		return;
	} else {
		_context.book.on_no_answer(*_attempt, unanswered_end::NONE, false, _connection->get_body(), event_loop::now());
	}
	_end_connection();
	_rest();
}

void soak_caller::end() {
	if (_attempt) {
		_context.book.on_no_answer(*_attempt, unanswered_end::NONE, false, _connection ? _connection->get_body() : "", event_loop::now());
		_end_connection();
		_rest();
	}
}

void soak_caller::_on_answer(const http_head &p_head, const std::string &p_body) {
	_context.book.on_answer(*_attempt, p_head, p_body, _context.sites[_node].life, event_loop::now());
	_told_rest = read_keep_alive(p_head);
	if (!p_head.keep_alive) {
		_end_connection();
	}
	_rest();
}

void soak_caller::_on_broken(unanswered_end p_end, bool p_has_begun) {
	_context.book.on_no_answer(*_attempt, p_end, p_has_begun, _connection->get_body(), event_loop::now());
	_end_connection();
	_rest();
}

} // namespace calicoscale
