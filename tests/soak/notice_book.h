/*
 * calicoscale: notice_book.h
 * Knows what endpoints of a soak said about themselves in their answers, and checks what they are sent since.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NOTICE_BOOK_H
#define NOTICE_BOOK_H

#include "tests/soak/promise_book.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace calicoscale {

/** What an endpoint says in all its answers. */
struct soak_notice {
	std::optional<double> limit; ///< Requests a second that it takes from all nodes together.
	bool is_leaving = false;
	duration rest = duration::zero(); ///< It turns requests away and wants nothing from that node for so long.
};

/** Each start of an endpoint begins anew; what one life of a node was told says nothing of the next one. */
class notice_book {
	struct node_life {
		std::size_t node = 0;
		std::size_t life = 0;
		std::strong_ordering operator<=>(const node_life &p_other) const = default;
	};

	struct arrival {
		node_life from;
		instant at{};
	};

	struct asked_rest {
		instant from{};
		instant until{};
		std::size_t arrivals = 0;
	};

	struct endpoint_notices {
		soak_notice says;
		std::optional<instant> limit_since;
		std::map<node_life, instant> told_limit; ///< When it was told first.
		std::map<node_life, instant> told_leaving;
		std::map<node_life, std::vector<asked_rest>> rests;
		std::deque<arrival> arrivals; ///< Within the span of the limit.
	};

	promise_book &_book;
	disturbance_log &_disturbances;
	std::map<std::size_t, endpoint_notices> _endpoints;

	void _check_limit(std::size_t p_endpoint, endpoint_notices &r_notices, instant p_now);
	void _check_leaving(std::size_t p_endpoint, const endpoint_notices &p_notices, const soak_attempt &p_attempt, instant p_now);
	void _check_rest(std::size_t p_endpoint, endpoint_notices &r_notices, const node_life &p_from, instant p_now);

public:
	notice_book(promise_book &p_book, disturbance_log &p_disturbances) :
			_book(p_book), _disturbances(p_disturbances) {}

	/** An endpoint says something else from now on. */
	void set(std::size_t p_endpoint, const soak_notice &p_notice, instant p_now);

	/** What it says now. */
	const soak_notice &get(std::size_t p_endpoint) { return _endpoints[p_endpoint].says; }

	/** It started again. */
	void on_started_again(std::size_t p_endpoint) { _endpoints[p_endpoint] = endpoint_notices(); }

	/** A request arrived at an endpoint, whatever becomes of it. */
	void on_arrival(std::size_t p_endpoint, const std::string &p_id, instant p_now);

	/** The endpoint answers a request with what it says now, and nothing keeps the node from reading it. */
	void on_told(std::size_t p_endpoint, const std::string &p_id, instant p_now);
};

} // namespace calicoscale

#endif // NOTICE_BOOK_H
