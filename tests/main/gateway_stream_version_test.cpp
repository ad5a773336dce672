/*
 * calicoscale: gateway_stream_version_test.cpp
 * Tests that a stream which breaks off goes on only at the software version that began it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <set>

namespace calicoscale {

namespace {

constexpr int STREAMS = 12;
/** Repeats per window that let a gateway repeat within milliseconds of its start. */
constexpr double AMPLE_SLACK = 1e6;
const std::string RESUMABLE_PATH = "/stream/again/x";

/** The versions that the events of a stream name. */
std::set<std::string> find_versions(const std::string &p_events) {
	std::set<std::string> versions;
	for (std::size_t at = p_events.find('@'); at != std::string::npos; at = p_events.find('@', at + 1)) {
		versions.insert(p_events.substr(at + 1, p_events.find('\n', at) - at - 1));
	}
	return versions;
}

/** A stream as its caller has received it. */
struct begun_stream {
	std::string attempt; ///< Brought the first event.
	std::string events;
};

class gateway_stream_version_test : public gateway_fixture {
protected:
	/** Adds an endpoint whose streams break off inside their second event unless they are resumed. */
	standin_replica &add_version(const std::string &p_version, const std::string &p_zone = "a") {
		standin_replica &made = add_replica("llm", p_zone);
		made.version = p_version;
		made.names_version = true;
		made.mode = replica_mode::BREAK_STREAM;
		_store.put(ENDPOINT_TOPIC, made.get_name(), made.get_entry("llm"));
		return made;
	}

	/** Sets whether the gateways started later may resume streams within one answer. */
	void set_resumes_itself(bool p_resumes) {
		_adjust_settings = [p_resumes](gateway_settings &r_settings) {
			r_settings.retries.slack = p_resumes ? AMPLE_SLACK : 0.0;
			r_settings.retries.ratio = 0.0;
		};
	}

	begun_stream begin(const gateway &p_node) {
		const std::shared_ptr<caller_result> result = ask(p_node, RESUMABLE_PATH);
		return begun_stream{ "r" + std::to_string(_next_attempt - 1), result->body };
	}

	std::shared_ptr<caller_result> take_up(const gateway &p_node, const begun_stream &p_stream, const std::string &p_key = "key-1") {
		return ask(p_node, RESUMABLE_PATH, p_key, "Resumes: " + p_stream.attempt + "\r\nLast-Event-Id: 1\r\n");
	}

	/** Begins streams at one node, takes them up at another and expects each to go on at its version. */
	void expect_one_version(const gateway &p_first, const gateway &p_second) {
		for (int i = 0; i < STREAMS; i++) {
			const begun_stream stream = begin(p_first);
			ASSERT_EQ(find_versions(stream.events).size(), 1U) << stream.events;
			const std::shared_ptr<caller_result> rest = take_up(p_second, stream);
			EXPECT_EQ(rest->head.status, 200);
			EXPECT_EQ(find_versions(rest->body), find_versions(stream.events));
		}
	}
};

} // namespace

TEST_F(gateway_stream_version_test, a_stream_resumed_within_one_answer_goes_on_at_its_version) {
	configure(1);
	for (const char *version : { "v1", "v1.1", "v1", "v1.1" }) {
		add_version(version);
	}
	set_resumes_itself(true);
	const gateway &node = start_ready();
	for (int i = 0; i < STREAMS; i++) {
		const begun_stream stream = begin(node);
		EXPECT_EQ(find_versions(stream.events).size(), 1U) << stream.events;
		EXPECT_NE(stream.events.find("id: 4"), std::string::npos) << stream.events;
	}
}

TEST_F(gateway_stream_version_test, a_stream_that_its_caller_takes_up_at_the_same_node_goes_on_at_its_version) {
	configure(1);
	for (const char *version : { "v1", "v1.1", "v1", "v1.1" }) {
		add_version(version);
	}
	set_resumes_itself(false);
	const gateway &node = start_ready();
	expect_one_version(node, node);
}

TEST_F(gateway_stream_version_test, a_stream_that_its_caller_takes_up_at_another_node_goes_on_at_its_version) {
	configure(1);
	for (const char *version : { "v1", "v1.1", "v1", "v1.1" }) {
		add_version(version);
	}
	set_resumes_itself(false);
	const gateway &first = start_ready();
	const gateway &second = start_ready();
	expect_one_version(first, second);
}

} // namespace calicoscale
