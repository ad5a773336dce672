/*
 * calicoscale: admitted_request.h
 * A request whose route and customer are known, and the services that all requests share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADMITTED_REQUEST_H
#define ADMITTED_REQUEST_H

#include "drivers/caller_server.h"
#include "main/gateway/answer_buffers.h"
#include "main/gateway/endpoint_exchanges.h"
#include "main/gateway/origin_sync.h"
#include "main/gateway/prompt_sync.h"
#include "main/gateway/send_permit.h"
#include "main/gateway/stage_dispatcher.h"
#include "main/gateway/stream_sync.h"
#include "platform/request_codec.h"
#include "servers/gateway/engine_view.h"
#include "servers/gateway/retry_budget.h"
#include "servers/routing/router.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace calicoscale {

/** Services and state that all requests share. */
struct request_services {
	gateway_context &context;
	gateway_fleet &fleet;
	endpoint_follower &endpoints;
	endpoint_exchanges &exchanges;
	stage_dispatcher &dispatcher;
	router &services; ///< Endpoints of plain services, own zone first.
	router &engines; ///< Engines of all zones, chosen by shared prefixes of prompts.
	retry_budget &repeats; ///< Limit on repeated sends.
	std::map<std::string, duration> &typical_times; ///< Typical answer times, by service.
	commitment_table &commitments;
	engine_view &engine_caches;
	prompt_sync &prompts;
	crash_guard &crashes;
	stream_sync &streams;
	origin_sync &origins;
	std::map<std::string, duration> &first_event_times; ///< Typical time from the send to the first event, by route.
	send_guard &guard;
	answer_buffers &buffers;
};

/** Typical time from the send to the first event of a route's answers. */
duration get_first_event_time(const request_services &p_services, const std::string &p_route);

/** A request that was admitted: its route and customer are known. */
struct admitted_request {
	std::shared_ptr<caller_exchange> exchange;
	std::shared_ptr<const gateway_configuration> configuration;
	const gateway_route *route = nullptr;
	const gateway_customer *customer = nullptr; ///< nullptr for public routes.
	std::string service;
	home_regions homes;
	caller_request facts;
	std::string stream_attempt; ///< The attempt that began the request's stream; this one if it begins a stream itself.
	std::optional<std::string> stream_version; ///< Software version that began the stream, which no other may continue; empty before its first event.
	duration predicted = duration::zero(); ///< Time until the answer begins, as predicted at admission; zero without stages.
};

/** Whether the endpoints of a request's service are engines. */
bool is_engine(const admitted_request &p_request);

/** Endpoints of a request's service. */
router &get_router(const request_services &p_services, const admitted_request &p_request);

/** Typical time from the send until the answer begins, or until it is complete if it is not a stream. Zero if unknown. */
duration get_answer_time(const request_services &p_services, const admitted_request &p_request);

/** Describes the endpoints of a service that a request may be sent to. */
choice_request make_choice(const gateway_context &p_context, const admitted_request &p_request);

/** Content that identifies a request when it is sent again. */
request_content get_content(const admitted_request &p_request);

/** Priority of a request: that of its customer or, without one, of its route. */
int get_priority(const admitted_request &p_request);

/** Links of a request's prompt. Each link depends on all those before it. */
std::vector<prompt_link> make_prompt_links(const admitted_request &p_request);

} // namespace calicoscale

#endif // ADMITTED_REQUEST_H
