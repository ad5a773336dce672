/*
 * calicoscale: command_options.cpp
 * Options that several commands share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace calicoscale {

namespace options = boost::program_options;

void add_node_options(options::options_description &r_options) {
	options::options_description_easy_init add = r_options.add_options();
	add("node", options::value<std::string>()->default_value("127.0.0.1:7001"), "admin address of a node, IP:PORT");
	add("key", options::value<std::string>()->default_value(""), "admin key");
	add("timeout", options::value<double>()->default_value(15.0), "seconds to wait for a node");
	add("format", options::value<std::string>()->default_value("table"), "table or json");
}

bool parse_options(const arguments &p_arguments, const options::options_description &p_options, const options::positional_options_description &p_positional, options::variables_map &r_values) {
	options::options_description all(p_options);
	all.add_options()("help", "print this help");
	try {
		options::store(options::command_line_parser(p_arguments).options(all).positional(p_positional).run(), r_values);
		options::notify(r_values);
	} catch (const options::error &error) {
		throw usage_error(error.what());
	}
	if (r_values.count("help") > 0) {
		std::cout << all;
		return false;
	}
	return true;
}

network_address get_node(const options::variables_map &p_values) {
	const std::string text = p_values["node"].as<std::string>();
	const network_address address = parse_network_address(text);
	if (address.port == 0) {
		throw usage_error("--node: found \"" + text + "\", expected IP:PORT");
	}
	return address;
}

command_client make_client(const options::variables_map &p_values) {
	return command_client(p_values["key"].as<std::string>(), from_seconds(p_values["timeout"].as<double>()));
}

std::string read_file(const std::string &p_path) {
	if (p_path == "-") {
		return std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
	}
	std::ifstream file(p_path, std::ios::binary);
	if (!file) {
		throw usage_error("cannot read " + p_path);
	}
	return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

std::string describe_reload(const std::string &p_path, const std::function<void(const std::string &)> &p_parse) {
	try {
		p_parse(read_file(p_path));
		return "sound, in force from the next start";
	} catch (const std::exception &error) {
		return std::string("rejected: ") + error.what();
	}
}

} // namespace calicoscale
