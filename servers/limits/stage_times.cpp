/*
 * calicoscale: stage_times.cpp
 * Estimated service times of stages, by pool and size class.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/limits/stage_times.h"

#include <cstdlib>

namespace calicoscale {

namespace {

constexpr duration SHORT_HALF_LIFE = std::chrono::seconds(20);
constexpr duration LONG_HALF_LIFE = std::chrono::minutes(10);
constexpr size_class MAX_CLASS = 9;
constexpr double MIN_SAMPLES = 5.0;
constexpr std::size_t FIRST_BOUND = 256;
constexpr std::size_t BOUND_FACTOR = 4;
/** Generating one token takes about as long as reading this many bytes. */
constexpr std::size_t BYTES_PER_TOKEN = 16;

} // namespace

size_class get_size_class(std::size_t p_input_bytes, int p_max_tokens) {
	const std::size_t size = p_input_bytes + static_cast<std::size_t>(p_max_tokens) * BYTES_PER_TOKEN;
	size_class result = 0;
	for (std::size_t bound = FIRST_BOUND; size > bound && result < MAX_CLASS; bound *= BOUND_FACTOR) {
		result++;
	}
	return result;
}

void stage_times::add(const std::string &p_pool, time_kind p_part, size_class p_size, duration p_elapsed, instant p_now) {
	const duration half_life = p_part == time_kind::UNLOADED ? LONG_HALF_LIFE : SHORT_HALF_LIFE;
	_sketches.try_emplace(key{ p_pool, p_part, p_size }, half_life).first->second.add(p_elapsed, p_now);
}

duration stage_times::estimate(const std::string &p_pool, time_kind p_part, size_class p_size, double p_quantile, instant p_now) const {
	const quantile_sketch *nearest = nullptr;
	int nearest_distance = MAX_CLASS + 1;
	const auto first = _sketches.lower_bound(key{ p_pool, p_part, 0 });
	for (auto entry = first; entry != _sketches.end(); ++entry) {
		if (entry->first.pool != p_pool || entry->first.part != p_part) {
			break;
		}
		const int distance = std::abs(static_cast<int>(entry->first.size) - static_cast<int>(p_size));
		if (entry->second.get_count(p_now) >= MIN_SAMPLES && distance < nearest_distance) {
			nearest = &entry->second;
			nearest_distance = distance;
		}
	}
	if (nearest == nullptr) {
		return duration::zero();
	}
	return nearest->get_quantile(p_quantile).value_or(duration::zero());
}

} // namespace calicoscale
