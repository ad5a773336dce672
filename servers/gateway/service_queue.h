/*
 * calicoscale: service_queue.h
 * Requests that are admitted but not yet sent to an endpoint, in the order of their admission.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SERVICE_QUEUE_H
#define SERVICE_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>

namespace calicoscale {

/** Position of a request in the order of admission; later requests have higher values. */
using queue_position = std::uint64_t;

/** One queue for each service. */
class service_queue {
	std::map<std::string, std::set<queue_position>> _queues;
	queue_position _next = 1;

public:
	/** Adds a request that was admitted for a service. */
	queue_position join(const std::string &p_service) {
		_queues[p_service].insert(_next);
		return _next++;
	}

	/** Removes a request that was sent or has ended. A second call has no effect. */
	void leave(const std::string &p_service, queue_position p_ticket) { _queues[p_service].erase(p_ticket); }

	/** Returns the number of waiting requests for a service that were admitted before a position. */
	std::size_t count_before(const std::string &p_service, queue_position p_ticket) const {
		const auto queue = _queues.find(p_service);
		return queue == _queues.end() ? 0 : static_cast<std::size_t>(std::distance(queue->second.begin(), queue->second.lower_bound(p_ticket)));
	}

	/** Returns the number of waiting requests for a service. */
	std::size_t count(const std::string &p_service) const {
		const auto queue = _queues.find(p_service);
		return queue == _queues.end() ? 0 : queue->second.size();
	}
};

} // namespace calicoscale

#endif // SERVICE_QUEUE_H
