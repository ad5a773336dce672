/*
 * calicoscale: configuration_follower_test.cpp
 * Tests that a confirmed configuration is applied in time even if earlier reads of the store failed or got no answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include "servers/membership/store_coverage.h"

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

/** Endpoints are read about once a second, so this many calls take longer than a change of the configuration is allowed to. */
constexpr std::size_t CALLS_OF_A_CHANGE = 3;
/** Longer than the time within which a change must be in force, by default 2 s. */
constexpr duration LONGER_THAN_APPLY_TIME = milliseconds(3500);
constexpr const char *UNKNOWN_PATH = "/none/";
/** Maximum number of reads that a silent store receives in the time of the requests of a test: four open ones of each topic. */
constexpr std::size_t MAX_OPEN_READS = 8;

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

	/** Returns a ready gateway with one endpoint and version 1. */
	gateway &start_with_version() {
		configure(1);
		add_replica("llm");
		return start_ready();
	}

	/** Sends requests for an unknown path until one gets the status, and returns the other statuses that came before. */
	std::set<int> ask_until(const gateway &p_gateway, int p_status) {
		std::set<int> others;
		run_until([this, &p_gateway, &others, p_status] {
			const int status = ask(p_gateway, UNKNOWN_PATH)->head.status;
			if (status != p_status) {
				others.insert(status);
			}
			return status == p_status;
		});
		return others;
	}

	/** Sends requests for an unknown path for this time and returns their statuses. */
	std::set<int> ask_for(const gateway &p_gateway, duration p_time) {
		std::set<int> statuses;
		const instant until = event_loop::now() + p_time;
		run_until([this, &p_gateway, &statuses, until] {
			statuses.insert(ask(p_gateway, UNKNOWN_PATH)->head.status);
			return event_loop::now() > until;
		});
		return statuses;
	}

	/** The store is away or silent, then returns: 404 becomes 503 and 404 again, and what is known is served throughout. */
	void expect_no_final_refusal_until_return(const gateway &p_gateway, const std::function<void(bool)> &p_set_trouble) {
		p_set_trouble(true);
		EXPECT_EQ(ask_until(p_gateway, 503), std::set<int>{ 404 }) << "final while confirmed a moment ago";
		const std::shared_ptr<caller_result> unknown_path = ask(p_gateway, UNKNOWN_PATH);
		EXPECT_EQ(unknown_path->head.status, 503);
		EXPECT_NE(unknown_path->get("Retry-After"), "");
		const std::shared_ptr<caller_result> unknown_key = ask(p_gateway, "/safe/", "key-of-2");
		EXPECT_EQ(unknown_key->head.status, 503);
		EXPECT_NE(unknown_key->get("Retry-After"), "");
		EXPECT_EQ(ask(p_gateway, "/safe/", "")->head.status, 503);
		EXPECT_EQ(ask_with(p_gateway, "key-1"), 200);
		p_set_trouble(false);
		EXPECT_EQ(ask_until(p_gateway, 404), std::set<int>{ 503 });
		EXPECT_EQ(ask_with(p_gateway, "key-of-2"), 401);
		EXPECT_EQ(ask_with(p_gateway, "key-1"), 200);
	}

	std::string read_metrics(const gateway &p_gateway) {
		const std::shared_ptr<caller_result> result = send_bytes(p_gateway.get_metrics_address(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
		run_until([&result] { return result->end.has_value(); });
		return result->body;
	}

	/** Starts two nodes of a zone, of which the one that does not read for the zone has a store of its own, and returns that one. */
	gateway &start_pair(const standin_store &p_store_of_other) {
		configure(1);
		add_replica("llm");
		const bool is_first_reader = choose_reader(_zone, { "n0", "n1" }) == "n0";
		gateway &first = start_gateway(is_first_reader ? _store : p_store_of_other);
		gateway &second = start_gateway(is_first_reader ? p_store_of_other : _store);
		run_until([&first, &second] { return first.is_ready() && second.is_ready(); });
		return is_first_reader ? second : first;
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

// Guards against 404 and 401 for a route and a key that are in force elsewhere, from a node that the store has not answered for long.
TEST_F(configuration_follower_test, a_refusal_is_not_final_while_a_store_that_is_away_leaves_the_configuration_unconfirmed) {
	expect_no_final_refusal_until_return(start_with_version(), [this](bool p_is_away) { _store.set_away(p_is_away); });
}

TEST_F(configuration_follower_test, a_refusal_is_not_final_while_a_silent_store_leaves_the_configuration_unconfirmed) {
	expect_no_final_refusal_until_return(start_with_version(), [this](bool p_is_mute) { _store.set_mute(p_is_mute); });
}

TEST_F(configuration_follower_test, a_route_added_and_a_key_taken_away_during_an_outage_count_after_it) {
	gateway &entry = start_waiting(2, "key-of-2");
	_store.set_mute(true);
	json document = make_configuration(3);
	document["tenants"][0]["api_keys"] = { "key-of-3" };
	json added = document["routes"][1];
	added["name"] = UNKNOWN_PATH;
	added["path_prefix"] = UNKNOWN_PATH;
	document["routes"].push_back(added);
	_store.put(CONFIGURATION_TOPIC, "config", document.dump());
	ask_until(entry, 503);
	EXPECT_EQ(ask_with(entry, "key-of-2"), 200) << "the node cannot know that it was taken away";
	EXPECT_EQ(ask_with(entry, "key-of-3"), 503);
	_store.set_mute(false);
	run_until([this, &entry] { return ask(entry, UNKNOWN_PATH, "key-of-3")->head.status == 200; });
	EXPECT_EQ(ask_with(entry, "key-of-2"), 401);
}

TEST_F(configuration_follower_test, many_requests_for_unknown_paths_during_an_outage_are_counted_and_cause_no_read) {
	_has_metrics = true;
	gateway &entry = start_with_version();
	_store.set_mute(true);
	ask_until(entry, 503);
	constexpr int REQUESTS = 200;
	const std::size_t calls = _store.get_calls();
	const std::string series = "calicoscale_requests_total{pipeline=\"\",reason=\"configuration_unconfirmed\",verdict=\"not_run\"} ";
	EXPECT_NE(read_metrics(entry).find(series + "1\n"), std::string::npos);
	std::vector<std::shared_ptr<caller_result>> results;
	for (int i = 0; i < REQUESTS; i++) {
		results.push_back(send(entry, UNKNOWN_PATH));
	}
	run_until([&results] { return std::all_of(results.begin(), results.end(), [](const std::shared_ptr<caller_result> &p_result) { return p_result->end.has_value(); }); });
	for (const std::shared_ptr<caller_result> &result : results) {
		EXPECT_EQ(result->head.status, 503);
	}
	EXPECT_NE(read_metrics(entry).find(series + std::to_string(REQUESTS + 1) + "\n"), std::string::npos);
	EXPECT_LE(_store.get_calls() - calls, MAX_OPEN_READS);
}

TEST_F(configuration_follower_test, a_refusal_is_final_at_a_node_that_reads_for_itself_although_a_waiting_read_was_lost) {
	const gateway &entry = start_with_version();
	EXPECT_EQ(ask_for(entry, LONGER_THAN_APPLY_TIME), std::set<int>{ 404 });
	_store.lose_waiting_reads();
	EXPECT_EQ(ask_for(entry, LONGER_THAN_APPLY_TIME), std::set<int>{ 404 });
}

TEST_F(configuration_follower_test, a_refusal_is_final_at_a_node_for_which_a_peer_reads_although_its_own_store_is_silent) {
	standin_store other(_loop);
	other.set_mute(true);
	const gateway &covered = start_pair(other);
	ask_until(covered, 404);
	EXPECT_EQ(ask_for(covered, LONGER_THAN_APPLY_TIME), std::set<int>{ 404 });
	EXPECT_EQ(ask_with(covered, "key-of-2"), 401);
}

TEST_F(configuration_follower_test, a_refusal_stays_final_at_a_node_whose_reader_is_lost) {
	const gateway &covered = start_pair(_store);
	ask_until(covered, 404);
	EXPECT_EQ(ask_for(covered, LONGER_THAN_APPLY_TIME), std::set<int>{ 404 });
	std::erase_if(_gateways, [&covered](const std::unique_ptr<gateway> &p_node) { return p_node.get() != &covered; });
	EXPECT_EQ(ask_for(covered, LONGER_THAN_APPLY_TIME), std::set<int>{ 404 });
}

} // namespace calicoscale
