/*
 * calicoscale: once_test.cpp
 * Tests tickets and claims of idempotency keys: a request runs at most once under any faults.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/once/claim_registry.h"
#include "servers/once/ticket_registry.h"
#include "tests/choice_source.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

namespace calicoscale {

namespace {

constexpr duration KEY_AGE = std::chrono::minutes(10);
constexpr unix_milliseconds START = 1'000'000'000;

/** Simulates nodes that claim keys on one log that loses answers, removes old records and applies appends late. */
class claim_simulation {
	struct node {
		std::unique_ptr<claim_registry> book;
		std::string vm;
		std::map<std::uint64_t, std::string> waiting; ///< Open claims, with their key.
		std::map<std::uint64_t, std::string> running;
	};

	choice_source &_choices;
	std::vector<node> _nodes;
	std::vector<std::string> _records;
	std::uint64_t _earliest = 0;
	std::vector<std::string> _delayed; ///< Appends that will take effect later.
	std::map<std::string, int> _runs;
	unix_milliseconds _wall = START;
	std::uint64_t _incarnations = 0;

	void _restart(node &r_node) {
		RC_LOG() << r_node.vm << " restarts at " << _wall - START << "\n";
		r_node.vm = "vm" + std::to_string(_incarnations % 3);
		r_node.book = std::make_unique<claim_registry>(r_node.vm, ++_incarnations, KEY_AGE, 1000);
		r_node.waiting.clear();
		r_node.running.clear();
	}

	void _run(node &r_node, std::uint64_t p_claim, const std::string &p_key) {
		RC_LOG() << r_node.vm << " runs " << p_key << " as claim " << p_claim << " at " << _wall - START << "\n";
		_runs[p_key]++;
		RC_ASSERT(_runs[p_key] == 1);
		r_node.running[p_claim] = p_key;
	}

	void _submit(node &r_node) {
		RC_LOG() << r_node.vm << " submits\n";
		const std::string key = std::to_string(START + static_cast<unix_milliseconds>(_choices.pick(3)) * 60'000) + "-k" + std::to_string(_choices.pick(3));
		std::uint64_t claim = 0;
		const once_answer answer = r_node.book->submit("customer", key, _wall, claim);
		if (answer.step == once_step::RUN) {
			_run(r_node, claim, key);
		} else if (answer.step == once_step::CLAIM) {
			r_node.waiting[claim] = key;
		}
	}

	void _settle(node &r_node, const std::vector<settled_claim> &p_settled) {
		for (const settled_claim &settled : p_settled) {
			const auto waiting = r_node.waiting.find(settled.claim);
			if (waiting == r_node.waiting.end()) {
				continue;
			}
			const std::string key = waiting->second;
			r_node.waiting.erase(waiting);
			if (settled.answer.step == once_step::RUN) {
				_run(r_node, settled.claim, key);
			}
		}
	}

	void _append(node &r_node) {
		RC_LOG() << r_node.vm << " appends\n";
		const std::optional<claim_batch> batch = r_node.book->take_batch();
		if (!batch) {
			return;
		}
		switch (_choices.pick(4)) {
			case 0:
				_records.push_back(encode(*batch));
				_settle(r_node, r_node.book->on_append_ended(*batch, append_result::DONE));
				return;
			case 1: // The append takes effect, and its answer is lost.
				_records.push_back(encode(*batch));
				_settle(r_node, r_node.book->on_append_ended(*batch, append_result::UNKNOWN));
				return;
			case 2: // The answer is lost, and the append takes effect later or never.
				_delayed.push_back(encode(*batch));
				_settle(r_node, r_node.book->on_append_ended(*batch, append_result::UNKNOWN));
				return;
			default:
				_settle(r_node, r_node.book->on_append_ended(*batch, append_result::NOT_DONE));
		}
	}

	void _read(node &r_node) {
		RC_LOG() << r_node.vm << " reads from " << r_node.book->get_position() << ", earliest " << _earliest << " of " << _records.size() << "\n";
		const std::uint64_t from = std::max(r_node.book->get_position(), _earliest);
		std::vector<std::optional<claim_batch>> batches;
		std::uint64_t next = from;
		const std::size_t max_batches = 1 + _choices.pick(4);
		while (next < _records.size() && batches.size() < max_batches) {
			batches.push_back(decode_claim_batch(_records[next++]));
		}
		_settle(r_node, r_node.book->take_read(_earliest, batches, next, next == _records.size(), _wall));
	}

	void _finish(node &r_node) {
		if (!r_node.running.empty()) {
			const std::uint64_t claim = r_node.running.begin()->first;
			RC_LOG() << r_node.vm << " ends claim " << claim << "\n";
			r_node.running.erase(claim);
			r_node.book->on_done(claim, true, kept_outcome{ 200, "done" });
		}
	}

	void _give_up(node &r_node) {
		if (!r_node.waiting.empty()) {
			const std::uint64_t claim = r_node.waiting.begin()->first;
			RC_LOG() << r_node.vm << " gives up claim " << claim << "\n";
			r_node.waiting.erase(claim);
			r_node.book->give_up(claim);
		}
	}

public:
	explicit claim_simulation(choice_source &r_choices) :
			_choices(r_choices), _nodes(3) {
		for (node &entry : _nodes) {
			_restart(entry);
		}
	}

	void run() {
		while (!_choices.is_empty()) {
			_wall += _choices.pick(20'000);
			node &chosen = _nodes[_choices.pick(3)];
			switch (_choices.pick(10)) {
				case 0:
				case 1:
				case 2:
					_submit(chosen);
					break;
				case 3:
				case 4:
					_append(chosen);
					break;
				case 5:
				case 6:
					_read(chosen);
					break;
				case 7:
					_finish(chosen);
					break;
				case 8:
					_give_up(chosen);
					break;
				case 9:
					if (_choices.one_in(3)) {
						_restart(chosen);
					} else if (_choices.one_in(2) && !_delayed.empty()) {
						_records.push_back(_delayed.back());
						_delayed.pop_back();
					} else if (_choices.one_in(3)) {
						_earliest = _records.size();
					} else {
						chosen.book->expire(_wall);
					}
					break;
			}
		}
	}
};

struct book_pair {
	claim_registry left{ "left", 1, KEY_AGE, 100 };
	claim_registry right{ "right", 2, KEY_AGE, 100 };

	book_pair() {
		left.take_read(0, {}, 0, true, START);
		right.take_read(0, {}, 0, true, START);
	}
};

const std::string KEY = std::to_string(START) + "-key";

} // namespace

RC_GTEST_PROP(claim_book_properties, a_key_runs_at_most_once_under_any_faults, ()) {
	choice_source choices(400);
	claim_simulation(choices).run();
}

RC_GTEST_PROP(ticket_book_properties, a_ticket_runs_at_most_once, ()) {
	choice_source choices(200);
	ticket_registry book("vm", 1, "secret", 50);
	std::vector<std::string> tickets;
	std::map<std::string, int> runs;
	unix_milliseconds wall = START;
	while (!choices.is_empty()) {
		wall += choices.pick(3000);
		if (tickets.empty() || choices.one_in(4)) {
			tickets.push_back(book.issue("customer", wall + 10'000));
			continue;
		}
		const std::string ticket = tickets[choices.pick(static_cast<std::uint32_t>(tickets.size()))];
		const ticket_key parsed = *parse_ticket(ticket);
		if (choices.one_in(5)) {
			book.expire(wall);
		}
		const once_answer answer = book.submit("customer", parsed, wall);
		if (answer.step != once_step::RUN) {
			continue;
		}
		if (choices.one_in(4)) {
			book.on_not_run(parsed);
			continue;
		}
		runs[ticket]++;
		RC_ASSERT(runs[ticket] == 1);
		if (!choices.one_in(3)) {
			book.on_done(parsed, kept_outcome{ 200, ticket });
		}
	}
}

TEST(ticket_book, first_outcome_is_replayed) {
	ticket_registry book("vm", 1, "secret", 10);
	const ticket_key ticket = *parse_ticket(book.issue("customer", START + 1000));
	EXPECT_EQ(book.submit("customer", ticket, START).step, once_step::RUN);
	EXPECT_EQ(book.submit("customer", ticket, START).step, once_step::WAIT);
	book.on_done(ticket, kept_outcome{ 200, "outcome" });
	const once_answer replay = book.submit("customer", ticket, START);
	EXPECT_EQ(replay.step, once_step::REPLAY);
	EXPECT_EQ(replay.kept->body, "outcome");
}

TEST(ticket_book, foreign_customer_forged_expired_and_earlier_life) {
	ticket_registry book("vm", 2, "secret", 10);
	const ticket_key ticket = *parse_ticket(book.issue("customer", START + 1000));
	EXPECT_EQ(book.submit("other", ticket, START).refusal, (outcome{ verdict::NOT_RUN, reason::NOT_FOUND }));
	ticket_key forged = ticket;
	forged.expires_at += 1;
	EXPECT_EQ(book.submit("customer", forged, START).refusal.why, reason::NOT_FOUND);
	EXPECT_EQ(book.submit("customer", ticket, START + 1000).refusal, (outcome{ verdict::MAY_HAVE_RUN, reason::KEY_EXPIRED }));
	ticket_registry next_incarnation("vm", 3, "new secret", 10);
	EXPECT_EQ(next_incarnation.submit("customer", ticket, START).refusal, (outcome{ verdict::MAY_HAVE_RUN, reason::ISSUER_GONE }));
	ticket_registry other_vm("vm2", 3, "new secret", 10);
	EXPECT_EQ(other_vm.submit("customer", ticket, START).step, once_step::PASS_ON);
}

TEST(idempotency_key, forms) {
	EXPECT_TRUE(parse_claimed_key("1700000000000-abc").has_value());
	for (const char *text : { "", "-", "abc", "12", "12-", "-5-x", "1e3-x", "t/vm/1/2/3/4" }) {
		EXPECT_FALSE(parse_claimed_key(text).has_value()) << text;
		EXPECT_FALSE(parse_ticket(text).has_value()) << text;
	}
	EXPECT_FALSE(parse_claimed_key("1-" + std::string(MAX_KEY_BYTES, 'x')).has_value());
}

TEST(claim_book, lowest_offset_wins_and_the_loser_passes_on) {
	book_pair books;
	std::uint64_t left_claim = 0;
	std::uint64_t right_claim = 0;
	EXPECT_EQ(books.left.submit("c", KEY, START, left_claim).step, once_step::CLAIM);
	EXPECT_EQ(books.right.submit("c", KEY, START, right_claim).step, once_step::CLAIM);
	const claim_batch right_batch = *books.right.take_batch();
	const claim_batch left_batch = *books.left.take_batch();
	const std::vector<std::optional<claim_batch>> log{ right_batch, left_batch };
	const std::vector<settled_claim> left = books.left.take_read(0, log, 2, true, START);
	const std::vector<settled_claim> right = books.right.take_read(0, log, 2, true, START);
	ASSERT_EQ(left.size(), 1U);
	ASSERT_EQ(right.size(), 1U);
	EXPECT_EQ(left[0].answer.step, once_step::PASS_ON);
	EXPECT_EQ(left[0].answer.owner_vm, "right");
	EXPECT_EQ(right[0].answer.step, once_step::RUN);
}

TEST(claim_book, customers_do_not_share_keys) {
	book_pair books;
	std::uint64_t claim = 0;
	books.left.submit("a", KEY, START, claim);
	const std::vector<std::optional<claim_batch>> log{ books.left.take_batch() };
	books.right.take_read(0, log, 1, true, START);
	EXPECT_EQ(books.right.submit("b", KEY, START, claim).step, once_step::CLAIM);
}

TEST(claim_book, lost_answer_is_settled_by_reading) {
	book_pair books;
	std::uint64_t claim = 0;
	books.left.submit("c", KEY, START, claim);
	const claim_batch batch = *books.left.take_batch();
	EXPECT_TRUE(books.left.on_append_ended(batch, append_result::UNKNOWN).empty());
	EXPECT_TRUE(books.left.is_waiting());
	const std::vector<settled_claim> settled = books.left.take_read(0, { batch }, 1, true, START);
	ASSERT_EQ(settled.size(), 1U);
	EXPECT_EQ(settled[0].answer.step, once_step::RUN);
}

TEST(claim_book, without_the_log_it_refuses_not_run) {
	claim_registry book("vm", 1, KEY_AGE, 100);
	std::uint64_t claim = 0;
	EXPECT_EQ(book.submit("c", KEY, START, claim).refusal, (outcome{ verdict::NOT_RUN, reason::CLAIM_UNAVAILABLE }));
	book.take_read(0, {}, 0, true, START);
	EXPECT_EQ(book.submit("c", KEY, START, claim).step, once_step::CLAIM);
	const std::vector<settled_claim> settled = book.on_append_ended(*book.take_batch(), append_result::NOT_DONE);
	ASSERT_EQ(settled.size(), 1U);
	EXPECT_EQ(settled[0].answer.refusal, (outcome{ verdict::NOT_RUN, reason::CLAIM_UNAVAILABLE }));
}

TEST(claim_book, old_and_future_keys_are_refused) {
	book_pair books;
	std::uint64_t claim = 0;
	const unix_milliseconds later = START + 11 * 60'000;
	EXPECT_EQ(books.left.submit("c", KEY, later, claim).refusal, (outcome{ verdict::MAY_HAVE_RUN, reason::KEY_EXPIRED }));
	EXPECT_EQ(books.left.submit("c", std::to_string(START + 120'000) + "-x", START, claim).refusal.why, reason::KEY_MALFORMED);
}

TEST(claim_book, keys_older_than_a_truncated_log_are_refused) {
	claim_registry book("vm", 1, KEY_AGE, 100);
	book.take_read(5, {}, 5, true, START + 60'000);
	std::uint64_t claim = 0;
	EXPECT_EQ(book.submit("c", KEY, START + 60'000, claim).refusal.why, reason::CLAIM_UNAVAILABLE);
}

TEST(claim_book, malformed_records_are_skipped) {
	EXPECT_FALSE(decode_claim_batch("garbage").has_value());
	EXPECT_FALSE(decode_claim_batch("{\"vm\": 3}").has_value());
	book_pair books;
	std::uint64_t claim = 0;
	books.left.submit("c", KEY, START, claim);
	const std::optional<claim_batch> batch = books.left.take_batch();
	EXPECT_EQ(books.left.take_read(0, { std::nullopt, batch }, 2, true, START).size(), 1U);
}

TEST(claim_book, records_lost_unread_settle_no_claim) {
	book_pair books;
	std::uint64_t claim = 0;
	books.left.submit("c", KEY, START, claim);
	const claim_batch batch = *books.left.take_batch();
	// Another node's claim was at offset 0, which the log removed; this node's own claim is the first one left.
	const std::vector<settled_claim> settled = books.left.take_read(1, { batch }, 2, true, START);
	ASSERT_EQ(settled.size(), 1U);
	EXPECT_EQ(settled[0].answer.refusal, (outcome{ verdict::MAY_HAVE_RUN, reason::CLAIM_UNAVAILABLE }));
	EXPECT_EQ(books.left.submit("c", KEY, START, claim).step, once_step::REFUSE);
}

} // namespace calicoscale
