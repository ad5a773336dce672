/*
 * calicoscale: settings_test.cpp
 * Tests the parsing of settings and load mixes, and the checks of answers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/digest.h"
#include "main/gateway/gateway_settings.h"
#include "main/load/answer_check.h"
#include "main/load/load_mix.h"
#include "main/serve/node_settings.h"

#include <gtest/gtest.h>

#include <set>

namespace calicoscale {

namespace {

const std::string VALID_SETTINGS = R"({
	"vm": "entry-a", "zone": "z1", "region": "r1",
	"caller_address": "127.0.0.1:7000", "admin_address": "127.0.0.1:7001", "link_address": "127.0.0.1:7002",
	"fleet_key": "a long enough key",
	"platform": { "log": "127.0.0.1:9000", "vm_list": "127.0.0.1:9001" }
})";

std::set<std::string> find_places(const std::string &p_text) {
	std::set<std::string> places;
	try {
		parse_settings(p_text);
	} catch (const document_error &error) {
		for (const document_problem &problem : error.get_problems()) {
			places.insert(problem.place);
			EXPECT_FALSE(problem.found.empty());
			EXPECT_FALSE(problem.expected.empty());
		}
	}
	return places;
}

std::string replace(std::string p_text, const std::string &p_from, const std::string &p_to) {
	return p_text.replace(p_text.find(p_from), p_from.size(), p_to);
}

constexpr const char *GATEWAY = R"({ "vm": "entry-a", "zone": "z1", "caller_address": "127.0.0.1:7000", "readiness_address": "127.0.0.1:7001", "link_address": "127.0.0.1:7002", "store_address": "127.0.0.1:9000" })";

} // namespace

TEST(node_settings, sound) {
	const node_settings settings = parse_settings(VALID_SETTINGS);
	EXPECT_EQ(settings.vm, "entry-a");
	EXPECT_EQ(settings.platform.log.port, 9000);
}

TEST(node_settings, names_all_mistakes_at_once) {
	const std::string text = replace(replace(VALID_SETTINGS, "127.0.0.1:7000", "300.0.0.1:7000"), "127.0.0.1:9001", "127.0.0.1:0");
	EXPECT_EQ(find_places(text), (std::set<std::string>{ "/caller_address", "/platform/vm_list" }));
}

TEST(node_settings, unknown_keys_missing_keys_wrong_types_and_broken_json) {
	EXPECT_FALSE(find_places(replace(VALID_SETTINGS, "\"vm\"", "\"vmm\"")).empty());
	EXPECT_FALSE(find_places(replace(VALID_SETTINGS, "\"z1\"", "17")).empty());
	EXPECT_FALSE(find_places("{").empty());
	EXPECT_FALSE(find_places("[]").empty());
	EXPECT_FALSE(find_places(replace(VALID_SETTINGS, "127.0.0.1:7001", "127.0.0.1:7000")).empty());
	EXPECT_FALSE(find_places(replace(VALID_SETTINGS, "\"platform\"", R"("limits": { "caller_idle_seconds": 5 }, "platform")")).empty());
}

TEST(gateway_settings, mechanisms_are_switched_off_by_name_and_unknown_names_are_told) {
	const gateway_settings defaults = parse_gateway_settings(GATEWAY);
	EXPECT_TRUE(defaults.mechanisms.is_empty());
	EXPECT_EQ(defaults.configuration_apply, std::chrono::seconds(2));
	const gateway_settings reduced = parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("ablation": ["admission", "store_readers"], "configuration_apply_ms": 3000, "zone")"));
	EXPECT_FALSE(reduced.mechanisms.has(mechanism::ADMISSION));
	EXPECT_FALSE(reduced.mechanisms.has(mechanism::STORE_READERS));
	EXPECT_TRUE(reduced.mechanisms.has(mechanism::RESULT_CAPACITY));
	EXPECT_EQ(reduced.configuration_apply, std::chrono::seconds(3));
	try {
		parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("ablation": ["admision"], "zone")"));
		FAIL() << "a misspelt name must not be passed over";
	} catch (const document_error &error) {
		EXPECT_EQ(error.get_problems().at(0).place, "/ablation");
	}
}

TEST(gateway_settings, the_number_of_links_follows_from_the_descriptors_of_the_process) {
	EXPECT_EQ(parse_gateway_settings(GATEWAY).get_max_links(), 1024U);
	EXPECT_EQ(parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("descriptors": 4100, "zone")")).get_max_links(), 2050U);
	EXPECT_EQ(parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("descriptors": 8192, "zone")")).get_max_links(), 4096U);
	EXPECT_THROW(parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("descriptors": 0, "zone")")), document_error);
	EXPECT_THROW(parse_gateway_settings(replace(GATEWAY, "\"zone\"", R"("descriptors": 99.5, "zone")")), document_error);
}

TEST(gateway_settings, every_mechanism_has_a_name_of_its_own) {
	for (std::size_t i = 0; i < static_cast<std::size_t>(mechanism::COUNT); i++) {
		EXPECT_EQ(find_mechanism(get_name(static_cast<mechanism>(i))), static_cast<mechanism>(i));
	}
}

TEST(load_mix, customers_must_be_known) {
	EXPECT_THROW(parse_mix(R"({"name": "m", "customers": [{"name": "a", "key": "k"}], "requests": [{"pipeline": "p", "customers": ["b"]}]})"), document_error);
	EXPECT_EQ(parse_mix(R"({"name": "m", "customers": [{"name": "a", "key": "k"}], "requests": [{"pipeline": "p"}]})").requests.size(), 1U);
}

TEST(answer_check, notices_gaps_repeats_splices_and_foreign_answers) {
	std::vector<std::string> tokens{ "marker" };
	std::string text = "marker";
	for (int i = 0; i < 5; i++) {
		tokens.push_back(make_chain_token(text, "vm"));
		text += tokens.back();
	}
	EXPECT_EQ(check_chain(tokens, "marker"), std::nullopt);
	EXPECT_EQ(split_chain(text), tokens);
	EXPECT_NE(check_chain(tokens, "another"), std::nullopt);
	std::vector<std::string> gap = tokens;
	gap.erase(gap.begin() + 2);
	EXPECT_NE(check_chain(gap, "marker"), std::nullopt);
	std::vector<std::string> repeat = tokens;
	repeat.insert(repeat.begin() + 2, tokens[2]);
	EXPECT_NE(check_chain(repeat, "marker"), std::nullopt);
	std::vector<std::string> splice = tokens;
	splice[3] = make_chain_token("marker and other text", "vm2");
	EXPECT_NE(check_chain(splice, "marker"), std::nullopt);
}

} // namespace calicoscale
