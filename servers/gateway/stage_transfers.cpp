/*
 * calicoscale: stage_transfers.cpp
 * Transfers of stage results of a request between availability zones.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_transfers.h"

#include <algorithm>

namespace calicoscale {

std::size_t get_cross_zone_bytes(const std::vector<result_transfer> &p_transfers) {
	std::size_t cross_zone_bytes = 0;
	for (const result_transfer &transfer : p_transfers) {
		cross_zone_bytes += transfer.from_zone == transfer.to_zone ? 0 : transfer.bytes;
	}
	return cross_zone_bytes;
}

stage_transfers::zone_counts stage_transfers::_count_zones(const std::vector<std::string> &p_handles) const {
	zone_counts counts;
	for (const std::string &handle : p_handles) {
		counts[_get_zone(handle)]++;
	}
	return counts;
}

std::string stage_transfers::find_producers_zone(const std::vector<std::string> &p_handles) const {
	const zone_counts counts = _count_zones(p_handles);
	const auto largest = std::max_element(counts.begin(), counts.end(), [](const auto &p_left, const auto &p_right) { return p_left.second < p_right.second; });
	return largest == counts.end() ? "" : largest->first;
}

void stage_transfers::_add_read(std::vector<result_transfer> &r_transfers, std::size_t p_stage, const std::string &p_reader, const zone_counts &p_readers) const {
	const stage_spec &spec = _stages.get_spec(p_stage);
	for (const auto &[producer_zone, results] : _count_zones(_stages.get_results(p_stage))) {
		for (const auto &[reader_zone, readers] : p_readers) {
			r_transfers.push_back(result_transfer{ spec.pool, p_reader, producer_zone, reader_zone, spec.result_bytes * results * readers });
		}
	}
}

std::vector<result_transfer> stage_transfers::get_inputs_read(std::size_t p_stage) const {
	const stage_spec &spec = _stages.get_spec(p_stage);
	const zone_counts readers = _count_zones(_stages.get_results(p_stage));
	std::vector<result_transfer> transfers;
	for (const std::size_t input : spec.inputs) {
		_add_read(transfers, input, spec.pool, readers);
	}
	return transfers;
}

std::vector<result_transfer> stage_transfers::get_final_read(const std::string &p_service, const std::string &p_zone) const {
	std::vector<result_transfer> transfers;
	for (std::size_t i = 0; i < _stages.get_stage_count(); i++) {
		if (_stages.is_final(i)) {
			_add_read(transfers, i, p_service, { { p_zone, 1 } });
		}
	}
	return transfers;
}

} // namespace calicoscale
