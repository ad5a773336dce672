/*
 * calicoscale: report_commands.cpp
 * Commands status, timeline, costs and drain.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "servers/timeline/timeline_merge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

using json = nlohmann::json;

constexpr double MICROS_PER_UNIT = 1e6;

json call_json(command_client &r_client, const network_address &p_to, const std::string &p_path) {
	const http_result result = r_client.call(p_to, false, p_path);
	const json answer = json::parse(result.body, nullptr, false);
	if (result.status != 200 || !answer.is_object()) {
		throw command_error(to_string(p_to) + " answered " + std::to_string(result.status) + ": " + result.body);
	}
	return answer;
}

void print_status(const json &p_status) {
	const json &configuration = p_status.at("configuration");
	std::cout << "node " << p_status.at("vm").get<std::string>() << " in " << p_status.at("zone").get<std::string>() << ", " << (p_status.at("ready").get<bool>() ? "ready" : "NOT READY") << ", configuration version " << configuration.at("version") << (configuration.at("certain").get<bool>() ? "" : " (catching up)") << "\n";
	const json &platform = p_status.at("platform");
	std::cout << "platform: log " << (platform.at("log_answers").get<bool>() ? "answers" : "SILENT") << ", list " << (platform.at("list_known").get<bool>() ? "known" : "UNKNOWN") << (platform.at("list_doubted").get<bool>() ? ", DOUBTED" : "") << "\n";
	std::cout << "requests open " << p_status.at("requests").at("open") << ", ledger rows unflushed " << p_status.at("ledger").at("unflushed_rows") << "\n\n";
	std::cout << std::left << std::setw(18) << "member" << std::setw(14) << "zone" << std::setw(10) << "state" << std::setw(8) << "ready" << std::setw(10) << "version"
			  << "silent (s)\n";
	for (const json &member : p_status.at("members")) {
		std::cout << std::setw(18) << member.at("vm").get<std::string>() << std::setw(14) << member.at("zone").get<std::string>() << std::setw(10) << member.at("state").get<std::string>() << std::setw(8) << (member.at("ready").get<bool>() ? "yes" : "no") << std::setw(10) << member.at("configuration_version").get<std::uint64_t>() << std::fixed << std::setprecision(1) << member.at("silent_seconds").get<double>() << "\n";
	}
	std::cout << "\n"
			  << std::setw(18) << "pool" << std::setw(7) << "open" << std::setw(9) << "leaving" << std::setw(9) << "drained" << std::setw(9) << "ejected" << std::setw(8) << "limit" << std::setw(11) << "in flight"
			  << "waiting\n";
	for (const auto &[name, pool] : p_status.at("pools").items()) {
		std::cout << std::setw(18) << name << std::setw(7) << pool.value("open", 0) << std::setw(9) << pool.value("leaving", 0) << std::setw(9) << pool.value("drained", 0) << std::setw(9) << pool.value("ejected", 0) << std::setw(8) << std::setprecision(0) << pool.value("limit", 0.0) << std::setw(11) << pool.value("in_flight", 0) << pool.value("waiting", 0) << "\n";
	}
}

timeline_event read_event(const json &p_row) {
	timeline_event event;
	event.at.wall = p_row.at(0).get<unix_milliseconds>();
	event.at.counter = p_row.at(1).get<std::uint32_t>();
	event.kind = static_cast<event_kind>(p_row.at(2).get<int>());
	event.request = p_row.at(3).get<std::string>();
	event.subject = p_row.at(4).get<std::string>();
	event.detail = p_row.at(5).get<std::string>();
	event.elapsed_microseconds = p_row.at(6).get<std::int64_t>();
	return event;
}

/** Returns the admin addresses of a node and of all members that it lists and that aren't gone; the node itself comes first. */
std::vector<network_address> find_nodes(command_client &r_client, const network_address &p_first) {
	std::vector<network_address> nodes{ p_first };
	const json status = call_json(r_client, p_first, "/admin/status");
	for (const json &member : status.at("members")) {
		const network_address address = parse_network_address(member.at("admin").get<std::string>());
		if (address.port != 0 && member.at("state").get<std::string>() != "gone") {
			nodes.push_back(address);
		}
	}
	return nodes;
}

timeline_format read_timeline_format(const std::string &p_name) {
	if (p_name == "table") {
		return timeline_format::TABLE;
	}
	if (p_name == "jsonl" || p_name == "json") {
		return timeline_format::JSON_LINES;
	}
	if (p_name == "trace") {
		return timeline_format::TRACE;
	}
	throw usage_error("--format: found \"" + p_name + "\", expected table, jsonl or trace");
}

struct cost_row {
	std::int64_t micro_units = 0;
	std::int64_t micro_cost = 0;
	std::int64_t micro_waste = 0;
	std::int64_t attempts = 0;
};

std::vector<std::string> split_list(const std::string &p_text) {
	std::vector<std::string> parts;
	std::string part;
	for (const char letter : p_text + ",") {
		if (letter != ',') {
			part += letter;
			continue;
		}
		parts.push_back(part);
		part.clear();
	}
	return parts;
}

std::map<std::vector<std::string>, cost_row> group_costs(const json &p_rows, const std::vector<std::string> &p_by) {
	std::map<std::vector<std::string>, cost_row> groups;
	for (const json &row : p_rows) {
		std::vector<std::string> key;
		key.reserve(p_by.size());
		for (const std::string &column : p_by) {
			key.push_back(row.at(column).get<std::string>());
		}
		cost_row &group = groups[key];
		group.micro_units += row.at("micro_units").get<std::int64_t>();
		group.micro_cost += row.at("micro_cost").get<std::int64_t>();
		group.micro_waste += row.at("use").get<std::string>() == "useful" ? 0 : row.at("micro_cost").get<std::int64_t>();
		group.attempts += row.at("attempts").get<std::int64_t>();
	}
	return groups;
}

void print_costs_table(const std::vector<std::string> &p_by, const std::map<std::vector<std::string>, cost_row> &p_groups) {
	for (const std::string &column : p_by) {
		std::cout << std::left << std::setw(18) << column;
	}
	std::cout << std::right << std::setw(10) << "attempts" << std::setw(16) << "units" << std::setw(16) << "cost" << std::setw(16) << "of it waste"
			  << "\n";
	for (const auto &[key, row] : p_groups) {
		for (const std::string &part : key) {
			std::cout << std::left << std::setw(18) << part;
		}
		std::cout << std::right << std::fixed << std::setw(10) << row.attempts << std::setw(16) << std::setprecision(3) << static_cast<double>(row.micro_units) / MICROS_PER_UNIT << std::setw(16) << std::setprecision(6) << static_cast<double>(row.micro_cost) / MICROS_PER_UNIT << std::setw(16) << static_cast<double>(row.micro_waste) / MICROS_PER_UNIT << "\n";
	}
}

void print_costs_csv(const std::vector<std::string> &p_by, const std::map<std::vector<std::string>, cost_row> &p_groups) {
	for (const std::string &column : p_by) {
		std::cout << column << ",";
	}
	std::cout << "attempts,micro_units,micro_cost,micro_waste\n";
	for (const auto &[key, row] : p_groups) {
		for (const std::string &part : key) {
			std::cout << part << ",";
		}
		std::cout << row.attempts << "," << row.micro_units << "," << row.micro_cost << "," << row.micro_waste << "\n";
	}
}

void print_costs_json(const json &p_answer, const std::vector<std::string> &p_by, const std::map<std::vector<std::string>, cost_row> &p_groups) {
	json rows = json::array();
	for (const auto &[key, row] : p_groups) {
		json entry{ { "attempts", row.attempts }, { "micro_units", row.micro_units }, { "micro_cost", row.micro_cost }, { "micro_waste", row.micro_waste } };
		for (std::size_t i = 0; i < p_by.size(); i++) {
			entry[p_by[i]] = key[i];
		}
		rows.push_back(std::move(entry));
	}
	std::cout << json({ { "complete", p_answer.at("complete") }, { "forgotten_by_log", p_answer.at("forgotten_by_log") }, { "rows", rows } }).dump() << "\n";
}

} // namespace

exit_code run_status(const arguments &p_arguments) {
	options::options_description known("calicoscale status");
	add_node_options(known);
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	command_client client = make_client(values);
	const json status = call_json(client, get_node(values), "/admin/status");
	if (values["format"].as<std::string>() == "json") {
		std::cout << status.dump() << "\n";
	} else {
		print_status(status);
	}
	return exit_code::SUCCESS;
}

exit_code run_timeline(const arguments &p_arguments) {
	options::options_description known("calicoscale timeline");
	add_node_options(known);
	options::options_description_easy_init add = known.add_options();
	add("request", options::value<std::string>()->default_value(""), "follow one request");
	add("most", options::value<std::size_t>()->default_value(2000), "newest events of each node");
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	const timeline_format format = read_timeline_format(values["format"].as<std::string>());
	command_client client = make_client(values);
	const std::string path = "/admin/timeline?request=" + values["request"].as<std::string>() + "&most=" + std::to_string(values["most"].as<std::size_t>());
	std::vector<node_event> events;
	std::set<std::string> seen_vms;
	exit_code result = exit_code::SUCCESS;
	for (const network_address &address : find_nodes(client, get_node(values))) {
		try {
			const json answer = call_json(client, address, path);
			const std::string vm = answer.at("vm").get<std::string>();
			if (!seen_vms.insert(vm).second) {
				continue;
			}
			for (const json &row : answer.at("events")) {
				events.push_back(node_event{ vm, answer.at("incarnation").get<std::uint64_t>(), read_event(row) });
			}
		} catch (const command_error &error) {
			std::cerr << "left out: " << error.what() << "\n";
			result = exit_code::UNREACHABLE;
		}
	}
	sort_events(events);
	std::cout << write_timeline(events, format);
	return result;
}

exit_code run_costs(const arguments &p_arguments) {
	options::options_description known("calicoscale costs");
	add_node_options(known);
	known.add_options()("by", options::value<std::string>()->default_value("stage,customer"), "columns out of customer,pipeline,stage,pool,use");
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	const std::vector<std::string> by = split_list(values["by"].as<std::string>());
	const std::set<std::string> columns{ "customer", "pipeline", "stage", "pool", "use" };
	for (const std::string &column : by) {
		if (!columns.contains(column)) {
			throw usage_error("--by: found \"" + column + "\", expected some of customer,pipeline,stage,pool,use");
		}
	}
	command_client client = make_client(values);
	const json answer = call_json(client, get_node(values), "/admin/costs");
	const std::map<std::vector<std::string>, cost_row> groups = group_costs(answer.at("rows"), by);
	const std::string format = values["format"].as<std::string>();
	if (format == "json") {
		print_costs_json(answer, by, groups);
	} else if (format == "csv") {
		print_costs_csv(by, groups);
	} else {
		print_costs_table(by, groups);
	}
	if (!answer.at("complete").get<bool>()) {
		std::cerr << "the log does not answer: these are the sums read before\n";
		return exit_code::FAILURE;
	}
	return exit_code::SUCCESS;
}

exit_code run_drain(const arguments &p_arguments) {
	options::options_description known("calicoscale drain");
	add_node_options(known);
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	command_client client = make_client(values);
	const http_result result = client.call(get_node(values), true, "/admin/drain");
	if (result.status != 202) {
		std::cerr << "the node answered " << result.status << "\n";
		return exit_code::FAILURE;
	}
	std::cout << "draining\n";
	return exit_code::SUCCESS;
}

} // namespace calicoscale
