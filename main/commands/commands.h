/*
 * calicoscale: commands.h
 * The commands of the program.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef COMMANDS_H
#define COMMANDS_H

#include <string>
#include <vector>

namespace calicoscale {

/** Exit codes of all commands, as documented in docs/OPERATIONS.md. */
enum class exit_code {
	SUCCESS = 0,
	FAILURE = 1, ///< The command ran, but its outcome is a failure, e.g. a newer version overtook the published change.
	USAGE = 2, ///< Invalid arguments, settings or documents; nothing was changed.
	UNREACHABLE = 3, ///< A node did not answer.
};

/** Arguments of a command, without its name. */
using arguments = std::vector<std::string>;

exit_code run_serve(const arguments &p_arguments);
exit_code run_gateway(const arguments &p_arguments);
exit_code run_check(const arguments &p_arguments);
exit_code run_config(const arguments &p_arguments);
exit_code run_status(const arguments &p_arguments);
exit_code run_timeline(const arguments &p_arguments);
exit_code run_costs(const arguments &p_arguments);
exit_code run_drain(const arguments &p_arguments);
exit_code run_explain(const arguments &p_arguments);
exit_code run_load(const arguments &p_arguments);

/** Runs the command named by the first argument and converts its exceptions to exit codes. */
exit_code run_program(const arguments &p_arguments);

} // namespace calicoscale

#endif // COMMANDS_H
