/*
 * calicoscale: connection_history_test.cpp
 * Tests which answers on a kept connection are ascribed to the exchange in progress.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/connection_history.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

const std::string OWN = "own";
const std::string OTHER = "other";

} // namespace

TEST(connection_history, does_not_carry_an_id_twice) {
	connection_history history;
	EXPECT_TRUE(history.may_carry(OWN));
	history.on_started(OWN);
	history.on_started(OTHER);
	EXPECT_FALSE(history.may_carry(OWN));
	EXPECT_FALSE(history.may_carry(OTHER));
	EXPECT_TRUE(history.may_carry("third"));
	EXPECT_TRUE(history.may_carry("")) << "exchanges without ids cannot be told apart by them";
}

TEST(connection_history, carries_nothing_behind_surplus_bytes) {
	connection_history history;
	history.on_started(OWN);
	history.on_surplus();
	EXPECT_FALSE(history.may_carry(OTHER));
	EXPECT_FALSE(history.may_carry(""));
	EXPECT_FALSE(history.is_reusable());
}

TEST(connection_history, carries_a_bounded_number_of_exchanges) {
	connection_history history;
	for (std::size_t i = 0; i < connection_history::MAX_EXCHANGES; i++) {
		EXPECT_TRUE(history.may_carry(std::to_string(i)));
		history.on_started(std::to_string(i));
	}
	EXPECT_FALSE(history.may_carry("another"));
	EXPECT_EQ(history.get_place(), connection_history::MAX_EXCHANGES);
}

TEST(connection_history, ascribes_answers_by_their_id) {
	connection_history history;
	history.on_started(OWN);
	EXPECT_EQ(history.judge(OWN, &OWN), answer_owner::THIS_EXCHANGE);
	EXPECT_EQ(history.judge(OWN, &OTHER), answer_owner::OTHER_EXCHANGE);
	EXPECT_EQ(history.judge("", nullptr), answer_owner::THIS_EXCHANGE) << "such answers carry no id";
}

TEST(connection_history, ascribes_an_answer_that_lacks_its_id_on_a_new_connection_only) {
	connection_history history;
	history.on_started(OWN);
	EXPECT_EQ(history.judge(OWN, nullptr), answer_owner::THIS_EXCHANGE);
	history.on_started(OTHER);
	EXPECT_EQ(history.judge(OTHER, nullptr), answer_owner::UNKNOWN);
}

} // namespace calicoscale
