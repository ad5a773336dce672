/*
 * calicoscale: gateway_command.cpp
 * Command gateway: runs an entry node on a platform with a keyed store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "main/gateway/gateway.h"
#include "main/process_signals.h"

#include <glog/logging.h>

#include <utility>

namespace calicoscale {

namespace options = boost::program_options;

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
	process_signal_hooks hooks;
	hooks.stop = [&entry] { entry.stop(); };
	hooks.reload = [&entry, &file] {
		entry.note_reload(describe_reload(file, [](const std::string &p_text) { parse_gateway_settings(p_text); }));
	};
	const process_signals signals(loop, std::move(hooks));
	entry.start();
	loop.run();
	return exit_code::SUCCESS;
}

} // namespace calicoscale
