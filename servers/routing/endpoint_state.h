/*
 * calicoscale: endpoint_state.h
 * What this node knows of one endpoint.
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

/** Identity of an endpoint inside one process; never reused. */
using endpoint_id = std::uint64_t;

/** An IPv4 address and a port. */
struct network_address {
	std::string host;
	std::uint16_t port = 0;
	bool operator==(const network_address &p_other) const = default;
};

/** Writes "host:port". */
std::string to_string(const network_address &p_address);
/** Reads "host:port"; port 0 when the text is malformed. */
network_address parse_network_address(std::string_view p_text);

/** One endpoint as the platform's list tells it. */
struct endpoint_listing {
	std::string vm;
	std::uint64_t incarnation = 0; ///< See endpoint_identity.
	std::string zone;
	std::string pool;
	network_address address;
	label_set labels;
	std::string version; ///< Of its software; empty when it is not told.
	bool leaving = false;
	duration cold_left = duration::zero(); ///< How much longer it is cold, as of when it was told.
	bool operator==(const endpoint_listing &p_other) const = default;

	endpoint_identity get_identity() const { return endpoint_identity{ vm, incarnation }; }
};

/** Load as an endpoint reports it. */
struct endpoint_load {
	double running = 0.0; ///< Requests being worked on.
	double queued = 0.0; ///< Requests waiting at the endpoint.
	instant taken_at{}; ///< When the endpoint measured it, on this node's time line.
};

/** Endpoint with all that was learnt about it. */
struct endpoint_state {
	endpoint_id id = 0;
	endpoint_listing listing;
	bool listed = true; ///< Still on the platform's list.
	bool leaving = false; ///< One way, for this incarnation.
	bool drained = false; ///< A drain rule matches.
	bool evacuated = false; ///< Its availability zone is.
	int in_flight = 0; ///< Attempts of this node.
	double slowness = 1.0; ///< Service time over what is usual in the pool for the size; 1 is usual.
	instant slowness_at{};
	double error_share = 0.0; ///< Faded share of attempts that failed.
	instant errors_at{};
	int consecutive_failures = 0;
	int ejection_count = 0; ///< In a row; sets the back-off.
	instant ejected_until{};
	bool ejected = false;
	bool trial_open = false; ///< One attempt tries whether it may come back.
	bool has_report = false;
	endpoint_load report;

	/** Whether new work may go here, ejection aside. */
	bool is_open() const { return listed && !leaving && !drained && !evacuated; }

	/** Slowness after its memory has faded towards usual. */
	double get_slowness(instant p_now) const;

	/** Share of attempts that failed, faded with time. */
	double get_error_share(instant p_now) const;

	/** Own attempts and, faded by the age of the report, those of other nodes. */
	double get_load(instant p_now) const;
};

} // namespace calicoscale

#endif // ENDPOINT_STATE_H
