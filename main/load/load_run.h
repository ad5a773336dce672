/*
 * calicoscale: load_run.h
 * Sends a mix of requests at a given rate as an open loop and checks every answer.
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

/** Options of a load run. */
struct load_options {
	std::vector<network_address> targets;
	double rate = 10.0; ///< Average number of requests per second outside bursts.
	duration warm_up = duration::zero(); ///< Requests scheduled in this time aren't part of the report.
	duration length = std::chrono::seconds(10);
	std::uint64_t seed = 1;
	bool check_chain = true;
	bool show_progress = true;
};

/**
 * A load run. Arrival times are drawn from the seeded random source and don't depend on answers, so two runs with the same seed
 * send the same load.
 */
class load_run {
	struct open_request {
		std::size_t kind = 0; ///< Index into the requests of the mix.
		std::size_t customer = 0; ///< Index into the customers of the mix.
		std::string marker; ///< Random text of the input by which an answer is matched to its request.
		instant scheduled{};
		duration deadline = duration::zero();
		bool measured = false; ///< Scheduled after the warm-up.
		std::string unparsed; ///< Received bytes of a line that isn't complete yet.
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
	bool _is_sending_done = false;

	void _schedule_next();
	double _get_rate(instant p_at) const;
	void _send_due();
	void _send(instant p_scheduled);
	std::size_t _draw_customer(const mix_request &p_kind);
	std::string _make_input(const open_request &p_request);
	void _on_chunk(open_request &r_request, std::string_view p_chunk);
	void _on_event_line(open_request &r_request, const std::string &p_line);
	void _on_end(std::uint64_t p_id, const http_result &p_result);
	void _classify(open_request &r_request, const http_result &p_result);
	void _check_stream(open_request &r_request);
	void _check_complete_answer(open_request &r_request, const std::string &p_body);
	void _record_problem(open_request &r_request, const std::string &p_body);
	void _add_fault(open_request &r_request, const std::string &p_what);
	void _show_progress();
	void _stop_if_done();

public:
	load_run(event_loop &p_loop, load_mix p_mix, load_options p_options);

	/** Starts sending; stops the loop once sending has ended and every request has terminated. */
	void start();

	const load_report &get_report() const { return _report; }
};

} // namespace calicoscale

#endif // LOAD_RUN_H
