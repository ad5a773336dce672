/*
 * calicoscale: gateway_process_test.cpp
 * The program as a process of its own.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/gateway_process.h"
#include "tests/soak/traced_process.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace calicoscale {

namespace {

const std::string GATEWAY_SETTINGS = R"({
	"vm": "n0", "zone": "a", "region": "r", "caller_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0",
	"link_address": "127.0.0.1:0", "store_address": "127.0.0.1:1", "peers": []
})";

const std::string SERVE_SETTINGS = R"({
	"vm": "n0", "zone": "a", "region": "r", "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
	"link_address": "127.0.0.1:0", "fleet_key": "a key for a test of processes",
	"platform": { "log": "127.0.0.1:1", "vm_list": "127.0.0.1:1" }, "drain": { "listen_seconds": 0.3, "longest_seconds": 2 }
})";

/** A kind of node and how it starts. */
struct node_kind {
	std::string command;
	std::string settings;
	std::string started; ///< In its log once it serves.
};

const std::vector<node_kind> KINDS{ { "gateway", GATEWAY_SETTINGS, "event=started" }, { "serve", SERVE_SETTINGS, "\"callers\":" } };

class temporary_folder {
	std::string _path = std::filesystem::temp_directory_path() / "gateway_process_XXXXXX";

public:
	temporary_folder() {
		if (mkdtemp(_path.data()) == nullptr) {
			throw std::runtime_error("cannot make " + _path);
		}
	}
	~temporary_folder() { std::filesystem::remove_all(_path); }
	temporary_folder(const temporary_folder &) = delete;
	temporary_folder &operator=(const temporary_folder &) = delete;

	std::string get(const std::string &p_name) const { return _path + "/" + p_name; }
};

std::string read_text(const std::filesystem::path &p_file) {
	std::ifstream file(p_file);
	std::stringstream text;
	text << file.rdbuf();
	return text.str();
}

/** False when the process ended before. */
bool wait_for_line(gateway_process &r_process, const std::string &p_log, const std::string &p_line) {
	while (read_text(p_log).find(p_line) == std::string::npos) {
		if (r_process.has_ended()) {
			return false;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	return true;
}

/** Signals the process while its settings are read, which is before it has handlers; true if it reloaded. */
bool reloads_by_early_signal(const node_kind &p_kind) {
	const temporary_folder folder;
	const std::string settings = folder.get("settings.json");
	if (mkfifo(settings.c_str(), 0600) != 0) {
		return false;
	}
	gateway_process process(CALICOSCALE_PROGRAM, settings, folder.get("log"), p_kind.command);
	process.start();
	// Returns when the process opens its settings.
	const int pipe = open(settings.c_str(), O_WRONLY);
	process.send_signal(SIGHUP);
	const ssize_t written = write(pipe, p_kind.settings.data(), p_kind.settings.size());
	// The reload reads a plain file of the same name; it stands there before the first reading can end.
	std::ofstream(folder.get("plain.json")) << p_kind.settings;
	std::filesystem::rename(folder.get("plain.json"), settings);
	close(pipe);
	return written == static_cast<ssize_t>(p_kind.settings.size()) && wait_for_line(process, folder.get("log"), "settings_reloaded");
}

/** Asks for a planned stop, then sends the signal over and over until the process is gone. */
int stop_under_signals(const node_kind &p_kind, int p_signal) {
	const temporary_folder folder;
	std::ofstream(folder.get("settings.json")) << p_kind.settings;
	gateway_process process(CALICOSCALE_PROGRAM, folder.get("settings.json"), folder.get("log"), p_kind.command);
	process.start();
	if (!wait_for_line(process, folder.get("log"), p_kind.started)) {
		return process.get_end_status();
	}
	process.send_signal(SIGTERM);
	while (!process.has_ended()) {
		process.send_signal(p_signal);
		std::this_thread::sleep_for(std::chrono::microseconds(200));
	}
	return process.get_end_status();
}

/** A node that runs from one system call to the next. */
struct traced_node {
	temporary_folder folder;
	std::string log = folder.get("log");
	std::string started;
	traced_process process;

	explicit traced_node(const node_kind &p_kind) :
			started(p_kind.started), process({ CALICOSCALE_PROGRAM, p_kind.command, "--settings", _write_settings(p_kind) }, log) {}

	bool serves() const { return read_text(log).find(started) != std::string::npos; }

	std::string describe() const {
		return "ended by " + process.describe_end() + " after system call " + std::to_string(process.get_last_call()) + ", its " + std::to_string(process.get_calls()) + ".";
	}

private:
	std::string _write_settings(const node_kind &p_kind) const {
		std::ofstream(folder.get("settings.json")) << p_kind.settings;
		return folder.get("settings.json");
	}
};

/**
 * Calls the hook with the number of each stop from where the node takes SIGHUP itself, its entry point at the latest, until
 * it serves. Gives the count of these stops.
 */
std::size_t start_by_calls(traced_node &r_node, const std::function<void(std::size_t)> &p_hook) {
	std::size_t stops = 0;
	bool is_own = false;
	while (!r_node.process.has_ended() && !r_node.serves()) {
		is_own = is_own || r_node.process.get_stop() == process_stop::ENTRY_POINT || r_node.process.get_effect(SIGHUP) != signal_effect::DEFAULT;
		if (is_own) {
			p_hook(stops++);
		}
		r_node.process.resume();
	}
	return stops;
}

/** A signal at each stop of its handler would keep the process in it. */
bool is_due(const traced_process &p_process, int p_signal, std::size_t p_stop) {
	constexpr std::size_t STOPS_OF_HANDLER = 16;
	return !p_process.has_handler(p_signal) || p_stop % STOPS_OF_HANDLER == 0;
}

/** Starts afresh for each of some stops that lie evenly between the first and the last one, and signals there alone. */
void expect_start_survives_one_signal(const node_kind &p_kind) {
	constexpr std::size_t SAMPLES = 16;
	traced_node undisturbed(p_kind);
	const std::size_t stops = start_by_calls(undisturbed, [](std::size_t) {});
	ASSERT_GE(stops, SAMPLES);
	for (std::size_t sample = 0; sample < SAMPLES; sample++) {
		const std::size_t chosen = sample * stops / SAMPLES;
		traced_node node(p_kind);
		start_by_calls(node, [&node, chosen](std::size_t p_stop) {
			if (p_stop == chosen) {
				node.process.send_signal(SIGHUP);
			}
		});
		EXPECT_FALSE(node.process.has_ended()) << "signalled at stop " << chosen << " of " << stops << ", " << node.describe();
	}
}

void expect_start_survives_signals_at_each_call(const node_kind &p_kind) {
	traced_node node(p_kind);
	start_by_calls(node, [&node](std::size_t p_stop) {
		if (is_due(node.process, SIGHUP, p_stop)) {
			node.process.send_signal(SIGHUP);
		}
	});
	EXPECT_FALSE(node.process.has_ended()) << node.describe();
}

void expect_stop_survives_signals_at_each_call(const node_kind &p_kind, int p_signal) {
	traced_node node(p_kind);
	start_by_calls(node, [](std::size_t) {});
	ASSERT_FALSE(node.process.has_ended()) << node.describe();
	node.process.send_signal(SIGTERM);
	for (std::size_t stop = 0; !node.process.has_ended(); stop++) {
		if (is_due(node.process, p_signal, stop)) {
			node.process.send_signal(p_signal);
		}
		node.process.resume();
	}
	EXPECT_EQ(node.process.get_end_status(), 0) << node.describe();
}

} // namespace

TEST(gateway_process, a_reload_signal_that_comes_before_its_handler_does_not_end_the_process) {
	EXPECT_TRUE(reloads_by_early_signal(KINDS.front()));
}

TEST(serve_process, a_reload_signal_that_comes_before_its_handler_does_not_end_the_process) {
	EXPECT_TRUE(reloads_by_early_signal(KINDS.back()));
}

// Guards the time of the dynamic linker, before the program can block the signal.
TEST(gateway_process, a_reload_signal_right_after_exec_does_not_end_the_process) {
	const temporary_folder folder;
	std::ofstream(folder.get("settings.json")) << KINDS.front().settings;
	gateway_process process(CALICOSCALE_PROGRAM, folder.get("settings.json"), folder.get("log"));
	process.start();
	process.send_signal(SIGHUP);
	EXPECT_TRUE(wait_for_line(process, folder.get("log"), KINDS.front().started)) << "ended by " << process.describe_end();
}

// Guards what operators are told to do about signals that come before the program's first instruction.
TEST(gateway_process, reload_signals_from_its_first_moment_on_do_not_end_a_process_started_with_them_ignored) {
	const temporary_folder folder;
	std::ofstream(folder.get("settings.json")) << KINDS.front().settings;
	gateway_process process(CALICOSCALE_PROGRAM, folder.get("settings.json"), folder.get("log"));
	process.start(true);
	bool has_ended = false;
	while (!has_ended && read_text(folder.get("log")).find("settings_reloaded") == std::string::npos) {
		process.send_signal(SIGHUP);
		has_ended = process.has_ended();
		std::this_thread::sleep_for(std::chrono::microseconds(100));
	}
	EXPECT_FALSE(has_ended);
}

// Guards against signals that meet a process whose handlers are gone, and against reloads that keep it from stopping.
TEST(gateway_process, signals_that_come_until_the_process_is_gone_do_not_change_how_it_ends) {
	std::vector<std::future<int>> ends;
	for (int i = 0; i < 4; i++) {
		for (const int signal : { SIGHUP, SIGTERM }) {
			ends.push_back(std::async(std::launch::async, [signal] { return stop_under_signals(KINDS.front(), signal); }));
		}
	}
	for (std::future<int> &end : ends) {
		EXPECT_EQ(end.get(), 0);
	}
}

TEST(serve_process, signals_that_come_until_the_process_is_gone_do_not_change_how_it_ends) {
	for (const int signal : { SIGHUP, SIGTERM, SIGHUP, SIGTERM }) {
		EXPECT_EQ(stop_under_signals(KINDS.back(), signal), 0);
	}
}

// Guards against a reload signal that ends a node between its entry point and its handler, wherever it comes.
TEST(gateway_process, a_reload_signal_at_any_system_call_of_its_own_start_does_not_end_the_process) {
	expect_start_survives_signals_at_each_call(KINDS.front());
	expect_start_survives_one_signal(KINDS.front());
}

TEST(serve_process, a_reload_signal_at_any_system_call_of_its_own_start_does_not_end_the_process) {
	expect_start_survives_signals_at_each_call(KINDS.back());
	expect_start_survives_one_signal(KINDS.back());
}

// Guards against signals that meet a stopping process between two system calls, where a stream of signals may miss it.
TEST(gateway_process, signals_at_each_system_call_of_its_stop_do_not_change_how_it_ends) {
	expect_stop_survives_signals_at_each_call(KINDS.front(), SIGHUP);
	expect_stop_survives_signals_at_each_call(KINDS.front(), SIGTERM);
}

TEST(serve_process, signals_at_each_system_call_of_its_stop_do_not_change_how_it_ends) {
	expect_stop_survives_signals_at_each_call(KINDS.back(), SIGHUP);
	expect_stop_survives_signals_at_each_call(KINDS.back(), SIGTERM);
}

#ifdef BLOCKING_PROGRAM

// Shows what is left to whoever starts a program: a signal inside exec ends even one that blocks it with its first call.
TEST(blocking_program, a_reload_signal_inside_exec_ends_it_before_its_first_system_call) {
	const temporary_folder folder;
	traced_process process({ BLOCKING_PROGRAM }, folder.get("log"));
	ASSERT_EQ(process.get_stop(), process_stop::EXEC);
	process.send_signal(SIGHUP);
	while (!process.has_ended()) {
		process.resume();
	}
	EXPECT_TRUE(WIFSIGNALED(process.get_end_status()) && WTERMSIG(process.get_end_status()) == SIGHUP) << process.describe_end();
	EXPECT_EQ(process.get_calls(), 0U);
}

TEST(blocking_program, a_reload_signal_from_its_first_system_call_on_does_not_end_it) {
	const temporary_folder folder;
	traced_process process({ BLOCKING_PROGRAM }, folder.get("log"));
	while (!process.has_ended() && process.get_effect(SIGHUP) == signal_effect::DEFAULT) {
		process.resume();
	}
	EXPECT_EQ(process.get_calls(), 1U);
	while (!process.has_ended() && read_text(folder.get("log")).find("event=started") == std::string::npos) {
		process.send_signal(SIGHUP);
		process.resume();
	}
	EXPECT_FALSE(process.has_ended()) << process.describe_end();
}

#endif // BLOCKING_PROGRAM

} // namespace calicoscale
