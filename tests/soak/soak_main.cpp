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
#include <iostream>

namespace calicoscale {

namespace {

namespace options = boost::program_options;

/** The soak is one process that carries all links: with 150 nodes it fell behind and ran out of 20,000 descriptors. */
constexpr std::size_t MOST_NODES = 100;
/** A warm-up, one burst and the calm behind it. */
constexpr duration SHORTEST = std::chrono::seconds(18);

/** One soak to play. */
struct soak_order {
	std::uint64_t seed = 1;
	soak_size size;
};

void show_schedule(const soak_order &p_order) {
	std::cout << "seed " << p_order.seed << "\n";
	for (const soak_event &event : make_schedule(p_order.seed, p_order.size)) {
		std::cout << "  " << event.describe() << "\n";
	}
}

/** Plays one soak in a directory of its own, which stays only if a promise was broken. */
bool play(const soak_order &p_order, const std::string &p_program) {
	std::string directory = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
	if (mkdtemp(directory.data()) == nullptr) {
		throw std::runtime_error("cannot make a directory for " + directory);
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
	known.add_options()("seeds", options::value<std::vector<std::uint64_t>>()->multitoken()->required(), "the first seed and how many");
	known.add_options()("seconds", options::value<double>()->default_value(25), "length of each soak");
	known.add_options()("nodes", options::value<std::size_t>()->default_value(6), "gateway processes, at most 100");
	known.add_options()("endpoints", options::value<std::size_t>()->default_value(6), "endpoints");
	known.add_options()("callers", options::value<std::size_t>()->default_value(30), "callers");
	known.add_options()("copies", "the store comes back from older copies besides");
	known.add_options()("silences", "the store is silent for longer besides");
	known.add_options()("notices", "endpoints name limits, leave by word and ask for rest besides");
	known.add_options()("ends", "endpoints end answers without framing, and streams inside an event, besides");
	known.add_options()("surplus", "endpoints send second copies of their answers, immediately or late, besides");
	known.add_options()("replaced", "the seeds are replaced by machines whose settings name only each other, besides");
	known.add_options()("malformed", "endpoints send answers, and callers requests, that are not valid HTTP, besides");
	known.add_options()("versions", "endpoints are updated to newer versions of their software, and callers resume streams, besides");
	known.add_options()("schedule", "prints what is done when, and plays nothing");
	options::variables_map values;
	options::store(options::parse_command_line(p_count, p_values, known), values);
	if (values.contains("help")) {
		std::cout << known;
		return 0;
	}
	options::notify(values);
	const std::vector<std::uint64_t> &seeds = values["seeds"].as<std::vector<std::uint64_t>>();
	const std::uint64_t count = seeds.size() > 1 ? seeds[1] : 1;
	const soak_size size{ values["nodes"].as<std::size_t>(), values["endpoints"].as<std::size_t>(), values["callers"].as<std::size_t>(), from_seconds(values["seconds"].as<double>()), values.contains("notices"), values.contains("copies"), values.contains("silences"), values.contains("versions"), values.contains("ends"), values.contains("surplus"), values.contains("replaced"), values.contains("malformed") };
	if (count == 0 || size.nodes == 0 || size.nodes > MOST_NODES || size.endpoints == 0 || size.callers == 0 || size.length < SHORTEST) {
		throw std::runtime_error("needs a seed, 1 to 100 nodes, an endpoint, a caller and 18 seconds at least");
	}
	std::size_t broken = 0;
	for (std::uint64_t i = 0; i < count; i++) {
		const soak_order order{ seeds[0] + i, size };
		if (values.contains("schedule")) {
			show_schedule(order);
		} else {
			broken += play(order, values["program"].as<std::string>()) ? 0 : 1;
		}
	}
	std::cout << count << " soaks, " << broken << " with broken promises\n";
	return broken == 0 ? 0 : 1;
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
