/*
 * calicoscale: path_faults.h
 * Simulated failures of the network paths from this process to endpoints, for failure tests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PATH_FAULTS_H
#define PATH_FAULTS_H

#include "servers/routing/endpoint_state.h"

#include <functional>
#include <utility>

namespace calicoscale {

/** Simulated failure of the path to an address. */
enum class path_fault {
	NONE,
	REFUSED, ///< New connections are refused, and established ones are reset.
	SILENT, ///< No packet arrives: new connections time out, and established ones fail once the system gives up.
};

/** Paths that count as failed. Empty outside of failure tests. */
class path_faults {
	std::function<path_fault(const network_address &)> _find;

public:
	void set(std::function<path_fault(const network_address &)> p_find) { _find = std::move(p_find); }

	path_fault get(const network_address &p_to) const { return _find ? _find(p_to) : path_fault::NONE; }
};

} // namespace calicoscale

#endif // PATH_FAULTS_H
