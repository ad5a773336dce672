/*
 * calicoscale: admitted_request.cpp
 * A request whose route and customer are known, and the services that all requests share.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/admitted_request.h"

#include "core/digest.h"

namespace calicoscale {

namespace {

/** Assumed from a send to an engine's first event until some were seen. */
constexpr duration FIRST_EVENT_TIME = std::chrono::milliseconds(150);

} // namespace

duration get_first_event_time(const request_services &p_services, const std::string &p_route) {
	const auto known = p_services.first_event_times.find(p_route);
	return known == p_services.first_event_times.end() ? FIRST_EVENT_TIME : known->second;
}

bool is_engine(const admitted_request &p_request) {
	const gateway_service *service = p_request.configuration->find_service(p_request.service);
	return service != nullptr && service->is_engine;
}

router &get_router(const request_services &p_services, const admitted_request &p_request) {
	return is_engine(p_request) ? p_services.engines : p_services.services;
}

duration get_answer_time(const request_services &p_services, const admitted_request &p_request) {
	if (is_engine(p_request)) {
		return get_first_event_time(p_services, p_request.route->name);
	}
	const auto typical = p_services.typical_times.find(p_request.service);
	return typical == p_services.typical_times.end() ? duration::zero() : typical->second;
}

choice_request make_choice(const gateway_context &p_context, const admitted_request &p_request) {
	choice_request choice;
	choice.pool = p_request.service;
	if (p_request.homes.is_bound() || p_request.stream_version) {
		choice.admits = [&p_context, homes = p_request.homes, version = p_request.stream_version](const endpoint_listing &p_listing) {
			return homes.admits(p_listing.zone, p_context.settings.regions) && (!version || p_listing.version == *version);
		};
	}
	return choice;
}

request_content get_content(const admitted_request &p_request) {
	const http_head &head = p_request.exchange->head;
	const std::string *host = head.find("Host");
	const std::string_view customer = p_request.customer == nullptr ? std::string_view() : std::string_view(p_request.customer->name);
	request_content content{ head.method, host == nullptr ? std::string_view() : std::string_view(*host), head.target, customer, p_request.exchange->body, {} };
	for (std::size_t i = 0; i + 1 < p_request.facts.prompt.size(); i++) {
		content.parts.push_back(p_request.facts.prompt[i].id);
	}
	return content;
}

int get_priority(const admitted_request &p_request) {
	const bool has_own = p_request.customer != nullptr && p_request.customer->priority;
	return has_own ? *p_request.customer->priority : p_request.route->priority;
}

std::vector<prompt_link> make_prompt_links(const admitted_request &p_request) {
	std::vector<prompt_link> links;
	std::uint64_t chain = 0;
	for (const prompt_part &part : p_request.facts.prompt) {
		chain = hash_bytes(part.id, chain + 1);
		links.push_back(prompt_link{ chain, part.tokens });
	}
	return links;
}

} // namespace calicoscale
