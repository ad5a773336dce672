/*
 * calicoscale: fair_queue.h
 * Bounded queue that is fair between customers and respects priorities and deadlines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include "core/ids.h"
#include "core/time.h"
#include "servers/configuration/configuration.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** A request that waits for a slot of the pool. */
struct queued_request {
	request_id id;
	std::string customer;
	double weight = 1.0;
	priority_class priority = priority_class::NORMAL;
	instant start_by{}; ///< Latest start at which the request can still meet its deadline.
	instant queued_at{};
};

/** A request that left the queue without a slot. */
struct dropped_request {
	request_id id;
	std::string customer;
};

/**
 * Start-time fair queueing on two levels: between priority classes by fixed weights, so that a low class is slow but
 * never starved, and between the customers of a class by their weights. A customer's requests are served by earliest
 * start_by. If the queue is full, a newly arrived request replaces the request with the latest start_by of the customer
 * that has the most queued requests relative to its weight; if that is its own customer, the new request is dropped.
 */
class fair_queue {
	struct customer_queue {
		std::map<std::pair<instant, request_id>, queued_request> waiting;
		double weight = 1.0;
		double virtual_start = 0.0; ///< The customer's start tag within its class.
	};

	struct class_queue {
		std::map<std::string, customer_queue> customers;
		double virtual_time = 0.0; ///< Start tag of the customer that was served last.
		double virtual_start = 0.0; ///< The class's start tag among the classes.
		std::size_t size = 0; ///< Queued requests of all customers.
	};

	struct queue_position {
		std::size_t level;
		std::string customer;
		instant start_by;
	};

	std::array<class_queue, PRIORITY_COUNT> _classes;
	std::map<request_id, queue_position> _positions;
	std::size_t _capacity;
	double _virtual_time = 0.0;

	class_queue *_pick_class();
	void _insert(const queued_request &p_request);
	std::optional<std::string> _find_largest_customer() const;
	std::optional<queued_request> _evict_last_of(const std::string &p_customer);
	double _get_weighted_size(const std::string &p_customer, double p_weight) const;

public:
	/** @param p_capacity maximum number of queued requests. */
	explicit fair_queue(std::size_t p_capacity);

	/**
	 * Queues a request.
	 * @return the dropped request if the queue was full: the new request itself, or the one that it replaced.
	 */
	std::optional<dropped_request> push(const queued_request &p_request);

	/** Removes and returns the next request. Requests past their start_by are removed and appended to r_expired. */
	std::optional<queued_request> pop(instant p_now, std::vector<dropped_request> &r_expired);

	/** Removes and returns every request past its start_by. */
	std::vector<dropped_request> drop_expired(instant p_now);

	/** Removes a request, e.g. because its caller disconnected. Returns whether it was queued. */
	bool remove(const request_id &p_id);

	/**
	 * Returns how many slots will be granted until a new request of a customer gets one, including its own. Depends on the
	 * customers' weights, so that a large number of requests of one customer doesn't delay another customer much.
	 */
	double count_ahead(const std::string &p_customer, double p_weight) const;

	std::size_t get_size() const { return _positions.size(); }
};

} // namespace calicoscale

#endif // FAIR_QUEUE_H
