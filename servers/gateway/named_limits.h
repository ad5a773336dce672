/*
 * calicoscale: named_limits.h
 * Limits that endpoints name in their answers, and for how long each is believed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NAMED_LIMITS_H
#define NAMED_LIMITS_H

#include "servers/routing/endpoint_identity.h"
#include "servers/routing/endpoint_notice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** What an answer said of its endpoint's limit, to tell other nodes. */
struct limit_record {
	endpoint_identity endpoint;
	std::optional<double> rate; ///< Requests a second; empty when the limit is over.
	instant at{}; ///< When the answer came.
};

/** What became of the belief about an endpoint's limit. */
enum class limit_change {
	NONE,
	NAMED, ///< It has a limit, where none was known.
	CHANGED, ///< It has another one.
	RENEWED, ///< It still has the one that was known.
	ENDED, ///< It said that it has none any more.
	COUNT, ///< Number of the others.
};

/** Name of a change, e.g. "named". */
std::string_view get_name(limit_change p_change);

/**
 * Believes the newest answer, whoever got it. A limit holds for as long as the endpoint names it: an answer without one ends it,
 * if its request was sent after the last answer that named it. Nodes without a place at the endpoint hear of it from those that
 * have one, who tell it again now and then.
 *
 * A limit that nobody spoke of for LIFETIME is unconfirmed: this node may find out by a request now and then. Each node begins
 * at a moment of its own, so that the first one can tell the others. The belief is forgotten when nothing came of that either.
 */
class named_limits {
	struct believed_limit {
		std::optional<double> rate; ///< Empty once it ended; kept so that older news does not bring it back.
		instant at{}; ///< Of the newest answer.
		instant first_named_at{};
		instant told_at{}; ///< When this node told others, or was told.
	};

	std::string _vm;
	std::map<endpoint_identity, believed_limit> _limits;
	std::vector<limit_record> _news;

	limit_change _believe(const limit_record &p_record);
	void _tell(const endpoint_identity &p_endpoint, instant p_now);
	instant _get_confirmed_until(const endpoint_identity &p_endpoint, const believed_limit &p_limit) const;

public:
	static constexpr duration LIFETIME = std::chrono::seconds(20);
	/** Limits are told again this often while answers name them. */
	static constexpr duration RENEWAL = std::chrono::seconds(5);

	explicit named_limits(std::string p_vm) :
			_vm(std::move(p_vm)) {}

	/**
	 * An answer came.
	 * @param p_is_signed whether it is the endpoint's own beyond doubt, so that what it does not say counts.
	 * @param p_sent_at when its request was sent.
	 */
	limit_change on_answer(const endpoint_identity &p_endpoint, const endpoint_notice &p_notice, bool p_is_signed, instant p_sent_at, instant p_now);

	/** Another node told of an answer that it got. */
	limit_change take(const limit_record &p_record, instant p_now);

	/** Requests a second that an endpoint takes; empty when it names no limit. */
	std::optional<double> find_rate(const endpoint_identity &p_endpoint) const;

	/** When an endpoint named its limit first; only for endpoints that have one. */
	instant get_named_at(const endpoint_identity &p_endpoint) const { return _limits.at(p_endpoint).first_named_at; }

	/** Whether the limit was spoken of lately. */
	bool is_confirmed(const endpoint_identity &p_endpoint, instant p_now) const;

	/** Forgets what nobody spoke of for long. @return endpoints whose limit is forgotten. */
	std::vector<endpoint_identity> forget_old(instant p_now);

	/** What is to be told to other nodes, since the last call. */
	std::vector<limit_record> take_news();

	/** All that is believed, for a node that knows nothing yet; p_most of them. */
	std::vector<limit_record> get_records(std::size_t p_most) const;

	/** How many endpoints have a limit. */
	std::size_t count() const;

	bool is_empty() const { return _limits.empty(); }
};

} // namespace calicoscale

#endif // NAMED_LIMITS_H
