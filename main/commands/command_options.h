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
 * Parses arguments; prints help and returns false when it was asked for.
 * @throws usage_error for wrong ones.
 */
bool parse_options(const arguments &p_arguments, const boost::program_options::options_description &p_options, const boost::program_options::positional_options_description &p_positional, boost::program_options::variables_map &r_values);

/** Address given by --node. @throws usage_error when it is malformed. */
network_address get_node(const boost::program_options::variables_map &p_values);

/** Client made from --key and --timeout. */
command_client make_client(const boost::program_options::variables_map &p_values);

/** Reads a whole file, "-" for standard input. @throws usage_error when it cannot be read. */
std::string read_file(const std::string &p_path);

/**
 * Reads a node's settings again for its log. Addresses and names hold for a process's life, so a change of them waits for a
 * restart. The parser throws for settings that are not sound.
 */
std::string describe_reload(const std::string &p_path, const std::function<void(const std::string &)> &p_parse);

} // namespace calicoscale

#endif // COMMAND_OPTIONS_H
