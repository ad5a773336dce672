/*
 * calicoscale: standins_main.cpp
 * Runs stand-ins from a specification file; prints their addresses as one JSON line.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/event_loop.h"
#include "tests/standins/standin_platform.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

int main(int p_count, char **p_values) {
	if (p_count != 2) {
		std::cerr << "usage: calicoscale_standins SPECIFICATION\n";
		return 2;
	}
	std::ifstream file(p_values[1]);
	const nlohmann::json spec = nlohmann::json::parse(file, nullptr, false);
	if (!spec.is_object()) {
		std::cerr << "cannot read " << p_values[1] << "\n";
		return 2;
	}
	calicoscale::event_loop loop;
	calicoscale::standin_platform platform(loop, spec);
	loop.watch_signal(SIGTERM);
	loop.watch_signal(SIGINT);
	loop.signal_received().connect([&loop](int) { loop.stop(); });
	std::cout << platform.describe() << std::endl;
	loop.run();
	return 0;
}
