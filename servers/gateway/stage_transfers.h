/*
 * calicoscale: stage_transfers.h
 * Transfers of stage results of a request between availability zones.
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

/** Results of one pool that another pool or the service reads. */
struct result_transfer {
	std::string from_pool;
	std::string to; ///< Pool or service that reads.
	std::string from_zone;
	std::string to_zone;
	std::size_t bytes = 0; ///< Sum over the items that read; each reads all its inputs.
};

/** Returns the number of bytes read from another zone. */
std::size_t get_cross_zone_bytes(const std::vector<result_transfer> &p_transfers);

/** Derives transfers from the stage graph of one request. A callback returns the zone in which a result was produced, by its handle. */
class stage_transfers {
	using zone_counts = std::map<std::string, std::size_t>;

	const stage_graph &_stages;
	std::function<std::string(const std::string &)> _get_zone;

	zone_counts _count_zones(const std::vector<std::string> &p_handles) const;
	void _add_read(std::vector<result_transfer> &r_transfers, std::size_t p_stage, const std::string &p_reader, const zone_counts &p_readers) const;

public:
	/** @param p_get_zone returns the zone of the producer of a result, by its handle; empty when unknown. */
	stage_transfers(const stage_graph &p_stages, std::function<std::string(const std::string &)> p_get_zone) :
			_stages(p_stages), _get_zone(std::move(p_get_zone)) {}

	/** Returns the zone in which most of the results were produced; empty when there are none. */
	std::string find_producers_zone(const std::vector<std::string> &p_handles) const;

	/** Returns what the items of a completed stage have read. */
	std::vector<result_transfer> get_inputs_read(std::size_t p_stage) const;

	/** Returns what the service reads when one of its endpoints in a zone gets the request. */
	std::vector<result_transfer> get_final_read(const std::string &p_service, const std::string &p_zone) const;
};

} // namespace calicoscale

#endif // STAGE_TRANSFERS_H
