/*
 * calicoscale: gateway_restart_test.cpp
 * Tests how a gateway handles an endpoint that restarts under the same name.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

class gateway_restart_test : public gateway_fixture {
protected:
	/** Writes the entry that a restarted replica would write: same name and address, start time p_born. */
	void restart(const standin_replica &p_replica, const std::string &p_service, std::uint64_t p_born, bool p_leaving = false) {
		json entry = json::parse(p_replica.get_entry(p_service, p_leaving));
		entry["born"] = p_born;
		_store.put(ENDPOINT_TOPIC, p_replica.get_name(), entry.dump());
	}

	static std::uint64_t get_wall() { return static_cast<std::uint64_t>(event_loop::wall()); }
};

} // namespace

TEST_F(gateway_restart_test, a_request_at_the_earlier_start_ends_and_is_not_sent_to_the_later_one) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	const std::shared_ptr<caller_result> result = send_lengthy(entry);
	run_until([&replica] { return replica.runs.size() == 1; });
	wait(milliseconds(2300));
	replica.mode = replica_mode::ANSWER;
	const instant restarted = event_loop::now();
	restart(replica, "llm", get_wall());
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->head.status, 502) << "it may have run";
	EXPECT_LT(event_loop::now() - restarted, duration(milliseconds(4000))) << "its deadline is 6.7 s away";
	EXPECT_EQ(replica.runs.size(), 1U);
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
}

TEST_F(gateway_restart_test, a_request_that_met_the_later_start_before_it_was_known_is_not_cut) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	replica.mode = replica_mode::HOLD;
	const std::uint64_t born = get_wall();
	exchange_id ignored = 0;
	const std::shared_ptr<caller_result> result = send(entry, "/once/", "key-1", "", &ignored);
	run_until([&replica] { return replica.runs.size() == 1; });
	restart(replica, "llm", born);
	wait(milliseconds(1500));
	EXPECT_FALSE(result->end.has_value());
	EXPECT_FALSE(replica.is_held_gone());
}

TEST_F(gateway_restart_test, an_endpoint_that_left_serves_again_after_a_restart_and_its_late_entry_changes_nothing) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	_store.put(ENDPOINT_TOPIC, replica.get_name(), replica.get_entry("llm", true));
	run_until([this, &entry] { return ask(entry, "/once/")->head.status == 503; });
	restart(replica, "llm", get_wall());
	run_until([this, &entry] { return ask(entry, "/once/")->head.status == 200; });
	_store.put(ENDPOINT_TOPIC, replica.get_name(), replica.get_entry("llm", true));
	wait(milliseconds(1500));
	EXPECT_EQ(ask(entry, "/once/")->head.status, 200);
}

TEST_F(gateway_restart_test, all_nodes_use_an_endpoint_that_left_and_started_again) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &one = start_ready();
	gateway &other = start_ready();
	_store.put(ENDPOINT_TOPIC, replica.get_name(), replica.get_entry("llm", true));
	for (gateway *entry : { &one, &other }) {
		run_until([this, entry] { return ask(*entry, "/once/")->head.status == 503; });
	}
	restart(replica, "llm", get_wall());
	for (gateway *entry : { &one, &other }) {
		run_until([this, entry] { return ask(*entry, "/once/")->head.status == 200; });
	}
	wait(milliseconds(1500));
	EXPECT_EQ(ask(one, "/once/")->head.status, 200) << "news of the earlier start change nothing";
	EXPECT_EQ(ask(other, "/once/")->head.status, 200);
}

TEST_F(gateway_restart_test, stages_at_a_replica_that_started_again_are_made_again) {
	configure(1);
	add_replica("llm");
	standin_replica &encode = add_replica("encode");
	add_replica("search");
	gateway &entry = start_ready();
	encode.hold_stages = true;
	const std::shared_ptr<caller_result> result = send(entry, "/stream/staged/", "key-1", "X-Segments: 1,1\r\nX-Segment-Key: s\r\n");
	run_until([&encode] { return encode.get_held_stages() == 1; });
	encode.hold_stages = false;
	restart(encode, "encode", get_wall());
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->head.status, 200);
	EXPECT_EQ(result->body, WHOLE_STREAM);
}

/**
 * Peers of an older program version send lists and deltas of endpoints without start times. Guards against a node that
 * relies on these and doesn't read the start times from the store.
 */
TEST_F(gateway_restart_test, a_node_told_by_one_that_knows_no_starts_reads_them_by_itself) {
	standin_replica &replica = add_replica("llm");
	gateway_settings settings;
	settings.vm = "n";
	settings.store_address = _store.get_address();
	gateway_context context(_loop, settings);
	endpoint_follower follower(context);
	const auto get_start = [&follower] {
		const std::vector<endpoint_listing> listings = follower.get_directory().get_listings();
		return listings.empty() ? 0 : listings.front().incarnation;
	};
	follower.set_has_peer_reader(true);
	follower.start();
	endpoint_listing listing;
	listing.vm = replica.get_name();
	listing.pool = "llm";
	listing.address = replica.get_address();
	follower.offer({ listing }, { 0, 0 }, "peer");
	EXPECT_TRUE(follower.is_loaded());
	run_until([&] { return get_start() == replica.get_born(); });
	const std::uint64_t born = get_wall() + 1;
	restart(replica, "llm", born);
	endpoint_delta reading;
	reading.from = 1;
	reading.to = 2;
	reading.written = { listing };
	reading.listed = follower.get_directory().get_listed();
	follower.apply_delta(reading, "peer");
	run_until([&] { return get_start() == born; });
}

} // namespace calicoscale
