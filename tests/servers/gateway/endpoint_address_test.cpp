/*
 * calicoscale: endpoint_address_test.cpp
 * Endpoints that start at an address which the entry of an exited endpoint still has.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/endpoint_directory.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::seconds;

const instant START{ seconds(1000) };

endpoint_listing make_listing(const std::string &p_name, std::uint64_t p_incarnation, std::uint16_t p_port = 1, const std::string &p_pool = "llm") {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.incarnation = p_incarnation;
	listing.pool = p_pool;
	listing.zone = "a";
	listing.address = network_address{ "10.0.0.1", p_port };
	return listing;
}

std::vector<std::string> get_names(const endpoint_directory &p_directory) {
	std::vector<std::string> names;
	for (const endpoint_listing &listing : p_directory.get_listings()) {
		names.push_back(listing.vm);
	}
	return names;
}

class endpoint_address : public ::testing::Test {
protected:
	endpoint_directory _directory;
	std::uint64_t _offset = 0;

	void read(const std::vector<endpoint_record> &p_records) {
		_directory.on_read(START);
		_directory.apply_records(p_records, _offset, _offset + p_records.size(), START);
		_offset += p_records.size();
	}

	void write(const endpoint_listing &p_listing) { read({ endpoint_record{ p_listing.vm, p_listing } }); }
};

using names = std::vector<std::string>;

} // namespace

TEST_F(endpoint_address, a_start_at_an_address_in_use_ends_the_earlier_endpoint) {
	write(make_listing("old", 0));
	write(make_listing("new", 0));
	EXPECT_EQ(get_names(_directory), names{ "new" });
	EXPECT_EQ(_directory.take_superseded(), (std::vector<endpoint_identity>{ { "old", 0 } }));
	EXPECT_TRUE(_directory.is_superseded({ "old", 0 }));
	EXPECT_FALSE(_directory.is_staying({ "old", 0 }));
	EXPECT_TRUE(_directory.take_superseded().empty()) << "returned only once";
}

TEST_F(endpoint_address, entries_in_one_answer_count_in_the_order_in_which_they_were_written) {
	read({ endpoint_record{ "z", make_listing("z", 0) }, endpoint_record{ "a", make_listing("a", 0) } });
	EXPECT_EQ(get_names(_directory), names{ "a" });
}

TEST_F(endpoint_address, an_earlier_start_that_is_read_late_takes_nothing) {
	write(make_listing("new", 200));
	write(make_listing("old", 100));
	EXPECT_EQ(get_names(_directory), names{ "new" });
}

TEST_F(endpoint_address, a_late_word_of_the_earlier_one_does_not_bring_it_back) {
	write(make_listing("old", 0));
	write(make_listing("new", 0));
	endpoint_listing changed = make_listing("old", 0);
	changed.zone = "b";
	write(changed);
	EXPECT_EQ(get_names(_directory), names{ "new" });
}

TEST_F(endpoint_address, another_service_at_the_address_ends_it_too) {
	write(make_listing("engine", 0));
	write(make_listing("ledger", 0, 1, "ledger"));
	EXPECT_EQ(get_names(_directory), names{ "ledger" });
}

TEST_F(endpoint_address, one_that_starts_again_elsewhere_is_back) {
	write(make_listing("old", 0));
	write(make_listing("new", 0));
	write(make_listing("old", 0, 2));
	EXPECT_EQ(get_names(_directory), (names{ "new", "old" }));
	write(make_listing("old", 0, 1));
	EXPECT_EQ(get_names(_directory), names{ "old" }) << "it supersedes the endpoint at its former address when it starts there again";
}

TEST_F(endpoint_address, of_two_that_are_read_at_once_without_starts_none_is_ended) {
	_directory.on_read(START);
	_directory.replace({ make_listing("a", 0), make_listing("b", 0) }, START);
	EXPECT_EQ(get_names(_directory), (names{ "a", "b" }));
	_directory.replace({ make_listing("a", 0), make_listing("b", 0), make_listing("c", 0) }, START);
	EXPECT_EQ(get_names(_directory), names{ "c" });
}

TEST_F(endpoint_address, starts_tell_which_of_two_that_are_read_at_once_is_the_later) {
	_directory.on_read(START);
	_directory.replace({ make_listing("a", 300), make_listing("b", 100) }, START);
	EXPECT_EQ(get_names(_directory), names{ "a" });
}

TEST_F(endpoint_address, the_list_that_peers_compare_is_that_of_the_store) {
	write(make_listing("old", 0));
	write(make_listing("new", 0));
	endpoint_directory other;
	other.on_read(START);
	other.replace({ make_listing("new", 0), make_listing("old", 0) }, START);
	EXPECT_EQ(_directory.get_listed_starts(), other.get_listed_starts());
}

} // namespace calicoscale
