/*
 * calicoscale: endpoint_selector.h
 * Chooses the endpoint that a request is sent to.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_SELECTOR_H
#define ENDPOINT_SELECTOR_H

#include "main/gateway/admitted_request.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** Chooses the endpoint for each send of one request. */
class endpoint_selector {
	request_services &_services;
	const admitted_request &_request;
	std::vector<prompt_link> _prompt;
	std::vector<endpoint_id> _avoid;
	bool _is_repeat = false;

	/** @param p_for_target Whether to choose among endpoints of the version that the service is being moved to, or among the others. */
	choice_request _make(bool p_for_target) const;
	/** Whether the request may be sent to the target version of its service's roll-out. A resumed stream keeps the selection of the attempt that began it. */
	bool _is_for_target() const;
	/** Whether the request is a new stream that must begin at a recorded version; see origin_sync. */
	bool _needs_recorded_version() const;
	/** Admits recorded versions only, unless none of them has an open endpoint. */
	void _prefer_recorded_versions(choice_request &r_choice) const;
	std::optional<endpoint_id> _choose_among(const choice_request &p_choice, const std::string &p_zone);

public:
	/** @param p_request Must outlive this object. */
	endpoint_selector(request_services &p_services, const admitted_request &p_request);

	/** Describes the endpoints that the request may be sent to. */
	choice_request make() const;

	/**
	 * Returns the best endpoint now, if any.
	 * @param p_zone Zone of the request's inputs; empty if they are in no particular zone.
	 */
	std::optional<endpoint_id> choose(const std::string &p_zone);
	/** Whether some endpoint may get the request, now or once its limit allows. */
	bool has_open() const;
	/** Whether an endpoint outside some zones may get the request now. */
	bool has_usable_outside(const std::set<std::string> &p_zones) const;
	/** Returns the zone of the endpoint that would be chosen now; empty if there is none. */
	std::string choose_zone();
	/** Returns the usable endpoint with the fewest requests in flight, if any. */
	std::optional<endpoint_id> choose_quietest() const;

	/** Chooses an endpoint again only if no other is left. */
	void avoid(endpoint_id p_endpoint) { _avoid.push_back(p_endpoint); }
	/** Marks further sends as repeats, which are not used to try the target version of a roll-out. */
	void set_repeat() { _is_repeat = true; }

	const std::vector<prompt_link> &get_prompt() const { return _prompt; }
};

} // namespace calicoscale

#endif // ENDPOINT_SELECTOR_H
