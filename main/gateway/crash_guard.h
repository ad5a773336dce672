/*
 * calicoscale: crash_guard.h
 * Decides whether a request that was at work at endpoints that ended is sent again.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_GUARD_H
#define CRASH_GUARD_H

#include "main/gateway/crash_exchange.h"
#include "main/gateway/crash_watch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace calicoscale {

/**
 * What this node knows of requests that end endpoints: what it saw, what others told, what lasted in the store. A trial is
 * asked for by telling all nodes; the one with the lowest id of those told within a moment is sent.
 */
class crash_guard {
	/** A trial that waits to hear of others. */
	struct asked_trial {
		request_fingerprint run;
		std::function<void(bool)> on_answer;
		std::unique_ptr<timer> wait;
	};

	gateway_context &_context;
	crash_memory _memory;
	crash_watch _watch;
	crash_exchange _exchange;
	std::map<std::uint64_t, asked_trial> _asked;
	std::map<std::uint64_t, request_fingerprint> _sent; ///< Trials under way.
	timer _expiry_timer;
	instant _started_at{};

	void _on_ended(const ended_endpoint &p_ended);
	void _on_news(const crash_record &p_record, std::string_view p_source);
	void _answer_trial(std::uint64_t p_trial);
	void _tell(crash_news p_news, const request_fingerprint &p_run, std::uint64_t p_subject, instant p_at);
	void _expire();

public:
	crash_guard(gateway_context &p_context, gateway_fleet &p_fleet, endpoint_follower &p_endpoints);

	void start();

	/** Whether this node was told what others know, or has waited long enough for it. */
	bool is_told() const;

	/** How a request stands. Reads its body only if something is known of requests at its place. */
	crash_verdict judge(const request_content &p_content) const;

	/** A run was lost at an endpoint. */
	void on_run_lost(const lost_run &p_run) { _watch.on_run_lost(p_run); }

	/** A run ended with a whole answer of its endpoint. */
	void on_run_done(const request_content &p_content);

	/**
	 * Asks to send a request that is on trial. The hook is called once from the loop, unless the trial is ended before.
	 * @return the trial's id.
	 */
	std::uint64_t ask_trial(const request_content &p_content, std::function<void(bool)> p_on_answer);

	/** The request of a trial ended, or is not sent after all. */
	void end_trial(std::uint64_t p_trial);
};

} // namespace calicoscale

#endif // CRASH_GUARD_H
