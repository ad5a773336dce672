/*
 * calicoscale: promise_book.cpp
 * Knows every request of a soak and checks what became of it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/promise_book.h"

#include "core/verdict.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

/** Of every request; ends before the route's time-out of 3 s. */
constexpr duration DEADLINE = milliseconds(2500);
/** What a busy machine may add to a process's turn; assumed. */
constexpr duration BUSY_MACHINE = milliseconds(700);
/** As the nodes' settings have it. */
constexpr duration CONFIGURATION_BOUND = milliseconds(2000) + BUSY_MACHINE;
/** An endpoint that leaves serves so long at least, and a little longer. */
constexpr duration LEAVING_BOUND = milliseconds(2000) + BUSY_MACHINE;
/** A version's effect must have been seen so long before; answers on two connections may overtake each other. */
constexpr duration REVERT_SLACK = milliseconds(250);
/** An answer that breaks off about its deadline was ended for it. */
constexpr duration DEADLINE_GRAIN = milliseconds(50);
/** So many requests of calm nodes in its zone must have run before an endpoint counts as passed over. */
constexpr std::size_t RUNS_TO_JUDGE = 40;
constexpr std::size_t REQUESTS_TO_JUDGE = 20;
constexpr double LEAST_SERVED = 0.9;
constexpr std::size_t SHOWN_BYTES = 60;
/** Fewer resumed streams are not judged. */
constexpr std::size_t RESUMPTIONS_TO_JUDGE = 12;
constexpr double LEAST_RESUMED_SHARE = 0.5;
constexpr std::ptrdiff_t LEAST_SERVING = 2;

std::string get(const http_head &p_head, std::string_view p_name) {
	const std::string *value = p_head.find(p_name);
	return value == nullptr ? std::string() : *value;
}

bool promises_not_run(int p_status) {
	return p_status == 408 || p_status == 421 || p_status == 429 || p_status == 503;
}

bool is_turned_away(int p_status) {
	return p_status == 400 || p_status == 401 || p_status == 403 || p_status == 404 || p_status == 413 || p_status == 431;
}

/** Whether a node refused a request because it does not know the route or the key, and says that its configuration may be old. */
bool is_unconfirmed(int p_status, const std::string &p_body) {
	return p_status == 503 && p_body == get_name(reason::CONFIGURATION_UNCONFIRMED);
}

} // namespace

promise_book::promise_book(disturbance_log &p_disturbances, std::string p_prefix) :
		_disturbances(p_disturbances), _prefix(std::move(p_prefix)) {
}

check_scope promise_book::_make_scope(const soak_attempt &p_attempt, instant p_now) const {
	return check_scope{ p_attempt.node, p_attempt.is_proxied, p_attempt.run_by, p_attempt.begun_at, p_now };
}

void promise_book::judge(promise p_promise, const check_scope &p_scope, const std::string &p_detail) {
	const std::string excuse = _disturbances.find_excuse(p_promise, p_scope);
	if (excuse.empty()) {
		_broken.push_back(broken_promise{ p_promise, p_detail });
	} else {
		_excused[std::string(get_name(p_promise)) + ", " + excuse]++;
	}
}

std::shared_ptr<soak_attempt> promise_book::open(request_kind p_kind, std::size_t p_node, std::size_t p_life, bool p_is_proxied, instant p_now) {
	const std::shared_ptr<soak_attempt> made = std::make_shared<soak_attempt>();
	made->id = _prefix + std::to_string(_order.size());
	made->kind = p_kind;
	made->node = p_node;
	made->node_life = p_life;
	made->is_proxied = p_is_proxied;
	made->target = make_target(p_kind, made->id, 0);
	made->body = make_request_body(made->id);
	made->begun_at = p_now;
	made->give_up_at = p_now + DEADLINE;
	_attempts.emplace(made->id, made);
	_order.push_back(made->id);
	return made;
}

std::shared_ptr<soak_attempt> promise_book::open_probe(std::uint64_t p_version, std::size_t p_node, std::size_t p_life, instant p_now) {
	const std::shared_ptr<soak_attempt> made = open(request_kind::PROBE, p_node, p_life, false, p_now);
	made->probed_version = p_version;
	made->target = make_target(request_kind::PROBE, made->id, p_version);
	return made;
}

std::shared_ptr<soak_attempt> promise_book::open_resumption(const soak_attempt &p_broken, std::size_t p_node, std::size_t p_life, bool p_is_proxied, instant p_now) {
	const std::shared_ptr<soak_attempt> made = open(p_broken.kind, p_node, p_life, p_is_proxied, p_now);
	made->stream = p_broken.stream.empty() ? p_broken.id : p_broken.stream;
	made->resumed_after = p_broken.resumed_after + p_broken.events;
	made->version = p_broken.version;
	made->give_up_at = p_broken.give_up_at;
	made->is_version_serving = _is_serving(made->version);
	return made;
}

bool promise_book::_is_serving(const std::string &p_version) const {
	return std::count_if(_serving.begin(), _serving.end(), [&p_version](const auto &p_entry) { return p_entry.second == p_version; }) >= LEAST_SERVING;
}

void promise_book::_read_events(soak_attempt &r_attempt, std::string_view p_body) {
	if (!is_stream(r_attempt.kind)) {
		return;
	}
	received_events events = read_events(p_body, r_attempt.id, r_attempt.resumed_after + 1);
	r_attempt.events = events.count;
	if (!r_attempt.stream.empty()) {
		events.versions.insert(r_attempt.version);
	}
	if (events.versions.size() > 1) {
		std::string versions;
		for (const std::string &version : events.versions) {
			versions += " " + version;
		}
		judge(promise::ONE_VERSION, {}, r_attempt.id + " at node " + std::to_string(r_attempt.node) + (r_attempt.stream.empty() ? "" : ", which resumes " + r_attempt.stream + ",") + " has events of versions" + versions);
	} else if (!events.versions.empty()) {
		r_attempt.version = *events.versions.begin();
	}
}

void promise_book::_end(soak_attempt &r_attempt, instant p_now) {
	r_attempt.has_ended = true;
	r_attempt.ended_at = p_now;
	r_attempt.is_version_serving = r_attempt.is_version_serving && _is_serving(r_attempt.version);
}

std::shared_ptr<soak_attempt> promise_book::find(const std::string &p_id) const {
	const auto found = _attempts.find(p_id);
	return found == _attempts.end() ? nullptr : found->second;
}

std::string promise_book::find_other(const std::string &p_id) const {
	const auto other = std::find_if(_order.rbegin(), _order.rend(), [&p_id](const std::string &p_entry) { return p_entry != p_id; });
	return other == _order.rend() ? std::string() : *other;
}

void promise_book::on_run(std::size_t p_endpoint, const http_head &p_head, const std::string &p_body, instant p_now) {
	const std::string id = get(p_head, "X-Attempt-Id");
	const std::shared_ptr<soak_attempt> attempt = find(id);
	if (attempt == nullptr || attempt->target != p_head.target || attempt->body != p_body || get(p_head, "X-Tenant") != CUSTOMER || p_head.method != "POST") {
		judge(promise::UNCHANGED, {}, "endpoint " + std::to_string(p_endpoint) + " got " + p_head.method + " " + p_head.target + " as " + id + " with " + std::to_string(p_body.size()) + " bytes");
		return;
	}
	attempt->run_by.push_back(p_endpoint);
	attempt->run_at = p_now;
	if (!is_repeatable(attempt->kind) && attempt->run_by.size() > 1) {
		judge(promise::AT_MOST_ONCE, _make_scope(*attempt, p_now), id + " at node " + std::to_string(attempt->node) + " ran " + std::to_string(attempt->run_by.size()) + " times");
	}
	if (attempt->has_ended && promises_not_run(attempt->status)) {
		judge(promise::REFUSED_IS_NOT_RUN, _make_scope(*attempt, p_now), id + " at node " + std::to_string(attempt->node) + " ran after the answer " + std::to_string(attempt->status));
	}
	endpoint_state &endpoint = _endpoints[p_endpoint];
	endpoint.runs++;
	if (endpoint.leaving_since && p_now > *endpoint.leaving_since + LEAVING_BOUND) {
		check_scope scope = _make_scope(*attempt, p_now);
		scope.endpoints = { p_endpoint };
		judge(promise::LEAVING_IS_LEFT, scope, id + " from node " + std::to_string(attempt->node) + " reached endpoint " + std::to_string(p_endpoint) + " " + std::to_string((p_now - *endpoint.leaving_since).count() / 1000) + " ms after it said that it leaves");
	}
}

void promise_book::on_trapped(const std::string &p_id) {
	judge(promise::UNCHANGED, {}, p_id + " was sent to an address that only a spoilt record names");
}

void promise_book::_check_success(const soak_attempt &p_attempt, const http_head &p_head, const std::string &p_body) {
	const std::string seal = get(p_head, "X-Replica-Seal");
	std::string expected = is_stream(p_attempt.kind) ? "" : make_answer_body(p_attempt.id, seal);
	for (int number = p_attempt.resumed_after + 1; is_stream(p_attempt.kind) && number <= EVENTS_IN_STREAM; number++) {
		expected += make_event(p_attempt.id, number, p_attempt.version);
	}
	if (seal.empty() || get(p_head, "X-Attempt-Id") != p_attempt.id || p_body != expected) {
		judge(promise::OWN_ANSWER, {}, p_attempt.id + " at node " + std::to_string(p_attempt.node) + " got " + std::to_string(p_body.size()) + " bytes for " + get(p_head, "X-Attempt-Id") + ": " + p_body.substr(0, SHOWN_BYTES));
	}
}

void promise_book::_check_probe(const soak_attempt &p_attempt, bool p_is_unknown, std::size_t p_life, instant p_now) {
	const bool is_same_life = p_attempt.node_life == p_life;
	version_seen &seen = _seen[{ p_attempt.node, p_attempt.node_life }];
	const std::string what = p_attempt.id + " at node " + std::to_string(p_attempt.node) + " for version " + std::to_string(p_attempt.probed_version) + " of " + std::to_string(_version) + " got " + std::to_string(p_attempt.status);
	const bool is_newest = p_attempt.probed_version == _version;
	const bool is_served = p_attempt.status >= 200 && p_attempt.status < 300;
	const bool is_older = is_newest ? p_is_unknown : is_served;
	if (is_older && is_same_life && seen.version >= (is_newest ? _version : p_attempt.probed_version + 1) && p_attempt.begun_at > seen.at + REVERT_SLACK) {
		judge(promise::CONFIGURATION_STAYS, _make_scope(p_attempt, p_now), what + " after version " + std::to_string(seen.version) + " was seen");
	}
	if (is_older && p_attempt.begun_at > _confirmed_at + CONFIGURATION_BOUND) {
		judge(promise::CONFIGURATION_IN_FORCE, _make_scope(p_attempt, p_now), what + ", " + std::to_string((p_attempt.begun_at - _confirmed_at).count() / 1000) + " ms after it was confirmed");
	}
	if (is_served && is_same_life && p_attempt.probed_version > seen.version) {
		seen = version_seen{ p_attempt.probed_version, p_now };
	}
}

void promise_book::on_answer(soak_attempt &r_attempt, const http_head &p_head, const std::string &p_body, std::size_t p_life, instant p_now) {
	r_attempt.status = p_head.status;
	_end(r_attempt, p_now);
	_ends[std::to_string(p_head.status)]++;
	const std::string at = r_attempt.id + " at node " + std::to_string(r_attempt.node);
	if (p_head.status >= 200 && p_head.status < 300) {
		_read_events(r_attempt, p_body);
		_check_success(r_attempt, p_head, p_body);
	}
	if (promises_not_run(p_head.status) && !r_attempt.run_by.empty()) {
		judge(promise::REFUSED_IS_NOT_RUN, _make_scope(r_attempt, p_now), at + " got " + std::to_string(p_head.status) + " though endpoint " + std::to_string(r_attempt.run_by.front()) + " ran it");
	}
	if (r_attempt.kind == request_kind::PROBE) {
		_check_probe(r_attempt, p_head.status == 404 || p_head.status == 401 || is_unconfirmed(p_head.status, p_body), p_life, p_now);
	} else if (is_turned_away(p_head.status) || is_unconfirmed(p_head.status, p_body)) {
		judge(promise::ADMITTED, _make_scope(r_attempt, p_now), at + " got " + std::to_string(p_head.status));
	}
}

void promise_book::on_no_answer(soak_attempt &r_attempt, unanswered_end p_end, bool p_has_begun, const std::string &p_body, instant p_now) {
	_read_events(r_attempt, p_body);
	_end(r_attempt, p_now);
	const check_scope scope = _make_scope(r_attempt, p_now);
	const std::string at = r_attempt.id + " at node " + std::to_string(r_attempt.node) + (r_attempt.is_proxied ? " through its proxy" : "");
	if (p_end == unanswered_end::NONE) {
		_ends["no answer in time"]++;
		if (r_attempt.is_sent()) {
			judge(promise::IN_TIME, scope, at + " had no answer " + std::to_string((p_now - r_attempt.give_up_at).count() / 1000) + " ms after its deadline");
		}
		return;
	}
	if (p_has_begun) {
		_ends["broken off"]++;
		if (p_now < r_attempt.give_up_at - DEADLINE_GRAIN) {
			judge(promise::WHOLE, scope, at + " had its answer broken off " + std::to_string((p_now - r_attempt.begun_at).count() / 1000) + " ms after it began");
		}
		return;
	}
	const bool is_reset = p_end == unanswered_end::RESET;
	_ends[is_reset ? "reset" : "closed"]++;
	const bool was_read = r_attempt.is_sent() && (!is_reset || !r_attempt.run_by.empty());
	if (was_read) {
		judge(promise::ANSWERED, scope, at + (is_reset ? " ran and its connection was reset" : " was read and its connection closed") + " without an answer, told " + std::to_string((p_now - r_attempt.begun_at).count() / 1000) + " ms after it began");
	}
}

void promise_book::on_left(soak_attempt &r_attempt, const std::string &p_body, instant p_now) {
	_read_events(r_attempt, p_body);
	_end(r_attempt, p_now);
	_ends["caller left"]++;
}

void promise_book::on_surplus(std::size_t p_node, std::string_view p_bytes) {
	judge(promise::OWN_ANSWER, {}, "node " + std::to_string(p_node) + " sent where no answer was due: " + std::string(p_bytes.substr(0, SHOWN_BYTES)));
}

void promise_book::on_configured(std::uint64_t p_version, instant p_now) {
	_version = p_version;
	_confirmed_at = p_now;
}

void promise_book::on_leaving(std::size_t p_endpoint, instant p_now) {
	_endpoints[p_endpoint].leaving_since = p_now;
}

void promise_book::on_started_again(std::size_t p_endpoint) {
	_endpoints[p_endpoint] = endpoint_state();
}

void promise_book::check_returned(std::size_t p_endpoint, const std::vector<std::size_t> &p_nodes, instant p_since, instant p_now) {
	std::size_t runs = 0;
	for (auto id = _order.rbegin(); id != _order.rend() && _attempts.at(*id)->begun_at >= p_since; ++id) {
		const soak_attempt &attempt = *_attempts.at(*id);
		const bool is_near = std::find(p_nodes.begin(), p_nodes.end(), attempt.node) != p_nodes.end();
		const check_scope touch{ attempt.node, false, {}, p_since, p_now };
		const bool is_calm = _disturbances.find_excuse(promise::CONFIGURATION_IN_FORCE, touch).empty();
		runs += is_near && is_calm ? attempt.run_by.size() : 0;
	}
	if (runs >= RUNS_TO_JUDGE && _endpoints[p_endpoint].runs == 0) {
		const check_scope scope{ check_scope::NOBODY, false, { p_endpoint }, p_since, p_now };
		judge(promise::RETURNED_IS_USED, scope, "endpoint " + std::to_string(p_endpoint) + " started again and got nothing in " + std::to_string((p_now - p_since).count() / 1000) + " ms while calm nodes of its zone sent " + std::to_string(runs) + " requests");
	}
}

std::vector<const soak_attempt *> promise_book::_find_calm(instant p_from, instant p_to) const {
	std::vector<const soak_attempt *> found;
	for (const std::string &id : _order) {
		const soak_attempt &attempt = *_attempts.at(id);
		const bool is_in_span = attempt.kind != request_kind::PROBE && !attempt.is_dropped && attempt.is_sent() && attempt.begun_at >= p_from && attempt.begun_at < p_to;
		if (is_in_span && !_disturbances.has(disturbance::DRIVER_SLOW, 0, attempt.begun_at, attempt.give_up_at)) {
			found.push_back(&attempt);
		}
	}
	return found;
}

bool promise_book::can_check_served(instant p_from, instant p_known_to) const {
	const std::vector<const soak_attempt *> calm = _find_calm(p_from, p_known_to);
	const auto is_past = [p_known_to](const soak_attempt *p_attempt) { return p_attempt->give_up_at <= p_known_to; };
	return static_cast<std::size_t>(std::count_if(calm.begin(), calm.end(), is_past)) >= REQUESTS_TO_JUDGE;
}

bool promise_book::_is_in_touch(const soak_attempt &p_attempt) const {
	const check_scope touch{ p_attempt.node, false, {}, p_attempt.begun_at, p_attempt.ended_at };
	return _disturbances.find_excuse(promise::CONFIGURATION_IN_FORCE, touch).empty();
}

void promise_book::check_resumptions() {
	std::array<std::size_t, 2> counts{}; ///< New streams, and resumed ones.
	std::array<std::size_t, 2> continued{};
	std::string lost;
	for (const std::string &id : _order) {
		const soak_attempt &attempt = *_attempts.at(id);
		const bool is_resumed = !attempt.stream.empty();
		if (attempt.kind != request_kind::RESUMABLE || !attempt.has_ended || !_is_in_touch(attempt) || (is_resumed && !attempt.is_version_serving)) {
			continue;
		}
		const bool goes_on = attempt.events > 0 || attempt.status == 200;
		counts.at(is_resumed ? 1 : 0)++;
		continued.at(is_resumed ? 1 : 0) += goes_on ? 1 : 0;
		lost += is_resumed && !goes_on ? ", " + id + " at node " + std::to_string(attempt.node) + " (" + std::to_string(attempt.status) + ")" : "";
	}
	if (counts[1] > 0) {
		_ends["streams resumed in touch"] = counts[1];
		_ends["streams that went on"] = continued[1];
	}
	const double begun_share = counts[0] == 0 ? 0.0 : static_cast<double>(continued[0]) / static_cast<double>(counts[0]);
	if (counts[1] >= RESUMPTIONS_TO_JUDGE && static_cast<double>(continued[1]) < LEAST_RESUMED_SHARE * begun_share * static_cast<double>(counts[1])) {
		judge(promise::STREAMS_GO_ON, {}, std::to_string(continued[1]) + " of " + std::to_string(counts[1]) + " resumed streams went on, while " + std::to_string(continued[0]) + " of " + std::to_string(counts[0]) + " new ones began" + lost);
	}
}

void promise_book::check_served(instant p_from, instant p_to) {
	const std::vector<const soak_attempt *> calm = _find_calm(p_from, p_to);
	std::size_t served = 0;
	std::string unserved;
	for (const soak_attempt *attempt : calm) {
		if (attempt->status == 200) {
			served++;
			continue;
		}
		const std::string run = attempt->run_by.empty() ? "never" : std::to_string((attempt->run_at - attempt->begun_at).count() / 1000) + " ms";
		unserved += ", " + attempt->id + " at node " + std::to_string(attempt->node) + " (" + std::to_string(attempt->status) + ", at an endpoint after " + run + ")";
	}
	if (calm.size() < REQUESTS_TO_JUDGE || static_cast<double>(served) < LEAST_SERVED * static_cast<double>(calm.size())) {
		judge(promise::SERVES_AGAIN, {}, std::to_string(served) + " of " + std::to_string(calm.size()) + " requests were served after all trouble had ended" + unserved);
	}
}

} // namespace calicoscale
