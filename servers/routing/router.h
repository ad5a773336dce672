/*
 * calicoscale: router.h
 * Endpoint table and the choice of an endpoint for an attempt.
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

/** What an attempt needs of an endpoint. */
struct choice_request {
	std::string pool;
	selector endpoints; ///< From steering rules; empty admits the whole pool.
	std::uint64_t affinity_key = 0; ///< 0 asks for no affinity.
	std::vector<endpoint_id> avoid; ///< Tried before; used again only when no other is left.
	std::function<bool(const endpoint_listing &)> admits; ///< Others are never chosen; empty admits all.
};

/** Whether an endpoint may be sent one request more now. */
using send_limit = std::function<bool(const endpoint_identity &, instant)>;

/** How an attempt at an endpoint ended, as far as routing cares. */
struct attempt_observation {
	outcome result;
	duration elapsed = duration::zero();
	duration usual = duration::zero(); ///< Usual time for the size in this pool; zero when unknown.
};

/** Settings of the router that come with the configuration. */
struct router_settings {
	routing_policy policy = routing_policy::PREDICTED_FINISH;
	double max_ejected_share = 0.5;
	/** Connections that fail in a row until an endpoint is ejected; 1 where connecting has a short time-out. */
	int connect_failures_to_eject = 5;
	std::vector<selector> drains;
};

/** Change of an endpoint's standing, for logs, metrics and the time line. */
struct endpoint_change {
	enum class kind {
		ADDED,
		REMOVED,
		LEAVING,
		EJECTED,
		READMITTED,
		REPLACED, ///< A later start of it is on the list; reported at once, though attempts may still run.
	};
	kind what = kind::ADDED;
	endpoint_identity endpoint;
	std::string pool;
};

/** Name of a change, e.g. "ejected". */
std::string_view get_name(endpoint_change::kind p_kind);

/**
 * Knows the endpoints and chooses among them. Not told the time except with each call.
 * Rules of eligibility: on the list, not leaving, not drained, not in an evacuated zone, within its limit; not ejected unless
 * nothing else is left.
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

	void _note(endpoint_change::kind p_kind, const endpoint_state &p_endpoint);
	bool _has_left(const std::string &p_vm, std::uint64_t p_incarnation) const;
	void _add(const endpoint_listing &p_listing);
	void _update(endpoint_state &p_endpoint, const endpoint_listing &p_listing);
	bool _is_same(const endpoint_state &p_endpoint, const endpoint_listing &p_listing) const;
	void _forget_idle();
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
	void _learn_slowness(endpoint_state &p_endpoint, double p_sample, instant p_now);
	void _learn_errors(endpoint_state &p_endpoint, double p_sample, instant p_now);
	void _on_success(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	void _on_cancelled(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	void _on_failure(endpoint_state &p_endpoint, const attempt_observation &p_observation, instant p_now);
	bool _may_eject(const endpoint_state &p_endpoint) const;
	void _eject(endpoint_state &p_endpoint, instant p_now);

public:
	/** @param p_zone the node's own zone. @param p_seed for the random choices. */
	router(std::string p_zone, std::uint64_t p_seed);

	/** Puts new settings in force. */
	void set_settings(router_settings p_settings);

	/** Zones whose endpoints are chosen only when no other is left. */
	void set_unreached_zones(std::set<std::string> p_zones) { _unreached_zones = std::move(p_zones); }

	/** Zones whose endpoints get nothing new; attempts at them go on. */
	void set_evacuated_zones(const std::set<std::string> &p_zones);

	/** Sets what bounds the sends to each endpoint; empty for no bound. */
	void set_limit(send_limit p_limit) { _limit = std::move(p_limit); }

	/**
	 * Replaces the list. Endpoints gone from it get no new work; their attempts go on. A later start of an endpoint begins
	 * with nothing that was learnt of the earlier one.
	 */
	void set_listings(const std::vector<endpoint_listing> &p_listings);

	/** Marks an incarnation, and all before it, as leaving; never undone. Returns whether that was news. */
	bool mark_leaving(const std::string &p_vm, std::uint64_t p_incarnation);

	/** All leaving marks, to tell peers. */
	const std::map<std::string, std::uint64_t> &get_leaving_marks() const { return _leaving_marks; }

	/** Takes in a load report. */
	void take_report(endpoint_id p_endpoint, const endpoint_load &p_report);

	/** Chooses an endpoint; empty when the pool has no open one. Counts nothing: see on_attempt_started. */
	std::optional<endpoint_id> choose(const choice_request &p_request, instant p_now);

	/** Endpoints of a pool that may be tried now, without those to avoid; all that are allowed when none is left. */
	std::vector<const endpoint_state *> get_usable(const choice_request &p_request, instant p_now);

	/** Endpoints that are open, be it that the limit of some is reached just now. */
	std::vector<endpoint_identity> get_open(const choice_request &p_request);

	/** Whether the pool has endpoints that stay, and all of them are evacuated or not admitted: nothing can be sent there. */
	bool is_closed_off(const choice_request &p_request) const;

	/** An attempt was started. */
	void on_attempt_started(endpoint_id p_endpoint, instant p_now);

	/** An attempt ended; a cancelled one teaches at most that the endpoint is slow. */
	void on_attempt_ended(endpoint_id p_endpoint, const attempt_observation &p_observation, instant p_now);

	/** Endpoint by identity; nullptr when it is gone. */
	const endpoint_state *find(endpoint_id p_endpoint) const;

	/** Newest incarnation of a VM; nullptr when unknown. */
	const endpoint_state *find_vm(const std::string &p_vm) const;

	/** Open endpoints in a pool that a selector admits. */
	std::size_t count_open(const std::string &p_pool, const selector &p_endpoints);

	/** Calls the hook for each known endpoint. */
	void for_each(const std::function<void(const endpoint_state &)> &p_hook) const;

	/** Hands out the changes since the last call. */
	std::vector<endpoint_change> take_changes();
};

} // namespace calicoscale

#endif // ROUTER_H
