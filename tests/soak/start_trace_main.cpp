/*
 * calicoscale: start_trace_main.cpp
 * Signals a program at each system call of its start, one start for each, and prints where it is ended.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/traced_process.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace calicoscale {

namespace {

struct trace_plan {
	int signal = 0;
	std::size_t step = 1; ///< Every which stop is signalled.
	std::string started; ///< What the program prints once it has started.
	std::vector<std::string> command;
	std::string log;
};

struct trace_row {
	std::size_t stop = 0;
	process_stop kind = process_stop::EXEC;
	long call = -1;
	std::size_t calls = 0;
	signal_effect effect = signal_effect::DEFAULT;
	bool has_started = false; ///< Before it was signalled.
	std::string end; ///< Empty when the program started all the same.
	long last_call = -1; ///< Entered after the signal, if it ended.
	std::size_t last_calls = 0;
};

bool has_started(const trace_plan &p_plan) {
	std::ifstream file(p_plan.log);
	std::stringstream text;
	text << file.rdbuf();
	return text.str().find(p_plan.started) != std::string::npos;
}

trace_row signal_start(const trace_plan &p_plan, std::size_t p_stop) {
	std::filesystem::remove(p_plan.log);
	traced_process process(p_plan.command, p_plan.log);
	for (std::size_t i = 0; i < p_stop && !process.has_ended() && !has_started(p_plan); i++) {
		process.resume();
	}
	trace_row row{ p_stop, process.get_stop(), process.get_last_call(), process.get_calls(), process.get_effect(p_plan.signal), has_started(p_plan), {}, -1, 0 };
	process.send_signal(p_plan.signal);
	while (!process.has_ended() && !has_started(p_plan)) {
		process.resume();
	}
	if (process.has_ended()) {
		row.end = process.describe_end();
		row.last_call = process.get_last_call();
		row.last_calls = process.get_calls();
	}
	return row;
}

void print(const trace_row &p_row) {
	std::cout << p_row.stop << " " << get_name(p_row.kind) << ", call " << p_row.call << " (no. " << p_row.calls << "), signal " << get_name(p_row.effect) << ": ";
	if (p_row.end.empty()) {
		std::cout << "started" << std::endl;
		return;
	}
	std::cout << p_row.end << ", last call " << p_row.last_call << " (no. " << p_row.last_calls << ")" << std::endl;
}

trace_plan read_plan(const std::vector<std::string> &p_words) {
	trace_plan plan;
	plan.signal = std::stoi(p_words.at(0));
	plan.step = std::stoul(p_words.at(1));
	plan.started = p_words.at(2);
	plan.command.assign(p_words.begin() + 3, p_words.end());
	return plan;
}

void trace(trace_plan p_plan) {
	std::string folder = std::filesystem::temp_directory_path() / "start_trace_XXXXXX";
	if (mkdtemp(folder.data()) == nullptr) {
		throw std::runtime_error("cannot make " + folder);
	}
	p_plan.log = folder + "/log";
	bool is_over = false;
	for (std::size_t stop = 0; !is_over; stop += p_plan.step) {
		const trace_row row = signal_start(p_plan, stop);
		print(row);
		is_over = row.has_started || row.kind == process_stop::ENDED;
	}
	std::filesystem::remove_all(folder);
}

} // namespace

} // namespace calicoscale

int main(int p_count, char **p_values) {
	const std::vector<std::string> words(p_values + 1, p_values + p_count);
	if (words.size() < 4) {
		std::cerr << "usage: start_trace SIGNAL STEP STARTED PROGRAM [ARGUMENT...]\n"
				  << "SIGNAL is a number, each STEPth stop is signalled, STARTED is what the program prints once it has started.\n";
		return 2;
	}
	calicoscale::trace(calicoscale::read_plan(words));
	return 0;
}
