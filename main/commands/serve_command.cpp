/*
 * calicoscale: serve_command.cpp
 * Command serve: runs a node. Command check: checks settings or a configuration.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/command_options.h"
#include "main/process_signals.h"
#include "main/serve/node.h"
#include "servers/configuration/configuration_parser.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace calicoscale {

namespace options = boost::program_options;

namespace {

void start_log(const node_settings &p_settings) {
	FLAGS_logtostderr = true;
	FLAGS_minloglevel = p_settings.log_level == "error" ? google::GLOG_ERROR : (p_settings.log_level == "warning" ? google::GLOG_WARNING : google::GLOG_INFO);
}

/** Distinguishes the two kinds of document: a configuration has customers or pipelines, settings have a VM and neither of these. */
bool looks_like_configuration(const std::string &p_text) {
	const nlohmann::json document = nlohmann::json::parse(p_text, nullptr, false);
	return document.is_object() && (document.contains("customers") || document.contains("pipelines"));
}

} // namespace

exit_code run_serve(const arguments &p_arguments) {
	options::options_description known("calicoscale serve");
	known.add_options()("settings", options::value<std::string>()->required(), "file with the node's settings");
	options::variables_map values;
	if (!parse_options(p_arguments, known, {}, values)) {
		return exit_code::SUCCESS;
	}
	const std::string file = values["settings"].as<std::string>();
	const node_settings settings = parse_settings(read_file(file));
	start_log(settings);
	event_loop loop;
	node entry(loop, settings);
	process_signal_hooks hooks;
	hooks.stop = [&entry] { entry.drain(); };
	hooks.reload = [&file] {
		const std::string outcome = describe_reload(file, [](const std::string &p_text) { parse_settings(p_text); });
		LOG(INFO) << "event=settings_reloaded outcome=\"" << outcome << "\"";
	};
	const process_signals signals(loop, std::move(hooks));
	entry.start();
	const nlohmann::json addresses{ { "vm", settings.vm }, { "callers", to_string(entry.get_caller_address()) }, { "admin", to_string(entry.get_admin_address()) }, { "link", to_string(entry.get_link_address()) } };
	std::cout << addresses.dump() << std::endl;
	loop.run();
	return exit_code::SUCCESS;
}

exit_code run_check(const arguments &p_arguments) {
	options::options_description known("calicoscale check FILE");
	known.add_options()("file", options::value<std::string>()->required(), "settings or configuration, - for standard input");
	options::positional_options_description positional;
	positional.add("file", 1);
	options::variables_map values;
	if (!parse_options(p_arguments, known, positional, values)) {
		return exit_code::SUCCESS;
	}
	const std::string text = read_file(values["file"].as<std::string>());
	if (looks_like_configuration(text)) {
		parse_configuration(text);
		std::cout << "configuration is sound\n";
		return exit_code::SUCCESS;
	}
	parse_settings(text);
	std::cout << "settings are sound\n";
	return exit_code::SUCCESS;
}

} // namespace calicoscale
