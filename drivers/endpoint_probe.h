/*
 * calicoscale: endpoint_probe.h
 * Tells by a new connection whether an endpoint is there.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_PROBE_H
#define ENDPOINT_PROBE_H

#include "drivers/event_loop.h"
#include "drivers/path_faults.h"
#include "servers/gateway/interrupted_runs.h"
#include "servers/routing/endpoint_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace calicoscale {

/** Opens connections without sending data and closes them as soon as they are accepted or refused. */
class endpoint_probe {
	class probe;

	event_loop &_loop;
	const path_faults &_faults;
	std::map<std::uint64_t, std::unique_ptr<probe>> _probes;
	std::uint64_t _next_id = 1;

public:
	/** @param p_faults simulated failures of paths; must outlive this object. */
	endpoint_probe(event_loop &p_loop, const path_faults &p_faults);
	~endpoint_probe();
	endpoint_probe(const endpoint_probe &) = delete;
	endpoint_probe &operator=(const endpoint_probe &) = delete;

	/** Probes an address. The hook is called once, from the loop, never before this returns. */
	void start(const network_address &p_address, std::function<void(probe_end)> p_hook);
};

} // namespace calicoscale

#endif // ENDPOINT_PROBE_H
