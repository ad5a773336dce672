/*
 * calicoscale: news_digest.h
 * News that other nodes are still to be told of, within a budget.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NEWS_DIGEST_H
#define NEWS_DIGEST_H

#include "servers/gateway/message_budget.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace calicoscale {

/**
 * Collects records to tell of. They go out at once while the messages this takes are within the budget, else together with
 * the next heartbeat; what is more than a heartbeat may carry is dropped, the records that are worth least first. So what a
 * node spends on telling is bounded; in a small fleet everything is told at once. Told the time with each call.
 */
template <typename record>
class news_digest {
	std::size_t _most;
	std::function<double(const record &)> _get_worth;
	message_budget _budget;
	std::vector<record> _pending;
	std::uint64_t _dropped = 0;

public:
	/** @param p_most records in a message. @param p_get_worth what it is worth to others to be told of a record. */
	news_digest(std::size_t p_most, std::function<double(const record &)> p_get_worth) :
			_most(p_most), _get_worth(std::move(p_get_worth)) {}

	void add(record p_record) { _pending.push_back(std::move(p_record)); }

	/** Whether telling so many nodes at once is within the budget; takes it out of the budget if so. */
	bool try_spend(std::size_t p_messages, instant p_now) { return _budget.try_spend(p_messages, p_now); }

	/** Hands out what is pending, within the bound of one message. */
	std::vector<record> take() {
		std::vector<record> taken;
		taken.swap(_pending);
		if (taken.size() > _most) {
			_dropped += taken.size() - _most;
			std::stable_sort(taken.begin(), taken.end(), [this](const record &p_left, const record &p_right) { return _get_worth(p_left) > _get_worth(p_right); });
			taken.resize(_most);
		}
		return taken;
	}

	bool is_empty() const { return _pending.empty(); }

	/** Records that were not told, in all. */
	std::uint64_t get_dropped() const { return _dropped; }
};

} // namespace calicoscale

#endif // NEWS_DIGEST_H
