/*
 * calicoscale: fair_queue.cpp
 * Bounded queue that is fair between customers and respects priorities and deadlines.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/fair_queue.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr std::array<double, PRIORITY_COUNT> CLASS_WEIGHTS{ 16.0, 4.0, 1.0 };

} // namespace

fair_queue::fair_queue(std::size_t p_capacity) :
		_capacity(p_capacity) {
}

double fair_queue::_get_weighted_size(const std::string &p_customer, double p_weight) const {
	std::size_t queued = 0;
	for (const class_queue &level_queue : _classes) {
		const auto found = level_queue.customers.find(p_customer);
		queued += found == level_queue.customers.end() ? 0 : found->second.waiting.size();
	}
	return static_cast<double>(queued) / p_weight;
}

std::optional<std::string> fair_queue::_find_largest_customer() const {
	std::optional<std::string> largest;
	double largest_size = 0.0;
	for (const class_queue &level_queue : _classes) {
		for (const auto &[name, customer] : level_queue.customers) {
			const double size = _get_weighted_size(name, customer.weight);
			if (size > largest_size) {
				largest_size = size;
				largest = name;
			}
		}
	}
	return largest;
}

std::optional<queued_request> fair_queue::_evict_last_of(const std::string &p_customer) {
	for (std::size_t level = PRIORITY_COUNT; level-- > 0;) {
		const auto found = _classes[level].customers.find(p_customer);
		if (found == _classes[level].customers.end() || found->second.waiting.empty()) {
			continue;
		}
		const queued_request last = found->second.waiting.rbegin()->second;
		remove(last.id);
		return last;
	}
	return std::nullopt;
}

void fair_queue::_insert(const queued_request &p_request) {
	const std::size_t level = static_cast<std::size_t>(p_request.priority);
	class_queue &level_queue = _classes[level];
	if (level_queue.size == 0) {
		level_queue.virtual_start = std::max(level_queue.virtual_start, _virtual_time);
	}
	customer_queue &customer = level_queue.customers[p_request.customer];
	if (customer.waiting.empty()) {
		// A customer without queued requests continues at the current virtual time: it neither loses nor accumulates its share.
		customer.virtual_start = std::max(customer.virtual_start, level_queue.virtual_time);
	}
	customer.weight = p_request.weight;
	customer.waiting.emplace(std::make_pair(p_request.start_by, p_request.id), p_request);
	level_queue.size++;
	_positions.emplace(p_request.id, queue_position{ level, p_request.customer, p_request.start_by });
}

std::optional<dropped_request> fair_queue::push(const queued_request &p_request) {
	if (_positions.size() < _capacity) {
		_insert(p_request);
		return std::nullopt;
	}
	const std::optional<std::string> largest = _find_largest_customer();
	const bool is_own = !largest || *largest == p_request.customer;
	if (is_own) {
		return dropped_request{ p_request.id, p_request.customer };
	}
	const std::optional<queued_request> evicted = _evict_last_of(*largest);
	_insert(p_request);
	return dropped_request{ evicted->id, evicted->customer };
}

double fair_queue::count_ahead(const std::string &p_customer, double p_weight) const {
	std::map<std::string, std::pair<std::size_t, double>> waiting;
	for (const class_queue &level_queue : _classes) {
		for (const auto &[name, customer] : level_queue.customers) {
			waiting[name].first += customer.waiting.size();
			waiting[name].second = customer.weight;
		}
	}
	const auto own = waiting.find(p_customer);
	const double rounds = static_cast<double>(own == waiting.end() ? 1 : own->second.first + 1) / p_weight;
	double ahead = 0.0;
	for (const auto &[name, count_and_weight] : waiting) {
		if (name != p_customer) {
			ahead += std::min(static_cast<double>(count_and_weight.first), rounds * count_and_weight.second);
		}
	}
	return ahead + rounds * p_weight;
}

fair_queue::class_queue *fair_queue::_pick_class() {
	class_queue *best = nullptr;
	for (class_queue &level_queue : _classes) {
		if (level_queue.size > 0 && (best == nullptr || level_queue.virtual_start < best->virtual_start)) {
			best = &level_queue;
		}
	}
	return best;
}

std::optional<queued_request> fair_queue::pop(instant p_now, std::vector<dropped_request> &r_expired) {
	while (class_queue *level_queue = _pick_class()) {
		auto best = level_queue->customers.end();
		for (auto entry = level_queue->customers.begin(); entry != level_queue->customers.end(); ++entry) {
			if (entry->second.waiting.empty()) {
				continue;
			}
			if (best == level_queue->customers.end() || entry->second.virtual_start < best->second.virtual_start) {
				best = entry;
			}
		}
		const queued_request next = best->second.waiting.begin()->second;
		customer_queue &customer = best->second;
		if (next.start_by < p_now) {
			// An expired request isn't served, so it doesn't count against its customer's share.
			remove(next.id);
			r_expired.push_back(dropped_request{ next.id, next.customer });
			continue;
		}
		const std::size_t level = static_cast<std::size_t>(next.priority);
		level_queue->virtual_time = customer.virtual_start;
		customer.virtual_start += 1.0 / customer.weight;
		_virtual_time = level_queue->virtual_start;
		level_queue->virtual_start += 1.0 / CLASS_WEIGHTS[level];
		remove(next.id);
		return next;
	}
	return std::nullopt;
}

std::vector<dropped_request> fair_queue::drop_expired(instant p_now) {
	std::vector<dropped_request> expired;
	for (const class_queue &level_queue : _classes) {
		for (const auto &[name, customer] : level_queue.customers) {
			for (const auto &[key, request] : customer.waiting) {
				if (request.start_by >= p_now) {
					break;
				}
				expired.push_back(dropped_request{ request.id, request.customer });
			}
		}
	}
	for (const dropped_request &request : expired) {
		remove(request.id);
	}
	return expired;
}

bool fair_queue::remove(const request_id &p_id) {
	const auto position = _positions.find(p_id);
	if (position == _positions.end()) {
		return false;
	}
	class_queue &level_queue = _classes[position->second.level];
	const auto customer = level_queue.customers.find(position->second.customer);
	customer->second.waiting.erase(std::make_pair(position->second.start_by, p_id));
	level_queue.size--;
	if (customer->second.waiting.empty() && customer->second.virtual_start <= level_queue.virtual_time) {
		level_queue.customers.erase(customer);
	}
	_positions.erase(position);
	return true;
}

} // namespace calicoscale
