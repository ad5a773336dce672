/*
 * calicoscale: standin_endpoint.h
 * Stand-in for model engines, pools and plain services.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_ENDPOINT_H
#define STANDIN_ENDPOINT_H

#include "core/random_source.h"
#include "servers/configuration/configuration.h"
#include "servers/routing/endpoint_state.h"
#include "tests/standins/standin_faults.h"
#include "tests/standins/standin_server.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace calicoscale {

/** How an endpoint works. */
struct endpoint_model {
	stage_kind kind = stage_kind::CALL;
	int slots = 8; ///< Requests worked on at once.
	int queue = 16; ///< Requests that may wait; more are refused as busy.
	double base_ms = 5.0; ///< Time of any request.
	double per_kilobyte_ms = 0.0; ///< Further time by size of the input.
	double token_ms = 5.0; ///< GENERATE: time of a token in an empty batch.
	int tokens = 16; ///< GENERATE: tokens of an answer, at most max_tokens.
	std::size_t cached_prefixes = 8; ///< GENERATE: prompt prefixes kept.
	bool reports_load = true;
	double report_lag_ms = 0.0;
	bool checks_give_up = false; ///< Refuses orders past their Give-Up-Unix-Ms.
};

/** What an endpoint did, to compare books with. */
struct endpoint_truth {
	std::map<std::string, double> units_by_customer;
	std::uint64_t runs = 0;
	std::uint64_t refused = 0;
	std::uint64_t prefix_hits = 0;
	std::uint64_t prefix_misses = 0;
	std::map<std::string, int> runs_by_marker; ///< How often each request ran here.
};

/** One endpoint. */
class standin_endpoint {
	struct work {
		std::string attempt;
		std::string customer;
		std::string marker;
		std::string prefix;
		std::size_t input_bytes = 0;
		std::shared_ptr<http_exchange> reader;
		std::string echo; ///< Attempt that the present reader asked under.
		std::vector<std::string> tokens;
		std::size_t sent = 0;
		int total_tokens = 0;
		double units = 0.0;
		std::unique_ptr<timer> step;
		bool running = false;
		bool finished = false;
		bool forgotten = false; ///< The stream cannot be resumed; its cost is still on the books.
		bool fault_shown = false;
		bool faulty = false; ///< The fault hits this request.
		instant orphaned_at{};
		instant ended_at{};
	};

	struct load_sample {
		instant at{};
		int running = 0;
		int queued = 0;
	};

	event_loop &_loop;
	endpoint_listing _listing;
	endpoint_model _model;
	standin_server _server;
	random_source _random;
	fault_setting<endpoint_fault> _fault;
	endpoint_truth _truth;
	std::map<std::string, std::shared_ptr<work>> _works;
	std::deque<std::shared_ptr<work>> _queue;
	std::deque<std::string> _prefixes;
	std::map<std::string, bool> _stopped; ///< Attempts settled before they came.
	std::deque<load_sample> _loads;
	std::vector<std::shared_ptr<http_exchange>> _hanging;
	std::vector<std::unique_ptr<timer>> _half_sent; ///< Until the rest of a truncated answer is given up.
	int _running = 0;
	timer _sweep_timer;

	void _on_exchange(std::unique_ptr<http_exchange> p_exchange);
	void _take_order(const std::shared_ptr<http_exchange> &p_exchange, bool p_is_stream);
	void _take_resume(const std::shared_ptr<http_exchange> &p_exchange);
	void _take_settle(http_exchange &r_exchange);
	void _show_load(http_exchange &r_exchange);
	bool _refuse(http_exchange &r_exchange, bool p_hit);
	void _start(const std::shared_ptr<work> &p_work);
	void _step(const std::shared_ptr<work> &p_work);
	void _finish_unary(const std::shared_ptr<work> &p_work);
	void _send_tokens(const std::shared_ptr<work> &p_work);
	void _send_line(const work &p_work, const nlohmann::json &p_line);
	void _send_done(const std::shared_ptr<work> &p_work);
	bool _show_stream_fault(const std::shared_ptr<work> &p_work);
	void _free_slot(const std::shared_ptr<work> &p_work);
	void _charge(work &r_work, double p_units);
	bool _touch_prefix(const std::string &p_prefix);
	duration _get_factor_time(double p_milliseconds) const;
	void _watch_reader(const std::shared_ptr<work> &p_work);
	void _sweep();

public:
	standin_endpoint(event_loop &p_loop, const network_address &p_address, endpoint_listing p_listing, endpoint_model p_model, std::uint64_t p_seed);

	void set_fault(const fault_setting<endpoint_fault> &p_fault);
	void set_listed_leaving() { _listing.leaving = true; }
	const endpoint_listing &get_listing() const { return _listing; }
	const endpoint_truth &get_truth() const { return _truth; }
};

} // namespace calicoscale

#endif // STANDIN_ENDPOINT_H
