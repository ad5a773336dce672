/*
 * calicoscale: dispatch_choice_test.cpp
 * Who gets stage work while the nodes of a fleet that starts still meet.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/dispatch_choice.h"

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
 * A fleet of which each node that is no hub is told who dispatches at a moment of its own after the start. It is linked to two hubs from
 * then on, and to another one a moment after it wants that.
 */
class meeting_fleet {
	struct waiting_node {
		std::optional<instant> untold_since;
		std::optional<instant> wants_link_since;
	};

	const std::vector<std::string> _dispatchers = make_names("hub-", 6);
	const std::vector<std::string> _others;
	std::map<std::string, waiting_node> _waiting; ///< Nodes whose work nobody has got yet.

public:
	std::set<std::string> dispatching; ///< Nodes that took or were handed work.
	std::size_t handed = 0;

	explicit meeting_fleet(int p_nodes) :
			_others(make_names("n", p_nodes)) {}

	/** Lets each node that is no hub get one piece of work at once and assign it each 30 ms. @param p_last when the last one is told. */
	void run(duration p_last, duration p_time) {
		for (const std::string &vm : _others) {
			_waiting.emplace(vm, waiting_node());
		}
		const instant start(std::chrono::hours(1));
		for (instant now = start; now < start + p_time; now += milliseconds(30)) {
			for (std::size_t i = 0; i < _others.size(); i++) {
				const duration told_after = p_last * static_cast<duration::rep>(i + 1) / static_cast<duration::rep>(_others.size());
				_assign(i, now - start >= told_after, now);
			}
		}
	}

private:
	void _assign(std::size_t p_index, bool p_knows, instant p_now) {
		static constexpr duration LINK_TIME = milliseconds(60);
		const auto found = _waiting.find(_others[p_index]);
		if (found == _waiting.end()) {
			return;
		}
		waiting_node &waiting = found->second;
		if (!p_knows && !waiting.untold_since) {
			waiting.untold_since = p_now;
		}
		const auto is_linked = [this, p_index, &waiting, p_now](const std::string &p_vm) {
			const std::size_t first = p_index % _dispatchers.size();
			const bool is_own_hub = p_vm == _dispatchers[first] || p_vm == _dispatchers[(first + 1) % _dispatchers.size()];
			return is_own_hub || (waiting.wants_link_since && p_now - *waiting.wants_link_since >= LINK_TIME);
		};
		const dispatch_view view{ found->first, p_knows ? _dispatchers : std::vector<std::string>(), true, is_linked };
		const duration untold = p_knows ? duration::zero() : p_now - *waiting.untold_since;
		const duration for_link = waiting.wants_link_since ? p_now - *waiting.wants_link_since : duration::zero();
		const std::optional<std::string> node = choose_work_node(POOL, "", view, dispatch_wait{ untold, for_link });
		if (!node) {
			return;
		}
		if (*node != found->first && !is_linked(*node)) {
			waiting.wants_link_since = waiting.wants_link_since.value_or(p_now);
			return;
		}
		dispatching.insert(*node);
		handed++;
		_waiting.erase(found);
	}
};

dispatch_view make_view(std::vector<std::string> p_nodes, bool p_is_told, std::set<std::string> p_linked = {}) {
	return dispatch_view{ "self", std::move(p_nodes), p_is_told, [p_linked](const std::string &p_vm) { return p_linked.contains(p_vm); } };
}

} // namespace

// Guards against a fleet that was killed as a whole, whose nodes dispatch a pool each until their hubs have met.
TEST(dispatch_choice, one_node_dispatches_a_pool_however_many_have_not_been_told_yet_who_does) {
	for (const int nodes : { 3, 55, 404, 980 }) {
		for (const int last_told : { 200, 420, 900 }) {
			meeting_fleet fleet(nodes);
			fleet.run(milliseconds(last_told), milliseconds(1500));
			EXPECT_EQ(fleet.dispatching.size(), 1U) << nodes;
			EXPECT_EQ(fleet.handed, static_cast<std::size_t>(nodes));
		}
	}
}

// Guards against work that waits for a hub that never tells.
TEST(dispatch_choice, a_node_that_is_told_of_nobody_dispatches_by_itself_in_the_end) {
	EXPECT_FALSE(choose_work_node(POOL, "", make_view({}, true), dispatch_wait{ milliseconds(990) }));
	EXPECT_EQ(choose_work_node(POOL, "", make_view({}, true), dispatch_wait{ milliseconds(1000) }), "self");
}

// Guards nodes that are alone, cut off with their zone, or the last one to stop: nobody will tell them.
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
