/*
 * calicoscale: load_command.cpp
 * Command load: sends a mix of requests to nodes and prints a report.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "main/load/load_run.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

std::vector<network_address> read_targets(const std::string &p_text) {
	std::vector<network_address> targets;
	std::istringstream stream(p_text);
	std::string part;
	while (std::getline(stream, part, ',')) {
		const network_address address = parse_network_address(part);
		if (address.port == 0) {
			throw usage_error("--targets: found \"" + part + "\", expected IP:PORT");
		}
		targets.push_back(address);
	}
	if (targets.empty()) {
		throw usage_error("--targets: found nothing, expected IP:PORT[,IP:PORT]");
	}
	return targets;
}

} // namespace

exit_code run_load(const arguments &p_arguments) {
	options::options_description known("calicoscale load");
	options::options_description_easy_init add = known.add_options();
	add("targets", options::value<std::string>()->required(), "caller addresses of nodes, IP:PORT[,IP:PORT]");
	add("mix", options::value<std::string>()->required(), "file with the mix of requests");
	add("rate", options::value<double>()->default_value(10.0), "requests a second");
	add("seconds", options::value<double>()->default_value(10.0), "length of the measured part");
	add("warm-up", options::value<double>()->default_value(0.0), "seconds before measuring");
	add("seed", options::value<std::uint64_t>()->default_value(1), "seed of arrivals and payloads");
	add("check", options::value<std::string>()->default_value("chain"), "chain checks answers of echo engines, none checks framing and digest only");
	add("format", options::value<std::string>()->default_value("table"), "table or json");
	add("quiet", options::bool_switch(), "no progress");
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	load_options settings;
	settings.targets = read_targets(values["targets"].as<std::string>());
	settings.rate = values["rate"].as<double>();
	settings.length = from_seconds(values["seconds"].as<double>());
	settings.warm_up = from_seconds(values["warm-up"].as<double>());
	settings.seed = values["seed"].as<std::uint64_t>();
	settings.check_chain = values["check"].as<std::string>() != "none";
	settings.show_progress = !values["quiet"].as<bool>();
	if (settings.rate <= 0.0 || settings.length <= duration::zero()) {
		throw usage_error("--rate and --seconds must be above 0");
	}
	event_loop loop;
	load_run run(loop, parse_mix(read_file(values["mix"].as<std::string>())), settings);
	run.start();
	loop.run();
	const load_report &report = run.get_report();
	if (values["format"].as<std::string>() == "json") {
		std::cout << report.to_json().dump() << "\n";
	} else {
		std::cout << report.to_table();
	}
	return report.get_fault_count() == 0 ? exit_code::SUCCESS : exit_code::FAILURE;
}

} // namespace calicoscale
