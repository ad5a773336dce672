/*
 * calicoscale: advertised_limits.h
 * Limits that endpoints advertise in their answers, and how long each is valid.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADVERTISED_LIMITS_H
#define ADVERTISED_LIMITS_H

#include "servers/routing/endpoint_identity.h"
#include "servers/routing/endpoint_notice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** An endpoint's limit according to one of its answers, as nodes exchange it. */
struct limit_record {
	endpoint_identity endpoint;
	std::optional<double> rate; ///< Requests a second; empty when the endpoint no longer has a limit.
	instant at{}; ///< When the answer was received.
};

/** How the known limit of an endpoint changed. */
enum class limit_change {
	NONE,
	ADVERTISED, ///< It has a limit, and none was known before.
	CHANGED, ///< It has another limit than was known.
	RENEWED, ///< It still has the known limit.
	ENDED, ///< It no longer has a limit.
	COUNT, ///< Number of the others.
};

/** Returns the name of a change, e.g. "named". */
std::string_view get_name(limit_change p_change);

/**
 * Stores the limit from the newest answer that any node received. A limit is valid as long as the endpoint advertises it: an
 * answer without a limit ends it if its request was sent after the last answer with the limit was received. Nodes without a
 * slot at the endpoint get the limit from nodes that have one, which report it again every RENEWAL.
 *
 * A limit that hasn't been reported for LIFETIME and a phase of this node is unconfirmed: this node may then check it with an
 * occasional request. The phase differs between nodes, so that the first one to check can report the result to the others. The
 * limit is removed if it stays unconfirmed.
 */
class advertised_limits {
	struct known_limit {
		std::optional<double> rate; ///< Empty after the limit ended; the entry is kept so that an older report doesn't restore it.
		instant at{}; ///< When the newest answer was received.
		instant first_named_at{};
		instant reported_at{}; ///< When this node last reported the limit or received a report of it.
	};

	std::string _vm;
	std::map<endpoint_identity, known_limit> _limits;
	std::vector<limit_record> _updates;

	limit_change _apply(const limit_record &p_record);
	void _queue_update(const endpoint_identity &p_endpoint, instant p_now);
	instant _get_confirmed_until(const endpoint_identity &p_endpoint, const known_limit &p_limit) const;

public:
	static constexpr duration LIFETIME = std::chrono::seconds(20);
	/** Interval at which an unchanged limit is reported again while answers advertise it. */
	static constexpr duration RENEWAL = std::chrono::seconds(5);

	explicit advertised_limits(std::string p_vm) :
			_vm(std::move(p_vm)) {}

	/**
	 * Applies an answer of an endpoint.
	 * @param p_is_signed whether the answer certainly comes from the endpoint itself; only then a missing limit ends a limit.
	 * @param p_sent_at when the request of the answer was sent.
	 */
	limit_change on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at, instant p_now);

	/** Applies a report of another node. */
	limit_change take(const limit_record &p_record, instant p_now);

	/** Returns the requests a second that an endpoint accepts; empty when it has no limit. */
	std::optional<double> find_rate(const endpoint_identity &p_endpoint) const;

	/** Returns when an endpoint first advertised its limit. Call it only for endpoints that have one. */
	instant get_advertised_since(const endpoint_identity &p_endpoint) const { return _limits.at(p_endpoint).first_named_at; }

	/** Returns whether the limit was reported recently enough. */
	bool is_confirmed(const endpoint_identity &p_endpoint, instant p_now) const;

	/** Removes limits that haven't been reported for long. @return endpoints whose limit was removed. */
	std::vector<endpoint_identity> forget_old(instant p_now);

	/** Returns the updates since the last call, which are sent to other nodes. */
	std::vector<limit_record> take_updates();

	/** Returns at most p_max known limits, for a node that has just started. */
	std::vector<limit_record> get_records(std::size_t p_max) const;

	/** Returns the number of endpoints that have a limit. */
	std::size_t count() const;

	bool is_empty() const { return _limits.empty(); }
};

} // namespace calicoscale

#endif // ADVERTISED_LIMITS_H
