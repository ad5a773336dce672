/*
 * calicoscale: endpoint_limits.h
 * What endpoints that take only so much may be sent by all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_LIMITS_H
#define ENDPOINT_LIMITS_H

#include "servers/gateway/endpoint_rests.h"
#include "servers/gateway/gateway_configuration.h"
#include "servers/gateway/named_limits.h"
#include "servers/gateway/sender_places.h"
#include "servers/routing/endpoint_state.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** How the nodes of a fleet share what an endpoint takes. */
enum class limit_sharing {
	RANKS, ///< Each such endpoint has a few senders: nodes of its zone, ranked by a hash. No node need hear another.
	EVEN, ///< Each node of the fleet may send now and then, as rarely as there are nodes.
};

/** Which part of what an endpoint takes is this node's. */
enum class sender_part {
	SHARE, ///< Other nodes send there as well.
	WHOLE, ///< This node alone does, as the dispatcher of a stage pool.
};

/** When a request may be sent to one of some endpoints. */
struct send_prospect {
	std::optional<duration> wait; ///< Zero when it may be now; empty when this node may send to none as things are.
	std::optional<duration> rest_left; ///< Of the endpoint that has rested soonest; empty when none rests.
};

/**
 * Bounds what this node sends to endpoints that take only so many requests a second from all nodes together. An endpoint that
 * says it is cold bears a rate that its service tells, and collapses well above it; an endpoint in need names its limit in its
 * answers. Of both, the tighter one counts. An endpoint that asked this node for rest gets nothing from it meanwhile.
 *
 * A rate is a number of places within a span, and each place is one request in it. Endpoints without a bound cost one look-up.
 */
class endpoint_limits {
	/** Requests that an endpoint takes within any span. */
	struct rate_bound {
		std::size_t places = 1;
		duration span = std::chrono::seconds(1);
		instant since{};
		bool is_own = false; ///< All places are this node's.
	};

	struct listed_endpoint {
		std::string zone;
		std::string pool;
		network_address address;
	};

	struct cold_time {
		double rate = 0.0; ///< Requests a second.
		duration told = duration::zero(); ///< As its entry said last.
		instant since{};
		instant until{};
	};

	limit_sharing _sharing;
	sender_places _places;
	std::map<endpoint_identity, listed_endpoint> _listed;
	std::map<endpoint_identity, cold_time> _cold;
	named_limits _named;
	endpoint_rests _rests;
	std::uint64_t _held_back = 0;
	std::map<endpoint_identity, std::deque<instant>> _sent; ///< By this node to endpoints with a bound, as long as it counts.

	void _note_cold(const endpoint_identity &p_endpoint, double p_rate, duration p_left, instant p_now);
	std::vector<rate_bound> _get_bounds(const endpoint_identity &p_endpoint, instant p_now) const;
	std::string _find_zone(const endpoint_identity &p_endpoint) const;
	std::size_t _count_soon(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_part p_part);
	std::size_t _count_own(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_part p_part, instant p_now);
	std::optional<duration> _get_wait_by_rank(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_part p_part, instant p_now);
	std::optional<duration> _get_wait_evenly(const endpoint_identity &p_endpoint, const rate_bound &p_bound, instant p_now) const;
	/** Adds when this node's places at an endpoint come free, the next p_most of them. */
	void _add_free_places(const endpoint_identity &p_endpoint, const rate_bound &p_bound, std::size_t p_most, instant p_now, std::vector<instant> &r_free_at);
	static rate_bound _make_named_bound(double p_rate, instant p_since);
	/** Drops what was kept of sends to endpoints that have no bound any more. */
	void _forget_unbounded();

public:
	endpoint_limits(std::string p_vm, std::string p_zone, limit_sharing p_sharing) :
			_sharing(p_sharing), _places(p_vm, std::move(p_zone)), _named(std::move(p_vm)) {}

	/** Takes the list of endpoints. Those whose entry says that they are cold are, from when it was told first. */
	void set_listings(const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now);

	/** An answer of an endpoint said how much longer it is cold. */
	void on_cold(const endpoint_identity &p_endpoint, const gateway_configuration &p_configuration, duration p_left, instant p_now);

	/**
	 * An evacuated zone was taken back: its endpoints count as cold for as long as after a start, as they may have been restarted
	 * meanwhile and their entries may be read a moment later than the operator's record.
	 */
	void on_taken_back(const std::string &p_zone, const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now);

	/** Whom this node shares with. To be called often from its start on, as places count from when they are had. */
	void set_senders(const known_senders &p_senders, instant p_now) { _places.set_senders(p_senders, p_now); }

	/** How long until this node may send an endpoint one request more; empty when it has no place there as things are, or it rests. */
	std::optional<duration> get_wait(const endpoint_identity &p_endpoint, sender_part p_part, instant p_now);

	/** Whether this node may send an endpoint one request more now. */
	bool may_send(const endpoint_identity &p_endpoint, sender_part p_part, instant p_now);

	/** This node sent a request. */
	void on_sent(const endpoint_identity &p_endpoint, instant p_now);

	/**
	 * Forgets endpoints that are warm by now, but for those whose entry still says what it said when it was taken, and limits that
	 * nobody spoke of for long.
	 * @return endpoints whose limit is forgotten.
	 */
	std::vector<endpoint_identity> forget_old(instant p_now);

	/** Endpoints that asked this node for rest. */
	endpoint_rests &get_rests() { return _rests; }
	const endpoint_rests &get_rests() const { return _rests; }

	/** Limits that endpoints name. */
	named_limits &get_named() { return _named; }
	const named_limits &get_named() const { return _named; }

	/**
	 * When a request may be sent to one of these endpoints, as things are.
	 * @param p_before requests that are to be sent to the same ones before it.
	 */
	send_prospect predict(const std::vector<endpoint_identity> &p_endpoints, std::size_t p_before, instant p_now);

	/** The endpoint on the list at an address; empty when there is none. */
	std::optional<endpoint_identity> find_at(const network_address &p_address) const;

	/** Whether any endpoint is bounded, or rests. */
	bool is_any_bounded() const { return !_cold.empty() || !_named.is_empty() || _rests.count() > 0; }

	/** Sends to endpoints that were held back by what the endpoint takes, once for each time that may_send() said no. */
	std::uint64_t get_held_back() const { return _held_back; }

	/** How many endpoints are cold. */
	std::size_t get_cold_count(instant p_now) const;
};

} // namespace calicoscale

#endif // ENDPOINT_LIMITS_H
