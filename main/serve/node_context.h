/*
 * calicoscale: node_context.h
 * State and drivers that all services of one node share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_CONTEXT_H
#define NODE_CONTEXT_H

#include "drivers/endpoint_client.h"
#include "drivers/event_loop.h"
#include "drivers/http_client.h"
#include "drivers/platform_log.h"
#include "drivers/vm_list.h"
#include "main/node_metrics.h"
#include "main/serve/node_settings.h"
#include "main/serve/timeline_recorder.h"

#include <cstdint>

namespace calicoscale {

/** State and drivers that all services of a node use. The node owns it and passes it by reference. */
struct node_context {
	event_loop &loop;
	const node_settings settings;
	std::uint64_t incarnation; ///< Wall time in milliseconds and random low bits; drawn at each start.
	std::uint64_t seed;
	http_client client;
	platform_log log;
	vm_list list;
	endpoint_client endpoints;
	node_metrics metrics;
	timeline_recorder timeline;

	node_context(event_loop &p_loop, node_settings p_settings);
};

} // namespace calicoscale

#endif // NODE_CONTEXT_H
