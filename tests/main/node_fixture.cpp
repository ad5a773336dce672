/*
 * calicoscale: node_fixture.cpp
 * Test fixture that runs one or more nodes and the stand-ins in the test process.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/node_fixture.h"

#include "tests/sample_configuration.h"

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr duration LONGEST_WAIT = std::chrono::seconds(40);
const std::vector<std::string> POOLS{ "encoders", "retrievers", "engines", "services" };

json make_pool(const char *p_pool, const char *p_kind) {
	return { { "pool", p_pool }, { "kind", p_kind }, { "count", 2 }, { "zones", { "z1", "z2" } }, { "slots", 16 }, { "base_ms", 2 }, { "token_ms", 2 }, { "tokens", 6 }, { "checks_give_up", true } };
}

void take_event(test_answer &r_answer, const std::string &p_line) {
	if (p_line.starts_with("event: ")) {
		r_answer.last_event = p_line.substr(7);
	} else if (p_line.starts_with("data: ")) {
		const json data = json::parse(p_line.substr(6));
		if (r_answer.last_event == "token") {
			EXPECT_EQ(data.at("sequence").get<std::size_t>(), r_answer.tokens.size());
			r_answer.tokens.push_back(data.at("token").get<std::string>());
		} else if (r_answer.last_event == "resume") {
			r_answer.resume = data.at("resume").get<std::string>();
		} else {
			r_answer.body = data;
		}
	}
}

} // namespace

void node_fixture::start_platform(const json &p_changes) {
	json spec{ { "seed", 1 }, { "pools", { make_pool("encoders", "encode"), make_pool("retrievers", "retrieve"), make_pool("engines", "generate"), make_pool("services", "call") } } };
	for (json &pool : spec["pools"]) {
		pool.update(p_changes);
	}
	_platform = std::make_unique<standin_platform>(_loop, spec);
	_client = std::make_unique<http_client>(_loop);
}

node &node_fixture::start_node(const std::string &p_vm, const std::string &p_zone) {
	node_settings settings;
	settings.vm = p_vm;
	settings.zone = p_zone;
	settings.region = "r1";
	settings.caller_address = network_address{ "127.0.0.1", 0 };
	settings.admin_address = settings.caller_address;
	settings.link_address = settings.caller_address;
	settings.fleet_key = "a fleet key for tests";
	settings.platform.log = _platform->get_log().get_address();
	settings.platform.vm_list = _platform->get_list_address();
	settings.random_seed = 1 + _nodes.size();
	settings.drain.listen = std::chrono::seconds(5);
	settings.allow_fault_injection = true;
	_node_loops.push_back(std::make_unique<event_loop>());
	_paused.push_back(false);
	_nodes.push_back(std::make_unique<node>(*_node_loops.back(), settings));
	_nodes.back()->start();
	json entries = json::array();
	for (std::size_t i = 0; i < _nodes.size(); i++) {
		if (!_nodes[i]) {
			continue;
		}
		const std::string name = "vm-" + std::to_string(i);
		entries.push_back({ { "vm", i + 1 == _nodes.size() ? p_vm : name }, { "zone", i + 1 == _nodes.size() ? p_zone : "z1" }, { "address", to_string(_nodes[i]->get_link_address()) } });
	}
	http_call call_entries;
	call_entries.to = _platform->get_control_address();
	call_entries.is_post = true;
	call_entries.path = "/entries";
	call_entries.body = json({ { "entries", entries } }).dump();
	EXPECT_EQ(call(call_entries).status, 200);
	return *_nodes.back();
}

void node_fixture::configure() {
	const std::uint64_t offset = _platform->get_log().append("configuration", encode(change_record{ "first", 0, "test", event_loop::wall(), std::string(SAMPLE_CONFIGURATION) }));
	for (std::size_t i = 0; i < _nodes.size(); i++) {
		run_until([this, i, offset] { return get_status(i).at("configuration").at("version") == offset + 1 && get_status(i).at("ready").get<bool>(); }, "configuration in force");
	}
}

void node_fixture::start_all() {
	start_platform();
	start_node("vm-0", "z1");
	configure();
}

void node_fixture::run_until(const std::function<bool()> &p_condition, const std::string &p_what) {
	const instant give_up = event_loop::now() + LONGEST_WAIT;
	while (!p_condition()) {
		ASSERT_LT(event_loop::now(), give_up) << "waited in vain for: " << p_what;
		run_for(5);
	}
}

void node_fixture::run_for(int p_milliseconds) {
	const instant end = event_loop::now() + std::chrono::milliseconds(p_milliseconds);
	while (event_loop::now() < end) {
		timer stop(_loop, [this] { _loop.stop(); });
		stop.set(std::chrono::microseconds(200));
		_loop.run();
		for (std::size_t i = 0; i < _nodes.size(); i++) {
			if (_nodes[i] && !_paused[i]) {
				_node_loops[i]->run_pending();
			}
		}
	}
}

void node_fixture::kill_node(std::size_t p_node) {
	_nodes[p_node].reset();
	_node_loops[p_node].reset();
}

std::shared_ptr<test_answer> node_fixture::send(const test_request &p_request, call_id *r_call) {
	const std::shared_ptr<test_answer> answer = std::make_shared<test_answer>();
	http_call order;
	order.to = _nodes[p_request.node]->get_caller_address();
	order.is_post = true;
	order.path = "/v1/pipelines/" + p_request.pipeline + "/requests";
	order.headers = { { "Authorization", "Bearer " + p_request.key } };
	order.timeout = std::chrono::seconds(30);
	if (p_request.deadline != 0) {
		order.headers.push_back(http_header{ "Request-Deadline-Ms", std::to_string(p_request.deadline) });
	}
	if (!p_request.once.empty()) {
		order.headers.push_back(http_header{ "Idempotency-Key", p_request.once });
	}
	order.body = json({ { "input", { { "marker", p_request.marker } } }, { "stream", p_request.stream } }).dump();
	http_hooks hooks;
	const std::shared_ptr<std::string> rest = std::make_shared<std::string>();
	if (p_request.stream) {
		hooks.on_chunk = [answer, rest](std::string_view p_chunk) {
			rest->append(p_chunk);
			for (std::size_t end = rest->find('\n'); end != std::string::npos; end = rest->find('\n')) {
				take_event(*answer, rest->substr(0, end));
				rest->erase(0, end + 1);
			}
		};
	}
	hooks.on_end = [answer](const http_result &p_result) {
		answer->ended = true;
		answer->result = p_result;
		if (!p_result.body.empty()) {
			answer->body = json::parse(p_result.body, nullptr, false);
		}
	};
	const call_id id = _client->start(order, std::move(hooks));
	if (r_call != nullptr) {
		*r_call = id;
	}
	return answer;
}

test_answer node_fixture::ask(const test_request &p_request) {
	const std::shared_ptr<test_answer> answer = send(p_request);
	run_until([answer] { return answer->ended; }, "an answer");
	return *answer;
}

http_result node_fixture::call(const http_call &p_call) {
	std::optional<http_result> result;
	http_hooks hooks;
	hooks.on_end = [&result](const http_result &p_result) { result = p_result; };
	_client->start(p_call, std::move(hooks));
	run_until([&result] { return result.has_value(); }, "a call");
	return *result;
}

void node_fixture::set_fault(const std::string &p_vm, endpoint_fault p_fault, double p_amount) {
	_platform->find_endpoint(p_vm)->set_fault(fault_setting<endpoint_fault>{ p_fault, p_amount, 1.0 });
}

void node_fixture::set_pool_fault(const std::string &p_pool, endpoint_fault p_fault, double p_amount) {
	set_fault(p_pool + "-0", p_fault, p_amount);
	set_fault(p_pool + "-1", p_fault, p_amount);
}

int node_fixture::count_runs(const std::string &p_pool, const std::string &p_marker) {
	int runs = 0;
	for (const char *suffix : { "-0", "-1" }) {
		const std::map<std::string, int> &by_marker = _platform->find_endpoint(p_pool + suffix)->get_truth().runs_by_marker;
		const auto found = by_marker.find(p_marker);
		runs += found == by_marker.end() ? 0 : found->second;
	}
	return runs;
}

int node_fixture::count_all_runs(const std::string &p_marker) {
	int runs = 0;
	for (const std::string &pool : POOLS) {
		runs += count_runs(pool, p_marker);
	}
	return runs;
}

double node_fixture::sum_truth_units() {
	double units = 0.0;
	for (const std::string &pool : POOLS) {
		for (const char *suffix : { "-0", "-1" }) {
			for (const auto &[customer, amount] : _platform->find_endpoint(pool + suffix)->get_truth().units_by_customer) {
				units += amount;
			}
		}
	}
	return units;
}

json node_fixture::get_status(std::size_t p_node) {
	http_call status;
	status.to = _nodes[p_node]->get_admin_address();
	status.path = "/admin/status";
	return json::parse(call(status).body);
}

void node_fixture::TearDown() {
	_client.reset();
	_nodes.clear();
	_node_loops.clear();
	_platform.reset();
}

} // namespace calicoscale
