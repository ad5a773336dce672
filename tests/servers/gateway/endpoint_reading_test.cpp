/*
 * calicoscale: endpoint_reading_test.cpp
 * What one node reads of the endpoints' log and tells the others.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_directory.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(milliseconds p_time) {
	return instant(seconds(1000) + p_time);
}

} // namespace

/** Nodes that are told what one of them reads know what they would have read themselves, however the log is cut into reads. */
RC_GTEST_PROP(endpoint_directory, told_readings_say_what_the_log_says, ()) {
	choice_source choices(120);
	endpoint_directory reader;
	endpoint_directory told;
	endpoint_directory alone;
	std::uint64_t offset = 0;
	int now = 0;
	while (!choices.is_empty()) {
		now += 900;
		std::vector<endpoint_record> records;
		for (std::uint32_t left = choices.pick(6); left > 0; left--) {
			const std::string name = "e" + std::to_string(choices.pick(4));
			endpoint_record record{ name, std::nullopt };
			if (!choices.one_in(3)) {
				record.listing = endpoint_listing();
				record.listing->vm = name;
				record.listing->incarnation = choices.pick(4); // 0 is one that is not told.
				record.listing->pool = choices.pick(2) == 0 ? "llm" : "encode";
				record.listing->leaving = choices.one_in(4);
			}
			records.push_back(record);
		}
		for (endpoint_directory *directory : { &reader, &told, &alone }) {
			directory->on_read(at(milliseconds(now)));
		}
		const endpoint_reading reading = reader.take_records(records, offset, offset + records.size(), at(milliseconds(now)));
		offset = reading.to;
		told.take_reading(reading, at(milliseconds(now)));
		for (const endpoint_record &record : records) {
			if (record.listing) {
				alone.put(*record.listing);
			} else {
				alone.drop(record.name, at(milliseconds(now)));
			}
		}
		RC_ASSERT(told.get_listings() == alone.get_listings());
		RC_ASSERT(reader.get_listings() == alone.get_listings());
		RC_ASSERT(told.get_listed() == reading.listed);
		RC_ASSERT(told.is_like(reading));
	}
}

TEST(endpoint_directory, a_heartbeat_that_changes_nothing_is_not_told) {
	endpoint_directory directory;
	endpoint_listing listing;
	listing.vm = "e";
	directory.on_read(at(milliseconds(0)));
	EXPECT_EQ(directory.take_records({ endpoint_record{ "e", listing } }, 0, 1, at(milliseconds(0))).written.size(), 1U);
	const endpoint_reading again = directory.take_records({ endpoint_record{ "e", listing } }, 1, 2, at(milliseconds(900)));
	EXPECT_TRUE(again.written.empty());
	EXPECT_EQ(again.to, 2U);
}

} // namespace calicoscale
