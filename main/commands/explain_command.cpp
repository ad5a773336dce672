/*
 * calicoscale: explain_command.cpp
 * Command explain: reconstructs the course of one request from the logs of any number of nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "servers/timeline/request_timeline.h"

#include <fstream>
#include <iostream>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

void read_lines(const std::string &p_path, const std::function<void(const std::string &)> &p_hook) {
	std::ifstream file(p_path);
	if (!file) {
		throw usage_error("cannot read " + p_path);
	}
	std::string line;
	while (std::getline(file, line)) {
		p_hook(line);
	}
	if (file.bad()) {
		throw usage_error("cannot read " + p_path + " to its end");
	}
}

} // namespace

exit_code run_explain(const arguments &p_arguments) {
	options::options_description known("calicoscale explain ID FILE...");
	known.add_options()("id", options::value<std::string>()->required(), "the request's id, as its caller sent it");
	known.add_options()("log", options::value<std::vector<std::string>>()->required(), "logs of nodes, one file each");
	options::positional_options_description positional;
	positional.add("id", 1).add("log", -1);
	options::variables_map values;
	if (!parse_options(p_arguments, known, positional, values)) {
		return exit_code::SUCCESS;
	}
	const std::vector<std::string> logs = values["log"].as<std::vector<std::string>>();
	request_timeline timeline(values["id"].as<std::string>());
	for (const std::string &log : logs) {
		read_lines(log, [&timeline, &log](const std::string &p_line) { timeline.read(log, p_line); });
	}
	for (const std::string &log : logs) {
		read_lines(log, [&timeline, &log](const std::string &p_line) { timeline.read_context(log, p_line); });
	}
	std::cout << timeline.write();
	return timeline.is_known() ? exit_code::SUCCESS : exit_code::FAILURE;
}

} // namespace calicoscale
