/*
 * calicoscale: stage_transfers.h
 * Between which availability zones the results of a request's stages are read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_TRANSFERS_H
#define STAGE_TRANSFERS_H

#include "servers/gateway/stage_graph.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Results of one pool that were read by another pool or by the service. */
struct result_transfer {
	std::string from_pool;
	std::string to;
	std::string from_zone;
	std::string to_zone;
	std::size_t bytes = 0; ///< Each piece that reads counts with all its inputs.
};

/** Bytes that crossed zones. */
std::size_t get_crossed_bytes(const std::vector<result_transfer> &p_transfers);

/** Looks at one request's stage graph. Results are known by handles; a hook tells in which zone one was made. */
class stage_transfers {
	using zone_counts = std::map<std::string, std::size_t>;

	const stage_graph &_stages;
	std::function<std::string(const std::string &)> _get_zone;

	zone_counts _count_zones(const std::vector<std::string> &p_handles) const;
	void _add_read(std::vector<result_transfer> &r_transfers, std::size_t p_stage, const std::string &p_reader, const zone_counts &p_readers) const;

public:
	/** @param p_get_zone zone of the maker of a result, by its handle; empty when it is not known. */
	stage_transfers(const stage_graph &p_stages, std::function<std::string(const std::string &)> p_get_zone) :
			_stages(p_stages), _get_zone(std::move(p_get_zone)) {}

	/** Zone in which most of the results were made; empty when there are none. */
	std::string find_makers_zone(const std::vector<std::string> &p_handles) const;

	/** What the pieces of a stage that is done have read. */
	std::vector<result_transfer> get_inputs_read(std::size_t p_stage) const;

	/** What the service reads when an endpoint of it in a zone gets the request. */
	std::vector<result_transfer> get_final_read(const std::string &p_service, const std::string &p_zone) const;
};

} // namespace calicoscale

#endif // STAGE_TRANSFERS_H
