/*
 * calicoscale: gateway_context.h
 * Objects that the services of one gateway share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef GATEWAY_CONTEXT_H
#define GATEWAY_CONTEXT_H

#include "core/random_source.h"
#include "drivers/endpoint_channels.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "main/gateway/gateway_settings.h"
#include "main/node_metrics.h"
#include "platform/store_client.h"
#include "servers/gateway/store_traffic.h"
#include "servers/gateway/zone_reachability.h"

namespace calicoscale {

/** Objects that every service of a gateway uses. The gateway owns them and passes them by reference. */
struct gateway_context {
	event_loop &loop;
	const gateway_settings settings;
	std::uint64_t incarnation;
	random_source random;
	endpoint_channels channels;
	zone_reachability zones;
	event_log log;
	store_client store;
	store_traffic traffic;
	node_metrics metrics;

	gateway_context(event_loop &p_loop, gateway_settings p_settings);
};

} // namespace calicoscale

#endif // GATEWAY_CONTEXT_H
