/*
 * calicoscale: gateway_stage_copy_test.cpp
 * Tests that copies of answers of stage replicas, which carry no id, are not taken for answers to later calls.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"
#include "tests/main/raw_server.h"

namespace calicoscale {

namespace {

constexpr const char *STAGES = "X-Segments: 2,1\r\nX-Segment-Key: k\r\n";

class gateway_stage_copy_test : public gateway_fixture {
protected:
	raw_server _encoder{ _loop };
	std::map<std::size_t, std::string> _earlier; ///< The latest answer, by connection.
	std::size_t _calls = 0;
	bool _has_room = true;

	std::string _make_handle(const std::string &p_attempt, int p_piece) const { return to_string(_encoder.get_address()) + "/" + p_attempt + "-" + std::to_string(p_piece); }

	/** Answers a call behind a copy of the answer before it on the connection. */
	std::string _answer_behind_copy(std::size_t p_connection, const std::string &p_request) {
		if (!p_request.starts_with("POST /stage-run ")) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
		}
		_calls++;
		const json document = json::parse(p_request.substr(p_request.find("\r\n\r\n") + 4));
		json items = json::array();
		for (const json &item : document.at("items")) {
			items.push_back(_has_room ? json{ { "handle", _make_handle(item.at("id").get<std::string>(), item.at("segment").get<int>()) } } : json{ { "reason", "room" } });
		}
		const std::string body = json{ { "items", items } }.dump();
		const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
		const std::string earlier = _earlier[p_connection];
		_earlier[p_connection] = answer;
		return earlier + answer;
	}

	gateway &start_staged() {
		configure(1);
		_encoder.set_answer("", raw_server::after::KEEP);
		_encoder.set_responder([this](std::size_t p_connection, const std::string &p_request) { return _answer_behind_copy(p_connection, p_request); });
		_store.put(ENDPOINT_TOPIC, "i-encoder", json{ { "service", "encode" }, { "address", to_string(_encoder.get_address()) }, { "zone", "a" }, { "version", "v1" }, { "slots", 1 }, { "state", "ready" }, { "seq_no", 1 }, { "born", 1 } }.dump());
		add_replica("search");
		add_replica("llm");
		return start_ready();
	}

	std::vector<std::string> get_inputs(const std::string &p_attempt) { return _replicas.front().item_inputs[p_attempt + ".1.0"]; }
};

} // namespace

// Guards against giving a request the results of another one, when a stage replica repeats an answer in the place of the next.
TEST_F(gateway_stage_copy_test, a_copy_of_an_earlier_answer_does_not_answer_the_next_call) {
	gateway &node = start_staged();
	for (const std::string attempt : { "r1", "r2", "r3" }) {
		EXPECT_EQ(ask(node, "/stream/staged/x", "key-1", STAGES)->head.status, 200);
		EXPECT_EQ(get_inputs(attempt), (std::vector<std::string>{ _make_handle(attempt, 0), _make_handle(attempt, 1) }));
	}
	EXPECT_EQ(_calls, 3U) << "no work is done twice";
}

// Guards against keeping a connection behind an answer whose copy could not be recognized.
TEST_F(gateway_stage_copy_test, a_call_behind_an_answer_without_results_uses_another_connection) {
	gateway &node = start_staged();
	_has_room = false;
	const std::shared_ptr<caller_result> first = send(node, "/stream/staged/x", "key-1", STAGES);
	run_until([this] { return _calls > 0; });
	_has_room = true;
	run_until([&first] { return first->end.has_value(); });
	EXPECT_EQ(first->head.status, 200);
	EXPECT_EQ(get_inputs("r1"), (std::vector<std::string>{ _make_handle("r1", 0), _make_handle("r1", 1) }));
	EXPECT_EQ(_earlier.size(), 2U);
	EXPECT_EQ(_calls, 2U) << "a copy of the first answer would be taken for the second";
}

} // namespace calicoscale
