/*
 * calicoscale: soak_main.cpp
 * Plays soaks of real gateway processes by seed; fails when a promise is broken.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_run.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace calicoscale {

namespace {

namespace options = boost::program_options;

/** One soak to play. */
struct soak_order {
	std::uint64_t seed = 1;
	soak_size size;
};

/** Seeds to play again, one a line: seed, seconds, nodes, endpoints, callers, then why. Lines that begin with # say more. */
std::vector<soak_order> read_orders(const std::string &p_file) {
	std::ifstream file(p_file);
	if (!file) {
		throw std::runtime_error("cannot read " + p_file);
	}
	std::vector<soak_order> orders;
	std::string line;
	while (std::getline(file, line)) {
		soak_order order;
		double seconds = 0;
		std::istringstream fields(line);
		if (!line.empty() && line.front() != '#' && fields >> order.seed >> seconds >> order.size.nodes >> order.size.endpoints >> order.size.callers) {
			order.size.length = from_seconds(seconds);
			orders.push_back(order);
		}
	}
	return orders;
}

/** Plays one soak in a directory of its own, which stays only if a promise was broken. */
bool play(const soak_order &p_order, const std::string &p_program, bool p_shows_schedule) {
	std::string directory = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
	if (mkdtemp(directory.data()) == nullptr) {
		throw std::runtime_error("cannot make a directory for " + directory);
	}
	if (p_shows_schedule) {
		for (const soak_event &event : make_schedule(p_order.seed, p_order.size)) {
			std::cout << "  " << event.describe() << "\n";
		}
	}
	soak_run run(p_order.seed, p_order.size, soak_place{ p_program, directory });
	run.play();
	run.write_report(std::cout);
	const bool is_sound = run.get_book().get_broken().empty();
	if (is_sound) {
		std::filesystem::remove_all(directory);
	} else {
		std::cout << "  logs of the nodes: " << directory << "\n";
	}
	std::cout.flush();
	return is_sound;
}

int run(int p_count, char **p_values) {
	options::options_description known("soak");
	known.add_options()("help", "tells the options");
	known.add_options()("program", options::value<std::string>()->required(), "the calicoscale program");
	known.add_options()("seeds", options::value<std::vector<std::uint64_t>>()->multitoken(), "the first seed and how many");
	known.add_options()("orders", options::value<std::string>(), "a file of seeds to play");
	known.add_options()("seconds", options::value<double>()->default_value(25), "length of each soak");
	known.add_options()("nodes", options::value<std::size_t>()->default_value(6), "gateway processes, at most 200");
	known.add_options()("endpoints", options::value<std::size_t>()->default_value(6), "endpoints");
	known.add_options()("callers", options::value<std::size_t>()->default_value(30), "callers");
	known.add_options()("schedule", "prints what is done when");
	options::variables_map values;
	options::store(options::parse_command_line(p_count, p_values, known), values);
	if (values.contains("help")) {
		std::cout << known;
		return 0;
	}
	options::notify(values);
	std::vector<soak_order> orders;
	if (values.contains("orders")) {
		orders = read_orders(values["orders"].as<std::string>());
	}
	if (values.contains("seeds")) {
		const std::vector<std::uint64_t> &seeds = values["seeds"].as<std::vector<std::uint64_t>>();
		const soak_size size{ values["nodes"].as<std::size_t>(), values["endpoints"].as<std::size_t>(), values["callers"].as<std::size_t>(), from_seconds(values["seconds"].as<double>()) };
		for (std::uint64_t i = 0; i < (seeds.size() > 1 ? seeds[1] : 1); i++) {
			orders.push_back(soak_order{ seeds[0] + i, size });
		}
	}
	std::size_t broken = 0;
	for (const soak_order &order : orders) {
		broken += play(order, values["program"].as<std::string>(), values.contains("schedule")) ? 0 : 1;
	}
	std::cout << orders.size() << " soaks, " << broken << " with broken promises\n";
	return broken == 0 && !orders.empty() ? 0 : 1;
}

} // namespace

} // namespace calicoscale

int main(int p_count, char **p_values) {
	std::signal(SIGPIPE, SIG_IGN);
	try {
		return calicoscale::run(p_count, p_values);
	} catch (const std::exception &error) {
		std::cerr << error.what() << "\n";
		return 2;
	}
}
