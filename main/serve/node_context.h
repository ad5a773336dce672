/*
 * calicoscale: node_context.h
 * What the services of one node share.
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

/** Parts every service of a node uses; owned by the node, passed by reference. */
struct node_context {
	event_loop &loop;
	const node_settings settings;
	std::uint64_t incarnation;
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
