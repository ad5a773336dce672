/*
 * calicoscale: routing_test.cpp
 * Selection of endpoints: eligibility, ejection, leaving, zones, affinity.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/digest.h"
#include "servers/routing/router.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace calicoscale {

namespace {

instant at(std::int64_t p_milliseconds) {
	return instant(std::chrono::milliseconds(p_milliseconds));
}

endpoint_listing make_listing(const std::string &p_vm, const std::string &p_zone = "z1", std::uint64_t p_incarnation = 1) {
	endpoint_listing listing;
	listing.vm = p_vm;
	listing.incarnation = p_incarnation;
	listing.zone = p_zone;
	listing.pool = "pool";
	listing.address = network_address{ "127.0.0.1", 1000 };
	listing.labels.values = { { "vm", p_vm }, { "zone", p_zone } };
	return listing;
}

std::vector<endpoint_listing> make_pool(int p_count, const std::vector<std::string> &p_zones = { "z1" }) {
	std::vector<endpoint_listing> listings;
	for (int i = 0; i < p_count; i++) {
		listings.push_back(make_listing("vm" + std::to_string(i), p_zones[static_cast<std::size_t>(i) % p_zones.size()]));
	}
	return listings;
}

choice_request make_request() {
	choice_request request;
	request.pool = "pool";
	return request;
}

std::string choose_vm(router &r_router, const choice_request &p_request, instant p_now) {
	const std::optional<endpoint_id> chosen = r_router.choose(p_request, p_now);
	return chosen ? r_router.find(*chosen)->listing.vm : "";
}

void run_attempt(router &r_router, endpoint_id p_endpoint, const attempt_observation &p_observation, instant p_now) {
	r_router.on_attempt_started(p_endpoint, p_now);
	r_router.on_attempt_ended(p_endpoint, p_observation, p_now);
}

attempt_observation make_success(int p_elapsed, int p_usual) {
	return attempt_observation{ { verdict::COMPLETED, reason::NONE }, std::chrono::milliseconds(p_elapsed), std::chrono::milliseconds(p_usual) };
}

attempt_observation make_failure(reason p_reason) {
	return attempt_observation{ { verdict::MAY_HAVE_RUN, p_reason }, std::chrono::milliseconds(5), duration::zero() };
}

/** Applies lists, leaving marks, attempts and choices in random order and checks the router after each step. */
class router_world {
	choice_source &_choices;
	router _router{ "z1", 1 };
	std::map<std::string, std::uint64_t> _marks; ///< Expected leaving marks: highest leaving incarnation of each VM.
	std::map<std::string, std::uint64_t> _listed_incarnations; ///< Incarnations on the last list.
	std::vector<endpoint_id> _open;
	instant _now{};

	void _list() {
		std::vector<endpoint_listing> listings;
		_listed_incarnations.clear();
		for (int i = 0; i < 6; i++) {
			if (_choices.one_in(5)) {
				continue;
			}
			endpoint_listing listing = make_listing("vm" + std::to_string(i), i % 2 == 0 ? "z1" : "z2", 1 + _choices.pick(3));
			// A stale list may show an endpoint as not leaving although it was marked before.
			listing.leaving = _choices.one_in(8);
			if (listing.leaving) {
				_marks[listing.vm] = std::max(_marks[listing.vm], listing.incarnation);
			}
			listings.push_back(listing);
		}
		_router.set_listings(listings);
		for (const endpoint_listing &listing : listings) {
			_listed_incarnations[listing.vm] = listing.incarnation;
		}
	}

	void _choose() {
		const std::optional<endpoint_id> chosen = _router.choose(make_request(), _now);
		if (!chosen) {
			return;
		}
		const endpoint_state *endpoint = _router.find(*chosen);
		RC_ASSERT(endpoint != nullptr);
		RC_ASSERT(_listed_incarnations.contains(endpoint->listing.vm));
		const auto mark = _marks.find(endpoint->listing.vm);
		RC_ASSERT(mark == _marks.end() || endpoint->listing.incarnation > mark->second);
		_router.on_attempt_started(*chosen, _now);
		_open.push_back(*chosen);
	}

	void _end() {
		if (_open.empty()) {
			return;
		}
		const std::size_t index = _choices.pick(static_cast<std::uint32_t>(_open.size()));
		const endpoint_id id = _open[index];
		_open.erase(_open.begin() + static_cast<std::ptrdiff_t>(index));
		const endpoint_state *endpoint = _router.find(id);
		RC_ASSERT(endpoint != nullptr); // An endpoint with open attempts is kept although it is no longer listed.
		const std::string vm = endpoint->listing.vm;
		const std::uint64_t incarnation = endpoint->listing.incarnation;
		switch (_choices.pick(4)) {
			case 0:
				_router.on_attempt_ended(id, make_success(10, 10), _now);
				return;
			case 1:
				_router.on_attempt_ended(id, make_failure(reason::CONNECTION_LOST), _now);
				return;
			case 2:
				_router.on_attempt_ended(id, make_failure(reason::CANCELLED), _now);
				return;
			default:
				_marks[vm] = std::max(_marks[vm], incarnation);
				_router.on_attempt_ended(id, attempt_observation{ { verdict::NOT_RUN, reason::REFUSED_LEAVING }, {}, {} }, _now);
		}
	}

	void _check() {
		int in_flight = 0;
		_router.for_each([&in_flight](const endpoint_state &p_endpoint) {
			RC_ASSERT(p_endpoint.in_flight >= 0);
			in_flight += p_endpoint.in_flight;
		});
		RC_ASSERT(in_flight == static_cast<int>(_open.size()));
	}

public:
	explicit router_world(choice_source &r_choices) :
			_choices(r_choices) {}

	void run() {
		_list();
		while (!_choices.is_empty()) {
			_now += std::chrono::milliseconds(_choices.pick(500));
			switch (_choices.pick(6)) {
				case 0:
					_list();
					break;
				case 1: {
					const std::string vm = "vm" + std::to_string(_choices.pick(6));
					const std::uint64_t incarnation = 1 + _choices.pick(3);
					_marks[vm] = std::max(_marks[vm], incarnation);
					_router.mark_leaving(vm, incarnation);
					break;
				}
				case 2:
					_end();
					break;
				default:
					_choose();
					break;
			}
			_check();
		}
	}
};

} // namespace

TEST(router_restart, a_later_start_is_reported_at_once_and_begins_anew) {
	router table("z1", 1);
	table.set_listings({ make_listing("vm0", "z1", 5) });
	const endpoint_id earlier = *table.choose(make_request(), at(0));
	table.on_attempt_started(earlier, at(0));
	for (int i = 0; i < 5; i++) {
		run_attempt(table, earlier, make_failure(reason::CONNECTION_LOST), at(0));
	}
	table.mark_leaving("vm0", 5);
	table.take_changes();
	table.set_listings({ make_listing("vm0", "z1", 6) });
	const std::vector<endpoint_change> changes = table.take_changes();
	ASSERT_EQ(changes.size(), 2U);
	EXPECT_EQ(changes[0].what, endpoint_change::kind::REPLACED);
	EXPECT_EQ(changes[0].endpoint, (endpoint_identity{ "vm0", 5 }));
	EXPECT_EQ(changes[1].endpoint, (endpoint_identity{ "vm0", 6 }));
	const endpoint_state &later = *table.find(*table.choose(make_request(), at(0)));
	EXPECT_EQ(later.listing.incarnation, 6U);
	EXPECT_EQ(later.in_flight, 0);
	EXPECT_EQ(later.consecutive_failures, 0);
	EXPECT_EQ(later.get_slowness(at(0)), 1.0);
	// An attempt at the earlier incarnation that finishes late must not change the later one.
	table.on_attempt_ended(earlier, attempt_observation{ { verdict::NOT_RUN, reason::REFUSED_LEAVING }, {}, {} }, at(10));
	EXPECT_EQ(choose_vm(table, make_request(), at(10)), "vm0");
	const std::vector<endpoint_change> after = table.take_changes();
	ASSERT_EQ(after.size(), 1U);
	EXPECT_EQ(after[0].what, endpoint_change::kind::REMOVED);
	EXPECT_EQ(after[0].endpoint, (endpoint_identity{ "vm0", 5 }));
}

TEST(router_restart, a_start_that_becomes_known_is_no_other_one) {
	router table("z1", 1);
	table.set_listings({ make_listing("vm0", "z1", 0) });
	const endpoint_id known = *table.choose(make_request(), at(0));
	table.take_changes();
	table.set_listings({ make_listing("vm0", "z1", 6) });
	EXPECT_TRUE(table.take_changes().empty());
	EXPECT_EQ(table.find(known)->listing.incarnation, 6U);
	EXPECT_EQ(table.choose(make_request(), at(0)), known);
}

// Guards against a version that a list still attributes to an endpoint which has started again without naming its start.
TEST(router_restart, an_entry_with_another_version_is_another_start) {
	router choices("z1", 1);
	endpoint_listing listing = make_listing("vm0", "z1", 0);
	listing.version = "v1";
	choices.set_listings({ listing });
	choice_request of_v1 = make_request();
	of_v1.admits = [](const endpoint_listing &p_listing) { return p_listing.version == "v1"; };
	const std::optional<endpoint_id> begun = choices.choose(of_v1, at(0));
	ASSERT_TRUE(begun.has_value());
	choices.on_attempt_started(*begun, at(0));
	listing.version = "v2";
	choices.set_listings({ listing });
	EXPECT_FALSE(choices.choose(of_v1, at(1)).has_value());
	EXPECT_NE(choices.choose(make_request(), at(1)), begun);
	ASSERT_NE(choices.find(*begun), nullptr);
	EXPECT_EQ(choices.find(*begun)->listing.version, "v1");
}

TEST(router_restart, a_version_that_becomes_known_is_no_other_start) {
	router choices("z1", 1);
	endpoint_listing listing = make_listing("vm0", "z1", 0);
	choices.set_listings({ listing });
	const std::optional<endpoint_id> before = choices.choose(make_request(), at(0));
	listing.version = "v1";
	choices.set_listings({ listing });
	EXPECT_EQ(choices.choose(make_request(), at(1)), before);
	EXPECT_EQ(choices.find(*before)->listing.version, "v1");
}

RC_GTEST_PROP(router_properties, what_has_left_gets_no_new_work_whatever_lists_say, ()) {
	choice_source choices(400);
	router_world(choices).run();
}

RC_GTEST_PROP(router_properties, never_ejects_more_than_its_share, (const std::vector<std::uint8_t> &p_failures)) {
	router table("z1", 1);
	table.set_listings(make_pool(6));
	for (const std::uint8_t failure : p_failures) {
		const endpoint_id id = 1 + failure % 6;
		run_attempt(table, id, make_failure(reason::CONNECTION_LOST), at(0));
		int ejected = 0;
		table.for_each([&ejected](const endpoint_state &p_endpoint) { ejected += p_endpoint.ejected ? 1 : 0; });
		RC_ASSERT(ejected <= 3);
		RC_ASSERT(table.choose(make_request(), at(0)).has_value());
	}
}

TEST(router, failing_endpoint_is_ejected_and_comes_back_by_trial) {
	router table("z1", 1);
	table.set_listings(make_pool(4));
	for (int i = 0; i < 5; i++) {
		run_attempt(table, 1, make_failure(reason::CONNECTION_LOST), at(0));
	}
	EXPECT_TRUE(table.find(1)->ejected);
	for (int i = 0; i < 200; i++) {
		EXPECT_NE(table.choose(make_request(), at(500)), std::optional<endpoint_id>(1));
	}
	table.on_attempt_started(1, at(30'000));
	for (int i = 0; i < 200; i++) {
		EXPECT_NE(table.choose(make_request(), at(30'000)), std::optional<endpoint_id>(1)) << "one trial at a time";
	}
	table.on_attempt_ended(1, make_success(10, 10), at(30'000));
	EXPECT_FALSE(table.find(1)->ejected);
}

TEST(router, failed_trial_lengthens_the_back_off) {
	router table("z1", 1);
	table.set_listings(make_pool(4));
	for (int i = 0; i < 5; i++) {
		run_attempt(table, 1, make_failure(reason::CONNECTION_LOST), at(0));
	}
	const duration first = table.find(1)->ejected_until - at(0);
	run_attempt(table, 1, make_failure(reason::CONNECTION_LOST), at(2000));
	EXPECT_GT(table.find(1)->ejected_until - at(2000), first);
}

TEST(router, slow_endpoint_gets_little_work) {
	router table("z1", 1);
	table.set_listings(make_pool(5));
	std::map<std::string, int> counts;
	for (int i = 0; i < 1000; i++) {
		const endpoint_id id = *table.choose(make_request(), at(i));
		counts[table.find(id)->listing.vm]++;
		run_attempt(table, id, make_success(id == 1 ? 200 : 10, 10), at(i));
	}
	EXPECT_LT(counts["vm0"], 60);
}

TEST(router, endpoint_that_fails_now_and_then_is_left_at_once) {
	router table("z1", 1);
	table.set_listings(make_pool(3, { "z1", "z2", "z3" }));
	// Half of its attempts succeed, so it is never ejected. The router must still prefer other zones over the own zone's only endpoint.
	int first = 0;
	for (int i = 0; i < 200; i++) {
		const endpoint_id id = *table.choose(make_request(), at(i * 10));
		const bool fails = id == 1 && first++ % 2 == 1;
		run_attempt(table, id, fails ? make_failure(reason::ENDPOINT_ERROR) : make_success(10, 10), at(i * 10));
	}
	EXPECT_LT(first, 10);
	EXPECT_FALSE(table.find(1)->ejected);
}

TEST(router, pool_that_never_reports_is_steered_by_own_attempts) {
	router table("z1", 1);
	table.set_listings(make_pool(2));
	for (int i = 0; i < 10; i++) {
		table.on_attempt_started(1, at(0));
	}
	int second = 0;
	for (int i = 0; i < 100; i++) {
		second += table.choose(make_request(), at(0)) == std::optional<endpoint_id>(2) ? 1 : 0;
	}
	EXPECT_GT(second, 70);
}

TEST(router, old_reports_fade) {
	endpoint_state endpoint;
	endpoint.has_report = true;
	endpoint.report = endpoint_load{ 20.0, 10.0, at(0) };
	EXPECT_NEAR(endpoint.get_load(at(0)), 30.0, 0.01);
	EXPECT_LT(endpoint.get_load(at(10'000)), 0.3);
}

TEST(router, own_zone_first_until_it_is_worse) {
	router table("z1", 1);
	table.set_listings(make_pool(6, { "z1", "z2" }));
	for (int i = 0; i < 50; i++) {
		const endpoint_id id = *table.choose(make_request(), at(0));
		EXPECT_EQ(table.find(id)->listing.zone, "z1");
	}
	for (int i = 0; i < 30; i++) {
		table.on_attempt_started(1, at(0));
		table.on_attempt_started(3, at(0));
		table.on_attempt_started(5, at(0));
	}
	EXPECT_EQ(table.find(*table.choose(make_request(), at(0)))->listing.zone, "z2");
}

TEST(router, endpoints_of_a_zone_that_is_cut_off_are_chosen_only_when_no_other_is_left) {
	router table("z1", 1);
	table.set_listings(make_pool(4, { "z1", "z2" }));
	table.set_unreachable_zones({ "z1" });
	EXPECT_EQ(table.find(*table.choose(make_request(), at(0)))->listing.zone, "z2");
	EXPECT_EQ(table.get_usable(choice_request{ "pool", {}, 0, {}, nullptr }, at(0)).size(), 2U);
	table.set_unreachable_zones({ "z1", "z2" });
	EXPECT_TRUE(table.choose(make_request(), at(0)));
	EXPECT_EQ(table.get_usable(choice_request{ "pool", {}, 0, {}, nullptr }, at(0)).size(), 4U);
	table.set_unreachable_zones({});
	EXPECT_EQ(table.find(*table.choose(make_request(), at(0)))->listing.zone, "z1");
}

TEST(router, selector_and_drain_bound_the_choice) {
	router table("z1", 1);
	table.set_listings(make_pool(4));
	choice_request request = make_request();
	request.endpoints.requirements = { requirement{ "vm", match_operator::IN, { "vm1", "vm2" } } };
	router_settings settings;
	settings.drains = { selector{ { requirement{ "vm", match_operator::EQUALS, { "vm2" } } } } };
	table.set_settings(settings);
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(choose_vm(table, request, at(0)), "vm1");
	}
	EXPECT_EQ(table.count_open("pool", request.endpoints), 1U);
}

TEST(router, affinity_keeps_a_key_at_one_endpoint_and_sheds_load) {
	router table("z1", 1);
	table.set_listings(make_pool(10));
	choice_request request = make_request();
	request.affinity_key = hash_bytes("customer and prefix");
	const std::string home = choose_vm(table, request, at(0));
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(choose_vm(table, request, at(0)), home);
	}
	const endpoint_id id = *table.choose(request, at(0));
	for (int i = 0; i < 20; i++) {
		table.on_attempt_started(id, at(0));
	}
	EXPECT_NE(choose_vm(table, request, at(0)), home);
}

TEST(router, affinity_does_not_hold_to_a_slow_endpoint) {
	router table("z1", 1);
	table.set_listings(make_pool(10));
	choice_request request = make_request();
	request.affinity_key = hash_bytes("customer and prefix");
	const endpoint_id home = *table.choose(request, at(0));
	for (int i = 0; i < 5; i++) {
		run_attempt(table, home, make_success(40, 10), at(0));
	}
	EXPECT_NE(*table.choose(request, at(0)), home);
	EXPECT_EQ(*table.choose(request, at(60'000)), home) << "it is tried again once the memory has faded";
}

TEST(router, affinity_moves_few_keys_when_an_endpoint_leaves) {
	router table("z1", 1);
	table.set_listings(make_pool(10));
	std::map<int, std::string> before;
	for (int key = 1; key <= 500; key++) {
		choice_request request = make_request();
		request.affinity_key = hash_bytes(std::to_string(key));
		before[key] = choose_vm(table, request, at(0));
	}
	table.mark_leaving("vm3", 1);
	for (int key = 1; key <= 500; key++) {
		choice_request request = make_request();
		request.affinity_key = hash_bytes(std::to_string(key));
		const std::string after = choose_vm(table, request, at(0));
		EXPECT_TRUE(before[key] == "vm3" || before[key] == after);
	}
}

TEST(router, everything_ejected_or_avoided_still_gets_an_endpoint) {
	router table("z1", 1);
	router_settings settings;
	settings.max_ejected_share = 1.0;
	table.set_settings(settings);
	table.set_listings(make_pool(2));
	for (int i = 0; i < 5; i++) {
		run_attempt(table, 1, make_failure(reason::CONNECTION_LOST), at(0));
		run_attempt(table, 2, make_failure(reason::CONNECTION_LOST), at(0));
	}
	choice_request request = make_request();
	request.avoid = { 1, 2 };
	EXPECT_TRUE(table.choose(request, at(0)).has_value());
}

TEST(routing_policy, baselines) {
	router table("z1", 1);
	router_settings settings;
	settings.policy = routing_policy::ROUND_ROBIN;
	table.set_settings(settings);
	table.set_listings(make_pool(3));
	std::set<std::string> seen;
	for (int i = 0; i < 3; i++) {
		seen.insert(choose_vm(table, make_request(), at(0)));
	}
	EXPECT_EQ(seen.size(), 3U);
	settings.policy = routing_policy::LEAST_REPORTED;
	table.set_settings(settings);
	table.apply_report(1, endpoint_load{ 5, 0, at(0) });
	table.apply_report(2, endpoint_load{ 1, 0, at(0) });
	table.apply_report(3, endpoint_load{ 9, 0, at(0) });
	EXPECT_EQ(table.choose(make_request(), at(0)), std::optional<endpoint_id>(2));
	EXPECT_FALSE(find_routing_policy("no such policy").has_value());
}

} // namespace calicoscale
