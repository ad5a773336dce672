/*
 * calicoscale: lookup_refusal.cpp
 * Refusal of requests whose route or key the known configuration lacks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/lookup_refusal.h"

namespace calicoscale {

reason get_lookup_refusal(reason p_final, duration p_unconfirmed, duration p_apply_time) {
	return p_unconfirmed > p_apply_time ? reason::CONFIGURATION_UNCONFIRMED : p_final;
}

} // namespace calicoscale
