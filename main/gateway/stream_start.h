/*
 * calicoscale: stream_start.h
 * Records which version began a stream, for nodes at which the caller may resume it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_START_H
#define STREAM_START_H

#include "main/gateway/admitted_request.h"

namespace calicoscale {

/**
 * Records the origin of a stream as its first event is passed to the caller.
 * @param p_request its service and stream_version are the origin. @param p_deadline until when the caller waits.
 */
void record_stream_start(request_services &p_services, const admitted_request &p_request, const endpoint_identity &p_endpoint, instant p_deadline);

} // namespace calicoscale

#endif // STREAM_START_H
