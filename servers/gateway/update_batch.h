/*
 * calicoscale: update_batch.h
 * Collects updates for other nodes and bounds the messages that carry them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef UPDATE_BATCH_H
#define UPDATE_BATCH_H

#include "servers/gateway/message_budget.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace calicoscale {

/**
 * Collects records to send to other nodes. They are sent at once while the number of messages is within the budget, and
 * with the next heartbeat otherwise. Records beyond the limit of one message are dropped, those of least worth first. So
 * the traffic of a node is bounded, while in a small fleet everything is sent at once. The caller passes the current time.
 */
template <typename record>
class update_batch {
	std::size_t _max_records;
	std::function<double(const record &)> _get_worth;
	message_budget _budget;
	std::vector<record> _pending;
	std::uint64_t _dropped = 0;

public:
	/** @param p_max_records maximum number of records in a message. @param p_get_worth returns how much a record is worth to others. */
	update_batch(std::size_t p_max_records, std::function<double(const record &)> p_get_worth) :
			_max_records(p_max_records), _get_worth(std::move(p_get_worth)) {}

	void add(record p_record) { _pending.push_back(std::move(p_record)); }

	/** Returns whether that many messages are within the budget now, and deducts them from it if so. */
	bool try_spend(std::size_t p_messages, instant p_now) { return _budget.try_spend(p_messages, p_now); }

	/** Returns and clears the pending records, at most as many as one message carries. */
	std::vector<record> take() {
		std::vector<record> batch;
		batch.swap(_pending);
		if (batch.size() > _max_records) {
			_dropped += batch.size() - _max_records;
			std::stable_sort(batch.begin(), batch.end(), [this](const record &p_left, const record &p_right) { return _get_worth(p_left) > _get_worth(p_right); });
			batch.resize(_max_records);
		}
		return batch;
	}

	bool is_empty() const { return _pending.empty(); }

	/** Returns the total number of dropped records. */
	std::uint64_t get_dropped() const { return _dropped; }
};

} // namespace calicoscale

#endif // UPDATE_BATCH_H
