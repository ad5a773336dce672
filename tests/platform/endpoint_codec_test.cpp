/*
 * calicoscale: endpoint_codec_test.cpp
 * Checks the parsing of endpoint entries, including malformed entries from other writers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "platform/endpoint_codec.h"
#include "tests/mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using json = nlohmann::json;

json make_entry() {
	return json{ { "service", "a" }, { "address", "1.2.3.4:5" }, { "zone", "z" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq_no", 1 }, { "born", 1785000000123 } };
}

/** Returns the fault of an entry, or nothing when the entry is a valid endpoint listing. */
std::optional<entry_fault> find_fault(std::string_view p_text, std::string_view p_id = "i-1") {
	const parsed_entry entry = parse_endpoint_entry(p_id, p_text);
	const entry_fault *fault = std::get_if<entry_fault>(&entry);
	return fault == nullptr ? std::nullopt : std::optional<entry_fault>(*fault);
}

std::optional<entry_fault> find_fault_of_field(const char *p_field, const std::string &p_value) {
	json entry = make_entry();
	entry[p_field] = json::parse(p_value);
	return find_fault(entry.dump());
}

} // namespace

TEST(endpoint_codec, reads_an_entry) {
	json entry = make_entry();
	entry["state"] = "draining";
	const endpoint_listing listing = std::get<endpoint_listing>(parse_endpoint_entry("i-1", entry.dump()));
	EXPECT_EQ(listing.vm, "i-1");
	EXPECT_EQ(listing.pool, "a");
	EXPECT_EQ(listing.zone, "z");
	EXPECT_EQ(listing.address, (network_address{ "1.2.3.4", 5 }));
	EXPECT_EQ(listing.incarnation, 1785000000123U);
	EXPECT_TRUE(listing.leaving);
	entry.erase("born");
	EXPECT_EQ(std::get<endpoint_listing>(parse_endpoint_entry("i-1", entry.dump())).incarnation, 0U);
}

TEST(endpoint_codec, what_is_no_document_names_no_endpoint) {
	for (const std::string &text : { std::string(), std::string("{"), std::string("\xff\xfe{}"), std::string("{\"service\":\"\xc3\x28\"}"), std::string("\0\0", 2), std::string("{} {}"), std::string(100'000, ' ') + make_entry().dump() }) {
		EXPECT_EQ(find_fault(text), entry_fault::UNREADABLE) << text.substr(0, 40);
	}
	for (const char *text : { "[]", "null", "7", "\"text\"" }) {
		EXPECT_EQ(find_fault(text), entry_fault::NO_OBJECT) << text;
	}
	EXPECT_EQ(find_fault(std::string(30'000, '[') + std::string(30'000, ']')), entry_fault::NO_OBJECT);
	EXPECT_EQ(find_fault(R"({"service":)" + std::string(30'000, '[') + std::string(30'000, ']') + "}"), entry_fault::BAD_SERVICE);
}

TEST(endpoint_codec, each_field_that_is_needed_must_be_there_and_of_its_type) {
	const std::map<std::string, entry_fault> faults{ { "service", entry_fault::BAD_SERVICE }, { "address", entry_fault::BAD_ADDRESS }, { "zone", entry_fault::BAD_ZONE }, { "state", entry_fault::BAD_STATE } };
	for (const auto &[field, fault] : faults) {
		json entry = make_entry();
		entry.erase(field);
		EXPECT_EQ(find_fault(entry.dump()), fault) << field;
		for (const char *value : { "null", "true", "7", "-1.5", "[]", "{}", "[\"a\"]" }) {
			EXPECT_EQ(find_fault_of_field(field.c_str(), value), fault) << field << value;
		}
		EXPECT_EQ(find_fault_of_field(field.c_str(), '"' + std::string(300, 'a') + '"'), fault) << field;
	}
	for (const char *detail : { "version", "slots", "seq_no", "cold_left_ms" }) {
		EXPECT_EQ(find_fault_of_field(detail, "{}"), entry_fault::BAD_DETAIL) << detail;
	}
}

TEST(endpoint_codec, an_address_must_be_one_to_connect_to) {
	for (const char *address : { "", "nowhere", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:5 ", " 1.2.3.4:5", "0.0.0.0:5", ":5", "host:5", "1.2.3:5", "1.2.3.4.5:5", "1.2.3.4\r\nX: y:5", "::1:5" }) {
		EXPECT_EQ(find_fault_of_field("address", json(address).dump()), entry_fault::BAD_ADDRESS) << address;
	}
}

TEST(endpoint_codec, a_state_that_is_not_known_names_no_endpoint) {
	for (const char *state : { "\"\"", "\"READY\"", "\"starting\"", "\"ready \"" }) {
		EXPECT_EQ(find_fault_of_field("state", state), entry_fault::UNKNOWN_STATE) << state;
	}
}

TEST(endpoint_codec, a_start_is_a_whole_number_of_milliseconds) {
	for (const char *born : { "null", "-1", "0", "1.5", "1785000000123.5", "\"1785000000123\"", "1e300", "18446744073709551615", "18446744073709551616", "253402300800000", "true", "[1]", "{}" }) {
		EXPECT_EQ(find_fault_of_field("born", born), entry_fault::BAD_START) << born;
	}
}

TEST(endpoint_codec, a_name_must_fit_into_a_header) {
	for (const std::string &name : { std::string(), std::string("a b"), std::string("a\r\nX: y"), std::string("\0", 1), std::string("\xff"), std::string(256, 'a') }) {
		EXPECT_EQ(find_fault(make_entry().dump(), name), entry_fault::BAD_NAME) << name;
	}
	EXPECT_FALSE(find_fault(make_entry().dump(), "i-7f3a91c2"));
}

RC_GTEST_PROP(endpoint_codec_properties, any_bytes_name_an_endpoint_to_connect_to_or_none, (const std::string &p_name, const std::string &p_bytes)) {
	for (const std::string &text : { p_bytes, mutate_document(make_entry().dump()) }) {
		for (const std::string &name : { p_name, std::string("i-1") }) {
			const parsed_entry entry = parse_endpoint_entry(name, text);
			const endpoint_listing *listing = std::get_if<endpoint_listing>(&entry);
			if (listing != nullptr) {
				RC_ASSERT(listing->vm == name);
				RC_ASSERT(!listing->pool.empty());
				RC_ASSERT(listing->address.port != 0);
			}
		}
	}
}

} // namespace calicoscale
