/*
 * calicoscale: router.h
 * Endpoint table and selection of an endpoint for an attempt.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROUTER_H
#define ROUTER_H

#include "core/random_source.h"
#include "core/verdict.h"
#include "servers/routing/endpoint_group.h"
#include "servers/routing/routing_policy.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** Requirements of an attempt on its endpoint. */
struct choice_request {
	std::string pool;
	selector endpoints; ///< From steering rules; an empty one admits the whole pool.
	std::uint64_t affinity_key = 0; ///< 0 for no affinity.
	std::vector<endpoint_id> avoid; ///< Already tried endpoints; chosen again only if no other is available.
	std::function<bool(const endpoint_listing &)> admits; ///< Endpoints that it rejects are never chosen; empty admits all.
};

/** Returns whether one more request may be sent to an endpoint now. */
using send_limit = std::function<bool(const endpoint_identity &, instant)>;

/** Outcome and timing of an attempt, for the router's estimates. */
struct attempt_observation {
	outcome result;
	duration elapsed = duration::zero();
	duration typical = duration::zero(); ///< Typical time for the request's size in this pool; zero if unknown.
};

/** Settings of the router from the configuration. */
struct router_settings {
	routing_policy policy = routing_policy::PREDICTED_FINISH;
	double max_ejected_share = 0.5;
	/** Consecutive connection failures until an endpoint is ejected; 1 where connecting has a short time-out. */
	int connect_failures_to_eject = 5;
	std::vector<selector> drains; ///< Endpoints that match any of them get no new work.
};

/** Change of an endpoint's state, for logs, metrics and the time line. */
struct endpoint_change {
	enum class kind {
		ADDED,
		REMOVED,
		LEAVING,
		EJECTED,
		READMITTED,
		REPLACED, ///< A later incarnation is on the list; reported immediately, though attempts at the earlier one may still run.
	};
	kind what = kind::ADDED;
	endpoint_identity endpoint;
	std::string pool;
};

/** Name of a change, e.g. "ejected". */
std::string_view get_name(endpoint_change::kind p_kind);

/**
 * Table of endpoints that selects one for each attempt. The caller passes the current time.
 * An endpoint is eligible if it is on the list, isn't leaving or drained, isn't in an evacuated zone and is within its limit.
 * Ejected endpoints are chosen only if no other is eligible.
 */
class router {
	std::string _zone;
	random_source _random;
	router_settings _settings;
	std::map<endpoint_id, std::unique_ptr<endpoint_state>> _endpoints;
	std::map<std::string, endpoint_id> _by_vm; ///< Newest incarnation of each VM.
	std::map<std::string, std::uint64_t> _leaving_marks; ///< Highest leaving incarnation of each VM.
	std::unordered_map<std::string, endpoint_group> _groups;
	endpoint_id _next_id = 1;
	std::vector<endpoint_listing> _last_listings;
	std::vector<endpoint_change> _changes;

	void _record_change(endpoint_change::kind p_kind, const endpoint_state &p_endpoint);
	bool _is_marked_leaving(const std::string &p_vm, std::uint64_t p_incarnation) const;
	void _add(const endpoint_listing &p_listing);
	void _update(endpoint_state &p_endpoint, const endpoint_listing &p_listing);
	bool _is_same(const endpoint_state &p_endpoint, const endpoint_listing &p_listing) const;
	void _remove_unlisted();
	bool _is_drained(const endpoint_state &p_endpoint) const;
	endpoint_group &_get_group(const choice_request &p_request);
	std::set<std::string> _unreached_zones;
	std::set<std::string> _evacuated_zones;
	send_limit _limit;

	bool _is_allowed(const endpoint_state &p_endpoint, const choice_request &p_request, instant p_now) const;
	bool _may_try(const endpoint_state &p_endpoint, const choice_request &p_request, instant p_now) const;
	endpoint_state *_choose_by_affinity(const endpoint_group &p_group, const choice_request &p_request, instant p_now);
	endpoint_state *_choose_by_policy(endpoint_group &r_group, const std::function<bool(const endpoint_state &)> &p_usable, instant p_now);
	endpoint_state *_choose_any(endpoint_group &r_group, const choice_request &p_request, instant p_now);
	void _update_slowness(endpoint_state &p_endpoint, double p_sample, instant p_now);
	void _update_error_share(endpoint_state &p_endpoint, double p_sample, instant p_now);
	void _on_success(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	void _on_cancelled(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	void _on_failure(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	bool _may_eject(const endpoint_state &p_endpoint) const;
	void _eject(endpoint_state &p_endpoint, instant p_now);

public:
	/**
	 * @param p_zone the node's own zone.
	 * @param p_seed seed of the random choices.
	 */
	router(std::string p_zone, std::uint64_t p_seed);

	void set_settings(router_settings p_settings);

	/** Sets the zones whose endpoints are chosen only if no other is available. */
	void set_unreachable_zones(std::set<std::string> p_zones) { _unreached_zones = std::move(p_zones); }

	/** Sets the zones whose endpoints get no new attempts; running attempts continue. */
	void set_evacuated_zones(const std::set<std::string> &p_zones);

	/** Sets the limit on sends to each endpoint; empty for none. */
	void set_limit(send_limit p_limit) { _limit = std::move(p_limit); }

	/**
	 * Replaces the list. Endpoints that are no longer listed get no new attempts; their running attempts continue. A later
	 * incarnation of an endpoint starts without the estimates of the earlier one.
	 */
	void set_listings(const std::vector<endpoint_listing> &p_listings);

	/** Marks an incarnation and all earlier ones as leaving; never undone. Returns whether the mark is new. */
	bool mark_leaving(const std::string &p_vm, std::uint64_t p_incarnation);

	/** Highest leaving incarnation of each VM, to be sent to peers. */
	const std::map<std::string, std::uint64_t> &get_leaving_marks() const { return _leaving_marks; }

	/** Stores a load report of an endpoint; ignored if the endpoint is unknown. */
	void apply_report(endpoint_id p_endpoint, const endpoint_load &p_report);

	/** Chooses an endpoint; empty if the pool has no open one. Doesn't count the attempt: see on_attempt_started. */
	std::optional<endpoint_id> choose(const choice_request &p_request, instant p_now);

	/** Returns the endpoints that may be tried now, without those to avoid; if there are none, all eligible ones including ejected ones. */
	std::vector<const endpoint_state *> get_usable(const choice_request &p_request, instant p_now);

	/** Returns all open endpoints, including those whose limit is currently reached. */
	std::vector<endpoint_identity> get_open(const choice_request &p_request);

	/** Returns whether the pool has listed endpoints that aren't leaving, but all are evacuated or not admitted, so nothing can be sent. */
	bool has_no_admitted_endpoint(const choice_request &p_request) const;

	/** Counts an attempt that was started. */
	void on_attempt_started(endpoint_id p_endpoint, instant p_now);

	/** Updates the estimates with a finished attempt. A cancelled one can only raise the endpoint's slowness. */
	void on_attempt_ended(endpoint_id p_endpoint, const attempt_observation &p_observation, instant p_now);

	/** Returns an endpoint by its id; nullptr if it was removed. */
	const endpoint_state *find(endpoint_id p_endpoint) const;

	/** Returns the newest incarnation of a VM; nullptr if unknown. */
	const endpoint_state *find_vm(const std::string &p_vm) const;

	/** Returns the number of open endpoints in a pool that match a selector. */
	std::size_t count_open(const std::string &p_pool, const selector &p_endpoints);

	/** Calls p_hook for each known endpoint. */
	void for_each(const std::function<void(const endpoint_state &)> &p_hook) const;

	/** Returns the changes since the last call and clears them. */
	std::vector<endpoint_change> take_changes();
};

} // namespace calicoscale

#endif // ROUTER_H
