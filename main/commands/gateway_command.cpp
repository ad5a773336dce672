/*
 * calicoscale: gateway_command.cpp
 * gateway: runs an entry node on a platform with a keyed store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "main/early_signals.h"
#include "main/gateway/gateway.h"

#include <glog/logging.h>

#include <csignal>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

/** Reads the settings again. Addresses and names hold for a process's life, so a change of them waits for a restart. */
std::string reload(const std::string &p_file) {
	try {
		parse_gateway_settings(read_file(p_file));
		return "sound, in force from the next start";
	} catch (const std::exception &error) {
		return std::string("rejected: ") + error.what();
	}
}

} // namespace

exit_code run_gateway(const arguments &p_arguments) {
	options::options_description known("calicoscale gateway");
	known.add_options()("settings", options::value<std::string>()->required(), "file with the node's settings");
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	FLAGS_logtostderr = true;
	const std::string file = values["settings"].as<std::string>();
	const gateway_settings settings = parse_gateway_settings(read_file(file));
	event_loop loop;
	gateway entry(loop, settings);
	loop.watch_signal(SIGTERM);
	loop.watch_signal(SIGINT);
	loop.watch_signal(SIGHUP);
	loop.signal_received().connect([&entry, &file](int p_signal) {
		if (p_signal == SIGHUP) {
			entry.note_reload(reload(file));
			return;
		}
		entry.stop();
	});
	unblock_reload_signal();
	entry.start();
	loop.run();
	return exit_code::SUCCESS;
}

} // namespace calicoscale
