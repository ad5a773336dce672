/*
 * calicoscale: gateway_context.cpp
 * Objects that the services of one gateway share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway_context.h"

#include "core/digest.h"

namespace calicoscale {

gateway_context::gateway_context(event_loop &p_loop, gateway_settings p_settings) :
		loop(p_loop),
		settings(std::move(p_settings)),
		incarnation(static_cast<std::uint64_t>(event_loop::wall())),
		random(hash_bytes(settings.vm, incarnation)),
		channels(p_loop),
		zones(settings.zone),
		log(p_loop),
		store(p_loop, channels, settings.store_address) {
	store.set_on_call_ended([this](const store_call_end &p_end) { traffic.add_call(p_end.topic, p_end.reason, p_end.status, p_end.bytes, p_end.took); });
}

} // namespace calicoscale
