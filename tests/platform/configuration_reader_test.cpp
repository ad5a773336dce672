/*
 * calicoscale: configuration_reader_test.cpp
 * Checks that reading a configuration route by route gives the same result as parsing the complete document, and that both
 * reject the same texts.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "platform/configuration_reader.h"

#include "core/document_problem.h"
#include "platform/configuration_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace calicoscale {

namespace {

using json = nlohmann::json;

json make_route(const std::string &p_name) {
	return json{ { "name", p_name }, { "host", p_name + ".example" }, { "path_prefix", "/a\"]},{\\/" }, { "route_kind", "idempotent" }, { "service", "llm" }, { "stages", { { { "service", "enc" }, { "since_rev", json::array() } } } } };
}

json make_document(int p_version, const std::vector<std::string> &p_routes) {
	json document{ { "version", p_version }, { "routes", json::array() }, { "services", { { { "name", "llm" } } } }, { "tenants", { { { "name", "hearth" }, { "api_keys", { "k\"1" } } } } } };
	for (const std::string &name : p_routes) {
		document["routes"].push_back(make_route(name));
	}
	return document;
}

/** Parses the complete document at once; returns null when the parser rejects it. */
std::shared_ptr<const gateway_configuration> parse_complete(const std::string &p_text) {
	try {
		return parse_gateway_configuration(p_text);
	} catch (const document_error &) {
		return nullptr;
	}
}

/** Returns whether the reader rejects the text. */
bool is_refused(configuration_reader &r_reader, const std::string &p_text) {
	try {
		r_reader.take(p_text);
		return false;
	} catch (const document_error &) {
		return true;
	}
}

} // namespace

TEST(configuration_reader, takes_routes_that_are_kept_moved_changed_new_and_gone) {
	configuration_reader reader;
	ASSERT_TRUE(reader.take(make_document(1, { "a", "b", "c", "d" }).dump()));
	json changed = make_document(2, { "e", "d", "a", "b", "b" });
	changed["routes"][2]["timeout_ms"] = 1234;
	for (const int indent : { -1, 2 }) {
		changed["version"] = 3 + indent;
		const std::string text = changed.dump(indent);
		ASSERT_EQ(split_configuration(text).routes.size(), 5U);
		ASSERT_TRUE(reader.take(text));
		EXPECT_EQ(reader.get_text(), text);
		EXPECT_EQ(reader.get_current()->routes, parse_gateway_configuration(text)->routes);
		EXPECT_EQ(reader.get_current()->find_route("a.example", "/a\"]},{\\/x")->timeout, duration(std::chrono::milliseconds(1234)));
		EXPECT_EQ(reader.get_current()->find_route("c.example", "/a\"]},{\\/x"), nullptr);
		EXPECT_EQ(reader.get_current()->find_customer("k\"1")->name, "hearth");
	}
}

TEST(configuration_reader, only_a_higher_version_replaces_the_current_one) {
	configuration_reader reader;
	EXPECT_EQ(reader.get_text(), "");
	EXPECT_EQ(reader.get_current(), nullptr);
	ASSERT_TRUE(reader.take(make_document(5, { "a" }).dump()));
	EXPECT_FALSE(reader.take(make_document(5, { "b" }).dump()));
	EXPECT_FALSE(reader.take(make_document(4, { "b" }).dump()));
	EXPECT_TRUE(is_refused(reader, R"({"version":6})"));
	EXPECT_EQ(reader.get_text(), make_document(5, { "a" }).dump());
	EXPECT_EQ(reader.get_current()->routes.front().name, "a");
}

TEST(configuration_reader, parts_are_not_taken_where_the_whole_is_another_thing) {
	const std::string route = make_route("a").dump();
	const std::string end = R"("services":[],"version":9})";
	const std::vector<std::string> texts{
		R"({"routes":[)" + route + "," + std::string(1, '\0') + route + "]," + end, // The text ends at the NUL.
		R"({"routes":[)" + route + std::string(1, '\0') + "}]," + end,
		R"({"routes":[)" + route + R"(],"routes":[)" + route + "," + route + "]," + end, // Of duplicate keys, the last one applies.
		R"({"routes":[)" + route + R"(],"rout\u0065s":[],)" + end,
		R"({"routes":[)" + route + ",]," + end,
		R"({"routes":[)" + route + "," + end,
		R"({"routes":[)" + route + "]," + end + "}",
		R"({"routes":[)" + route + "}," + end,
		R"({"routes":[{"a":[}]}],)" + end,
		R"({"routes":[],)" + end,
		R"({"routes":{},)" + end,
		R"({"routes":[)" + route + "\xEF\xBB\xBF" + "," + route + "]," + end,
	};
	for (const std::string &text : texts) {
		configuration_reader reader;
		reader.take(make_document(1, { "a", "b" }).dump());
		const std::shared_ptr<const gateway_configuration> complete = parse_complete(text);
		EXPECT_EQ(is_refused(reader, text), complete == nullptr) << text;
		if (complete) {
			EXPECT_EQ(reader.get_current()->routes, complete->routes) << text;
		}
	}
}

RC_GTEST_PROP(configuration_reader, says_what_the_whole_says_of_any_damaged_text, ()) {
	std::string text = make_document(2, { "a", "b", "c" }).dump();
	const std::string damages = "{}[],:\"\\ \n0" + std::string(1, '\0');
	const int count = *rc::gen::inRange(1, 6);
	for (int i = 0; i < count; i++) {
		const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
		const char damage = damages[*rc::gen::inRange<std::size_t>(0, damages.size())];
		if (*rc::gen::arbitrary<bool>()) {
			text[at] = damage;
		} else {
			text.insert(at, 1, damage);
		}
	}
	configuration_reader reader;
	reader.take(make_document(1, { "a", "b", "c" }).dump());
	const std::shared_ptr<const gateway_configuration> complete = parse_complete(text);
	RC_ASSERT(is_refused(reader, text) == (complete == nullptr));
	if (complete && complete->version > 1) {
		RC_ASSERT(reader.get_current()->routes == complete->routes);
	}
}

} // namespace calicoscale
