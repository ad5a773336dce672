/*
 * calicoscale: dispatch_choice_test.cpp
 * Selection of the dispatcher while the nodes of a starting fleet are still establishing their links.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/dispatcher_selection.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

const std::string POOL = "pool";

std::vector<std::string> make_names(const std::string &p_prefix, int p_count) {
	std::vector<std::string> names;
	for (int i = 0; i < p_count; i++) {
		names.push_back(p_prefix + std::to_string(i));
	}
	return names;
}

/**
 * A fleet in which each follower receives the list of dispatching nodes at a different time after the start. From the start it
 * has links to two hubs; a link to another hub is established LINK_TIME after the node requests it.
 */
class starting_fleet {
	struct follower_state {
		std::optional<instant> no_list_since;
		std::optional<instant> link_requested_at;
	};

	const std::vector<std::string> _dispatchers = make_names("hub-", 6);
	const std::vector<std::string> _others;
	std::map<std::string, follower_state> _waiting; ///< Nodes whose item is not assigned yet.

public:
	std::set<std::string> dispatching; ///< Nodes that were assigned work, by themselves or by others.
	std::size_t assigned = 0;

	explicit starting_fleet(int p_nodes) :
			_others(make_names("n", p_nodes)) {}

	/**
	 * Gives each follower one item at the start and lets it try to assign it every 30 ms.
	 * @param p_last time at which the last follower receives the list.
	 */
	void run(duration p_last, duration p_time) {
		for (const std::string &vm : _others) {
			_waiting.emplace(vm, follower_state());
		}
		const instant start(std::chrono::hours(1));
		for (instant now = start; now < start + p_time; now += milliseconds(30)) {
			for (std::size_t i = 0; i < _others.size(); i++) {
				const duration list_received_after = p_last * static_cast<duration::rep>(i + 1) / static_cast<duration::rep>(_others.size());
				_assign(i, now - start >= list_received_after, now);
			}
		}
	}

private:
	void _assign(std::size_t p_index, bool p_has_list, instant p_now) {
		static constexpr duration LINK_TIME = milliseconds(60);
		const auto found = _waiting.find(_others[p_index]);
		if (found == _waiting.end()) {
			return;
		}
		follower_state &waiting = found->second;
		if (!p_has_list && !waiting.no_list_since) {
			waiting.no_list_since = p_now;
		}
		const auto is_linked = [this, p_index, &waiting, p_now](const std::string &p_vm) {
			const std::size_t first = p_index % _dispatchers.size();
			const bool is_own_hub = p_vm == _dispatchers[first] || p_vm == _dispatchers[(first + 1) % _dispatchers.size()];
			return is_own_hub || (waiting.link_requested_at && p_now - *waiting.link_requested_at >= LINK_TIME);
		};
		const dispatch_view view{ found->first, p_has_list ? _dispatchers : std::vector<std::string>(), true, is_linked };
		const duration untold = p_has_list ? duration::zero() : p_now - *waiting.no_list_since;
		const duration for_link = waiting.link_requested_at ? p_now - *waiting.link_requested_at : duration::zero();
		const std::optional<std::string> node = choose_work_node(POOL, "", view, dispatch_wait{ untold, for_link });
		if (!node) {
			return;
		}
		if (*node != found->first && !is_linked(*node)) {
			waiting.link_requested_at = waiting.link_requested_at.value_or(p_now);
			return;
		}
		dispatching.insert(*node);
		assigned++;
		_waiting.erase(found);
	}
};

dispatch_view make_view(std::vector<std::string> p_nodes, bool p_is_told, std::set<std::string> p_linked = {}) {
	return dispatch_view{ "self", std::move(p_nodes), p_is_told, [p_linked](const std::string &p_vm) { return p_linked.contains(p_vm); } };
}

} // namespace

// After a restart of a whole fleet each node dispatched a pool by itself until the hubs had found each other.
// A follower must wait for the list of dispatching nodes instead.
TEST(dispatch_choice, one_node_dispatches_a_pool_however_many_have_not_been_told_yet_who_does) {
	for (const int nodes : { 3, 55, 404, 980 }) {
		for (const int last_told : { 200, 420, 900 }) {
			starting_fleet fleet(nodes);
			fleet.run(milliseconds(last_told), milliseconds(1500));
			EXPECT_EQ(fleet.dispatching.size(), 1U) << nodes;
			EXPECT_EQ(fleet.assigned, static_cast<std::size_t>(nodes));
		}
	}
}

// Work must not wait forever for a hub that never sends a list.
TEST(dispatch_choice, a_node_that_is_told_of_nobody_dispatches_by_itself_in_the_end) {
	EXPECT_FALSE(choose_work_node(POOL, "", make_view({}, true), dispatch_wait{ milliseconds(990) }));
	EXPECT_EQ(choose_work_node(POOL, "", make_view({}, true), dispatch_wait{ milliseconds(1000) }), "self");
}

// Nodes that are isolated, partitioned with their zone, or the last one to stop receive no list, so a hub must not wait for one.
TEST(dispatch_choice, a_hub_that_knows_nobody_dispatches_at_once) {
	EXPECT_EQ(choose_work_node(POOL, "", make_view({}, false), dispatch_wait()), "self");
}

TEST(dispatch_choice, work_whose_dispatcher_is_lost_goes_to_another_one_at_once) {
	const std::optional<std::string> first = choose_work_node(POOL, "", make_view({ "a", "b" }, true), dispatch_wait());
	ASSERT_TRUE(first);
	const std::optional<std::string> second = choose_work_node(POOL, *first, make_view({ "a", "b" }, true), dispatch_wait());
	EXPECT_NE(second, first);
	EXPECT_NE(second, "self");
}

TEST(dispatch_choice, work_that_waited_for_a_link_goes_to_a_node_that_is_linked) {
	const std::string best = choose_dispatcher(POOL, make_view({ "a", "b" }, true), [](const std::string &) { return true; });
	const std::string other = best == "a" ? "b" : "a";
	EXPECT_EQ(choose_work_node(POOL, "", make_view({ "a", "b" }, true, { other }), dispatch_wait{ milliseconds(5000), milliseconds(400) }), best);
	EXPECT_EQ(choose_work_node(POOL, "", make_view({ "a", "b" }, true, { other }), dispatch_wait{ milliseconds(5000), milliseconds(401) }), other);
	EXPECT_EQ(choose_work_node(POOL, "", make_view({ "a", "b" }, true), dispatch_wait{ duration::zero(), milliseconds(401) }), "self");
}

} // namespace calicoscale
