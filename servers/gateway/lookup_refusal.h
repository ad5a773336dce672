/*
 * calicoscale: lookup_refusal.h
 * Refusal of requests whose route or key the known configuration lacks.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOOKUP_REFUSAL_H
#define LOOKUP_REFUSAL_H

#include "core/time.h"
#include "core/verdict.h"

namespace calicoscale {

/**
 * Returns the reason to report to a caller whose route or key the known configuration lacks. A configuration that was confirmed within the
 * time in which a change must be in force justifies a final refusal. An older one may lack a change that is in force elsewhere, so the
 * caller is asked to retry.
 * @param p_final reason of the final refusal.
 * @param p_unconfirmed time since the configuration was last confirmed as the newest.
 * @param p_apply_time time within which a change must be in force.
 */
reason get_lookup_refusal(reason p_final, duration p_unconfirmed, duration p_apply_time);

} // namespace calicoscale

#endif // LOOKUP_REFUSAL_H
