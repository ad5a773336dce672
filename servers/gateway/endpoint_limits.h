/*
 * calicoscale: endpoint_limits.h
 * Rate limits for endpoints that accept only a bounded number of requests from all nodes together.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_LIMITS_H
#define ENDPOINT_LIMITS_H

#include "servers/gateway/advertised_limits.h"
#include "servers/gateway/endpoint_backoffs.h"
#include "servers/gateway/gateway_configuration.h"
#include "servers/gateway/sender_slots.h"
#include "servers/routing/endpoint_state.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** How the nodes of a fleet share the rate that an endpoint accepts. */
enum class limit_sharing {
	RANKS, ///< A few nodes of the endpoint's zone, ranked by a hash, send to it. Works without communication between nodes.
	EVEN, ///< All nodes send to it, each at the rate divided by the number of nodes.
};

/** Which share of an endpoint's rate this node may use. */
enum class sender_share {
	SHARE, ///< A share, as other nodes send there as well.
	FULL, ///< The whole rate, as only this node sends there; for the dispatcher of a stage pool.
};

/** When a request may be sent to one of some endpoints. */
struct send_prospect {
	std::optional<duration> wait; ///< Zero when it may be sent now; empty when this node currently may send to none of them.
	std::optional<duration> backoff_left; ///< Shortest remaining back-off of the endpoints; empty when none is backed off.
};

/**
 * Bounds the requests that this node sends to endpoints that accept only a bounded rate from all nodes together. A cold
 * endpoint, one that has recently started, supports the rate set for its service and collapses well above it. An overloaded
 * endpoint advertises a limit in its answers. The tighter of both bounds applies. While an endpoint has requested a back-off
 * from this node, this node sends it nothing.
 *
 * A rate is a number of slots within a time span; each slot is the right to send one request within the span. Checking an
 * endpoint without a bound costs one look-up.
 */
class endpoint_limits {
	/** Requests that an endpoint accepts within any time span of a length. */
	struct rate_bound {
		std::size_t slots = 1;
		duration span = std::chrono::seconds(1);
		instant since{};
		bool is_own = false; ///< This node has all slots.
	};

	struct listed_endpoint {
		std::string zone;
		std::string pool;
		network_address address;
	};

	struct cold_time {
		double rate = 0.0; ///< Requests a second.
		duration reported = duration::zero(); ///< Remaining cold time according to the endpoint's last list entry.
		instant since{};
		instant until{};
	};

	limit_sharing _sharing;
	sender_slots _slots;
	std::map<endpoint_identity, listed_endpoint> _listed;
	std::map<endpoint_identity, cold_time> _cold;
	advertised_limits _advertised;
	endpoint_backoffs _backoffs;
	std::uint64_t _deferred_count = 0;
	std::map<endpoint_identity, std::deque<instant>> _sent_at; ///< Times of this node's sends to bounded endpoints, within the longest span.

	void _set_cold(const endpoint_identity &p_endpoint, double p_rate, duration p_left, instant p_now);
	std::vector<rate_bound> _get_bounds(const endpoint_identity &p_endpoint, instant p_now) const;
	std::string _find_zone(const endpoint_identity &p_endpoint) const;
	std::size_t _count_soon(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share);
	std::size_t _count_own(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share, instant p_now);
	std::optional<duration> _get_wait_by_rank(const endpoint_identity &p_endpoint, const rate_bound &p_bound, sender_share p_share, instant p_now);
	std::optional<duration> _get_wait_evenly(const endpoint_identity &p_endpoint, const rate_bound &p_bound, instant p_now) const;
	/** Appends the times at which this node's next p_max slots at an endpoint become free. */
	void _add_free_slots(const endpoint_identity &p_endpoint, const rate_bound &p_bound, std::size_t p_max, instant p_now, std::vector<instant> &r_free_at);
	static rate_bound _make_advertised_bound(double p_rate, instant p_since);
	/** Removes the stored sends to endpoints that have no bound any more. */
	void _forget_unbounded();

public:
	endpoint_limits(std::string p_vm, std::string p_zone, limit_sharing p_sharing) :
			_sharing(p_sharing), _slots(p_vm, std::move(p_zone)), _advertised(std::move(p_vm)) {}

	/** Sets the list of endpoints. An entry's remaining cold time counts from when this node first received it. */
	void set_listings(const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now);

	/** Applies the remaining cold time from an endpoint's answer. */
	void on_cold(const endpoint_identity &p_endpoint, const gateway_configuration &p_configuration, duration p_left, instant p_now);

	/**
	 * Treats the endpoints of a zone whose evacuation was ended as cold, for as long as after a start: they may have been
	 * restarted meanwhile, and their entries may be read slightly later than the operator's record.
	 */
	void on_zone_restored(const std::string &p_zone, const std::vector<endpoint_listing> &p_listings, const gateway_configuration &p_configuration, instant p_now);

	/**
	 * Sets the nodes that share the rates. Call it often from the node's start on, as a slot may be used only some time after it
	 * was assigned.
	 */
	void set_senders(const known_senders &p_senders, instant p_now) { _slots.set_senders(p_senders, p_now); }

	/** Returns the time until this node may send an endpoint another request; empty when it has no slot or the endpoint is backed off. */
	std::optional<duration> get_wait(const endpoint_identity &p_endpoint, sender_share p_share, instant p_now);

	/** Returns whether this node may send an endpoint another request now, and counts the refusals. */
	bool may_send(const endpoint_identity &p_endpoint, sender_share p_share, instant p_now);

	/** Records that this node sent a request. */
	void on_sent(const endpoint_identity &p_endpoint, instant p_now);

	/**
	 * Removes endpoints that are no longer cold, except those whose entry still has the cold time that was applied, and limits
	 * that haven't been reported for long.
	 * @return endpoints whose limit was removed.
	 */
	std::vector<endpoint_identity> forget_old(instant p_now);

	/** Endpoints that requested a back-off from this node. */
	endpoint_backoffs &get_backoffs() { return _backoffs; }
	const endpoint_backoffs &get_backoffs() const { return _backoffs; }

	/** Limits that endpoints advertise. */
	advertised_limits &get_advertised() { return _advertised; }
	const advertised_limits &get_advertised() const { return _advertised; }

	/**
	 * Predicts when a request may be sent to one of these endpoints, from the current bounds.
	 * @param p_before number of queued requests to the same endpoints that come before it.
	 */
	send_prospect predict(const std::vector<endpoint_identity> &p_endpoints, std::size_t p_before, instant p_now);

	/** Returns the listed endpoint at an address; empty when there is none. */
	std::optional<endpoint_identity> find_at(const network_address &p_address) const;

	/** Returns whether any endpoint is bounded or backed off. */
	bool is_any_bounded() const { return !_cold.empty() || !_advertised.is_empty() || _backoffs.count() > 0; }

	/** Returns how often may_send() has returned false. */
	std::uint64_t get_deferred_count() const { return _deferred_count; }

	std::size_t get_cold_count(instant p_now) const;
};

} // namespace calicoscale

#endif // ENDPOINT_LIMITS_H
