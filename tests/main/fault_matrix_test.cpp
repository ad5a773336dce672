/*
 * calicoscale: fault_matrix_test.cpp
 * Tests every fault at every step of a request, on real sockets against stand-ins.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/answer_check.h"
#include "tests/main/node_fixture.h"

#include <fstream>

namespace calicoscale {

namespace {

/** One cell of the matrix: a fault at a step of a request, and the answer that the caller must receive. */
struct matrix_cell {
	const char *step;
	const char *fault_name;
	const char *pool; ///< Pool whose endpoints have the fault.
	endpoint_fault fault;
	double amount;
	bool both; ///< Whether both endpoints of the pool have the fault, or only the first.
	const char *pipeline;
	bool stream;
	const char *verdict; ///< Expected.
	const char *reason; ///< Expected; nullptr for any.
};

[[maybe_unused]] void PrintTo(const matrix_cell &p_cell, std::ostream *r_stream) {
	*r_stream << p_cell.step << ", " << p_cell.fault_name;
}

constexpr endpoint_fault REFUSE = endpoint_fault::REFUSE;
constexpr endpoint_fault HANG = endpoint_fault::HANG;
constexpr endpoint_fault SLOW = endpoint_fault::SLOW;
constexpr endpoint_fault RESET = endpoint_fault::RESET;
constexpr endpoint_fault TRUNCATE = endpoint_fault::TRUNCATE;
constexpr endpoint_fault LATE = endpoint_fault::LATE;
constexpr endpoint_fault SECOND_ANSWER = endpoint_fault::SECOND_ANSWER;
constexpr endpoint_fault WRONG_ECHO = endpoint_fault::WRONG_ECHO;
constexpr endpoint_fault BUSY = endpoint_fault::BUSY;
constexpr endpoint_fault ERROR_AFTER = endpoint_fault::ERROR_AFTER;
constexpr endpoint_fault LEAVING = endpoint_fault::LEAVING;

const std::vector<matrix_cell> CELLS{
	// One endpoint of a repeatable stage is faulty: the other serves the request.
	{ "connect", "refuse", "encoders", REFUSE, 0, false, "answer", false, "completed", nullptr },
	{ "send", "503 before running", "encoders", BUSY, 0, false, "answer", false, "completed", nullptr },
	{ "send", "leaving", "retrievers", LEAVING, 0, false, "answer", false, "completed", nullptr },
	{ "wait", "hang", "encoders", HANG, 0, false, "answer", false, "completed", nullptr },
	{ "wait", "slow", "retrievers", SLOW, 50, false, "answer", false, "completed", nullptr },
	{ "wait", "late answer", "encoders", LATE, 100, false, "answer", false, "completed", nullptr },
	{ "first byte", "reset", "encoders", RESET, 0, false, "answer", false, "completed", nullptr },
	{ "first byte", "wrong echo", "retrievers", WRONG_ECHO, 0, false, "answer", false, "completed", nullptr },
	{ "last byte", "truncate", "encoders", TRUNCATE, 0, false, "answer", false, "completed", nullptr },
	{ "last byte", "second answer", "retrievers", SECOND_ANSWER, 0, false, "answer", false, "completed", nullptr },
	{ "last byte", "500 after running", "encoders", ERROR_AFTER, 0, false, "answer", false, "completed", nullptr },
	// All endpoints of the first stage are faulty.
	{ "connect", "refuse everywhere", "encoders", REFUSE, 0, true, "answer", false, "not_run", "connect_failed" },
	{ "send", "503 before running everywhere", "encoders", BUSY, 0, true, "answer", false, "not_run", "refused_busy" },
	{ "send", "leaving everywhere", "encoders", LEAVING, 0, true, "answer", false, "not_run", nullptr },
	{ "wait", "hang everywhere", "encoders", HANG, 0, true, "answer", false, "may_have_run", nullptr },
	{ "first byte", "reset everywhere", "encoders", RESET, 0, true, "answer", false, "may_have_run", "connection_lost" },
	{ "last byte", "truncate everywhere", "encoders", TRUNCATE, 0, true, "answer", false, "may_have_run", nullptr },
	{ "first byte", "wrong echo everywhere", "encoders", WRONG_ECHO, 0, true, "answer", false, "may_have_run", "wrong_echo" },
	{ "last byte", "second answer everywhere", "encoders", SECOND_ANSWER, 0, true, "answer", false, "may_have_run", nullptr },
	{ "last byte", "500 after running everywhere", "encoders", ERROR_AFTER, 0, true, "answer", false, "may_have_run", "endpoint_error" },
	// All endpoints of a later stage are faulty: the first stage ran, so the request is not "not run".
	{ "connect, second stage", "refuse everywhere", "retrievers", REFUSE, 0, true, "answer", false, "may_have_run", "connect_failed" },
	{ "send, second stage", "503 before running everywhere", "retrievers", BUSY, 0, true, "answer", false, "may_have_run", "refused_busy" },
	{ "send, second stage", "leaving everywhere", "retrievers", LEAVING, 0, true, "answer", false, "may_have_run", nullptr },
	// Streams.
	{ "first token", "refuse", "engines", REFUSE, 0, false, "answer", true, "completed", nullptr },
	{ "first token", "hang", "engines", HANG, 0, false, "answer", true, "completed", nullptr },
	{ "first token", "wrong echo", "engines", WRONG_ECHO, 0, false, "answer", true, "completed", nullptr },
	{ "first token", "reset", "engines", RESET, 0, false, "answer", true, "completed", nullptr },
	{ "mid-stream", "reset, resumed on the same endpoint", "engines", endpoint_fault::MID_STREAM_RESET, 3, true, "answer", true, "completed", nullptr },
	{ "mid-stream", "endpoint lost, continued elsewhere", "engines", endpoint_fault::MID_STREAM_LOSS, 3, false, "answer", true, "completed", nullptr },
	{ "mid-stream", "slow", "engines", SLOW, 10, true, "answer", true, "completed", nullptr },
	{ "mid-stream", "token left out", "engines", endpoint_fault::TOKEN_GAP, 2, false, "answer", true, "completed", nullptr },
	{ "mid-stream", "token left out everywhere", "engines", endpoint_fault::TOKEN_GAP, 2, true, "answer", true, "may_have_run", "truncated" },
	{ "mid-stream", "token twice", "engines", endpoint_fault::TOKEN_REPEAT, 2, true, "answer", true, "completed", nullptr },
	{ "mid-stream", "second answer", "engines", SECOND_ANSWER, 0, true, "answer", true, "completed", nullptr },
	{ "last token", "wrong digest everywhere", "engines", endpoint_fault::WRONG_DIGEST, 0, true, "answer", true, "may_have_run", "truncated" },
	{ "mid-stream, not streamed to the caller", "endpoint lost, continued elsewhere", "engines", endpoint_fault::MID_STREAM_LOSS, 3, false, "answer", false, "completed", nullptr },
	// An unrepeatable last stage is retried only if it certainly did not run.
	{ "connect, unrepeatable", "refuse", "services", REFUSE, 0, false, "send", false, "completed", nullptr },
	{ "send, unrepeatable", "503 before running", "services", BUSY, 0, false, "send", false, "completed", nullptr },
	{ "send, unrepeatable", "leaving", "services", LEAVING, 0, false, "send", false, "completed", nullptr },
	{ "wait, unrepeatable", "hang everywhere", "services", HANG, 0, true, "send", false, "may_have_run", nullptr },
	{ "first byte, unrepeatable", "reset everywhere", "services", RESET, 0, true, "send", false, "may_have_run", "connection_lost" },
	{ "first byte, unrepeatable", "wrong echo everywhere", "services", WRONG_ECHO, 0, true, "send", false, "may_have_run", "wrong_echo" },
	{ "last byte, unrepeatable", "truncate everywhere", "services", TRUNCATE, 0, true, "send", false, "may_have_run", nullptr },
	{ "last byte, unrepeatable", "second answer everywhere", "services", SECOND_ANSWER, 0, true, "send", false, "may_have_run", nullptr },
	{ "last byte, unrepeatable", "500 after running everywhere", "services", ERROR_AFTER, 0, true, "send", false, "may_have_run", "endpoint_error" },
	{ "wait, unrepeatable", "late answer", "services", LATE, 50, true, "send", false, "completed", nullptr },
};

/** Appends a line to the file from which misc/scripts/fault_matrix.sh generates docs/FAULTS.md. */
void report_cell(const std::string &p_step, const std::string &p_fault, const std::string &p_verdict, const std::string &p_test) {
	const char *path = std::getenv("CALICOSCALE_MATRIX_FILE");
	if (path != nullptr) {
		std::ofstream(path, std::ios::app) << p_step << "|" << p_fault << "|" << p_verdict << "|" << p_test << "\n";
	}
}

} // namespace

class fault_matrix : public node_fixture {
protected:
	/** Checks the guarantees that every answer keeps, whichever fault was injected. */
	void check_promises(const test_request &p_request, const test_answer &p_answer) {
		const std::string verdict = p_answer.get_verdict();
		if (verdict == "not_run") {
			EXPECT_EQ(count_all_runs(p_request.marker), 0);
			EXPECT_TRUE(p_answer.tokens.empty());
		}
		EXPECT_LE(count_runs("services", p_request.marker), p_request.pipeline == "send" ? 1 : 4);
		if (!p_answer.tokens.empty()) {
			EXPECT_EQ(check_chain(p_answer.tokens, p_request.marker), std::nullopt);
		}
		if (verdict == "completed" && p_request.pipeline == "answer") {
			const std::vector<std::string> tokens = p_request.stream ? p_answer.tokens : split_chain(p_answer.body.at("output").get<std::string>());
			EXPECT_EQ(tokens.size(), 6U);
			EXPECT_EQ(check_chain(tokens, p_request.marker), std::nullopt);
		}
		if (verdict == "completed" && p_request.pipeline != "answer") {
			EXPECT_EQ(p_answer.body.at("output").at("marker"), p_request.marker);
		}
	}

	/** Checks that the ledger equals the units that the endpoints charged, once all costs are settled and flushed. */
	void check_ledger() {
		run_until([this] {
			const nlohmann::json status = get_status();
			return status.at("ledger").at("open_settlements") == 0 && status.at("ledger").at("unflushed_rows") == 0;
		},
				"costs settled and flushed");
		http_call costs;
		costs.to = _nodes[0]->get_admin_address();
		costs.path = "/admin/costs";
		std::int64_t micro_units = 0;
		const nlohmann::json answer = nlohmann::json::parse(call(costs).body);
		for (const nlohmann::json &row : answer.at("rows")) {
			micro_units += row.at("micro_units").get<std::int64_t>();
		}
		EXPECT_NEAR(static_cast<double>(micro_units) / 1e6, sum_truth_units(), 0.001);
	}

	std::string make_key() { return std::to_string(event_loop::wall()) + "-" + std::to_string(_next_key++); }

	int _next_key = 0;
};

class fault_matrix_cell : public fault_matrix, public ::testing::WithParamInterface<matrix_cell> {};

TEST_P(fault_matrix_cell, tells_the_truth) {
	const matrix_cell &cell = GetParam();
	start_all();
	set_fault(std::string(cell.pool) + "-0", cell.fault, cell.amount);
	if (cell.both) {
		set_fault(std::string(cell.pool) + "-1", cell.fault, cell.amount);
	}
	// Sends several requests, so that the faulty endpoint is used whichever is chosen first.
	for (int i = 0; i < 4; i++) {
		test_request request;
		request.pipeline = cell.pipeline;
		request.marker = "m" + std::to_string(i);
		request.stream = cell.stream;
		request.deadline = 1500;
		if (request.pipeline == "send") {
			request.once = make_key();
		}
		const test_answer answer = ask(request);
		// Once the node knows that all endpoints are leaving, it refuses the request on arrival, before anything runs.
		const bool is_known = cell.fault == LEAVING && cell.both && i > 0;
		EXPECT_EQ(answer.get_verdict(), is_known ? "not_run" : cell.verdict) << answer.body.dump();
		if (cell.reason != nullptr && i == 0) {
			EXPECT_EQ(answer.get_reason(), cell.reason);
		}
		check_promises(request, answer);
	}
	set_fault(std::string(cell.pool) + "-0", endpoint_fault::NONE);
	set_fault(std::string(cell.pool) + "-1", endpoint_fault::NONE);
	check_ledger();
	report_cell(cell.step, cell.fault_name, cell.verdict, std::string("fault_matrix_cell/") + ::testing::UnitTest::GetInstance()->current_test_info()->name());
}

INSTANTIATE_TEST_SUITE_P(all, fault_matrix_cell, ::testing::ValuesIn(CELLS), [](const ::testing::TestParamInfo<matrix_cell> &p_info) {
	std::string name = std::string(p_info.param.step) + "_" + p_info.param.fault_name + "_" + p_info.param.pipeline;
	for (char &letter : name) {
		letter = std::isalnum(static_cast<unsigned char>(letter)) != 0 ? letter : '_';
	}
	return name;
});

/** A fault at the first stage together with a fault at the last stages (engines and services). */
class fault_matrix_pair : public fault_matrix, public ::testing::WithParamInterface<std::tuple<endpoint_fault, endpoint_fault>> {};

TEST_P(fault_matrix_pair, keeps_every_promise) {
	start_all();
	const auto [first, second] = GetParam();
	set_fault("encoders-0", first, 3);
	set_fault("engines-0", second, 3);
	set_fault("services-0", second, 3);
	for (int i = 0; i < 3; i++) {
		test_request streamed;
		streamed.marker = "s" + std::to_string(i);
		streamed.stream = true;
		streamed.deadline = 1200;
		check_promises(streamed, ask(streamed));
		test_request once;
		once.pipeline = "send";
		once.marker = "o" + std::to_string(i);
		once.once = make_key();
		once.deadline = 1200;
		check_promises(once, ask(once));
	}
	set_fault("encoders-0", endpoint_fault::NONE);
	set_fault("engines-0", endpoint_fault::NONE);
	set_fault("services-0", endpoint_fault::NONE);
	check_ledger();
	const std::string pair = std::string(find_name(ENDPOINT_FAULT_NAMES, first)) + " and " + std::string(find_name(ENDPOINT_FAULT_NAMES, second));
	report_cell("first stage and last stage", pair, "any true one", "fault_matrix_pair");
}

const std::vector<endpoint_fault> PAIRED{ REFUSE, HANG, RESET, TRUNCATE, WRONG_ECHO, BUSY, ERROR_AFTER, LEAVING, endpoint_fault::MID_STREAM_LOSS };

INSTANTIATE_TEST_SUITE_P(all, fault_matrix_pair, ::testing::Combine(::testing::ValuesIn(PAIRED), ::testing::ValuesIn(PAIRED)), [](const ::testing::TestParamInfo<std::tuple<endpoint_fault, endpoint_fault>> &p_info) {
	return std::string(find_name(ENDPOINT_FAULT_NAMES, std::get<0>(p_info.param))) + "_and_" + std::string(find_name(ENDPOINT_FAULT_NAMES, std::get<1>(p_info.param)));
});

/** A fault of the log while a key is claimed. */
struct claim_cell {
	log_fault fault;
	const char *verdict;
};

class fault_matrix_claim : public fault_matrix, public ::testing::WithParamInterface<claim_cell> {};

TEST_P(fault_matrix_claim, runs_at_most_once) {
	start_all();
	// The claims stream has to be read once before keys can be claimed.
	test_request first;
	first.pipeline = "send";
	first.once = make_key();
	first.marker = "before";
	EXPECT_EQ(ask(first).get_verdict(), "completed");
	_platform->get_log().set_fault(fault_setting<log_fault>{ GetParam().fault, 100.0, 1.0 });
	for (int i = 0; i < 3; i++) {
		test_request request;
		request.pipeline = "send";
		request.marker = "m" + std::to_string(i);
		request.once = make_key();
		request.deadline = 800;
		const test_answer answer = ask(request);
		if (GetParam().verdict != nullptr) {
			EXPECT_EQ(answer.get_verdict(), GetParam().verdict) << answer.body.dump();
		}
		check_promises(request, answer);
	}
	_platform->get_log().set_fault({});
	const std::string verdict = GetParam().verdict == nullptr ? "any true one" : GetParam().verdict;
	report_cell("claim append and read", "store " + std::string(find_name(LOG_FAULT_NAMES, GetParam().fault)), verdict, "fault_matrix_claim");
}

INSTANTIATE_TEST_SUITE_P(all, fault_matrix_claim,
		::testing::Values(claim_cell{ log_fault::DOWN, "not_run" }, claim_cell{ log_fault::SLOW, "completed" }, claim_cell{ log_fault::LOSE_ANSWER, "completed" }, claim_cell{ log_fault::REFUSE, "not_run" }, claim_cell{ log_fault::ERROR, nullptr }, claim_cell{ log_fault::HANG, "not_run" }),
		[](const ::testing::TestParamInfo<claim_cell> &p_info) { return std::string(find_name(LOG_FAULT_NAMES, p_info.param.fault)); });

TEST_F(fault_matrix, caller_that_goes_away_cancels_its_work) {
	start_platform({ { "token_ms", 100 }, { "tokens", 60 } });
	start_node("vm-0", "z1");
	configure();
	test_request request;
	request.stream = true;
	call_id id = 0;
	const std::shared_ptr<test_answer> answer = send(request, &id);
	run_until([answer] { return answer->tokens.size() >= 2; }, "tokens");
	_client->cancel(id);
	run_until([this] { return get_status().at("requests").at("running") == 0; }, "the request cancelled");
	check_ledger();
	report_cell("mid-stream", "caller gone", "work cancelled, cost booked", "fault_matrix.caller_that_goes_away_cancels_its_work");
}

TEST_F(fault_matrix, caller_that_goes_away_while_waiting_cancels_its_work) {
	start_all();
	set_pool_fault("encoders", HANG);
	call_id id = 0;
	send(test_request{}, &id);
	run_until([this] { return get_status().at("requests").at("running") == 1; }, "the request running");
	_client->cancel(id);
	run_until([this] { return get_status().at("requests").at("running") == 0; }, "the request cancelled");
	set_pool_fault("encoders", endpoint_fault::NONE);
	check_ledger();
	report_cell("wait", "caller gone", "work cancelled, cost booked", "fault_matrix.caller_that_goes_away_while_waiting_cancels_its_work");
}

TEST_F(fault_matrix, same_key_through_two_nodes_at_once_runs_once) {
	start_platform();
	start_node("vm-0", "z1");
	start_node("vm-1", "z2");
	configure();
	run_until([this] { return !get_status(0).at("links").at("to").empty() && !get_status(1).at("links").at("to").empty(); }, "links");
	for (int i = 0; i < 5; i++) {
		test_request request;
		request.pipeline = "send";
		request.marker = "m" + std::to_string(i);
		request.once = make_key();
		const std::shared_ptr<test_answer> left = send(request);
		request.node = 1;
		const std::shared_ptr<test_answer> right = send(request);
		run_until([left, right] { return left->ended && right->ended; }, "both answers");
		EXPECT_EQ(count_runs("services", request.marker), 1);
		EXPECT_EQ(left->get_verdict(), "completed") << left->body.dump();
		EXPECT_EQ(left->body, right->body) << "both get the one outcome";
		request.node = 0;
		EXPECT_EQ(ask(request).body, left->body) << "and so does a later submission";
	}
	report_cell("claim append", "same key through two nodes at once", "completed, once", "fault_matrix.same_key_through_two_nodes_at_once_runs_once");
}

TEST_F(fault_matrix, ticket_runs_once_through_any_node_without_the_log) {
	start_platform();
	start_node("vm-0", "z1");
	start_node("vm-1", "z2");
	configure();
	run_until([this] { return !get_status(0).at("links").at("to").empty() && !get_status(1).at("links").at("to").empty(); }, "links");
	http_call ticket_call;
	ticket_call.to = _nodes[0]->get_caller_address();
	ticket_call.is_post = true;
	ticket_call.path = "/v1/tickets";
	ticket_call.headers = { { "Authorization", "Bearer key-large" } };
	const std::string ticket = nlohmann::json::parse(call(ticket_call).body).at("ticket").get<std::string>();
	_platform->get_log().set_fault(fault_setting<log_fault>{ log_fault::DOWN, 0.0, 1.0 });
	test_request request;
	request.pipeline = "send";
	request.once = ticket;
	request.node = 1;
	const test_answer first = ask(request);
	EXPECT_EQ(first.get_verdict(), "completed") << first.body.dump();
	request.node = 0;
	EXPECT_EQ(ask(request).body, first.body);
	EXPECT_EQ(count_runs("services", request.marker), 1);
	request.key = "key-small";
	EXPECT_EQ(ask(request).get_reason(), "not_found") << "another customer's ticket is not found";
	report_cell("ticket", "store down, submitted through two nodes", "completed, once", "fault_matrix.ticket_runs_once_through_any_node_without_the_log");
}

TEST_F(fault_matrix, stream_is_resumed_through_another_node_after_the_first_died) {
	start_platform({ { "token_ms", 40 }, { "tokens", 30 } });
	start_node("vm-0", "z1");
	start_node("vm-1", "z2");
	configure();
	test_request request;
	request.stream = true;
	const std::shared_ptr<test_answer> answer = send(request);
	run_until([answer] { return answer->tokens.size() >= 2 && !answer->resume.empty(); }, "tokens");
	// Simulates a crash of the node: none of its code runs any more, and its sockets close.
	kill_node(0);
	run_until([answer] { return answer->ended; }, "the broken stream");
	EXPECT_NE(answer->result.failure, http_failure::NONE) << "a broken stream never looks complete";
	http_call resume;
	resume.to = _nodes[1]->get_caller_address();
	resume.is_post = true;
	resume.path = "/v1/resume";
	resume.headers = { { "Authorization", "Bearer key-large" } };
	resume.body = nlohmann::json({ { "resume", answer->resume }, { "next", answer->tokens.size() } }).dump();
	const http_result rest = call(resume);
	ASSERT_EQ(rest.status, 200) << rest.body;
	std::vector<std::string> tokens = answer->tokens;
	nlohmann::json done;
	std::istringstream lines(rest.body);
	std::string line;
	std::string name;
	while (std::getline(lines, line)) {
		name = line.starts_with("event: ") ? line.substr(7) : name;
		if (line.starts_with("data: ") && name == "token") {
			const nlohmann::json token = nlohmann::json::parse(line.substr(6));
			EXPECT_EQ(token.at("sequence"), tokens.size());
			tokens.push_back(token.at("token").get<std::string>());
		} else if (line.starts_with("data: ") && name == "done") {
			done = nlohmann::json::parse(line.substr(6));
		}
	}
	EXPECT_EQ(check_chain(tokens, request.marker), std::nullopt);
	stream_digest digest;
	for (const std::string &token : tokens) {
		digest.add(token);
	}
	EXPECT_EQ(done.at("digest"), digest.to_string());
	EXPECT_EQ(done.at("count"), tokens.size());
	resume.headers = { { "Authorization", "Bearer key-small" } };
	EXPECT_EQ(call(resume).status, 404) << "another customer's stream is not found";
	report_cell("mid-stream", "entry node killed", "resumed through another node", "fault_matrix.stream_is_resumed_through_another_node_after_the_first_died");
}

TEST_F(fault_matrix, planned_stop_cuts_off_nothing_in_flight) {
	start_platform({ { "token_ms", 30 }, { "tokens", 20 } });
	start_node("vm-0", "z1");
	configure();
	std::vector<std::shared_ptr<test_answer>> answers;
	for (int i = 0; i < 5; i++) {
		test_request request;
		request.marker = "m" + std::to_string(i);
		request.stream = i % 2 == 0;
		answers.push_back(send(request));
	}
	run_until([&answers] { return !answers[0]->tokens.empty(); }, "a first token");
	_nodes[0]->drain();
	const test_answer late = ask(test_request{});
	EXPECT_EQ(late.get_verdict(), "completed") << "the listener stays open for a while";
	EXPECT_EQ(late.result.find_header("Connection"), "close");
	run_until([&answers] { return std::all_of(answers.begin(), answers.end(), [](const std::shared_ptr<test_answer> &p_answer) { return p_answer->ended; }); }, "all answers");
	for (const std::shared_ptr<test_answer> &answer : answers) {
		EXPECT_EQ(answer->get_verdict(), "completed") << answer->body.dump();
	}
	report_cell("any", "planned stop", "completed", "fault_matrix.planned_stop_cuts_off_nothing_in_flight");
}

TEST_F(fault_matrix, leaving_endpoint_gets_no_new_work_though_the_list_lags) {
	start_all();
	set_fault("encoders-0", LEAVING);
	run_until([this] { return get_status().at("pools").at("encoders").value("leaving", 0) == 1; }, "the leaving endpoint noticed");
	const std::uint64_t refused = _platform->find_endpoint("encoders-0")->get_truth().refused;
	set_fault("encoders-0", endpoint_fault::NONE);
	for (int i = 0; i < 10; i++) {
		test_request request;
		request.marker = "m" + std::to_string(i);
		EXPECT_EQ(ask(request).get_verdict(), "completed");
	}
	EXPECT_EQ(_platform->find_endpoint("encoders-0")->get_truth().runs, 0U);
	EXPECT_EQ(_platform->find_endpoint("encoders-0")->get_truth().refused, refused);
	report_cell("choice", "leaving endpoint, list still shows it live", "completed, elsewhere", "fault_matrix.leaving_endpoint_gets_no_new_work_though_the_list_lags");
}

TEST_F(fault_matrix, process_paused_between_winning_its_claim_and_running_runs_nothing_late) {
	start_all();
	test_request request;
	request.pipeline = "send";
	request.marker = "paused";
	request.once = make_key();
	request.deadline = 300;
	const std::uint64_t before = _platform->get_log().get_next("claims");
	const std::shared_ptr<test_answer> answer = send(request);
	run_until([this, before] { return _platform->get_log().get_next("claims") > before; }, "the claim on the log");
	set_paused(0, true);
	run_for(600);
	set_paused(0, false);
	run_until([answer] { return answer->ended; }, "the answer");
	EXPECT_EQ(count_runs("services", "paused"), 0);
	if (answer->get_verdict() == "not_run") {
		EXPECT_EQ(count_all_runs("paused"), 0);
	}
	EXPECT_NE(answer->get_verdict(), "completed");
	report_cell("claim read", "process paused past the deadline", "not run at the unrepeatable stage", "fault_matrix.process_paused_between_winning_its_claim_and_running_runs_nothing_late");
}

TEST_F(fault_matrix, process_paused_in_mid_stream_goes_on_or_says_so) {
	start_platform({ { "token_ms", 20 }, { "tokens", 20 } });
	start_node("vm-0", "z1");
	configure();
	test_request request;
	request.stream = true;
	request.deadline = 1000;
	const std::shared_ptr<test_answer> answer = send(request);
	run_until([answer] { return answer->tokens.size() >= 2; }, "tokens");
	set_paused(0, true);
	run_for(1300);
	set_paused(0, false);
	run_until([answer] { return answer->ended; }, "the answer");
	check_promises(request, *answer);
	EXPECT_EQ(answer->get_verdict(), "may_have_run") << answer->body.dump();
	report_cell("mid-stream", "process paused past the deadline", "may_have_run", "fault_matrix.process_paused_in_mid_stream_goes_on_or_says_so");
}

TEST_F(fault_matrix, owner_of_a_ticket_that_died_never_runs_it_and_says_may_have_run) {
	start_platform();
	start_node("vm-0", "z1");
	start_node("vm-1", "z2");
	configure();
	run_until([this] { return !get_status(1).at("links").at("to").empty(); }, "links");
	http_call ticket_call;
	ticket_call.to = _nodes[0]->get_caller_address();
	ticket_call.is_post = true;
	ticket_call.path = "/v1/tickets";
	ticket_call.headers = { { "Authorization", "Bearer key-large" } };
	test_request request;
	request.pipeline = "send";
	request.once = nlohmann::json::parse(call(ticket_call).body).at("ticket").get<std::string>();
	request.node = 1;
	kill_node(0);
	const test_answer answer = ask(request);
	EXPECT_EQ(answer.get_verdict(), "may_have_run") << answer.body.dump();
	EXPECT_EQ(answer.get_reason(), "ticket_issuer_gone");
	EXPECT_EQ(count_all_runs(request.marker), 0);
	report_cell("ticket", "issuer killed", "may_have_run, nothing runs", "fault_matrix.owner_of_a_ticket_that_died_never_runs_it_and_says_may_have_run");
}

} // namespace calicoscale
