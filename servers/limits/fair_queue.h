/*
 * calicoscale: fair_queue.h
 * Bounded queue, fair between customers, aware of priority and deadline.
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

/** One request that waits for a place. */
struct queued_request {
	request_id id;
	std::string customer;
	double weight = 1.0;
	priority_class priority = priority_class::NORMAL;
	instant start_by{}; ///< Starting later than this would miss the deadline.
	instant queued_at{};
};

/** Why a request left the queue without a place. */
struct dropped_request {
	request_id id;
	std::string customer;
};

/**
 * Start-time fair queueing on two levels: between priority classes by fixed weights, so that a low class is slow but
 * never starved, and between the customers of a class by their weights. Within a customer the earliest start_by goes
 * first. When full, the newcomer replaces the latest request of the customer that holds most places for its weight,
 * unless that is the newcomer's own.
 */
class fair_queue {
	struct customer_line {
		std::map<std::pair<instant, request_id>, queued_request> waiting;
		double weight = 1.0;
		double virtual_start = 0.0;
	};

	struct class_line {
		std::map<std::string, customer_line> customers;
		double virtual_time = 0.0; ///< Start tag of the customer served last.
		double virtual_start = 0.0; ///< The class's own tag among classes.
		std::size_t size = 0;
	};

	struct queue_place {
		std::size_t level;
		std::string customer;
		instant start_by;
	};

	std::array<class_line, PRIORITY_COUNT> _classes;
	std::map<request_id, queue_place> _places;
	std::size_t _capacity;
	double _virtual_time = 0.0;

	class_line *_pick_class();
	void _insert(const queued_request &p_request);
	std::optional<std::string> _find_largest_customer() const;
	std::optional<queued_request> _evict_last_of(const std::string &p_customer);
	double _get_use(const std::string &p_customer, double p_weight) const;

public:
	/** @param p_capacity most requests that wait. */
	explicit fair_queue(std::size_t p_capacity);

	/**
	 * Queues a request.
	 * @return the request that found no place: the newcomer itself, one that had to leave for it, or none.
	 */
	std::optional<dropped_request> push(const queued_request &p_request);

	/** Takes the next request; those past their start_by are dropped into r_expired. */
	std::optional<queued_request> pop(instant p_now, std::vector<dropped_request> &r_expired);

	/** Takes out every request past its start_by. */
	std::vector<dropped_request> drop_expired(instant p_now);

	/** Takes a request out, e.g. as its caller has gone. Returns whether it was there. */
	bool remove(const request_id &p_id);

	/**
	 * How many places will be given before a newcomer of a customer gets its own, by the customers' weights: a flood of
	 * one customer is not in the way of another.
	 */
	double count_ahead(const std::string &p_customer, double p_weight) const;

	std::size_t get_size() const { return _places.size(); }
};

} // namespace calicoscale

#endif // FAIR_QUEUE_H
