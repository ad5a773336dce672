/*
 * calicoscale: config_command.cpp
 * Commands config publish, config show and config history.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <thread>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds STATUS_INTERVAL(100);
/** How long to wait for unreachable nodes in state "suspect", which may only be late to respond. */
constexpr duration MAX_WAIT_FOR_SUSPECTS = std::chrono::seconds(5);

std::string percent_encode(const std::string &p_text) {
	constexpr std::string_view DIGITS = "0123456789ABCDEF";
	std::string escaped;
	for (const char letter : p_text) {
		const unsigned char code = static_cast<unsigned char>(letter);
		if (std::isalnum(code) != 0) {
			escaped += letter;
		} else {
			escaped += '%';
			escaped += DIGITS[code >> 4U];
			escaped += DIGITS[code & 0xFU];
		}
	}
	return escaped;
}

/** Nodes at which a configuration version isn't in force yet. Only reachable ones are waited for until the time-out. */
struct nodes_behind {
	std::vector<std::string> reachable;
	std::vector<std::string> unreachable;
	bool has_suspects = false; ///< Some unreachable nodes are only suspects, which may merely be late to respond.
};

nodes_behind find_nodes_behind(const json &p_status, std::uint64_t p_version) {
	nodes_behind behind;
	if (p_status.at("configuration").at("version").get<std::uint64_t>() < p_version) {
		behind.reachable.push_back(p_status.at("vm").get<std::string>());
	}
	for (const json &member : p_status.at("members")) {
		if (member.at("configuration_version").get<std::uint64_t>() >= p_version) {
			continue;
		}
		const std::string vm = member.at("vm").get<std::string>();
		const std::string state = member.at("state").get<std::string>();
		const bool is_reachable = state == "alive" || state == "leaving";
		behind.has_suspects = behind.has_suspects || state == "suspect";
		(is_reachable ? behind.reachable : behind.unreachable).push_back(vm + " (" + state + ")");
	}
	return behind;
}

exit_code wait_until_in_force(command_client &r_client, const options::variables_map &p_values, std::uint64_t p_version) {
	const instant give_up = event_loop::now() + from_seconds(p_values["timeout"].as<double>());
	const instant suspects_until = std::min(give_up, event_loop::now() + MAX_WAIT_FOR_SUSPECTS);
	nodes_behind behind;
	do {
		const http_result status = r_client.call(get_node(p_values), false, "/admin/status");
		behind = find_nodes_behind(json::parse(status.body), p_version);
		const bool waits_for_suspects = behind.has_suspects && event_loop::now() < suspects_until;
		if (behind.reachable.empty() && !waits_for_suspects) {
			break;
		}
		std::this_thread::sleep_for(STATUS_INTERVAL);
	} while (event_loop::now() < give_up);
	for (const std::string &vm : behind.reachable) {
		std::cerr << "not yet in force at " << vm << "\n";
	}
	for (const std::string &vm : behind.unreachable) {
		std::cerr << "not reachable, not in force at " << vm << "\n";
	}
	if (!behind.reachable.empty()) {
		return exit_code::FAILURE;
	}
	std::cerr << "version " << p_version << " is in force at every reachable node\n";
	return exit_code::SUCCESS;
}

exit_code publish(const options::variables_map &p_values) {
	if (p_values.count("file") == 0) {
		throw usage_error("config publish needs a FILE");
	}
	const std::string text = read_file(p_values["file"].as<std::string>());
	std::string path = "/admin/configuration?author=" + percent_encode(p_values["author"].as<std::string>());
	if (p_values.count("base") > 0) {
		path += "&base=" + std::to_string(p_values["base"].as<std::uint64_t>());
	}
	command_client client = make_client(p_values);
	const http_result result = client.call(get_node(p_values), true, path, text);
	const json answer = json::parse(result.body);
	if (p_values["format"].as<std::string>() == "json") {
		std::cout << answer.dump() << "\n";
	} else {
		const std::string outcome_name = answer.value("result", answer.value("error", "failed"));
		std::cout << outcome_name;
		if (answer.contains("version")) {
			std::cout << (outcome_name == "overtaken" ? " by version " : ", version ") << answer["version"];
		}
		if (answer.contains("change_id")) {
			std::cout << ", change " << answer["change_id"].get<std::string>();
		}
		std::cout << "\n";
	}
	for (const json &problem : answer.value("problems", json::array())) {
		std::cerr << problem.at("place").get<std::string>() << ": found " << problem.at("found").get<std::string>() << ", expected " << problem.at("expected").get<std::string>() << "\n";
	}
	if (result.status == 400) {
		return exit_code::USAGE;
	}
	if (result.status != 200) {
		return exit_code::FAILURE;
	}
	return p_values["wait"].as<bool>() ? wait_until_in_force(client, p_values, answer.at("version").get<std::uint64_t>()) : exit_code::SUCCESS;
}

exit_code show(const options::variables_map &p_values) {
	command_client client = make_client(p_values);
	const http_result result = client.call(get_node(p_values), false, "/admin/configuration");
	const json answer = json::parse(result.body);
	if (result.status != 200) {
		std::cerr << answer.value("error", "failed") << "\n";
		return exit_code::FAILURE;
	}
	std::cerr << "version " << answer.at("version") << "\n";
	std::cout << answer.at("document").dump(1, '\t') << "\n";
	return exit_code::SUCCESS;
}

exit_code show_history(const options::variables_map &p_values) {
	command_client client = make_client(p_values);
	const http_result result = client.call(get_node(p_values), false, "/admin/history");
	const json answer = json::parse(result.body);
	if (p_values["format"].as<std::string>() == "json") {
		std::cout << answer.dump() << "\n";
		return exit_code::SUCCESS;
	}
	std::cout << std::left << std::setw(8) << "offset" << std::setw(11) << "status" << std::setw(8) << "base" << std::setw(10) << "version" << std::setw(16) << "author"
			  << "change / detail\n";
	for (const json &entry : answer.at("entries")) {
		std::cout << std::setw(8) << entry.at("offset").get<std::uint64_t>() << std::setw(11) << entry.at("status").get<std::string>() << std::setw(8) << entry.at("base").get<std::uint64_t>() << std::setw(10) << entry.at("version_after").get<std::uint64_t>() << std::setw(16) << entry.at("author").get<std::string>() << entry.at("change_id").get<std::string>() << " " << entry.value("detail", "") << "\n";
	}
	return exit_code::SUCCESS;
}

} // namespace

exit_code run_config(const arguments &p_arguments) {
	options::options_description known("calicoscale config publish FILE | show | history");
	add_node_options(known);
	options::options_description_easy_init add = known.add_options();
	add("action", options::value<std::string>()->default_value(""), "publish, show or history");
	add("file", options::value<std::string>(), "configuration to publish, - for standard input");
	add("base", options::value<std::uint64_t>(), "version the document was built on; default: the one in force at the node");
	add("author", options::value<std::string>()->default_value("operator"), "who publishes, for the history");
	add("wait", options::bool_switch(), "return once every known node has it in force; name those that have not");
	options::positional_options_description positional;
	positional.add("action", 1).add("file", 1);
	options::variables_map values;
	if (!parse_options(p_arguments, known, positional, values)) {
		return exit_code::SUCCESS;
	}
	const std::string action = values["action"].as<std::string>();
	if (action == "publish") {
		return publish(values);
	}
	if (action == "show") {
		return show(values);
	}
	if (action == "history") {
		return show_history(values);
	}
	throw usage_error("config: found \"" + action + "\", expected publish, show or history");
}

} // namespace calicoscale
