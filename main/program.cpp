/*
 * calicoscale: program.cpp
 * Chooses the command and reports errors.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/document_problem.h"
#include "main/commands/command_options.h"
#include "main/commands/commands.h"

#include <array>
#include <functional>
#include <iostream>
#include <string_view>

namespace calicoscale {

namespace {

struct command_entry {
	std::string_view name;
	std::string_view summary;
	std::function<exit_code(const arguments &)> run;
};

const std::array<command_entry, 10> &get_commands() {
	static const std::array<command_entry, 10> commands{ {
			{ "serve", "--settings FILE            run an entry node", run_serve },
			{ "gateway", "--settings FILE            run an entry node on a platform with a keyed store", run_gateway },
			{ "check", "FILE                       check settings or a configuration", run_check },
			{ "config", "publish FILE|show|history  the configuration", run_config },
			{ "status", "                           nodes, pools and versions in force", run_status },
			{ "timeline", "[--request ID]           events over all nodes", run_timeline },
			{ "explain", "ID FILE...                why a request ended as it did, from the logs of gateways", run_explain },
			{ "costs", "[--by stage,customer]       cost by stage and customer", run_costs },
			{ "drain", "                            planned stop of a node", run_drain },
			{ "load", "--mix FILE                   send load and check every answer", run_load },
	} };
	return commands;
}

void print_help() {
	std::cout << "calicoscale " << CALICOSCALE_VERSION << ": serves multi-stage model pipelines\n\n";
	for (const command_entry &command : get_commands()) {
		std::cout << "  calicoscale " << command.name << " " << command.summary << "\n";
	}
	std::cout << "\n  calicoscale COMMAND --help   options of a command\n  calicoscale --version\n";
	std::cout << "\nexit codes: 0 success, 1 bad result, 2 wrong arguments or documents, 3 a node did not answer\n";
}

} // namespace

exit_code run_program(const arguments &p_arguments) {
	if (p_arguments.empty() || p_arguments.front() == "--help" || p_arguments.front() == "help") {
		print_help();
		return p_arguments.empty() ? exit_code::USAGE : exit_code::SUCCESS;
	}
	if (p_arguments.front() == "--version") {
		std::cout << "calicoscale " << CALICOSCALE_VERSION << "\n";
		return exit_code::SUCCESS;
	}
	for (const command_entry &command : get_commands()) {
		if (command.name != p_arguments.front()) {
			continue;
		}
		try {
			return command.run(arguments(p_arguments.begin() + 1, p_arguments.end()));
		} catch (const document_error &error) {
			std::cerr << error.what() << "\n";
			return exit_code::USAGE;
		} catch (const usage_error &error) {
			std::cerr << error.what() << "\n";
			return exit_code::USAGE;
		} catch (const command_error &error) {
			std::cerr << error.what() << "\n";
			return exit_code::UNREACHABLE;
		} catch (const std::exception &error) {
			std::cerr << error.what() << "\n";
			return exit_code::FAILURE;
		}
	}
	std::cerr << "found \"" << p_arguments.front() << "\", expected a command; see calicoscale --help\n";
	return exit_code::USAGE;
}

} // namespace calicoscale
