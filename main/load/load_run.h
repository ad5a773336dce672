/*
 * calicoscale: load_run.h
 * Sends a mix at a rate, open loop, and checks every answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOAD_RUN_H
#define LOAD_RUN_H

#include "core/random_source.h"
#include "drivers/http_client.h"
#include "main/load/load_mix.h"
#include "main/load/load_report.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace calicoscale {

/** How to run. */
struct load_options {
	std::vector<network_address> targets;
	double rate = 10.0; ///< Requests a second.
	duration warm_up = duration::zero(); ///< Not reported.
	duration length = std::chrono::seconds(10);
	std::uint64_t seed = 1;
	bool check_chain = true;
	bool show_progress = true;
};

/** One run. Arrivals are drawn ahead from the seed, so two runs with one seed send alike. */
class load_run {
	struct open_request {
		std::size_t kind = 0;
		std::size_t customer = 0;
		std::string marker;
		instant scheduled{};
		duration deadline = duration::zero();
		bool measured = false;
		std::string rest;
		std::vector<std::string> tokens;
		std::string last_event;
		std::string done; ///< Data of the done event.
		std::string error; ///< Data of an error event.
		int done_count = 0;
		instant last_token{};
		load_sample sample;
	};

	event_loop &_loop;
	http_client _client;
	load_mix _mix;
	load_options _options;
	random_source _random;
	load_report _report;
	timer _next_timer;
	timer _progress_timer;
	std::map<std::uint64_t, std::unique_ptr<open_request>> _open;
	std::uint64_t _next_id = 1;
	instant _started{};
	instant _next_arrival{};
	bool _ended = false;

	void _schedule_next();
	double _get_rate(instant p_at) const;
	void _send_due();
	void _send(instant p_scheduled);
	std::size_t _draw_customer(const mix_request &p_kind);
	std::string _make_input(const open_request &p_request);
	void _take_chunk(open_request &r_request, std::string_view p_chunk);
	void _take_event_line(open_request &r_request, const std::string &p_line);
	void _end(std::uint64_t p_id, const http_result &p_result);
	void _judge(open_request &r_request, const http_result &p_result);
	void _judge_stream(open_request &r_request);
	void _judge_whole(open_request &r_request, const std::string &p_body);
	void _judge_problem(open_request &r_request, const std::string &p_body);
	void _fault(open_request &r_request, const std::string &p_what);
	void _show_progress();
	void _maybe_stop();

public:
	load_run(event_loop &p_loop, load_mix p_mix, load_options p_options);

	/** Begins; the loop is stopped when all is answered. */
	void start();

	const load_report &get_report() const { return _report; }
};

} // namespace calicoscale

#endif // LOAD_RUN_H
