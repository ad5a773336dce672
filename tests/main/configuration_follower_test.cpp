/*
 * calicoscale: configuration_follower_test.cpp
 * A confirmed configuration is in force in time, whatever became of the reads before it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

/** Endpoints are read about once a second, so this many calls take longer than a change of the configuration may. */
constexpr std::size_t CALLS_OF_A_CHANGE = 3;

class configuration_follower_test : public gateway_fixture {
protected:
	/** Puts a version that knows this key only, as the operators would. */
	void configure_key(int p_version, const std::string &p_key) {
		json document = make_configuration(p_version);
		document["tenants"][0]["api_keys"] = { p_key };
		_store.put(CONFIGURATION_TOPIC, "config", document.dump());
	}

	int ask_with(const gateway &p_gateway, const std::string &p_key) { return ask(p_gateway, "/safe/", p_key)->head.status; }

	/** A gateway that has just begun to wait for the version after this one. */
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
 * Callers with new keys were refused with 401, and old routes served, for three and a half seconds after a change had been
 * confirmed. Order of events: the store falls silent for six seconds; each node's waiting read of the configuration times
 * out and the next one is sent, into the silence; the store returns, reads of the endpoints are answered again, changes are
 * confirmed; the waiting read stays silent until its own time-out of five seconds. Cause: a read that waits is silent both
 * when nothing has changed and when its connection is dead, and nothing else was asked. Evidence: every node lost the store
 * for the configuration five seconds after a read was sent, and regained it five seconds and two retries later, while it had
 * regained it for the endpoints four seconds before; no node made another call between the two.
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
	// Two waiting reads of the configuration, the endpoints each 0.3 s, the own name.
	EXPECT_LE(_store.get_calls(), 9U);
}

/** The same cause without an outage: one answer of the store is lost, and its connection says nothing more. */
TEST_F(configuration_follower_test, a_change_is_in_force_in_time_though_the_waiting_read_is_dead) {
	gateway &entry = start_waiting(2, "key-of-2");
	_store.lose_waiting_reads();
	configure_key(3, "key-of-3");
	wait_for_calls(CALLS_OF_A_CHANGE);
	EXPECT_EQ(ask_with(entry, "key-of-3"), 200);
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
}

} // namespace calicoscale
