/*
 * calicoscale: open_run_counter.h
 * Open runs of this node at each version of each service.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef OPEN_RUN_COUNTER_H
#define OPEN_RUN_COUNTER_H

#include <cstdint>
#include <map>
#include <string>

namespace calicoscale {

/** Counts open runs, i.e. requests and calls that were sent and not finished, by service and version. */
class open_run_counter {
	std::map<std::string, std::map<std::string, std::uint32_t>> _open;

public:
	void on_started(const std::string &p_service, const std::string &p_version) { _open[p_service][p_version]++; }

	/** Records the end of a started run. */
	void on_ended(const std::string &p_service, const std::string &p_version);

	/** Returns the number of open runs at versions of a service other than p_version. */
	std::uint32_t count_others(const std::string &p_service, const std::string &p_version) const;
};

} // namespace calicoscale

#endif // OPEN_RUN_COUNTER_H
