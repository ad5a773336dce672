/*
 * calicoscale: configuration_test.cpp
 * Tests the fold of the configuration log, publishing of changes, and the checks of documents.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/document_problem.h"
#include "servers/configuration/change_publisher.h"
#include "servers/configuration/configuration_fold.h"
#include "servers/configuration/configuration_parser.h"
#include "tests/choice_source.h"
#include "tests/sample_configuration.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace calicoscale {

namespace {

/** Cheap document check: accepts every document but 13. */
configuration check_small(std::string_view p_text) {
	if (p_text == "13") {
		throw document_error({ document_problem{ "", "13", "another number" } });
	}
	return configuration();
}

/** Simulates a log that removes old records, and nodes that read it at random times. */
class fold_simulation {
	struct node {
		std::unique_ptr<configuration_fold> fold;
		std::uint64_t last_version = 0;
	};

	choice_source &_choices;
	std::vector<std::string> _records;
	std::uint64_t _earliest = 0;
	std::vector<node> _nodes;
	std::map<std::uint64_t, std::uint64_t> _expected_versions; ///< Version at each position, by a fold that read all records.
	configuration_fold _reference{ check_small };
	unix_milliseconds _wall = 1000;
	int _changes = 0;

	void _append(const std::string &p_record) {
		_records.push_back(p_record);
		_reference.take_read(0, { log_entry{ _records.size() - 1, p_record } }, _wall);
		_expected_versions[_records.size()] = _reference.get_version();
	}

	void _publish() {
		change_record change;
		change.change_id = "c" + std::to_string(_changes++);
		// Operators race: some changes are based on the version in force, some on an earlier one.
		const node &writer = _nodes[_choices.pick(static_cast<std::uint32_t>(_nodes.size()))];
		change.base = _choices.one_in(4) ? _choices.pick(static_cast<std::uint32_t>(_records.size() + 2)) : writer.fold->get_version();
		change.document = _choices.one_in(5) ? "13" : "1";
		change.written_at = _wall;
		const std::string record = encode(change);
		_append(record);
		if (_choices.one_in(4)) {
			_append(record); // The answer was lost and the append is repeated.
		}
	}

	void _read(node &r_node) {
		const std::uint64_t from = std::max(r_node.fold->get_position(), _earliest);
		std::vector<log_entry> entries;
		const std::size_t max_entries = 1 + _choices.pick(5);
		for (std::uint64_t offset = from; offset < _records.size() && entries.size() < max_entries; offset++) {
			entries.push_back(log_entry{ offset, _records[offset] });
		}
		r_node.fold->take_read(_earliest, entries, _wall);
	}

	void _checkpoint(const node &p_node) {
		const std::optional<checkpoint_record> checkpoint = p_node.fold->make_checkpoint(_wall, duration::zero());
		if (checkpoint) {
			_append(encode(*checkpoint));
		}
	}

	void _check(node &r_node) {
		RC_ASSERT(r_node.fold->get_version() >= r_node.last_version);
		r_node.last_version = r_node.fold->get_version();
		if (r_node.fold->is_certain()) {
			const configuration_snapshot snapshot = r_node.fold->get_snapshot();
			RC_ASSERT(!snapshot.certain || snapshot.version == _expected_versions[snapshot.position]);
		}
		if (r_node.last_version > 0) {
			// Every version in force at any node is one that the fold of all records accepted.
			bool is_expected = false;
			for (const auto &[position, version] : _expected_versions) {
				is_expected = is_expected || version == r_node.last_version;
			}
			RC_ASSERT(is_expected);
		}
	}

public:
	explicit fold_simulation(choice_source &r_choices) :
			_choices(r_choices), _nodes(4) {
		_expected_versions[0] = 0;
		for (node &entry : _nodes) {
			entry.fold = std::make_unique<configuration_fold>(check_small);
		}
	}

	void run() {
		while (!_choices.is_empty()) {
			_wall += _choices.pick(50);
			node &chosen = _nodes[_choices.pick(static_cast<std::uint32_t>(_nodes.size()))];
			switch (_choices.pick(9)) {
				case 0:
				case 1:
				case 2:
					_read(chosen);
					break;
				case 3:
				case 4:
					_publish();
					break;
				case 5:
					_checkpoint(chosen);
					break;
				case 6:
					_earliest = std::min<std::uint64_t>(_records.size(), _earliest + _choices.pick(4));
					break;
				case 7:
					chosen.fold->apply_snapshot(_nodes[_choices.pick(static_cast<std::uint32_t>(_nodes.size()))].fold->get_snapshot());
					break;
				case 8:
					if (_choices.one_in(3)) {
						chosen = node{ std::make_unique<configuration_fold>(check_small), 0 };
					}
					break;
			}
			_check(chosen);
		}
		_check_convergence();
	}

	/** Checks that all nodes are certain and agree after a certain node has written a checkpoint and all have read it. */
	void _check_convergence() {
		for (int round = 0; round < 400; round++) {
			for (node &entry : _nodes) {
				_read(entry);
				_check(entry);
			}
		}
		for (const node &entry : _nodes) {
			if (entry.fold->is_certain()) {
				_checkpoint(entry);
				break;
			}
		}
		const bool had_checkpoint = std::any_of(_nodes.begin(), _nodes.end(), [](const node &p_node) { return p_node.fold->is_certain(); });
		for (node &entry : _nodes) {
			_read(entry);
			_read(entry);
			_check(entry);
			if (had_checkpoint) {
				RC_ASSERT(entry.fold->is_certain());
				RC_ASSERT(entry.fold->get_version() == _reference.get_version());
			}
		}
	}
};

std::string make_change(const char *p_id, std::uint64_t p_base, const char *p_document = "1") {
	return encode(change_record{ p_id, p_base, "test", 0, p_document });
}

} // namespace

RC_GTEST_PROP(configuration_fold_properties, all_nodes_agree_and_nothing_reverts, ()) {
	choice_source choices(300);
	fold_simulation(choices).run();
}

TEST(configuration_fold, racing_operators_get_one_winner) {
	configuration_fold fold(check_small);
	fold.take_read(0, { { 0, make_change("a", 0) }, { 1, make_change("b", 0) }, { 2, make_change("c", 1) } }, 0);
	EXPECT_EQ(fold.get_version(), 3U);
	EXPECT_EQ(fold.find_change("a")->status, change_status::ACCEPTED);
	EXPECT_EQ(fold.find_change("b")->status, change_status::OVERTAKEN);
	EXPECT_EQ(fold.find_change("b")->version_after, 1U);
	EXPECT_EQ(fold.find_change("c")->status, change_status::ACCEPTED);
}

TEST(configuration_fold, malformed_and_invalid_records_are_skipped_counted_and_shown) {
	configuration_fold fold(check_small);
	const std::string oversized(MAX_CONFIGURATION_BYTES + 10'000, 'x');
	fold.take_read(0, { { 0, "garbage" }, { 1, make_change("a", 0, "13") }, { 2, oversized }, { 3, make_change("b", 0) } }, 0);
	EXPECT_EQ(fold.get_version(), 4U);
	EXPECT_EQ(fold.get_invalid_count(), 3U);
	EXPECT_EQ(fold.find_change("a")->status, change_status::INVALID);
	EXPECT_NE(fold.find_change("a")->detail.find("13"), std::string::npos);
}

TEST(configuration_fold, truncated_log_is_not_taken_for_an_empty_one) {
	configuration_fold fold(check_small);
	// The log has removed record 0, which made version 1. Record 1 is based on no version, so it was overtaken by it.
	fold.take_read(1, { { 1, make_change("late", 0) } }, 0);
	EXPECT_EQ(fold.get_version(), 0U);
	EXPECT_FALSE(fold.is_certain());
}

TEST(configuration_fold, checkpoint_does_not_hide_changes_written_around_it) {
	configuration_fold fold(check_small);
	// The checkpoint is of position 5, but the change at offset 5 was appended before it and becomes version 6.
	const std::string checkpoint = encode(checkpoint_record{ 3, 5, "old", 0, "1" });
	fold.take_read(5, { { 5, make_change("new", 3) }, { 6, checkpoint } }, 0);
	EXPECT_TRUE(fold.is_certain());
	EXPECT_EQ(fold.get_version(), 6U);
}

TEST(configuration_fold, gap_while_paused_makes_uncertain_but_reverts_nothing) {
	configuration_fold fold(check_small);
	fold.take_read(0, { { 0, make_change("a", 0) } }, 0);
	fold.take_read(7, { { 7, make_change("rejected elsewhere", 1) } }, 0);
	EXPECT_EQ(fold.get_version(), 1U);
	EXPECT_FALSE(fold.is_certain());
	fold.apply_snapshot(configuration_snapshot{ 5, 8, true, "x", "1" });
	EXPECT_TRUE(fold.is_certain());
	EXPECT_EQ(fold.get_version(), 5U);
}

TEST(configuration_fold, checkpoint_is_due_only_when_the_newest_copy_is_old) {
	configuration_fold fold(check_small);
	fold.take_read(0, { { 0, encode(change_record{ "a", 0, "", 1000, "1" }) } }, 1000);
	EXPECT_FALSE(fold.make_checkpoint(1500, std::chrono::seconds(1)).has_value());
	const std::optional<checkpoint_record> due = fold.make_checkpoint(2500, std::chrono::seconds(1));
	ASSERT_TRUE(due.has_value());
	fold.take_read(0, { { 1, encode(*due) } }, 2500);
	EXPECT_FALSE(fold.make_checkpoint(3000, std::chrono::seconds(1)).has_value());
}

TEST(change_publisher, lost_answer_neither_loses_nor_doubles_the_change) {
	configuration_fold fold(check_small);
	change_publisher publisher("mine", instant(std::chrono::seconds(10)));
	EXPECT_EQ(publisher.get_step(instant{}), publish_step::APPEND);
	publisher.on_append_started();
	EXPECT_EQ(publisher.get_step(instant{}), publish_step::READ);
	publisher.on_append_ended(append_result::UNKNOWN, instant{});
	EXPECT_EQ(publisher.get_step(instant{}), publish_step::READ);
	EXPECT_EQ(publisher.get_step(instant(std::chrono::seconds(1))), publish_step::APPEND);
	fold.take_read(0, { { 0, make_change("mine", 0) }, { 1, make_change("mine", 0) } }, 0);
	publisher.on_fold_moved(fold);
	EXPECT_EQ(publisher.get_result(), publish_result::ACCEPTED);
	EXPECT_EQ(fold.get_version(), 1U);
}

TEST(change_publisher, says_whether_a_change_may_still_take_effect) {
	change_publisher never("a", instant(std::chrono::seconds(1)));
	never.on_append_started();
	never.on_append_ended(append_result::NOT_DONE, instant{});
	never.get_step(instant(std::chrono::seconds(2)));
	EXPECT_EQ(never.get_result(), publish_result::NOT_PUBLISHED);
	change_publisher perhaps("b", instant(std::chrono::seconds(1)));
	perhaps.on_append_started();
	perhaps.on_append_ended(append_result::UNKNOWN, instant{});
	perhaps.get_step(instant(std::chrono::seconds(2)));
	EXPECT_EQ(perhaps.get_result(), publish_result::UNKNOWN);
}

TEST(configuration_parser, sound_document) {
	const configuration parsed = parse_configuration(SAMPLE_CONFIGURATION);
	EXPECT_EQ(parsed.customers.size(), 2U);
	EXPECT_TRUE(parsed.find_pipeline("send")->has_unrepeatable_stage());
	EXPECT_EQ(parsed.rules.at(0).effect.priority, priority_class::HIGH);
}

TEST(configuration_parser, names_every_mistake_at_once) {
	std::string text(SAMPLE_CONFIGURATION);
	const auto replace = [&text](const std::string &p_from, const std::string &p_to) {
		const std::size_t position = text.find(p_from);
		ASSERT_NE(position, std::string::npos);
		text.replace(position, p_from.size(), p_to);
	};
	replace("\"pool\": \"engines\"", "\"pool\": \"no-such-pool\"");
	replace("\"routing\": \"predicted_finish\"", "\"routing\": \"best\"");
	replace("\"name\": \"small\"", "\"name\": \"large\"");
	try {
		parse_configuration(text);
		FAIL() << "a mistake was not found";
	} catch (const document_error &error) {
		std::set<std::string> paths;
		for (const document_problem &problem : error.get_problems()) {
			paths.insert(problem.place);
		}
		EXPECT_TRUE(paths.contains("/policy/routing"));
		EXPECT_TRUE(paths.contains("/customers/1/name"));
		EXPECT_TRUE(paths.contains("/pipelines/0/stages/2/pool"));
	}
}

TEST(configuration_parser, unknown_keys_and_wrong_types_are_mistakes) {
	for (const char *text : { "", "[]", "{}", "{\"customers\": 1}", "nonsense", "{\"customers\": [], \"pools\": [], \"pipelines\": [], \"extra\": 1}" }) {
		EXPECT_THROW(parse_configuration(text), document_error) << text;
	}
	EXPECT_THROW(parse_configuration(std::string(MAX_CONFIGURATION_BYTES + 1, ' ')), document_error);
}

} // namespace calicoscale
