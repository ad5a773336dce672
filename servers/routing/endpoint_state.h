/*
 * calicoscale: endpoint_state.h
 * State of one endpoint as this node knows it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_STATE_H
#define ENDPOINT_STATE_H

#include "core/labels.h"
#include "core/time.h"
#include "servers/routing/endpoint_identity.h"

#include <cstdint>
#include <string>

namespace calicoscale {

/** Identifies an endpoint incarnation inside this process; never reused. */
using endpoint_id = std::uint64_t;

/** An IPv4 address and a port. */
struct network_address {
	std::string host;
	std::uint16_t port = 0;
	bool operator==(const network_address &p_other) const = default;
};

/** Formats as "host:port". */
std::string to_string(const network_address &p_address);
/** Parses "host:port"; the port is 0 if the text is malformed. */
network_address parse_network_address(std::string_view p_text);

/** Entry of the platform's list of endpoints. */
struct endpoint_listing {
	std::string vm;
	std::uint64_t incarnation = 0; ///< See endpoint_identity.
	std::string zone;
	std::string pool;
	network_address address;
	label_set labels;
	std::string version; ///< Version of the endpoint's software; empty if not reported.
	bool leaving = false;
	duration cold_left = duration::zero(); ///< Remaining time until it is warm, as of when the list was sent.
	bool operator==(const endpoint_listing &p_other) const = default;

	endpoint_identity get_identity() const { return endpoint_identity{ vm, incarnation }; }
};

/** Load as reported by an endpoint. */
struct endpoint_load {
	double running = 0.0; ///< Requests being executed.
	double queued = 0.0; ///< Requests queued at the endpoint.
	instant taken_at{}; ///< When the endpoint measured it, on this node's clock.
};

/** An endpoint with its list entry and everything that this node has observed of it. */
struct endpoint_state {
	endpoint_id id = 0;
	endpoint_listing listing;
	bool listed = true; ///< Still on the platform's list.
	bool leaving = false; ///< Never reset for this incarnation.
	bool drained = false; ///< A drain rule matches.
	bool evacuated = false; ///< Its availability zone is evacuated.
	int in_flight = 0; ///< Open attempts of this node.
	double slowness = 1.0; ///< Service time divided by the typical one in the pool for the request's size, smoothed; 1 is typical.
	instant slowness_at{}; ///< When slowness was last updated.
	double error_share = 0.0; ///< Exponentially decaying share of attempts that failed.
	instant errors_at{}; ///< When error_share was last updated.
	int consecutive_failures = 0;
	int ejection_count = 0; ///< Ejections without a success in between; determines the back-off.
	instant ejected_until{}; ///< From then on one attempt may test whether the endpoint works again.
	bool ejected = false;
	bool probe_in_flight = false; ///< The attempt that tests an ejected endpoint is in flight; no second one is sent meanwhile.
	bool has_report = false;
	endpoint_load report;

	/** Returns whether new work may be sent here, without regard to ejection. */
	bool is_open() const { return listed && !leaving && !drained && !evacuated; }

	/** Returns the slowness, decayed towards 1 since its last update. */
	double get_slowness(instant p_now) const;

	/** Returns the share of failed attempts, decayed towards 0 since its last update. */
	double get_error_share(instant p_now) const;

	/** Returns the open attempts of this node plus those of other nodes, which decay with the age of the endpoint's report. */
	double get_load(instant p_now) const;
};

} // namespace calicoscale

#endif // ENDPOINT_STATE_H
