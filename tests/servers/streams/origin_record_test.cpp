/*
 * calicoscale: origin_record_test.cpp
 * Tests the record of the versions at which streams may have begun.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/streams/origin_record.h"

#include <gtest/gtest.h>

namespace calicoscale {

TEST(origin_record, names_a_version_only_if_all_streams_of_the_service_began_there) {
	origin_record record(0, { { "llm", { "v1" } } });
	EXPECT_EQ(record.find_only("llm"), "v1");
	EXPECT_EQ(record.find_only("other"), std::nullopt);
	record.add({ { "llm", { "v2" } } });
	EXPECT_EQ(record.find_only("llm"), std::nullopt);
	record.keep("llm", { "v2", "v3" });
	EXPECT_EQ(record.find_only("llm"), "v2");
	record.keep("llm", { "v3" });
	EXPECT_EQ(record.find_only("llm"), std::nullopt);
}

TEST(origin_record, a_version_without_a_name_is_a_version) {
	EXPECT_EQ(origin_record(0, { { "llm", { "" } } }).find_only("llm"), "");
	EXPECT_EQ(origin_record(0, { { "llm", { "", "v1" } } }).find_only("llm"), std::nullopt);
}

TEST(origin_record, is_read_as_written) {
	const origin_record record(7, { { "llm", { "v1", "v1.1" } }, { "none", {} }, { "odd\"\n", { "" } } });
	EXPECT_EQ(read_origin_record(write_origin_record(record)), record);
}

// Guards against taking what another writer left for a record that names all versions.
TEST(origin_record, a_malformed_text_is_no_record) {
	for (const char *text : { "", "{", "[]", "{}", R"({"era":1})", R"({"era":"x","versions":{}})", R"({"era":1,"versions":{"llm":"v1"}})", R"({"era":1,"versions":{"llm":[1]}})", R"({"era":1,"versions":[]})" }) {
		EXPECT_EQ(read_origin_record(text), std::nullopt) << text;
	}
}

} // namespace calicoscale
