/*
 * calicoscale: command_options.h
 * Options that several commands share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMAND_OPTIONS_H
#define COMMAND_OPTIONS_H

#include "main/commands/command_client.h"
#include "main/commands/commands.h"

#include <boost/program_options.hpp>

#include <functional>
#include <stdexcept>
#include <string>

namespace calicoscale {

/** Thrown for wrong arguments. */
class usage_error : public std::runtime_error {
public:
	using std::runtime_error::runtime_error;
};

/** Adds --node, --key, --timeout and --format. */
void add_node_options(boost::program_options::options_description &r_options);

/**
 * Parses arguments. Prints the help and returns false if --help is among them.
 * @throws usage_error for wrong arguments.
 */
bool parse_options(const arguments &p_arguments, const boost::program_options::options_description &p_options, const boost::program_options::positional_options_description &p_positional, boost::program_options::variables_map &r_values);

/** Returns the address given by --node. @throws usage_error when it is malformed. */
network_address get_node(const boost::program_options::variables_map &p_values);

/** Returns a client that uses --key and --timeout. */
command_client make_client(const boost::program_options::variables_map &p_values);

/** Returns the contents of a file, or of standard input for "-". @throws usage_error if the file can't be opened. */
std::string read_file(const std::string &p_path);

/**
 * Reads and checks a node's settings file again and returns the outcome as a text for the log. Nothing is applied: addresses and
 * names are fixed for the lifetime of a process, so changed settings take effect at the next start. `p_parse` throws if the
 * settings are invalid.
 */
std::string describe_reload(const std::string &p_path, const std::function<void(const std::string &)> &p_parse);

} // namespace calicoscale

#endif // COMMAND_OPTIONS_H
