/*
 * calicoscale: gateway_era_test.cpp
 * Tests complete gateways whose store is restored from a copy that is some seconds old.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

class gateway_era_test : public gateway_fixture {
protected:
	void SetUp() override {
		gateway_fixture::SetUp();
		// Restores a copy once, so that answers carry an era from the beginning.
		_store.take_copy();
		_store.come_back_from_copy();
	}

	void configure_key(int p_version, const std::string &p_key) {
		json document = make_configuration(p_version);
		document["tenants"][0]["api_keys"] = { p_key };
		_store.put(CONFIGURATION_TOPIC, "config", document.dump());
	}

	int ask_with(const gateway &p_gateway, const std::string &p_key) { return ask(p_gateway, "/safe/", p_key)->head.status; }

	void list(const standin_replica &p_replica, bool p_leaving = false) { _store.put(ENDPOINT_TOPIC, p_replica.get_name(), p_replica.get_entry("llm", p_leaving)); }

	/** Appends records that describe no endpoint, so that reused offsets exceed those that were known. */
	void write_others(int p_number) {
		for (int i = 0; i < p_number; i++) {
			_store.put(ENDPOINT_TOPIC, "other", "no entry " + std::to_string(i));
		}
	}
};

} // namespace

/*
 * By the time the node reads again, the restored log has grown past the node's offset. The records between the end of the copy
 * and that offset were never read, and only the era shows it.
 */
TEST_F(gateway_era_test, records_under_offsets_that_are_given_out_again_are_read) {
	configure(1);
	standin_replica &old = add_replica("llm");
	gateway &entry = start_ready();
	_store.take_copy();
	write_others(3);
	wait(milliseconds(1200));
	_store.come_back_from_copy();
	standin_replica &added = add_replica("llm");
	list(old, true);
	write_others(6);
	wait(milliseconds(2000));
	const std::size_t before = old.runs.size();
	for (int i = 0; i < 8; i++) {
		EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	}
	EXPECT_EQ(old.runs.size(), before) << "it said that it leaves under an offset that this node had read before";
	EXPECT_EQ(added.runs.size(), 8U);
}

TEST_F(gateway_era_test, a_configuration_does_not_go_back_and_one_confirmed_under_a_reused_offset_is_taken) {
	configure_key(1, "key-of-1");
	add_replica("llm");
	gateway &entry = start_ready();
	_store.take_copy();
	configure_key(2, "key-of-2");
	run_until([this, &entry] { return ask_with(entry, "key-of-2") == 200; });
	_store.come_back_from_copy();
	wait(milliseconds(2500));
	EXPECT_EQ(ask_with(entry, "key-of-1"), 401) << "revoked before";
	EXPECT_EQ(ask_with(entry, "key-of-2"), 200);
	configure_key(3, "key-of-3");
	run_until([this, &entry] { return ask_with(entry, "key-of-3") == 200; });
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
}

TEST_F(gateway_era_test, a_change_is_in_force_in_time_also_right_after_the_return) {
	configure_key(1, "key-of-1");
	add_replica("llm");
	gateway &entry = start_ready();
	_store.take_copy();
	for (int version = 2; version < 6; version++) {
		configure_key(version, "key-of-" + std::to_string(version));
	}
	run_until([this, &entry] { return ask_with(entry, "key-of-5") == 200; });
	_store.come_back_from_copy();
	configure_key(6, "key-of-6");
	wait(milliseconds(2000));
	EXPECT_EQ(ask_with(entry, "key-of-6"), 200);
}

TEST_F(gateway_era_test, an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again) {
	configure(1);
	standin_replica &near = add_replica("llm", "a");
	add_replica("llm", "b");
	gateway &entry = start_ready();
	_store.take_copy();
	_store.put(CONFIGURATION_TOPIC, "evacuate/a", "{}");
	wait(milliseconds(700));
	_store.come_back_from_copy();
	for (int i = 0; i < 20; i++) {
		wait(milliseconds(150));
		EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	}
	_store.put(CONFIGURATION_TOPIC, "evacuate/a", "{}");
	wait(milliseconds(700));
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	EXPECT_TRUE(near.runs.empty());
}

TEST_F(gateway_era_test, endpoints_that_the_copy_lacks_are_used_until_they_could_write_again) {
	configure(1);
	gateway &entry = start_gateway();
	_store.take_copy();
	standin_replica &replica = add_replica("llm");
	run_until([this, &entry] { return ask_ready(entry) == 200; });
	_store.come_back_from_copy();
	wait(milliseconds(1300));
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	list(replica);
	wait(milliseconds(2500));
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
}

TEST_F(gateway_era_test, an_endpoint_that_left_does_not_come_back_with_the_copy) {
	configure(1);
	standin_replica &staying = add_replica("llm");
	standin_replica &leaving = add_replica("llm");
	standin_replica &removed = add_replica("llm");
	gateway &entry = start_ready();
	_store.take_copy();
	list(leaving, true);
	_store.drop(ENDPOINT_TOPIC, removed.get_name());
	wait(milliseconds(2000));
	const std::size_t before = leaving.runs.size() + removed.runs.size();
	_store.come_back_from_copy();
	wait(milliseconds(1300));
	for (int i = 0; i < 12; i++) {
		EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	}
	EXPECT_EQ(leaving.runs.size() + removed.runs.size(), before);
	EXPECT_EQ(staying.runs.size(), 12U);
	list(removed);
	// Unless this endpoint leaves, the others need not be chosen, as it has no running requests.
	list(staying, true);
	wait(milliseconds(2000));
	for (int i = 0; i < 12; i++) {
		EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	}
	EXPECT_EQ(removed.runs.size(), 12U) << "one that writes again lives";
}

TEST_F(gateway_era_test, a_node_that_is_told_readings_learns_of_the_copy_from_its_reader) {
	configure(1);
	standin_replica &old = add_replica("llm");
	start_ready();
	start_ready();
	start_ready();
	wait(milliseconds(800));
	_store.take_copy();
	write_others(3);
	wait(milliseconds(1200));
	_store.come_back_from_copy();
	standin_replica &added = add_replica("llm");
	list(old, true);
	write_others(6);
	wait(milliseconds(3000));
	const std::size_t before = old.runs.size();
	for (const std::unique_ptr<gateway> &node : _gateways) {
		for (int i = 0; i < 4; i++) {
			EXPECT_EQ(ask(*node, "/safe/")->head.status, 200);
		}
	}
	EXPECT_EQ(old.runs.size(), before);
	EXPECT_EQ(added.runs.size(), 12U);
}

TEST_F(gateway_era_test, two_copies_in_a_row_one_of_them_in_an_outage) {
	configure_key(1, "key-of-1");
	standin_replica &old = add_replica("llm");
	gateway &entry = start_ready();
	_store.take_copy();
	configure_key(2, "key-of-2");
	run_until([this, &entry] { return ask_with(entry, "key-of-2") == 200; });
	_store.come_back_from_copy();
	_store.set_away(true);
	wait(milliseconds(600));
	_store.come_back_from_copy();
	_store.set_away(false);
	standin_replica &added = add_replica("llm");
	list(old, true);
	configure_key(3, "key-of-3");
	wait(milliseconds(3000));
	EXPECT_EQ(ask_with(entry, "key-of-3"), 200);
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
	EXPECT_GT(added.runs.size(), 0U);
	const std::size_t before = old.runs.size();
	EXPECT_EQ(ask_with(entry, "key-of-3"), 200);
	EXPECT_EQ(old.runs.size(), before);
}

TEST_F(gateway_era_test, a_hub_names_itself_again) {
	configure(1);
	add_replica("llm");
	_store.take_copy();
	start_ready();
	run_until([this] { return _store.find("keyed.calicoscale-nodes", "n0").has_value(); });
	_store.come_back_from_copy();
	run_until([this] { return _store.find("keyed.calicoscale-nodes", "n0").has_value(); });
}

} // namespace calicoscale
