/*
 * calicoscale: endpoint_record_filter_test.cpp
 * Records of other writers between the entries of endpoints, and records that overwrite entries.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_record_filter.h"

#include "core/digest.h"
#include "servers/gateway/rejection_log_filter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

instant at(int p_ms) {
	return instant(std::chrono::hours(1)) + milliseconds(p_ms);
}

endpoint_listing make_listing(const std::string &p_name, std::uint64_t p_start = 7) {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.pool = "llm";
	listing.incarnation = p_start;
	// Each endpoint has its own address, because one that starts at the address of another supersedes it.
	listing.address = network_address{ "10.0.0.1", static_cast<std::uint16_t>(1 + hash_bytes(p_name) % 60000) };
	return listing;
}

read_endpoint_record make_valid(const std::string &p_name, std::uint64_t p_start = 7) {
	return read_endpoint_record{ p_name, make_listing(p_name, p_start) };
}

read_endpoint_record make_faulty(const std::string &p_name, entry_fault p_fault = entry_fault::UNREADABLE) {
	return read_endpoint_record{ p_name, p_fault };
}

read_endpoint_record make_removal(const std::string &p_name) {
	return read_endpoint_record{ p_name, std::nullopt };
}

/** A filter and the directory that applies the records it returns. */
struct filtered_directory {
	endpoint_record_filter filter;
	endpoint_directory directory;

	bool contains(const std::string &p_name) const {
		const std::vector<endpoint_listing> listings = directory.get_listings();
		return std::any_of(listings.begin(), listings.end(), [&p_name](const endpoint_listing &p_listing) { return p_listing.vm == p_name; });
	}

	void take(const std::vector<read_endpoint_record> &p_records, int p_ms) {
		directory.on_read(at(p_ms));
		directory.apply_records(filter.take(p_records, directory.get_entries(), at(p_ms)), 0, 0, at(p_ms));
	}

	void apply_snapshot(const std::vector<read_endpoint_record> &p_records, int p_ms) {
		directory.on_read(at(p_ms));
		directory.replace(filter.apply_snapshot(p_records, directory.get_entries(), at(p_ms)), at(p_ms));
	}
};

} // namespace

TEST(endpoint_record_filter, spoilt_records_hold_no_other_back) {
	filtered_directory list;
	list.take({ make_faulty("x"), make_valid("a"), make_faulty(""), make_removal("y"), make_valid("b") }, 0);
	EXPECT_TRUE(list.contains("a"));
	EXPECT_TRUE(list.contains("b"));
	EXPECT_EQ(list.directory.get_size(), 2U);
	EXPECT_EQ(list.filter.take_rejected().size(), 2U);
	EXPECT_TRUE(list.filter.take_rejected().empty());
}

TEST(endpoint_record_filter, an_endpoint_whose_entry_is_spoilt_stays_while_it_may_write_it_again) {
	filtered_directory list;
	list.take({ make_valid("a"), make_valid("b"), make_faulty("b"), make_faulty("a") }, 0);
	list.take({ make_valid("a") }, 700);
	EXPECT_TRUE(list.contains("b"));
	list.take({}, 800);
	EXPECT_FALSE(list.contains("b")) << "its entry is faulty, and it did not write another one";
	list.take({}, 2000);
	EXPECT_TRUE(list.contains("a")) << "it wrote its entry again";
	list.take({ make_faulty("a"), make_removal("a") }, 3000);
	EXPECT_FALSE(list.contains("a")) << "an endpoint whose entry was removed is not kept";
}

TEST(endpoint_record_filter, a_spoilt_record_that_is_repeated_does_not_prolong_the_hold) {
	filtered_directory list;
	list.take({ make_valid("a") }, 0);
	for (int ms = 1000; ms < 1800; ms += 200) {
		list.take({ make_faulty("a") }, ms);
		EXPECT_TRUE(list.contains("a")) << ms;
	}
	list.take({ make_faulty("a") }, 1800);
	EXPECT_FALSE(list.contains("a"));
}

TEST(endpoint_record_filter, an_entry_that_is_sound_again_ends_the_hold_however_late_it_is_read) {
	filtered_directory list;
	list.take({ make_valid("a"), make_faulty("a") }, 0);
	list.take({ make_valid("a") }, 2500);
	list.take({}, 3500);
	EXPECT_TRUE(list.contains("a"));
}

TEST(endpoint_record_filter, what_a_peer_told_of_an_endpoint_ends_its_hold_and_no_other) {
	filtered_directory list;
	list.take({ make_valid("a"), make_faulty("a"), make_valid("b"), make_faulty("b") }, 0);
	endpoint_delta delta;
	delta.written = { make_listing("a") };
	list.filter.on_told(delta);
	list.apply_snapshot({ make_valid("a"), make_faulty("b") }, 1000);
	EXPECT_TRUE(list.contains("a"));
	EXPECT_FALSE(list.contains("b")) << "its HOLD continued while a peer read for this node";
}

TEST(endpoint_record_filter, a_state_that_is_not_known_takes_an_endpoint_out_at_once) {
	filtered_directory list;
	list.take({ make_valid("a") }, 0);
	list.take({ make_faulty("a", entry_fault::UNKNOWN_STATE) }, 100);
	EXPECT_FALSE(list.contains("a"));
}

TEST(endpoint_record_filter, a_whole_reading_holds_as_the_records_do) {
	filtered_directory list;
	list.take({ make_valid("a"), make_valid("b"), make_valid("c") }, 0);
	list.apply_snapshot({ make_faulty("a"), make_valid("b"), make_faulty("c", entry_fault::UNKNOWN_STATE), make_faulty("new") }, 1000);
	EXPECT_TRUE(list.contains("a"));
	EXPECT_EQ(list.directory.get_size(), 2U);
	list.apply_snapshot({ make_faulty("a"), make_valid("b") }, 1700);
	EXPECT_TRUE(list.contains("a"));
	list.take({}, 1800);
	EXPECT_FALSE(list.contains("a"));
	EXPECT_TRUE(list.contains("b"));
}

TEST(endpoint_record_filter, an_entry_without_its_start_is_used_only_where_most_tell_none) {
	filtered_directory with_starts;
	with_starts.apply_snapshot({ make_valid("a"), make_valid("b"), make_valid("x", 0) }, 0);
	with_starts.take({ make_valid("y", 0) }, 100);
	EXPECT_FALSE(with_starts.contains("x"));
	EXPECT_FALSE(with_starts.contains("y"));
	EXPECT_EQ(with_starts.filter.take_rejected().back().fault, entry_fault::MISSING_START);
	filtered_directory without_starts;
	without_starts.apply_snapshot({ make_valid("a", 0), make_valid("b", 0), make_valid("x") }, 0);
	without_starts.take({ make_valid("c", 0), make_valid("y") }, 100);
	EXPECT_EQ(without_starts.directory.get_size(), 5U) << "one record of another writer must not exclude all others";
}

RC_GTEST_PROP(endpoint_record_filter_properties, what_is_sound_is_in_use_whatever_lies_between, ()) {
	filtered_directory list;
	std::map<std::string, bool> is_valid; // By name, by its newest record.
	int now = 0;
	const int answers = *rc::gen::inRange(1, 12);
	for (int i = 0; i < answers; i++) {
		std::vector<read_endpoint_record> records;
		const int count = *rc::gen::inRange(0, 6);
		for (int k = 0; k < count; k++) {
			const std::string name(1, *rc::gen::inRange('a', 'e'));
			const int kind = *rc::gen::inRange(0, 4);
			records.push_back(kind == 0 ? make_removal(name) : (kind == 1 ? make_faulty(name, *rc::gen::element(entry_fault::UNREADABLE, entry_fault::UNKNOWN_STATE)) : make_valid(name)));
			is_valid[name] = kind > 1;
		}
		now += *rc::gen::inRange(0, 900);
		list.take(records, now);
		for (const auto &[name, valid_now] : is_valid) {
			RC_ASSERT(!valid_now || list.contains(name));
		}
	}
	list.take({}, now + 2000);
	for (const auto &[name, valid_now] : is_valid) {
		RC_ASSERT(valid_now == list.contains(name));
	}
}

TEST(rejection_notes, tell_each_key_once_and_again_when_its_fault_is_another) {
	rejection_log_filter notes(at(0));
	EXPECT_TRUE(notes.is_new("a", entry_fault::UNREADABLE, at(0)));
	EXPECT_FALSE(notes.is_new("a", entry_fault::UNREADABLE, at(1)));
	EXPECT_TRUE(notes.is_new("a", entry_fault::BAD_START, at(2)));
	EXPECT_TRUE(notes.is_new("b", entry_fault::BAD_START, at(2)));
	EXPECT_EQ(notes.take_suppressed(), 0U);
}

TEST(rejection_notes, a_flood_fills_neither_the_log_nor_the_memory) {
	rejection_log_filter notes(at(0));
	int lines = 0;
	constexpr int FLOOD = 100'000;
	constexpr int SECONDS = 10;
	for (int i = 0; i < FLOOD; i++) {
		lines += notes.is_new("key-" + std::to_string(i), entry_fault::UNREADABLE, at(i * SECONDS * 1000 / FLOOD)) ? 1 : 0;
	}
	EXPECT_LE(lines, rejection_log_filter::LOG_LINES_BURST + rejection_log_filter::LOG_LINES_PER_SECOND * SECONDS);
	EXPECT_LE(notes.get_size(), rejection_log_filter::MAX_KEYS);
	EXPECT_EQ(notes.take_suppressed(), static_cast<std::uint64_t>(FLOOD - lines));
}

} // namespace calicoscale
