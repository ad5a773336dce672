/*
 * calicoscale: soak_caller_test.cpp
 * The last request of a caller is judged.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/raw_server.h"
#include "tests/soak/promise_book.h"
#include "tests/soak/soak_caller.h"

#include <gtest/gtest.h>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Its first request is sent in one part, by a caller that waits for the answer. */
constexpr std::uint64_t SEED = 1;

class soak_caller_test : public ::testing::Test {
protected:
	event_loop _loop;
	raw_server _server{ _loop };
	disturbance_log _disturbances;
	promise_book _book{ _disturbances, "t-" };
	std::vector<caller_site> _sites;
	caller_context _context{ _loop, _book, _sites, seconds(5) };

	void SetUp() override {
		_sites.push_back(caller_site{ _server.get_address(), _server.get_address(), true, 0 });
	}

	bool is_first_sent() const {
		const std::shared_ptr<soak_attempt> first = _book.find("t-0");
		return first && first->is_sent();
	}

	/** Runs the loop until the condition holds, for the longest time that a soak waits for its last requests. */
	template <typename condition>
	void run_until(condition p_condition) {
		const instant latest = event_loop::now() + seconds(20);
		timer poll(_loop, [this, &poll, &p_condition, latest] {
			if (p_condition() || event_loop::now() > latest) {
				_loop.stop();
				return;
			}
			poll.set(milliseconds(20));
		});
		poll.set(milliseconds(0));
		_loop.run();
	}
};

} // namespace

TEST_F(soak_caller_test, the_last_request_whose_connection_is_closed_without_an_answer_is_judged_after_the_callers_stop) {
	_server.set_answer("", raw_server::after::CLOSE);
	soak_caller caller(_context, SEED);
	run_until([this] { return is_first_sent(); });
	caller.stop();
	ASSERT_TRUE(caller.is_waiting());
	run_until([&caller] { return !caller.is_waiting(); });
	EXPECT_FALSE(caller.is_waiting());
	ASSERT_EQ(_book.get_broken().size(), 1U);
	EXPECT_EQ(_book.get_broken().front().what, promise::ANSWERED);
}

TEST_F(soak_caller_test, a_request_that_is_open_at_the_end_of_a_soak_is_judged) {
	_server.set_answer("", raw_server::after::KEEP);
	soak_caller caller(_context, SEED);
	run_until([this] { return is_first_sent(); });
	caller.stop();
	caller.end();
	EXPECT_FALSE(caller.is_waiting());
	ASSERT_EQ(_book.get_broken().size(), 1U);
	EXPECT_EQ(_book.get_broken().front().what, promise::IN_TIME);
}

// Guards against a soak that ends its callers by requests that a slow turn meets later, and has none left to judge by.
TEST(promise_book, a_request_whose_deadline_is_ahead_does_not_count_as_one_to_judge_by) {
	constexpr std::size_t ENOUGH = 20;
	disturbance_log disturbances;
	promise_book book(disturbances, "t-");
	const instant begun{ seconds(100) };
	instant last_deadline{};
	for (std::size_t i = 0; i < ENOUGH; i++) {
		const std::shared_ptr<soak_attempt> made = book.open(request_kind::SAFE, 0, 0, false, begun);
		made->sent_at = begun;
		last_deadline = made->give_up_at;
	}
	EXPECT_FALSE(book.can_check_served(begun, last_deadline - milliseconds(1)));
	EXPECT_TRUE(book.can_check_served(begun, last_deadline));
	disturbances.note(disturbance::DRIVER_SLOW, 0, last_deadline - milliseconds(1), last_deadline);
	EXPECT_FALSE(book.can_check_served(begun, last_deadline));
}

// Guards against a node that is behind and is not noticed, as it does not call its refusal final.
TEST(promise_book, a_refusal_on_an_unconfirmed_configuration_counts_as_one_of_an_unknown_route) {
	disturbance_log disturbances;
	promise_book book(disturbances, "t-");
	const instant confirmed{ seconds(100) };
	book.on_configured(1, confirmed);
	const instant begun = confirmed + seconds(10);
	http_head answer;
	answer.status = 503;
	book.on_answer(*book.open_probe(1, 0, 0, begun), answer, "", 0, begun);
	book.on_answer(*book.open(request_kind::SAFE, 0, 0, false, begun), answer, "", 0, begun);
	EXPECT_TRUE(book.get_broken().empty()) << "refused for another reason";
	book.on_answer(*book.open_probe(1, 0, 0, begun), answer, "configuration_unconfirmed", 0, begun);
	book.on_answer(*book.open(request_kind::SAFE, 0, 0, false, begun), answer, "configuration_unconfirmed", 0, begun);
	ASSERT_EQ(book.get_broken().size(), 2U);
	EXPECT_EQ(book.get_broken().front().what, promise::CONFIGURATION_IN_FORCE);
	EXPECT_EQ(book.get_broken().back().what, promise::ADMITTED);
}

} // namespace calicoscale
