/*
 * calicoscale: gateway_crash_test.cpp
 * What a fleet of gateways does with a request that ends each endpoint which begins to run it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <algorithm>

namespace calicoscale {

namespace {

/**
 * The story: one request crashed each engine that began to run it. Its caller got 502 and sent it again, under a new id, at
 * another node; within six seconds eight engines of one service had ended, and a tenth of the service's other requests had
 * failed with them. Nodes remember of a request only what its own exchange needs, and tell each other nothing of requests, so
 * to each of them it is new each time.
 */
class gateway_crash_test : public gateway_fixture {
protected:
	const std::string ENDING = "ends what runs it";
	/** The aim: three endpoints may end under a request; this long after the third all nodes hold back, but for three sends. */
	static constexpr duration HOLD_BACK_TIME = seconds(3);
	static constexpr std::size_t CRASHES = 3;
	static constexpr std::size_t SENDS_LEFT = 3;

	std::vector<instant> _arrivals; ///< Of the request at endpoints that begin to run it.
	std::list<timer> _later;

	standin_replica &add_engine(const std::string &p_zone) {
		standin_replica &engine = add_replica("llm", p_zone);
		engine.ending_body = ENDING;
		engine.on_ended = [this, &engine] {
			_arrivals.push_back(event_loop::now());
			// Its entry runs out, and it is back under another name.
			_later.emplace_back(_loop, [this, &engine] {
				_store.drop(ENDPOINT_TOPIC, engine.get_name());
				add_engine(engine.zone);
			});
			_later.back().set(milliseconds(1200));
		};
		return engine;
	}

	/** A node in each of three zones, and engines in each. */
	void start_fleet(int p_engines_a_zone = 5) {
		configure(1);
		for (const char *zone : { "a", "b", "c" }) {
			for (int i = 0; i < p_engines_a_zone; i++) {
				add_engine(zone);
			}
		}
		for (const char *zone : { "a", "b", "c" }) {
			_zone = zone;
			start_ready();
		}
		wait(milliseconds(600));
	}

	std::shared_ptr<caller_result> send_content(const gateway &p_gateway, const std::string &p_path, const std::string &p_body) {
		return send_bytes(p_gateway.get_caller_address(), write_request(p_path, p_body, "key-1", ""));
	}

	int ask_content(const gateway &p_gateway, const std::string &p_path, const std::string &p_body) {
		const std::shared_ptr<caller_result> result = send_content(p_gateway, p_path, p_body);
		run_until([&result] { return result->end.has_value(); });
		return result->head.status;
	}

	/** The request comes again and again, each time at the next node. */
	void send_in_turn(const std::string &p_path, duration p_time) {
		const instant until = event_loop::now() + p_time;
		for (std::size_t turn = 0; event_loop::now() < until; turn++) {
			ask_content(*_gateways[turn % _gateways.size()], p_path, ENDING);
			wait(milliseconds(150));
		}
	}

	std::size_t count_late_arrivals() const {
		if (_arrivals.size() <= CRASHES) {
			return 0;
		}
		const instant held_back = _arrivals[CRASHES - 1] + HOLD_BACK_TIME;
		return static_cast<std::size_t>(std::count_if(_arrivals.begin(), _arrivals.end(), [held_back](instant p_at) { return p_at > held_back; }));
	}
};

} // namespace

TEST_F(gateway_crash_test, a_request_that_ends_endpoints_is_held_back_by_all_nodes) {
	start_fleet();
	send_in_turn("/stream/x", seconds(8));
	EXPECT_GE(_arrivals.size(), CRASHES);
	EXPECT_LE(count_late_arrivals(), SENDS_LEFT) << _arrivals.size() << " endpoints ended";
	for (const std::unique_ptr<gateway> &node : _gateways) {
		EXPECT_EQ(ask_content(*node, "/stream/x", "sound"), 200) << "others are served as ever";
	}
}

} // namespace calicoscale
