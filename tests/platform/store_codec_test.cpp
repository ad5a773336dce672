/*
 * calicoscale: store_codec_test.cpp
 * Checks the parsing of the store's answers, including malformed records from other writers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "platform/store_codec.h"
#include "tests/mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace calicoscale {

namespace {

/** A page of two records; "YWJj" is "abc" in base64. */
const std::string PAGE = R"({"items":[{"private_key":"i-1","value":"YWJj","offset":4},{"private_key":"i-2","value":"YQ==","offset":5}],"has_more":true,"end_offset":6})";

std::string write_log(const std::vector<std::string> &p_records) {
	return std::string(16, '\0') + std::accumulate(p_records.begin(), p_records.end(), std::string());
}

} // namespace

TEST(store_codec, reads_a_page_and_where_the_next_begins) {
	const std::optional<store_page> page = read_store_page(PAGE, "");
	ASSERT_TRUE(page);
	EXPECT_EQ(page->records, (std::vector<store_record>{ { "i-1", "abc", 4 }, { "i-2", "a", 5 } }));
	EXPECT_EQ(page->next_after, "i-2");
	EXPECT_EQ(page->end_offset, 6U);
	EXPECT_FALSE(read_store_page(PAGE, "i-2")->next_after) << "a page that leads to itself ends the reading";
}

TEST(store_codec, a_malformed_record_does_not_hide_the_others_of_its_page) {
	const std::optional<store_page> page = read_store_page("{\"items\":[5,{\"private_key\":\"a\xff\",\"value\":\"YWJj\"},{\"private_key\":\"b\"},{\"value\":\"YWJj\"},{\"private_key\":\"c\",\"value\":\"*\"},{\"private_key\":\"d\",\"value\":\"YWJj\"}],\"end_offset\":6}", "");
	ASSERT_TRUE(page);
	EXPECT_EQ(page->records, (std::vector<store_record>{ { "", "" }, { "a\x7f", "abc" }, { "b", "" }, { "", "" }, { "c", "*" }, { "d", "abc" } }));
}

TEST(store_codec, what_is_no_page_is_refused) {
	for (const char *body : { "", "[]", "null", "{}", R"({"items":5,"end_offset":1})", R"({"items":[]})", R"({"items":[],"end_offset":-1})", R"({"items":[],"end_offset":"1"})", R"({"items":[],"end_offset":1,"has_more":"yes"})", R"({"items":[],"end_offset":1,"has_more":true})" }) {
		EXPECT_FALSE(read_store_page(body, "")) << body;
	}
}

TEST(store_codec, each_record_of_the_log_moves_the_offset_whatever_it_holds) {
	const std::string none("\0\0\0\0", 4);
	const std::string torn("\0\0\0\x02\x09x", 6);
	const store_answer answer = read_log_answer(200, write_log({ write_record("a", "1"), none, torn, write_record("b", ""), write_record("", "2") }), 10);
	EXPECT_EQ(answer.status, store_status::OK);
	EXPECT_EQ(answer.next_offset, 15U);
	EXPECT_EQ(answer.records, (std::vector<store_record>{ { "a", "1", 10 }, { "", "", 11 }, { "", "", 12 }, { "b", std::nullopt, 13 }, { "", "2", 14 } }));
	EXPECT_EQ(read_log_answer(410, "", 10).status, store_status::HISTORY_COMPACTED);
	for (const std::string &body : { std::string(), std::string(15, '\0'), std::string(17, '\0'), write_log({ write_record("a", "1").substr(0, 6) }) }) {
		EXPECT_EQ(read_log_answer(200, body, 10).status, store_status::UNAVAILABLE);
		EXPECT_TRUE(read_log_answer(200, body, 10).records.empty());
	}
}

TEST(store_codec, a_query_holds_any_key) {
	EXPECT_EQ(write_query_value("i-7f_3a.9~"), "i-7f_3a.9~");
	EXPECT_EQ(write_query_value("a b&c=%\r\n\xff"), "a%20b%26c%3D%25%0D%0A%FF");
}

RC_GTEST_PROP(store_codec_properties, any_page_is_read_or_refused, ()) {
	const std::optional<store_page> page = read_store_page(mutate_document(PAGE), "i-1");
	if (page) {
		RC_ASSERT(page->next_after != "i-1");
	}
}

RC_GTEST_PROP(store_codec_properties, any_log_is_read_or_refused_and_no_record_lost, ()) {
	const std::vector<std::pair<std::string, std::string>> pairs = *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(rc::gen::pair(rc::gen::arbitrary<std::string>(), rc::gen::nonEmpty<std::string>()));
	std::vector<std::string> records;
	std::vector<store_record> expected;
	for (const auto &[key, value] : pairs) {
		records.push_back(write_record(key.substr(0, 255), value));
		expected.push_back(store_record{ key.substr(0, 255), value, expected.size() });
	}
	RC_ASSERT(read_log_answer(200, write_log(records), 0).records == expected);
	const store_answer answer = read_log_answer(200, mutate(write_log(records)), 0);
	RC_ASSERT(answer.status == store_status::UNAVAILABLE || answer.next_offset == answer.records.size());
}

} // namespace calicoscale
