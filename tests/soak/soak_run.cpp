/*
 * calicoscale: soak_run.cpp
 * One soak: a seed, a schedule, a verdict.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_run.h"

#include "drivers/http_status.h"

#include <algorithm>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr duration IDLE_LIMIT = milliseconds(2000);
/** The platform asks each node so often; two misses take it out. */
constexpr duration READINESS_INTERVAL = milliseconds(1000);
constexpr int MISSES_TO_LEAVE = 2;
/** A probe may be answered so much later than its deadline. */
constexpr duration LAST_WAIT = milliseconds(2000);
constexpr duration PROBE_INTERVAL = milliseconds(150);
/** In a large fleet each node is asked less often: the soak has one core for all. */
constexpr duration PROBE_INTERVAL_FOR_A_NODE = milliseconds(6);
constexpr duration MALFORMED_INTERVAL = milliseconds(50);
/** Every so many probes ask for the version before the newest. */
constexpr std::size_t OLDER_PROBES = 5;
/** Requests begun so long after the last trouble, and so long before the end, must be served. */
constexpr duration RECOVERY = milliseconds(5000);
/** A soak that was slow to its end goes on, so that there is something to judge by. */
constexpr duration EXTENSION = milliseconds(5000);
constexpr int MOST_EXTENSIONS = 12;
/** A node that was held up may count nodes as silent until it has read what waits; nodes of other parts stay unknown. */
constexpr duration LIVE_COUNT_TIME = milliseconds(3000);
constexpr duration LIVE_COUNT_INTERVAL = milliseconds(300);
/** Longer than the longest request. */
constexpr duration LAST_ANSWERS = milliseconds(5000);
/** From then on until a connection that was closed at last has been judged. */
constexpr duration LAST_JUDGEMENTS = soak_connection::RESET_WAIT + milliseconds(2000);
constexpr duration JUDGEMENT_INTERVAL = milliseconds(100);

/** Of each promise; a fault often shows in hundreds of requests. */
constexpr std::size_t MOST_SHOWN = 5;

} // namespace

soak_run::soak_run(std::uint64_t p_seed, const soak_size &p_size, const soak_place &p_place) :
		_size(p_size), _seed(p_seed), _book(_disturbances, "s" + std::to_string(p_seed) + "-"), _fleet(_loop, _book, _disturbances, _sites, p_place, p_size), _context{ _loop, _book, _sites, IDLE_LIMIT, p_size.has_versions }, _views(p_size.nodes), _probes(p_size.nodes), _questions(_loop), _later(_loop), _started_at(event_loop::now()) {
	soak_random random(p_seed + 1);
	for (std::size_t i = 0; i < p_size.callers; i++) {
		_callers.push_back(std::make_unique<soak_caller>(_context, random.pick(1U << 30U)));
	}
	for (const soak_event &event : make_schedule(p_seed, p_size)) {
		_later.add(event.at, [this, event] { _fleet.apply(event); });
	}
	_ask_readiness();
	_probe_nodes();
	if (p_size.has_malformed) {
		_send_malformed_request();
	}
	_later.add(p_size.length, [this] { _stop_callers_once_judged(MOST_EXTENSIONS); });
}

void soak_run::_ask_readiness() {
	for (std::size_t i = 0; i < _views.size(); i++) {
		balancer_view &view = _views[i];
		view.misses = view.status == 200 ? 0 : view.misses + 1;
		_sites[i].takes_new = view.misses < MISSES_TO_LEAVE;
		view.status = 0;
		if (view.question != 0) {
			_questions.cancel(view.question);
		}
		channel_request request;
		request.to = _fleet.get_readiness_address(i);
		request.endpoint = endpoint_identity{ to_string(request.to), 0 };
		request.bytes = "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n";
		view.question = _questions.start(std::move(request), channel_hooks{ [this, i](const http_head &p_head) { _views[i].status = p_head.status; }, [](std::string_view) {}, [this, i](channel_end) { _views[i].question = 0; } });
	}
	_later.add(READINESS_INTERVAL, [this] { _ask_readiness(); });
}

void soak_run::_probe_nodes() {
	for (std::size_t i = 0; i < _probes.size(); i++) {
		if (!_probes[i].attempt && !_is_ending && _fleet.is_in_service(i)) {
			_send_probe(i);
		} else if (_probes[i].attempt && event_loop::now() > _probes[i].attempt->give_up_at + LAST_WAIT && !_probes[i].connection->is_closed()) {
			_book.on_no_answer(*_probes[i].attempt, unanswered_end::NONE, false, "", event_loop::now());
			_end_probe(i);
		}
	}
	_later.add(std::max<duration>(PROBE_INTERVAL, PROBE_INTERVAL_FOR_A_NODE * _probes.size()), [this] { _probe_nodes(); });
}

void soak_run::_send_probe(std::size_t p_node) {
	probe &chosen = _probes[p_node];
	if (!chosen.connection) {
		soak_connection_hooks hooks;
		hooks.on_sent = [this, p_node] { _probes[p_node].attempt->sent_at = event_loop::now(); };
		hooks.on_answer = [this, p_node](const http_head &p_head, const std::string &p_body) {
			_book.on_answer(*_probes[p_node].attempt, p_head, p_body, _sites[p_node].life, event_loop::now());
			_probes[p_node].attempt.reset();
			if (!p_head.keep_alive) {
				_end_probe(p_node);
			}
		};
		hooks.on_broken = [this, p_node](unanswered_end p_end, bool p_has_begun) {
			_book.on_no_answer(*_probes[p_node].attempt, p_end, p_has_begun, "", event_loop::now());
			_end_probe(p_node);
		};
		hooks.on_closed = [this, p_node] { _end_probe(p_node); };
		hooks.on_surplus = [this, p_node](const std::string &p_bytes) { _book.on_surplus(p_node, p_bytes); };
		chosen.connection = std::make_unique<soak_connection>(_loop, _sites[p_node].address, std::move(hooks));
	}
	const bool asks_older = ++_probe_count % OLDER_PROBES == 0 && _book.get_version() > 1;
	const std::uint64_t version = _book.get_version() - (asks_older ? 1 : 0);
	chosen.attempt = _book.open_probe(version, p_node, _sites[p_node].life, event_loop::now());
	chosen.connection->send(write_request_head(*chosen.attempt, make_key(version)) + chosen.attempt->body, true);
}

void soak_run::_end_probe(std::size_t p_node) {
	_probes[p_node].attempt.reset();
	const std::shared_ptr<soak_connection> ended = std::move(_probes[p_node].connection);
	if (ended) {
		ended->abandon();
		_loop.post([ended] {});
	}
}

void soak_run::_send_malformed_request() {
	const std::size_t number = _malformed_count++;
	const std::size_t node = number % _sites.size();
	if (_is_ending) {
		return;
	}
	if (_sites[node].takes_new) {
		channel_request request;
		request.to = _sites[node].address;
		request.endpoint = endpoint_identity{ to_string(request.to), 0 };
		request.use_kept = false;
		request.bytes = make_malformed_request(number);
		_questions.start(std::move(request), channel_hooks{ [this, node, number](const http_head &p_head) {
															   if (http_status::is_success(p_head.status)) {
																   _book.judge(promise::UNCHANGED, {}, "node " + std::to_string(node) + " served the malformed request " + std::to_string(number));
															   } }, [](std::string_view) {}, [](channel_end) {} });
	}
	_later.add(MALFORMED_INTERVAL, [this] { _send_malformed_request(); });
}

void soak_run::_stop_callers_once_judged(int p_extensions) {
	const instant now = event_loop::now();
	if (p_extensions > 0 && !_book.can_check_served(_get_served_from(), _fleet.get_watched_at())) {
		_later.add(EXTENSION, [this, p_extensions] { _stop_callers_once_judged(p_extensions - 1); });
		return;
	}
	_served_to = now;
	_stop_callers();
}

instant soak_run::_get_served_from() const {
	return _started_at + get_calm_end(_size) + RECOVERY;
}

void soak_run::_check_fleet(std::size_t p_node, instant p_latest) {
	if (!_fleet.is_in_service(p_node)) {
		return;
	}
	channel_request request;
	request.to = _fleet.get_metrics_address(p_node);
	request.endpoint = endpoint_identity{ to_string(request.to), 0 };
	request.bytes = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
	const std::shared_ptr<std::string> metrics = std::make_shared<std::string>();
	_questions.start(std::move(request), channel_hooks{ [](const http_head &) {}, [metrics](std::string_view p_bytes) { *metrics += p_bytes; }, [this, p_node, p_latest, metrics](channel_end) { _on_live_count(p_node, p_latest, *metrics); } });
}

void soak_run::_on_live_count(std::size_t p_node, instant p_latest, const std::string &p_metrics) {
	static const std::string LABEL = "{name=\"live_nodes\"} ";
	const std::size_t found = p_metrics.find(LABEL);
	const std::size_t counted = found == std::string::npos ? 0 : std::stoul(p_metrics.substr(found + LABEL.size()));
	std::size_t running = 0;
	for (std::size_t i = 0; i < _views.size(); i++) {
		running += _fleet.is_in_service(i) ? 1 : 0;
	}
	if (counted >= running) {
		return;
	}
	if (event_loop::now() < p_latest) {
		_later.add(LIVE_COUNT_INTERVAL, [this, p_node, p_latest] { _check_fleet(p_node, p_latest); });
		return;
	}
	_book.judge(promise::FLEET_IS_ONE, {}, "node " + std::to_string(p_node) + " counts " + std::to_string(counted) + " of " + std::to_string(running) + " nodes as live");
}

void soak_run::_stop_callers() {
	for (std::size_t i = 0; i < _views.size(); i++) {
		_check_fleet(i, event_loop::now() + LIVE_COUNT_TIME);
	}
	for (const std::unique_ptr<soak_caller> &caller : _callers) {
		caller->stop();
	}
	_later.add(LAST_ANSWERS, [this] {
		_is_ending = true;
		_stop_once_judged(event_loop::now() + LAST_JUDGEMENTS);
	});
}

bool soak_run::_is_anybody_waiting() const {
	return std::any_of(_callers.begin(), _callers.end(), [](const std::unique_ptr<soak_caller> &p_caller) { return p_caller->is_waiting(); }) ||
			std::any_of(_probes.begin(), _probes.end(), [](const probe &p_probe) { return p_probe.attempt != nullptr; });
}

void soak_run::_stop_once_judged(instant p_latest) {
	if (_is_anybody_waiting() && event_loop::now() < p_latest) {
		_later.add(JUDGEMENT_INTERVAL, [this, p_latest] { _stop_once_judged(p_latest); });
		return;
	}
	for (const std::unique_ptr<soak_caller> &caller : _callers) {
		caller->end();
	}
	for (std::size_t i = 0; i < _probes.size(); i++) {
		if (_probes[i].attempt) {
			_book.on_no_answer(*_probes[i].attempt, unanswered_end::NONE, false, "", event_loop::now());
			_end_probe(i);
		}
	}
	_loop.stop();
}

void soak_run::play() {
	_loop.run();
	_book.check_served(_get_served_from(), _served_to);
	_book.check_resumptions();
}

void soak_run::write_report(std::ostream &r_out) const {
	r_out << "seed " << _seed << ": " << (_book.get_broken().empty() ? "sound" : "BROKEN") << ", " << _book.get_count() << " requests, " << _book.get_version() << " versions;";
	for (const auto &[name, count] : _book.get_ends()) {
		r_out << " " << name << " " << count;
	}
	r_out << "\n";
	const auto [turns, longest] = _disturbances.get_longest(disturbance::DRIVER_SLOW);
	if (turns > 0) {
		r_out << "  slow turns of the soak: " << turns << ", the longest " << longest.count() / 1000 << " ms; judged until " << to_seconds(_served_to - _started_at) << " s\n";
	}
	std::map<promise, std::size_t> shown;
	for (const broken_promise &entry : _book.get_broken()) {
		if (++shown[entry.what] <= MOST_SHOWN) {
			r_out << "  broken: " << get_name(entry.what) << ": " << entry.detail << "\n";
		}
	}
	for (const auto &[what, count] : shown) {
		r_out << "  " << get_name(what) << " broken " << count << " times\n";
	}
	for (const auto &[name, count] : _book.get_excused()) {
		r_out << "  excused " << count << ": " << name << "\n";
	}
}

} // namespace calicoscale
