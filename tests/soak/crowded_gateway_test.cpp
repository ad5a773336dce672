/*
 * calicoscale: crowded_gateway_test.cpp
 * Tests a process with a small processor share that gets most of the new connections.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"
#include "tests/soak/gateway_process.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace calicoscale {

namespace {

constexpr std::size_t NODES = 3;
constexpr double CALM_RATE = 90.0; ///< Requests per second to all nodes together.
constexpr double CROWD_FACTOR = 3.0; ///< By which the rate of new connections rises.
constexpr double CROWD_SHARE = 0.9; ///< Of new connections that one node gets.
constexpr double CALM_LOAD = 0.6; ///< Of its processor share that a node needs for its part of the calm rate.
constexpr std::size_t MAX_UNREAD = 2; ///< Connections closed unread after which a caller gives up.
constexpr double MIN_SERVED = 0.75; ///< Of what was served before; a requirement.
constexpr duration RECOVERY_TIME = seconds(3); ///< After which it must hold; a requirement.

/** Lets a process run only for a part of each period, as a system that limits its processor time does. */
class processor_throttle {
	static constexpr duration PERIOD = milliseconds(100);
	const gateway_process &_process;
	std::atomic<double> _share = 1.0;
	std::atomic<bool> _is_ending = false;
	std::thread _thread;

	void _run() const {
		while (!_is_ending) {
			const double share = std::min(1.0, _share.load());
			std::this_thread::sleep_for(PERIOD * share);
			if (share < 1.0) {
				_process.send_signal(SIGSTOP);
				std::this_thread::sleep_for(PERIOD * (1.0 - share));
				_process.send_signal(SIGCONT);
			}
		}
	}

public:
	explicit processor_throttle(const gateway_process &p_process) :
			_process(p_process), _thread([this] { _run(); }) {}
	~processor_throttle() {
		_is_ending = true;
		_thread.join();
	}
	processor_throttle(const processor_throttle &) = delete;
	processor_throttle &operator=(const processor_throttle &) = delete;

	void set_share(double p_share) { _share = p_share; }
	double get_share() const { return _share; }
};

/** A request that is sent again, on a new connection to another node, while no node has read it. */
struct crowd_request {
	std::shared_ptr<caller_result> result;
	std::size_t node = 0;
	std::size_t unread = 0;
	bool is_counted = false;
};

/** What became of the requests that are counted. */
struct crowd_counts {
	std::size_t sent = 0;
	std::size_t served = 0;
	std::size_t closed_unread = 0;
	std::map<int, std::size_t> refused; ///< By status; 0 for those that no node read.

	double get_served_part() const { return static_cast<double>(served) / static_cast<double>(sent); }

	std::string describe() const {
		std::string text = std::to_string(served) + " of " + std::to_string(sent) + " served, " + std::to_string(closed_unread) + " closed unread";
		for (const auto &[status, number] : refused) {
			text += ", " + std::to_string(number) + " with " + std::to_string(status);
		}
		return text;
	}
};

class crowded_gateway_test : public gateway_fixture {
protected:
	std::filesystem::path _folder;
	std::list<gateway_process> _processes;
	std::vector<network_address> _nodes;
	std::vector<std::string> _links;
	std::list<crowd_request> _open;
	std::size_t _sent = 0;
	double _due = 0.0; ///< Requests to be sent, with the fraction of the next.

	void SetUp() override {
		gateway_fixture::SetUp();
		std::string folder = std::filesystem::temp_directory_path() / "crowded_gateway_XXXXXX";
		ASSERT_NE(mkdtemp(folder.data()), nullptr);
		_folder = folder;
	}

	void TearDown() override {
		_processes.clear();
		std::filesystem::remove_all(_folder);
	}

	/** Returns the value of a key in the line that tells the start of a process; empty while there is none. */
	static std::string read_started(const std::filesystem::path &p_log, const std::string &p_key) {
		std::ifstream log(p_log);
		for (std::string line; std::getline(log, line);) {
			const std::size_t found = line.find(" " + p_key + "=");
			if (line.find("event=started") != std::string::npos && found != std::string::npos) {
				return line.substr(found + p_key.size() + 2, line.find(' ', found + 1) - found - p_key.size() - 2);
			}
		}
		return "";
	}

	void start_node() {
		const std::string vm = "n" + std::to_string(_processes.size());
		const std::filesystem::path log = _folder / (vm + ".log");
		const std::filesystem::path settings = _folder / (vm + ".json");
		const std::string zone(1, static_cast<char>('a' + _processes.size()));
		std::ofstream(settings) << json{ { "vm", vm }, { "zone", zone }, { "caller_address", "127.0.0.1:0" }, { "readiness_address", "127.0.0.1:0" }, { "link_address", "127.0.0.1:0" }, { "store_address", to_string(_store.get_address()) }, { "peers", _links } };
		_processes.emplace_back(CALICOSCALE_PROGRAM, settings, log).start();
		run_until([&log] { return !read_started(log, "link").empty(); });
		_links.push_back(read_started(log, "link"));
		_nodes.push_back(parse_network_address(read_started(log, "callers")));
	}

	void start_fleet() {
		configure(1);
		for (const char *zone : { "a", "b", "c" }) {
			add_replica("llm", zone);
			add_replica("llm", zone);
		}
		for (std::size_t i = 0; i < NODES; i++) {
			start_node();
		}
		for (const network_address &node : _nodes) {
			run_until([this, &node] {
				const std::shared_ptr<caller_result> result = send_on_new_connection(node);
				run_until([&result] { return result->end.has_value(); });
				return result->head.status == 200;
			});
		}
		wait(milliseconds(900));
	}

	std::shared_ptr<caller_result> send_on_new_connection(const network_address &p_to) {
		const std::shared_ptr<caller_result> result = std::make_shared<caller_result>();
		channel_request request;
		request.to = p_to;
		request.endpoint.vm = to_string(p_to);
		request.bytes = write_request("/once/x", "body", "key-1", "");
		request.use_kept = false;
		request.connect_timeout = seconds(1);
		_callers->start(std::move(request), channel_hooks{ [result](const http_head &p_head) { result->head = p_head; }, [result](std::string_view p_bytes) { result->body.append(p_bytes); }, [result](channel_end p_end) { result->end = p_end; } });
		return result;
	}

	/** Sends the requests that are due after a time, a part of them to the first node. */
	void send_due(duration p_since, double p_rate, double p_first_share, crowd_counts *r_counts) {
		for (_due += p_rate * to_seconds(p_since); _due >= 1.0; _due -= 1.0) {
			const auto before = static_cast<std::size_t>(static_cast<double>(_sent) * p_first_share);
			_sent++;
			const auto after = static_cast<std::size_t>(static_cast<double>(_sent) * p_first_share);
			const std::size_t node = after > before ? 0 : 1 + _sent % (NODES - 1);
			_open.push_back(crowd_request{ send_on_new_connection(_nodes[node]), node, 0, r_counts != nullptr });
			if (r_counts != nullptr) {
				r_counts->sent++;
			}
		}
	}

	void take_ended(crowd_counts *r_counts) {
		for (auto entry = _open.begin(); entry != _open.end();) {
			if (!entry->result->end) {
				entry++;
				continue;
			}
			const int status = entry->result->head.status;
			const bool is_unread = status == 0;
			const bool is_counted = entry->is_counted && r_counts != nullptr;
			if (is_counted) {
				r_counts->closed_unread += is_unread ? 1 : 0;
			}
			if (is_unread && ++entry->unread < MAX_UNREAD) {
				entry->node = (entry->node + 1) % NODES;
				entry->result = send_on_new_connection(_nodes[entry->node]);
				continue;
			}
			if (is_counted) {
				const bool is_served = status == 200 && *entry->result->end == channel_end::COMPLETE;
				r_counts->served += is_served ? 1 : 0;
				r_counts->refused[status] += is_served ? 0 : 1;
			}
			entry = _open.erase(entry);
		}
	}

	/** Sends requests at a rate, a part of them to the first node. */
	void send_for(duration p_time, double p_rate, double p_first_share, crowd_counts *r_counts = nullptr) {
		instant last = event_loop::now();
		const instant until = last + p_time;
		for (instant now = last; now < until; now = event_loop::now()) {
			send_due(now - last, p_rate, p_first_share, r_counts);
			last = now;
			wait(milliseconds(1));
			take_ended(r_counts);
		}
	}

	/** As send_for(). Returns what became of the requests that were sent in this time. */
	crowd_counts count(duration p_time, double p_rate, double p_first_share) {
		crowd_counts counts;
		send_for(p_time, p_rate, p_first_share, &counts);
		run_until([this, &counts] {
			take_ended(&counts);
			return _open.empty();
		});
		return counts;
	}

	/** Processor time that the first node has used. */
	duration get_processor_time() const {
		clockid_t clock{};
		timespec time{};
		EXPECT_EQ(clock_getcpuclockid(_processes.front().get_pid(), &clock), 0);
		EXPECT_EQ(clock_gettime(clock, &time), 0);
		return std::chrono::duration_cast<duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
	}

	/** Limits the first node to a processor share, by what it needs for its part of the calm rate. */
	void limit_to_need(processor_throttle &r_throttle) {
		const instant begun = event_loop::now();
		const duration used = get_processor_time();
		send_for(seconds(2), CALM_RATE, 1.0 / NODES);
		r_throttle.set_share(to_seconds(get_processor_time() - used) / to_seconds(event_loop::now() - begun) / CALM_LOAD);
	}
};

} // namespace

TEST_F(crowded_gateway_test, requests_are_served_while_one_node_gets_most_new_connections) {
	start_fleet();
	processor_throttle throttle(_processes.front());
	limit_to_need(throttle);
	const crowd_counts before = count(seconds(3), CALM_RATE, 1.0 / NODES);
	send_for(RECOVERY_TIME, CALM_RATE * CROWD_FACTOR, CROWD_SHARE);
	const crowd_counts crowded = count(seconds(4), CALM_RATE * CROWD_FACTOR, CROWD_SHARE);
	EXPECT_EQ(before.closed_unread, 0U) << before.describe();
	EXPECT_GT(crowded.closed_unread, 0U) << "the node had enough processor time";
	EXPECT_GE(crowded.get_served_part(), MIN_SERVED * before.get_served_part()) << crowded.describe() << "; before " << before.describe() << "; processor share " << throttle.get_share();
	std::map<std::string, std::size_t> runs;
	for (const standin_replica &replica : _replicas) {
		for (const seen_request &run : replica.runs) {
			EXPECT_EQ(++runs[run.get("X-Attempt-Id")], 1U);
		}
	}
}

} // namespace calicoscale
