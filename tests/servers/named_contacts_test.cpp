/*
 * calicoscale: named_contacts_test.cpp
 * Search for other parts of a fleet by the names in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/membership/named_contacts.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr instant START{ seconds(1000) };
constexpr std::size_t KNOWN_NODES = 5;
/** Between two calls, as of the heartbeats. */
constexpr duration STEP = std::chrono::milliseconds(200);

named_node make_name(const std::string &p_vm, int p_port = 7000) {
	return named_node{ p_vm, network_address{ "10.0.0.1", static_cast<std::uint16_t>(p_port) }, "z0" };
}

named_state get_unknown(const named_node &) {
	return named_state::UNKNOWN;
}

/** Counts the reads within a time, in steps. */
int count_reads(named_contacts &r_contacts, instant p_from, duration p_time) {
	int reads = 0;
	for (instant now = p_from; now < p_from + p_time; now += STEP) {
		reads += r_contacts.take_read(true, KNOWN_NODES, 0.5, now) ? 1 : 0;
	}
	return reads;
}

} // namespace

TEST(named_contacts, names_are_read_often_after_a_change_and_seldom_later) {
	named_contacts contacts("n0");
	EXPECT_GE(count_reads(contacts, START, seconds(10)), 2);
	count_reads(contacts, START + seconds(10), minutes(5));
	const int calm = count_reads(contacts, START + minutes(6), minutes(10));
	EXPECT_LE(calm, minutes(10) / named_contacts::MAX_READ_INTERVAL + 1);
	EXPECT_GE(calm, 30);
	instant read_at = START + minutes(16);
	while (!contacts.take_read(true, KNOWN_NODES, 0.5, read_at)) {
		read_at += STEP;
	}
	EXPECT_FALSE(contacts.take_read(true, KNOWN_NODES - 1, 0.5, read_at + STEP));
	EXPECT_TRUE(contacts.take_read(true, KNOWN_NODES - 1, 0.5, read_at + STEP + seconds(4)));
}

TEST(named_contacts, a_node_that_does_not_seek_reads_nothing) {
	named_contacts contacts("n0");
	for (instant now = START; now < START + minutes(1); now += STEP) {
		EXPECT_FALSE(contacts.take_read(false, KNOWN_NODES, 0.5, now));
	}
	EXPECT_FALSE(contacts.take_read(true, KNOWN_NODES, 0.5, START + minutes(1))) << "another node may turn out to seek";
}

TEST(named_contacts, unknown_nodes_are_dialled_and_known_ones_are_not) {
	named_contacts contacts("n0");
	const auto get_state = [](const named_node &p_node) {
		if (p_node.vm == "known") {
			return named_state::KNOWN;
		}
		return p_node.vm == "replaced" ? named_state::REPLACED : named_state::UNKNOWN;
	};
	const named_contact_plan plan = contacts.plan({ make_name("n0"), make_name("known"), make_name("replaced"), make_name("other") }, get_state, START);
	ASSERT_EQ(plan.dialled.size(), 1U);
	EXPECT_EQ(plan.dialled[0].vm, "other");
	EXPECT_EQ(plan.unknown, 1U);
	EXPECT_TRUE(plan.removed.empty());
}

TEST(named_contacts, many_unknown_nodes_are_dialled_a_few_at_a_time_until_all_were) {
	named_contacts contacts("n0");
	std::vector<named_node> names;
	for (int i = 0; i < 24; i++) {
		names.push_back(make_name("other" + std::to_string(i), 7000 + i));
	}
	std::set<std::string> dialled;
	for (int i = 0; i < 6; i++) {
		const named_contact_plan plan = contacts.plan(names, get_unknown, START + seconds(2) * i);
		EXPECT_EQ(plan.dialled.size(), named_contacts::MAX_ACTIONS);
		EXPECT_EQ(plan.unknown, names.size());
		for (const named_node &node : plan.dialled) {
			EXPECT_TRUE(dialled.insert(node.vm).second) << node.vm;
		}
	}
	EXPECT_EQ(dialled.size(), names.size());
}

// Guards against dialling nodes that are gone for ever, and against records that pile up in the store.
TEST(named_contacts, a_node_that_is_gone_is_dialled_less_and_less_until_its_record_is_removed) {
	named_contacts contacts("n0");
	const std::vector<named_node> names{ make_name("gone") };
	int dials = 0;
	instant now = START;
	for (; now < START + named_contacts::REMOVAL_TIME; now += seconds(2)) {
		const named_contact_plan plan = contacts.plan(names, get_unknown, now);
		dials += static_cast<int>(plan.dialled.size());
		EXPECT_TRUE(plan.removed.empty());
	}
	EXPECT_LE(dials, 20);
	EXPECT_EQ(contacts.plan(names, get_unknown, now).removed, std::vector<std::string>{ "gone" });
	contacts.plan({}, get_unknown, now);
	EXPECT_EQ(contacts.plan(names, get_unknown, now).dialled.size(), 1U) << "a record that was written again";
}

TEST(named_contacts, a_node_that_started_at_another_address_is_dialled_at_once) {
	named_contacts contacts("n0");
	EXPECT_EQ(contacts.plan({ make_name("other", 1) }, get_unknown, START).dialled.size(), 1U);
	EXPECT_EQ(contacts.plan({ make_name("other", 1) }, get_unknown, START).dialled.size(), 0U);
	EXPECT_EQ(contacts.plan({ make_name("other", 2) }, get_unknown, START).dialled.size(), 1U);
}

TEST(named_contacts, what_a_node_found_when_it_last_sought_does_not_count) {
	named_contacts contacts("n0");
	const std::vector<named_node> names{ make_name("other") };
	contacts.take_read(true, KNOWN_NODES, 0.5, START);
	contacts.plan(names, get_unknown, START);
	contacts.take_read(false, KNOWN_NODES, 0.5, START);
	const instant later = START + named_contacts::REMOVAL_TIME;
	contacts.take_read(true, KNOWN_NODES, 0.5, later);
	const named_contact_plan plan = contacts.plan(names, get_unknown, later);
	EXPECT_TRUE(plan.removed.empty());
	EXPECT_EQ(plan.dialled.size(), 1U);
}

} // namespace calicoscale
