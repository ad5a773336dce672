/*
 * calicoscale: crash_guard.cpp
 * Decides whether a request that was running at endpoints that crashed is sent again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/crash_guard.h"

#include <algorithm>

namespace calicoscale {

namespace {

/**
 * Wait for announcements of competing trials. An event passes two hubs and waits for a turn of three event loops: this is long
 * compared with that, and short compared with the time of a request. The third send that the requirement permits covers nodes that
 * are slower.
 */
constexpr duration TRIAL_WAIT = std::chrono::milliseconds(250);
/** Longest time that a starting node waits for the records of others. Among three nodes, peers counted as live after 0.2 s. */
constexpr duration MAX_SYNCHRONIZATION_WAIT = std::chrono::milliseconds(300);
constexpr duration EXPIRY_INTERVAL = std::chrono::seconds(5);

/** Returns the id of an endpoint in events, which is the same at all nodes. */
std::uint64_t make_subject(const endpoint_identity &p_endpoint) {
	return hash_bytes(p_endpoint.vm, p_endpoint.incarnation);
}

} // namespace

crash_guard::crash_guard(gateway_context &p_context, gateway_fleet &p_fleet, endpoint_follower &p_endpoints, endpoint_exchanges &p_exchanges) :
		_context(p_context),
		_watch(p_context, p_endpoints, p_exchanges, [this](const crashed_endpoint &p_crashed) { _on_crashed(p_crashed); }),
		_exchange(p_context, p_fleet, _memory, [this](const crash_record &p_record, std::string_view p_source) { _on_event(p_record, p_source); }),
		_expiry_timer(p_context.loop, [this] { _expire(); }) {
	p_endpoints.era_entered().connect([this] { _exchange.write_again(); });
}

void crash_guard::start() {
	_started_at = event_loop::now();
	_exchange.start();
	_expiry_timer.set(EXPIRY_INTERVAL);
}

bool crash_guard::is_synchronized() const {
	return _exchange.is_synchronized() || event_loop::now() - _started_at > MAX_SYNCHRONIZATION_WAIT;
}

void crash_guard::_expire() {
	_memory.expire(event_loop::now());
	_context.metrics.set_gauge("crash_memory_requests", static_cast<double>(_memory.get_size()));
	_expiry_timer.set(EXPIRY_INTERVAL);
}

std::vector<request_fingerprint> crash_guard::_find_known(const request_content &p_content) const {
	std::vector<request_fingerprint> known;
	if (_memory.knows_target(hash_target(p_content))) {
		known.push_back(make_fingerprint(p_content));
	}
	if (!p_content.parts.empty() && _memory.knows_target(PART_PLACE)) {
		for (const std::string_view part : p_content.parts) {
			known.push_back(make_part_fingerprint(part));
		}
	}
	std::erase_if(known, [this](const request_fingerprint &p_run) { return _memory.count_crashes(p_run) == 0; });
	return known;
}

crash_verdict crash_guard::judge(const request_content &p_content) const {
	const instant now = event_loop::now();
	std::vector<crash_verdict> verdicts;
	for (const request_fingerprint &run : _find_known(p_content)) {
		const crash_verdict verdict = _memory.judge(run, now);
		// One crash of an endpoint says little about a part that many requests share.
		if (!is_part(run) || verdict.standing != crash_state::SUSPECT) {
			verdicts.push_back(verdict);
		}
	}
	return combine_verdicts(verdicts);
}

void crash_guard::_publish(crash_event p_event, const request_fingerprint &p_run, std::uint64_t p_subject, instant p_at) {
	_exchange.publish(crash_record{ p_event, p_run, p_subject, p_at });
}

void crash_guard::_publish_all(crash_event p_event, const std::vector<request_fingerprint> &p_runs, std::uint64_t p_subject) {
	const instant now = event_loop::now();
	for (const request_fingerprint &run : p_runs) {
		_publish(p_event, run, p_subject, now);
	}
}

void crash_guard::_on_crashed(const crashed_endpoint &p_crashed) {
	for (const request_fingerprint &run : p_crashed.runs) {
		_publish(crash_event::CRASHED_ENDPOINT, run, make_subject(p_crashed.endpoint), p_crashed.lost_at);
	}
}

void crash_guard::_on_event(const crash_record &p_record, std::string_view p_source) {
	const instant now = event_loop::now();
	const crash_verdict verdict = _memory.judge(p_record.run, now);
	log_line line("crash_news");
	line.add("fingerprint", to_string(p_record.run)).add("news", get_name(p_record.news)).add("source", p_source).add("age_ms", now - p_record.at);
	line.add("crashes", static_cast<long long>(verdict.crashes)).add("trials", static_cast<long long>(verdict.trials)).add("standing", get_name(verdict.standing));
	_context.log.write_request(line);
}

void crash_guard::on_run_done(const request_content &p_content, bool p_is_success) {
	for (const request_fingerprint &run : _find_known(p_content)) {
		if (p_is_success || !is_part(run)) {
			_publish(crash_event::SERVED, run, 0, event_loop::now());
		}
	}
}

std::uint64_t crash_guard::request_trial(const request_content &p_content, std::function<void(bool)> p_on_answer) {
	std::vector<request_fingerprint> runs = _find_known(p_content);
	std::erase_if(runs, [this](const request_fingerprint &p_run) { return _memory.judge(p_run, event_loop::now()).standing != crash_state::ON_TRIAL; });
	const std::uint64_t trial = crash_memory::mark_sole_suspect(_context.random.get_bits(), runs.size() == 1);
	requested_trial &requested = _requested[trial];
	requested = requested_trial{ std::move(runs), std::move(p_on_answer), std::make_unique<timer>(_context.loop, [this, trial] { _answer_trial(trial); }) };
	requested.wait->set(TRIAL_WAIT);
	_publish_all(crash_event::TRIAL_REQUESTED, requested.runs, trial);
	return trial;
}

void crash_guard::_answer_trial(std::uint64_t p_trial) {
	const auto found = _requested.find(p_trial);
	// Destroyed later from the event loop, as this function runs inside its timer.
	const std::shared_ptr<requested_trial> requested = std::make_shared<requested_trial>(std::move(found->second));
	_requested.erase(found);
	_context.loop.post([requested] {});
	const instant now = event_loop::now();
	const bool may_send = std::all_of(requested->runs.begin(), requested->runs.end(), [this, p_trial, now](const request_fingerprint &p_run) { return _memory.may_send_trial(p_run, p_trial, now); });
	if (may_send) {
		_sent.emplace(p_trial, requested->runs);
	}
	_publish_all(may_send ? crash_event::TRIAL_SENT : crash_event::TRIAL_DROPPED, requested->runs, p_trial);
	requested->on_answer(may_send);
}

void crash_guard::end_trial(std::uint64_t p_trial) {
	const auto requested = _requested.find(p_trial);
	if (requested != _requested.end()) {
		const std::vector<request_fingerprint> runs = std::move(requested->second.runs);
		_requested.erase(requested);
		_publish_all(crash_event::TRIAL_DROPPED, runs, p_trial);
		return;
	}
	const auto sent = _sent.find(p_trial);
	if (sent != _sent.end()) {
		const std::vector<request_fingerprint> runs = std::move(sent->second);
		_sent.erase(sent);
		_publish_all(crash_event::TRIAL_ENDED, runs, p_trial);
	}
}

} // namespace calicoscale
