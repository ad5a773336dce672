/*
 * calicoscale: main.cpp
 * Entry point.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/commands/commands.h"

#include <glog/logging.h>

int main(int p_count, char **p_values) {
	google::InitGoogleLogging(p_values[0]);
	const calicoscale::arguments arguments(p_values + 1, p_values + p_count);
	return static_cast<int>(calicoscale::run_program(arguments));
}
