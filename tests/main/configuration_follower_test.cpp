/*
 * calicoscale: configuration_follower_test.cpp
 * Tests that a confirmed configuration is applied in time even if earlier reads of the store failed or got no answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

/** Endpoints are read about once a second, so this many calls take longer than a change of the configuration is allowed to. */
constexpr std::size_t CALLS_OF_A_CHANGE = 3;

class configuration_follower_test : public gateway_fixture {
protected:
	/** Writes a configuration version whose only API key is p_key, as an operator would. */
	void configure_key(int p_version, const std::string &p_key) {
		json document = make_configuration(p_version);
		document["tenants"][0]["api_keys"] = { p_key };
		_store.put(CONFIGURATION_TOPIC, "config", document.dump());
	}

	int ask_with(const gateway &p_gateway, const std::string &p_key) { return ask(p_gateway, "/safe/", p_key)->head.status; }

	/** Returns a gateway that has applied this version and has just sent the waiting read for the next one. */
	gateway &start_waiting(int p_version, const std::string &p_key) {
		configure(1);
		add_replica("llm");
		gateway &entry = start_ready();
		configure_key(p_version, p_key);
		run_until([this, &entry, &p_key] { return ask_with(entry, p_key) == 200; });
		return entry;
	}

	void wait_for_calls(std::size_t p_number) {
		const std::size_t calls = _store.get_calls();
		run_until([this, calls, p_number] { return _store.get_calls() >= calls + p_number; });
	}
};

} // namespace

/*
 * Guards against a node that keeps an outdated configuration (401 for new keys, old routes) for 3.5 s after a confirmed
 * change. It comes about when the store stops answering for 6 s: the waiting read of the configuration times out and the next
 * one is sent while the store is still silent. The store then answers reads of the endpoints and confirms changes, but the
 * waiting read gets no answer until its own time-out of 5 s. A waiting read is silent both when nothing has changed and when
 * its connection is dead, so the node has to send another read to tell the two apart.
 */
TEST_F(configuration_follower_test, a_change_after_the_store_was_silent_is_in_force_as_soon_as_the_store_is_heard_again) {
	gateway &entry = start_waiting(2, "key-of-2");
	_store.set_mute(true);
	run_until([this] { return _store.count_unanswered() >= 3; });
	_store.set_mute(false);
	configure_key(3, "key-of-3");
	wait_for_calls(CALLS_OF_A_CHANGE);
	EXPECT_EQ(ask_with(entry, "key-of-3"), 200) << "the store has answered other reads since the change";
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
}

TEST_F(configuration_follower_test, before_the_first_version_the_store_is_waited_on_and_not_asked_without_end) {
	start_gateway();
	wait(milliseconds(900));
	// Two waiting reads of the configuration, one read of the endpoints each 0.3 s, and one call for the own name.
	EXPECT_LE(_store.get_calls(), 9U);
}

/** The same cause without an outage: one answer of the store is lost, and its connection stays silent afterwards. */
TEST_F(configuration_follower_test, a_change_is_in_force_in_time_though_the_waiting_read_is_dead) {
	gateway &entry = start_waiting(2, "key-of-2");
	_store.lose_waiting_reads();
	configure_key(3, "key-of-3");
	wait_for_calls(CALLS_OF_A_CHANGE);
	EXPECT_EQ(ask_with(entry, "key-of-3"), 200);
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
}

} // namespace calicoscale
