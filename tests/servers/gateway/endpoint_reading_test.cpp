/*
 * calicoscale: endpoint_reading_test.cpp
 * Changes that one node reads from the endpoints' log and sends to the others.
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

/** Nodes that apply the changes read by another node have the same list as if they had read the log, however it is split into reads. */
RC_GTEST_PROP(endpoint_directory, told_readings_say_what_the_log_says, ()) {
	choice_source choices(120);
	endpoint_directory reader;
	endpoint_directory follower;
	endpoint_directory direct_reader;
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
				record.listing->incarnation = choices.pick(4); // 0 means that it isn't reported.
				record.listing->pool = choices.pick(2) == 0 ? "llm" : "encode";
				record.listing->leaving = choices.one_in(4);
			}
			records.push_back(record);
		}
		for (endpoint_directory *directory : { &reader, &follower, &direct_reader }) {
			directory->on_read(at(milliseconds(now)));
		}
		const endpoint_delta delta = reader.apply_records(records, offset, offset + records.size(), at(milliseconds(now)));
		offset = delta.to;
		follower.apply_delta(delta, at(milliseconds(now)));
		for (const endpoint_record &record : records) {
			if (record.listing) {
				direct_reader.put(*record.listing);
			} else {
				direct_reader.drop(record.name, at(milliseconds(now)));
			}
		}
		RC_ASSERT(follower.get_listings() == direct_reader.get_listings());
		RC_ASSERT(reader.get_listings() == direct_reader.get_listings());
		RC_ASSERT(follower.get_listed() == delta.listed);
		RC_ASSERT(follower.is_like(delta));
	}
}

TEST(endpoint_directory, a_heartbeat_that_changes_nothing_is_not_told) {
	endpoint_directory directory;
	endpoint_listing listing;
	listing.vm = "e";
	directory.on_read(at(milliseconds(0)));
	EXPECT_EQ(directory.apply_records({ endpoint_record{ "e", listing } }, 0, 1, at(milliseconds(0))).written.size(), 1U);
	const endpoint_delta again = directory.apply_records({ endpoint_record{ "e", listing } }, 1, 2, at(milliseconds(900)));
	EXPECT_TRUE(again.written.empty());
	EXPECT_EQ(again.to, 2U);
}

} // namespace calicoscale
