/*
 * calicoscale: other_writers_test.cpp
 * Tests a complete gateway with malformed or foreign records in the store, answers of the store and headers of callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

namespace calicoscale {

namespace {

/** Returns documents and byte strings that describe no usable endpoint. */
std::vector<std::string> make_invalid_values(const std::string &p_valid_entry) {
	std::vector<std::string> values{ "\xff\xfe\x00", "{", "[]", "7", "null", "\"text\"", std::string(50'000, '['), std::string(200'000, 'a') };
	for (const char *field : { "service", "address", "zone", "state", "born" }) {
		for (const char *value : { "null", "[]", "{}", "-1", "1e300", "\"\"" }) {
			json entry = json::parse(p_valid_entry);
			entry[field] = json::parse(value);
			values.push_back(entry.dump());
		}
	}
	return values;
}

class other_writers_test : public gateway_fixture {
protected:
	/** Sends requests until the replica has received a new one. */
	void expect_served(const gateway &p_gateway, const standin_replica &p_replica) {
		const std::size_t before = p_replica.runs.size();
		run_until([this, &p_gateway, &p_replica, before] { ask(p_gateway, "/safe/"); return p_replica.runs.size() > before; });
	}
};

} // namespace

TEST_F(other_writers_test, spoilt_records_before_and_between_hold_nothing_back) {
	configure(1);
	standin_replica &first = add_replica("llm");
	const std::vector<std::string> values = make_invalid_values(first.get_entry("llm"));
	// Keys with special characters of a request line; they sort before, between and after the names of endpoints.
	const std::vector<std::string> keys{ "", " ", "%", "&part=1", "a b", "a#b", "i", "i-0 HTTP/1.1\r\nX: y\r\n\r\n", "i-00", "z", "\xc3\xa4" };
	for (std::size_t i = 0; i < values.size(); i++) {
		_store.put(ENDPOINT_TOPIC, keys[i % keys.size()] + std::to_string(i), values[i]);
	}
	gateway &entry = start_ready();
	expect_served(entry, first);
	for (std::size_t i = 0; i < values.size(); i++) {
		_store.put(ENDPOINT_TOPIC, keys[i % keys.size()] + std::to_string(i), values[i]);
	}
	standin_replica &second = add_replica("llm");
	expect_served(entry, second);
}

TEST_F(other_writers_test, an_endpoint_whose_entry_is_overwritten_goes_soon_and_comes_back_with_its_next_one) {
	configure(1);
	standin_replica &overwritten = add_replica("llm");
	standin_replica &other = add_replica("llm");
	gateway &entry = start_ready();
	expect_served(entry, overwritten);
	expect_served(entry, other);
	_store.put(ENDPOINT_TOPIC, overwritten.get_name(), "{");
	wait(seconds(2));
	const std::size_t before = overwritten.runs.size();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(entry, "/once/")->body, "made by " + other.get_name());
	}
	EXPECT_EQ(overwritten.runs.size(), before);
	_store.put(ENDPOINT_TOPIC, overwritten.get_name(), overwritten.get_entry("llm"));
	expect_served(entry, overwritten);
}

TEST_F(other_writers_test, an_endpoint_that_leaves_gets_nothing_more_though_its_entry_was_spoilt_before_and_after) {
	configure(1);
	standin_replica &leaving = add_replica("llm");
	standin_replica &staying = add_replica("llm");
	gateway &entry = start_ready();
	expect_served(entry, leaving);
	for (const std::string &value : { std::string("\xff"), leaving.get_entry("llm", true), std::string("[]") }) {
		_store.put(ENDPOINT_TOPIC, leaving.get_name(), value);
	}
	wait(seconds(2));
	const std::size_t before = leaving.runs.size();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(ask(entry, "/once/")->body, "made by " + staying.get_name());
	}
	EXPECT_EQ(leaving.runs.size(), before);
}

TEST_F(other_writers_test, a_record_without_a_whole_key_is_passed_over) {
	configure(1);
	standin_replica &first = add_replica("llm");
	gateway &entry = start_ready();
	expect_served(entry, first);
	_store.put_raw(ENDPOINT_TOPIC, "");
	_store.put_raw(ENDPOINT_TOPIC, "\x09short");
	standin_replica &second = add_replica("llm");
	expect_served(entry, second);
}

TEST_F(other_writers_test, a_configuration_that_cannot_be_read_does_not_stop_later_ones) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	gateway &entry = start_ready();
	expect_served(entry, replica);
	json negative = make_configuration(1);
	negative["version"] = -1;
	json nested = make_configuration(2);
	nested["routes"][0]["stages"] = "nested";
	std::string deep = nested.dump();
	deep.replace(deep.find("\"nested\""), 8, std::string(200'000, '[') + std::string(200'000, ']'));
	for (const std::string &value : { std::string("\xff"), std::string("{"), std::string("[]"), negative.dump(), deep }) {
		_store.put(CONFIGURATION_TOPIC, "config", value);
		wait(milliseconds(60));
	}
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 200);
	json changed = make_configuration(3);
	changed["routes"][1]["path_prefix"] = "/moved/";
	_store.put(CONFIGURATION_TOPIC, "config", changed.dump());
	run_until([this, &entry] { return ask(entry, "/moved/")->head.status == 200; });
	EXPECT_EQ(ask(entry, "/safe/")->head.status, 404);
}

TEST_F(other_writers_test, a_page_of_the_store_that_is_malformed_costs_no_endpoint) {
	configure(1);
	standin_replica &replica = add_replica("llm");
	for (const char *page : { "[]", R"({"items":[5],"has_more":false,"end_offset":0})", R"({"items":[{"private_key":5,"value":[]}],"has_more":7,"end_offset":"x"})", R"({"items":[],"has_more":true,"end_offset":1})", R"({"items":[{"private_key":"a","value":"not base64!"}],"has_more":false,"end_offset":-1})" }) {
		_store.answer_newest_once(page);
	}
	gateway &entry = start_ready();
	expect_served(entry, replica);
}

TEST_F(other_writers_test, a_caller_may_use_any_bytes_in_what_stages_are_given) {
	configure(1);
	standin_replica &engine = add_replica("llm");
	add_replica("encode");
	add_replica("search");
	gateway &entry = start_ready();
	const std::shared_ptr<caller_result> result = send_bytes(entry.get_caller_address(), "POST /stream/staged/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: \xff\xc3\x28\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nX-Segments: 1,1\r\nX-Segment-Key: \xfe\r\nContent-Length: 0\r\n\r\n");
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->body, WHOLE_STREAM);
	EXPECT_EQ(engine.runs.size(), 1U);
}

} // namespace calicoscale
