/*
 * calicoscale: fair_queue.cpp
 * Bounded queue, fair between customers, aware of priority and deadline.
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

double fair_queue::_get_use(const std::string &p_customer, double p_weight) const {
	std::size_t held = 0;
	for (const class_line &line : _classes) {
		const auto found = line.customers.find(p_customer);
		held += found == line.customers.end() ? 0 : found->second.waiting.size();
	}
	return static_cast<double>(held) / p_weight;
}

std::optional<std::string> fair_queue::_find_largest_customer() const {
	std::optional<std::string> largest;
	double most = 0.0;
	for (const class_line &line : _classes) {
		for (const auto &[name, customer] : line.customers) {
			const double use = _get_use(name, customer.weight);
			if (use > most) {
				most = use;
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
	class_line &line = _classes[level];
	if (line.size == 0) {
		line.virtual_start = std::max(line.virtual_start, _virtual_time);
	}
	customer_line &customer = line.customers[p_request.customer];
	if (customer.waiting.empty()) {
		// A customer that was away starts at the present; it neither lost nor saved up its share.
		customer.virtual_start = std::max(customer.virtual_start, line.virtual_time);
	}
	customer.weight = p_request.weight;
	customer.waiting.emplace(std::make_pair(p_request.start_by, p_request.id), p_request);
	line.size++;
	_places.emplace(p_request.id, queue_place{ level, p_request.customer, p_request.start_by });
}

std::optional<dropped_request> fair_queue::push(const queued_request &p_request) {
	if (_places.size() < _capacity) {
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
	for (const class_line &line : _classes) {
		for (const auto &[name, customer] : line.customers) {
			waiting[name].first += customer.waiting.size();
			waiting[name].second = customer.weight;
		}
	}
	const auto own = waiting.find(p_customer);
	const double turns = static_cast<double>(own == waiting.end() ? 1 : own->second.first + 1) / p_weight;
	double ahead = 0.0;
	for (const auto &[name, line] : waiting) {
		if (name != p_customer) {
			ahead += std::min(static_cast<double>(line.first), turns * line.second);
		}
	}
	return ahead + turns * p_weight;
}

fair_queue::class_line *fair_queue::_pick_class() {
	class_line *best = nullptr;
	for (class_line &line : _classes) {
		if (line.size > 0 && (best == nullptr || line.virtual_start < best->virtual_start)) {
			best = &line;
		}
	}
	return best;
}

std::optional<queued_request> fair_queue::pop(instant p_now, std::vector<dropped_request> &r_expired) {
	while (class_line *line = _pick_class()) {
		auto best = line->customers.end();
		for (auto entry = line->customers.begin(); entry != line->customers.end(); ++entry) {
			if (entry->second.waiting.empty()) {
				continue;
			}
			if (best == line->customers.end() || entry->second.virtual_start < best->second.virtual_start) {
				best = entry;
			}
		}
		const queued_request next = best->second.waiting.begin()->second;
		customer_line &customer = best->second;
		if (next.start_by < p_now) {
			// An expired request is not served, so it costs its customer no share.
			remove(next.id);
			r_expired.push_back(dropped_request{ next.id, next.customer });
			continue;
		}
		const std::size_t level = static_cast<std::size_t>(next.priority);
		line->virtual_time = customer.virtual_start;
		customer.virtual_start += 1.0 / customer.weight;
		_virtual_time = line->virtual_start;
		line->virtual_start += 1.0 / CLASS_WEIGHTS[level];
		remove(next.id);
		return next;
	}
	return std::nullopt;
}

std::vector<dropped_request> fair_queue::drop_expired(instant p_now) {
	std::vector<dropped_request> expired;
	for (const class_line &line : _classes) {
		for (const auto &[name, customer] : line.customers) {
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
	const auto place = _places.find(p_id);
	if (place == _places.end()) {
		return false;
	}
	class_line &line = _classes[place->second.level];
	const auto customer = line.customers.find(place->second.customer);
	customer->second.waiting.erase(std::make_pair(place->second.start_by, p_id));
	line.size--;
	if (customer->second.waiting.empty() && customer->second.virtual_start <= line.virtual_time) {
		line.customers.erase(customer);
	}
	_places.erase(place);
	return true;
}

} // namespace calicoscale
