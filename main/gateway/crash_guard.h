/*
 * calicoscale: crash_guard.h
 * Decides whether a request that was running at endpoints that crashed is sent again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_GUARD_H
#define CRASH_GUARD_H

#include "main/gateway/crash_sync.h"
#include "main/gateway/crash_watch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace calicoscale {

/**
 * Keeps what this node knows of requests that crash endpoints, from its own runs, from other nodes and from the store. A node
 * requests a trial by announcing it to all nodes. Of the trials announced within a short wait, the one with the lowest id is sent.
 */
class crash_guard {
	/** A trial that waits for announcements of competing trials. */
	struct requested_trial {
		std::vector<request_fingerprint> runs;
		std::function<void(bool)> on_answer;
		std::unique_ptr<timer> wait;
	};

	gateway_context &_context;
	crash_memory _memory;
	crash_watch _watch;
	crash_sync _exchange;
	std::map<std::uint64_t, requested_trial> _requested;
	std::map<std::uint64_t, std::vector<request_fingerprint>> _sent; ///< Trials in progress, by id.
	timer _expiry_timer;
	instant _started_at{};

	/** Returns the fingerprints of a request and of its parts for which there are records. */
	std::vector<request_fingerprint> _find_known(const request_content &p_content) const;
	void _publish_all(crash_event p_event, const std::vector<request_fingerprint> &p_runs, std::uint64_t p_subject);
	void _on_crashed(const crashed_endpoint &p_crashed);
	void _on_event(const crash_record &p_record, std::string_view p_source);
	void _answer_trial(std::uint64_t p_trial);
	void _publish(crash_event p_event, const request_fingerprint &p_run, std::uint64_t p_subject, instant p_at);
	void _expire();

public:
	crash_guard(gateway_context &p_context, gateway_fleet &p_fleet, endpoint_follower &p_endpoints, endpoint_exchanges &p_exchanges);

	void start();

	/** Returns whether this node has received the records of the other nodes, or MAX_SYNCHRONIZATION_WAIT has passed since its start. */
	bool is_synchronized() const;

	/** Returns the strictest verdict on a request and the parts of its prompt. Reads the request's body only if there are records for its target. */
	crash_verdict judge(const request_content &p_content) const;

	/** Records an interrupted run. */
	void on_run_interrupted(const interrupted_run &p_run) { _watch.on_run_interrupted(p_run); }

	/** Records that a run completed with a complete answer of its endpoint. @param p_is_success Whether it was generated from the whole prompt, and not an error. */
	void on_run_done(const request_content &p_content, bool p_is_success);

	/**
	 * Requests to send a request that is on trial. The hook is called once from the event loop with whether the trial may be sent,
	 * unless end_trial() is called before.
	 * @return the trial's id.
	 */
	std::uint64_t request_trial(const request_content &p_content, std::function<void(bool)> p_on_answer);

	/** Ends a trial whose request terminated or was not sent. */
	void end_trial(std::uint64_t p_trial);
};

} // namespace calicoscale

#endif // CRASH_GUARD_H
