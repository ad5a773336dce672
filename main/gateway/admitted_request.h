/*
 * calicoscale: admitted_request.h
 * A request whose route and customer are known, and what all requests share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADMITTED_REQUEST_H
#define ADMITTED_REQUEST_H

#include "drivers/caller_server.h"
#include "main/gateway/prompt_exchange.h"
#include "main/gateway/send_permit.h"
#include "main/gateway/stage_dispatcher.h"
#include "platform/request_codec.h"
#include "servers/gateway/engine_view.h"
#include "servers/gateway/retry_window.h"
#include "servers/routing/router.h"

#include <map>
#include <memory>
#include <string>

namespace calicoscale {

/** What requests share. */
struct request_services {
	gateway_context &context;
	gateway_fleet &fleet;
	endpoint_follower &endpoints;
	stage_dispatcher &dispatcher;
	router &services; ///< Endpoints of plain services, own zone first.
	router &engines; ///< Engines of all zones, by shared parts of prompts.
	std::map<std::string, retry_window> &repeats; ///< By service.
	std::map<std::string, duration> &usual_times; ///< Of answers, by service.
	commitment_table &commitments;
	engine_view &engine_caches;
	prompt_exchange &prompts;
	crash_guard &crashes;
	std::map<std::string, duration> &first_event_times; ///< From the send to the first event, by route.
	send_guard &guard;
};

/** Usual time from the send to the first event of a route's answers. */
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
	duration predicted = duration::zero(); ///< Until the answer begins, as it was when the request was admitted; zero without stages.
};

/** Whether a request's service is made of engines. */
bool is_engine(const admitted_request &p_request);

/** Endpoints of a request's service. */
router &get_router(const request_services &p_services, const admitted_request &p_request);

/** Usual time from the send until the answer begins, or is there when it is no stream; zero while it is not known. */
duration get_answer_time(const request_services &p_services, const admitted_request &p_request);

/** Which endpoints of a service a request may go to. */
choice_request make_choice(const gateway_context &p_context, const admitted_request &p_request);

/** What comes again with a request. */
request_content get_content(const admitted_request &p_request);

/** Priority of a request: its customer's, or else its route's. */
int get_priority(const admitted_request &p_request);

/** The links of a request's prompt, each with all before it. */
std::vector<prompt_link> make_prompt_links(const admitted_request &p_request);

} // namespace calicoscale

#endif // ADMITTED_REQUEST_H
