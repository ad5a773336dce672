/*
 * calicoscale: version_runs.h
 * What is at work at each version of each service, from this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef VERSION_RUNS_H
#define VERSION_RUNS_H

#include <cstdint>
#include <map>
#include <string>

namespace calicoscale {

/** Counts runs by service and version. */
class version_runs {
	std::map<std::string, std::map<std::string, std::uint32_t>> _open;

public:
	void on_started(const std::string &p_service, const std::string &p_version) { _open[p_service][p_version]++; }

	/** Ends one that was started. */
	void on_ended(const std::string &p_service, const std::string &p_version);

	/** Runs at other versions of a service. */
	std::uint32_t count_others(const std::string &p_service, const std::string &p_version) const;
};

} // namespace calicoscale

#endif // VERSION_RUNS_H
