/*
 * calicoscale: endpoint_choice.h
 * Which endpoint a request is sent to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_CHOICE_H
#define ENDPOINT_CHOICE_H

#include "main/gateway/admitted_request.h"

#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Chooses the endpoint for each send of one request. */
class endpoint_choice {
	request_services &_services;
	const admitted_request &_request;
	std::vector<prompt_link> _prompt;
	std::vector<endpoint_id> _avoid;
	bool _is_repeat = false;

	/** @param p_for_target Endpoints of a version that the service is moved to, else those of the others. */
	choice_request _make(bool p_for_target) const;
	std::optional<endpoint_id> _choose_among(const choice_request &p_choice, const std::string &p_zone);

public:
	/** @param p_request Is to outlive this. */
	endpoint_choice(request_services &p_services, const admitted_request &p_request);

	/** What an endpoint must be like. */
	choice_request make() const;

	/** The best endpoint for a request whose inputs are in a zone, or nowhere; empty when there is none now. */
	std::optional<endpoint_id> choose(const std::string &p_zone);
	/** Zone of the endpoint that would be chosen now; empty when there is none. */
	std::string choose_zone();
	/** The endpoint with the least at work. */
	std::optional<endpoint_id> choose_quietest() const;

	/** Uses an endpoint again only when no other is left. */
	void avoid(endpoint_id p_endpoint) { _avoid.push_back(p_endpoint); }
	/** The request was sent; what follows is no trial of another version. */
	void set_repeat() { _is_repeat = true; }

	const std::vector<prompt_link> &get_prompt() const { return _prompt; }
};

} // namespace calicoscale

#endif // ENDPOINT_CHOICE_H
