/*
 * calicoscale: gateway_state_test.cpp
 * Routes, stage graphs, events, retry windows, endpoint lists, commitments and engine views.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/digest.h"
#include "servers/gateway/commitment_table.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/engine_view.h"
#include "servers/gateway/event_splitter.h"
#include "servers/gateway/retry_budget.h"
#include "servers/gateway/stage_graph.h"
#include "servers/gateway/stage_times.h"
#include "servers/gateway/stage_transfers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant at(milliseconds p_time) {
	return instant(seconds(1000) + p_time);
}

gateway_route make_route(const std::string &p_host, const std::string &p_prefix) {
	gateway_route route;
	route.name = p_host + p_prefix;
	route.host = p_host;
	route.path_prefix = p_prefix;
	route.services = { service_share{ "letters", 1.0 } };
	return route;
}

endpoint_listing make_endpoint(const std::string &p_name, bool p_leaving = false) {
	endpoint_listing listing;
	listing.vm = p_name;
	listing.pool = "letters";
	listing.zone = "a";
	// Each endpoint has its own address, because one that starts at the address of another supersedes it.
	listing.address = network_address{ "10.0.0.1", static_cast<std::uint16_t>(1 + hash_bytes(p_name) % 60000) };
	listing.leaving = p_leaving;
	return listing;
}

stage_graph make_chain() {
	return stage_graph({ stage_spec{ "encode", {}, 10 }, stage_spec{ "search", { 0 }, 10 }, stage_spec{ "side", {}, 10 } }, { 1, 2, 1 });
}

bool is_leaving(const endpoint_directory &p_directory, const std::string &p_name) {
	const std::vector<endpoint_listing> listings = p_directory.get_listings();
	return std::any_of(listings.begin(), listings.end(), [&p_name](const endpoint_listing &p_listing) { return p_listing.vm == p_name && p_listing.leaving; });
}

} // namespace

TEST(gateway_configuration, takes_the_longest_prefix_of_the_host) {
	gateway_configuration configuration;
	configuration.routes = { make_route("one.example", "/a/"), make_route("one.example", "/a/b/"), make_route("two.example", "/") };
	configuration.index();
	EXPECT_EQ(configuration.find_route("one.example", "/a/b/c")->path_prefix, "/a/b/");
	EXPECT_EQ(configuration.find_route("One.Example:8080", "/a/x")->path_prefix, "/a/");
	EXPECT_EQ(configuration.find_route("one.example", "/b/"), nullptr);
	EXPECT_EQ(configuration.find_route("three.example", "/a/"), nullptr);
	EXPECT_EQ(configuration.find_route("two.example", "/a/b/c")->path_prefix, "/");
}

TEST(gateway_configuration, knows_customers_by_key_only) {
	gateway_configuration configuration;
	configuration.customers = { gateway_customer{ "hearth", 1 }, gateway_customer{ "yards", std::nullopt } };
	configuration.add_key("secret-1", 0);
	configuration.add_key("secret-2", 1);
	EXPECT_EQ(configuration.find_customer("secret-2")->name, "yards");
	EXPECT_EQ(configuration.find_customer("secret-3"), nullptr);
	EXPECT_EQ(configuration.find_customer(""), nullptr);
}

TEST(gateway_configuration, splits_a_route_by_weight) {
	gateway_route route;
	route.services = { service_share{ "old", 90.0 }, service_share{ "new", 10.0 }, service_share{ "never", 0.0 } };
	EXPECT_EQ(choose_service(route, 0.0), "old");
	EXPECT_EQ(choose_service(route, 0.899), "old");
	EXPECT_EQ(choose_service(route, 0.901), "new");
	EXPECT_EQ(choose_service(route, 0.9999999), "new");
}

TEST(stage_graph, asks_for_a_stage_when_its_inputs_are_done) {
	stage_graph graph = make_chain();
	EXPECT_EQ(graph.take_ready(), (std::vector<std::size_t>{ 0, 2 }));
	EXPECT_TRUE(graph.take_ready().empty());
	graph.set_done(0, { "x/1" });
	EXPECT_EQ(graph.take_ready(), std::vector<std::size_t>{ 1 });
	EXPECT_EQ(graph.get_inputs(1), std::vector<std::string>{ "x/1" });
	EXPECT_FALSE(graph.is_complete());
	graph.set_done(1, { "y/1", "y/2" });
	graph.set_done(2, { "z/1" });
	EXPECT_TRUE(graph.is_complete());
	EXPECT_EQ(graph.get_final_results(), (std::vector<std::string>{ "y/1", "y/2", "z/1" }));
}

TEST(stage_graph, releases_each_result_once_and_final_ones_last) {
	stage_graph graph = make_chain();
	graph.take_ready();
	graph.set_done(0, { "x/1" });
	EXPECT_TRUE(graph.take_unneeded(0).empty()) << "the next stage still reads it";
	graph.set_done(1, { "y/1", "y/2" });
	EXPECT_EQ(graph.take_unneeded(0), std::vector<std::string>{ "x/1" });
	EXPECT_TRUE(graph.take_unneeded(0).empty());
	EXPECT_TRUE(graph.take_unneeded(1).empty()) << "the service still reads it";
	EXPECT_EQ(graph.take_all(1).size(), 2U);
	EXPECT_TRUE(graph.take_all(1).empty());
	EXPECT_TRUE(graph.take_all(0).empty());
}

TEST(stage_graph, leaves_out_stages_without_pieces_and_can_begin_again) {
	stage_graph graph({ stage_spec{ "encode", {}, 10 }, stage_spec{ "search", { 0 }, 10 } }, { 0, 1 });
	EXPECT_EQ(graph.take_ready(), std::vector<std::size_t>{ 1 });
	EXPECT_TRUE(graph.get_inputs(1).empty());
	graph.set_done(1, { "y/1" });
	EXPECT_TRUE(graph.is_complete());
	graph.restart();
	EXPECT_FALSE(graph.is_complete());
	EXPECT_EQ(graph.take_ready(), std::vector<std::size_t>{ 1 });
	EXPECT_TRUE(stage_graph({ stage_spec{ "encode", {}, 10 } }, {}).is_empty());
}

RC_GTEST_PROP(event_splitter, whole_events_come_out_whatever_the_cuts, ()) {
	std::string stream;
	const int count = *rc::gen::inRange(1, 12);
	for (int i = 0; i < count; i++) {
		stream += "id: " + std::to_string(i) + "\ndata: " + *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')) + (i % 2 == 0 ? "\n\n" : "\r\n\r\n");
	}
	const std::size_t received_bytes = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
	event_splitter splitter;
	std::string out;
	std::size_t position = 0;
	while (position < received_bytes) {
		const std::size_t step = std::min<std::size_t>(received_bytes - position, *rc::gen::inRange<std::size_t>(1, 9));
		out += splitter.take(std::string_view(stream).substr(position, step));
		position += step;
	}
	RC_ASSERT(stream.substr(0, out.size()) == out);
	// A carriage return alone ends a line, so an event may be complete before the line feed that follows it.
	const bool is_cut_in_line_end = out.size() == received_bytes && out.ends_with("\n\r") && stream.substr(received_bytes, 1) == "\n";
	RC_ASSERT(out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n") || is_cut_in_line_end);
	if (received_bytes == stream.size()) {
		RC_ASSERT(out == stream);
		RC_ASSERT(splitter.get_last_id() == std::to_string(count - 1));
	}
}

TEST(event_splitter, drops_half_an_event_and_keeps_the_last_whole_id) {
	event_splitter splitter;
	EXPECT_EQ(splitter.take("id:4\ndata: a\n\nid: 5\nda"), "id:4\ndata: a\n\n");
	EXPECT_EQ(splitter.get_last_id(), "4");
	EXPECT_TRUE(splitter.is_inside_event());
	splitter.restart();
	EXPECT_EQ(splitter.take("id: 5\ndata: b\n\n"), "id: 5\ndata: b\n\n");
	EXPECT_EQ(splitter.get_last_id(), "5");
	splitter.take("tail");
	EXPECT_EQ(splitter.take_remainder(), "tail");
}

RC_GTEST_PROP(retry_budget, all_nodes_together_stay_within_the_bounds_in_any_window, ()) {
	const std::size_t nodes = *rc::gen::inRange<std::size_t>(1, 10);
	const retry_bounds bounds{ 0.2, 56.0, seconds(10) };
	std::vector<retry_budget> budgets(nodes, retry_budget(bounds));
	for (retry_budget &budget : budgets) {
		budget.set_part(1.0 / static_cast<double>(nodes), at(milliseconds(0)) - bounds.window);
	}
	std::vector<std::pair<instant, bool>> events;
	instant now = at(milliseconds(0));
	const int steps = *rc::gen::inRange(50, 400);
	for (int i = 0; i < steps; i++) {
		now += milliseconds(*rc::gen::inRange(0, 120));
		retry_budget &budget = budgets[*rc::gen::inRange<std::size_t>(0, nodes)];
		if (*rc::gen::inRange(0, 3) == 0) {
			budget.on_request("llm", now);
			events.emplace_back(now, false);
		} else if (budget.try_repeat("llm", now).is_allowed) {
			events.emplace_back(now, true);
		}
	}
	for (const auto &[end, ignored] : events) {
		double repeats = 0.0;
		double requests = 0.0;
		double before = 0.0;
		for (const auto &[time, is_repeat] : events) {
			const bool is_in = time <= end && end - time < bounds.window;
			const bool is_before = time <= end - bounds.window && end - time < bounds.window * 2;
			repeats += is_repeat && is_in ? 1.0 : 0.0;
			requests += !is_repeat && is_in ? 1.0 : 0.0;
			before += !is_repeat && is_before ? 1.0 : 0.0;
		}
		RC_ASSERT(repeats <= bounds.ratio * std::max(requests, before) + bounds.slack);
	}
}

TEST(endpoint_directory, leaving_is_never_undone) {
	endpoint_directory directory;
	directory.on_read(at(milliseconds(0)));
	directory.put(make_endpoint("e1"));
	EXPECT_TRUE(directory.take_changed());
	directory.put(make_endpoint("e1", true));
	EXPECT_EQ(directory.take_updates(), (std::vector<endpoint_identity>{ { "e1", 0 } }));
	directory.put(make_endpoint("e1"));
	EXPECT_TRUE(is_leaving(directory, "e1")) << "an older record that is read again does not undo it";
	directory.drop("e1", at(milliseconds(10)));
	directory.put(make_endpoint("e1"));
	EXPECT_TRUE(is_leaving(directory, "e1"));
}

TEST(endpoint_directory, a_mark_from_a_peer_counts_before_the_entry_is_read) {
	endpoint_directory directory;
	EXPECT_TRUE(directory.mark_leaving({ "e2", 0 }));
	EXPECT_FALSE(directory.mark_leaving({ "e2", 0 }));
	directory.put(make_endpoint("e2"));
	EXPECT_TRUE(is_leaving(directory, "e2"));
}

TEST(endpoint_directory, entries_that_went_with_an_outage_stay_until_two_seconds_after_it) {
	endpoint_directory directory;
	directory.on_read(at(milliseconds(0)));
	directory.put(make_endpoint("back"));
	directory.put(make_endpoint("lost"));
	directory.on_read(at(milliseconds(6000)));
	directory.drop("back", at(milliseconds(6000)));
	directory.drop("lost", at(milliseconds(6000)));
	directory.tick(at(milliseconds(6500)));
	EXPECT_EQ(directory.get_size(), 2U);
	directory.put(make_endpoint("back"));
	directory.tick(at(milliseconds(8100)));
	ASSERT_EQ(directory.get_size(), 1U);
	EXPECT_EQ(directory.get_listings().front().vm, "back");
}

TEST(endpoint_directory, a_peer_that_read_on_tells_what_went_while_this_node_was_cut_off) {
	endpoint_directory directory;
	directory.on_read(at(milliseconds(0)));
	for (const char *name : { "back", "lost", "told_before" }) {
		directory.put(make_endpoint(name));
	}
	EXPECT_TRUE(directory.mark_removed({ "told_before", 0 }, at(milliseconds(5900)))) << "this node's own last read is old";
	directory.on_read(at(milliseconds(6000)));
	directory.drop("back", at(milliseconds(6000)));
	directory.drop("lost", at(milliseconds(6000)));
	EXPECT_EQ(directory.get_drop_time(), at(milliseconds(8000)));
	EXPECT_TRUE(directory.mark_removed({ "lost", 0 }, at(milliseconds(6200))));
	EXPECT_FALSE(directory.mark_removed({ "unknown", 0 }, at(milliseconds(6200))));
	directory.put(make_endpoint("back"));
	EXPECT_EQ(directory.get_drop_time(), std::nullopt);
	EXPECT_FALSE(directory.mark_removed({ "back", 0 }, at(milliseconds(6300)))) << "its entry has just been read";
	EXPECT_TRUE(directory.drop_reported_removals(at(milliseconds(6400))).empty());
	ASSERT_EQ(directory.get_size(), 1U);
	EXPECT_EQ(directory.get_listings().front().vm, "back");
	EXPECT_EQ(directory.take_removed(), (std::vector<endpoint_identity>{ { "told_before", 0 }, { "lost", 0 } }));
}

TEST(endpoint_directory, what_a_peer_told_once_counts_when_this_node_stops_reading_and_not_when_it_reads_on) {
	endpoint_directory directory;
	directory.on_read(at(milliseconds(0)));
	directory.put(make_endpoint("e"));
	EXPECT_FALSE(directory.mark_removed({ "e", 0 }, at(milliseconds(100)))) << "this node reads the log itself";
	EXPECT_TRUE(directory.drop_reported_removals(at(milliseconds(1400))).empty());
	directory.on_read(at(milliseconds(1000)));
	directory.on_read(at(milliseconds(2000)));
	EXPECT_TRUE(directory.drop_reported_removals(at(milliseconds(6000))).empty()) << "two reads have shown that the entry exists";
	directory.on_read(at(milliseconds(6100)));
	EXPECT_FALSE(directory.mark_removed({ "e", 0 }, at(milliseconds(6200))));
	EXPECT_EQ(directory.drop_reported_removals(at(milliseconds(7700))), (std::vector<endpoint_identity>{ { "e", 0 } }));
	EXPECT_EQ(directory.get_size(), 0U);
}

TEST(endpoint_directory, without_an_outage_an_entry_that_goes_is_gone) {
	endpoint_directory directory;
	for (int i = 0; i < 10; i++) {
		directory.on_read(at(milliseconds(900 * i)));
	}
	directory.put(make_endpoint("e1"));
	directory.drop("e1", at(milliseconds(8200)));
	EXPECT_EQ(directory.get_size(), 0U);
}

TEST(endpoint_directory, a_whole_reading_drops_what_it_lacks_and_a_peers_list_counts_only_before_the_first) {
	endpoint_directory directory;
	EXPECT_TRUE(directory.adopt({ make_endpoint("told") }));
	EXPECT_TRUE(directory.is_loaded());
	directory.on_read(at(milliseconds(0)));
	directory.replace({ make_endpoint("read") }, at(milliseconds(0)));
	ASSERT_EQ(directory.get_size(), 1U);
	EXPECT_EQ(directory.get_listings().front().vm, "read");
	EXPECT_FALSE(directory.adopt({ make_endpoint("told") }));
	EXPECT_EQ(directory.find_zone(make_endpoint("read").address), "a");
	EXPECT_EQ(directory.find_zone(network_address{ "10.0.0.2", 80 }), "");
}

namespace {

gateway_configuration make_pools() {
	gateway_configuration configuration;
	stage_pool_spec spec;
	spec.batch = 10;
	spec.call_time = milliseconds(100);
	spec.piece_time = milliseconds(10);
	for (const char *name : { "encode", "search" }) {
		gateway_service service;
		service.name = name;
		service.stage_pool = spec;
		configuration.services[name] = service;
	}
	gateway_route route = make_route("one.example", "/");
	route.stages = { stage_spec{ "encode", {}, 10 }, stage_spec{ "search", { 0 }, 10 } };
	configuration.routes.push_back(route);
	return configuration;
}

} // namespace

TEST(commitment_table, predicts_the_chain_and_what_is_ahead_in_its_fullest_pool) {
	const gateway_configuration configuration = make_pools();
	commitment_table table;
	table.set_capacity("encode", 2.0);
	table.set_capacity("search", 2.0);
	const duration idle = table.predict_stages(configuration, configuration.routes[0], { 5, 5 }, 1);
	EXPECT_EQ(idle, duration(milliseconds(300)));
	table.add("search", 1, seconds(2));
	EXPECT_EQ(table.predict_stages(configuration, configuration.routes[0], { 5, 5 }, 1), duration(milliseconds(1150)));
	EXPECT_EQ(table.predict_stages(configuration, configuration.routes[0], { 5, 0 }, 1), duration(milliseconds(150)));
	EXPECT_EQ(table.predict_stages(configuration, configuration.routes[0], { 5, 5 }, 0), idle) << "more urgent work comes first";
	table.remove("search", 1, seconds(2));
	EXPECT_EQ(table.predict_stages(configuration, configuration.routes[0], { 5, 5 }, 1), idle);
}

TEST(commitment_table, less_urgent_work_of_any_node_is_not_ahead) {
	constexpr int LEAST_URGENT = 10;
	commitment_table table;
	table.set_capacity("search", 1.0);
	table.add("search", LEAST_URGENT, seconds(2));
	table.set_peer("n2", { pool_commitment{ "search", LEAST_URGENT, seconds(3) } });
	EXPECT_EQ(table.get_drain_time("search", 9), duration::zero());
	EXPECT_EQ(table.get_drain_time("search", LEAST_URGENT), duration(seconds(5)));
	EXPECT_EQ(table.get_own().front().priority, LEAST_URGENT) << "it is reported to peers";
}

TEST(commitment_table, hubs_add_up_what_the_nodes_that_rely_on_them_admitted) {
	commitment_table hub;
	commitment_table other_hub;
	commitment_table follower;
	for (commitment_table *table : { &hub, &other_hub, &follower }) {
		table->set_capacity("search", 1.0);
	}
	hub.add("search", 1, seconds(1));
	other_hub.add("search", 1, seconds(2));
	follower.add("search", 1, seconds(4));
	hub.set_follower("follower", follower.get_own());
	other_hub.set_peer("hub", hub.get_subtree());
	hub.set_peer("other_hub", other_hub.get_subtree());
	follower.set_total(hub.get_total(), follower.get_own());
	for (const commitment_table *table : { &hub, &other_hub, &follower }) {
		EXPECT_EQ(table->get_drain_time("search", 1), duration(seconds(7)));
	}
	follower.add("search", 1, seconds(1));
	EXPECT_EQ(follower.get_drain_time("search", 1), duration(seconds(8))) << "its own newest work counts immediately, and only once";
	hub.remove_peer("follower");
	EXPECT_EQ(hub.get_drain_time("search", 1), duration(seconds(3)));
	EXPECT_EQ(hub.get_subtree().front().work, duration(seconds(1)));
}

TEST(commitment_table, a_node_that_becomes_a_hub_counts_nothing_twice) {
	commitment_table table;
	table.set_capacity("search", 1.0);
	table.set_total({ pool_commitment{ "search", 1, seconds(5) } }, {});
	table.set_peer("n2", { pool_commitment{ "search", 1, seconds(3) } });
	EXPECT_EQ(table.get_drain_time("search", 1), duration(seconds(5))) << "not all other hubs have reported yet";
	table.set_peer("n3", { pool_commitment{ "search", 1, seconds(2) } });
	table.clear_total();
	EXPECT_EQ(table.get_drain_time("search", 1), duration(seconds(5)));
	table.set_total({ pool_commitment{ "search", 1, seconds(5) } }, {});
	EXPECT_EQ(table.get_drain_time("search", 1), duration(seconds(5))) << "the same holds for a node that stops being a hub";
}

TEST(stage_times, a_stage_is_followed_by_the_longest_chain_of_stages_that_have_pieces) {
	gateway_configuration configuration = make_pools();
	gateway_route &route = configuration.routes[0];
	route.stages = { stage_spec{ "encode", {}, 10 }, stage_spec{ "search", { 0 }, 10 }, stage_spec{ "search", { 1 }, 10 }, stage_spec{ "encode", { 0 }, 10 }, stage_spec{ "elsewhere", { 2 }, 10 } };
	const std::vector<duration> after = get_remaining_stage_times(configuration, route, { 1, 5, 8, 1, 1 });
	EXPECT_EQ(after, (std::vector<duration>{ milliseconds(330), milliseconds(180), duration::zero(), duration::zero(), duration::zero() }));
	EXPECT_EQ(get_remaining_stage_times(configuration, route, { 1, 5 }).front(), duration(milliseconds(150))) << "stages without items take no time";
}

TEST(stage_transfers, each_piece_reads_all_its_inputs_and_the_service_the_final_results) {
	gateway_configuration configuration = make_pools();
	stage_graph stages(configuration.routes[0].stages, { 3, 2 });
	stages.set_done(0, { "a/1", "a/2", "b/3" });
	stages.set_done(1, { "a/4", "c/5" });
	const stage_transfers transfers(stages, [](const std::string &p_handle) { return p_handle.substr(0, 1); });
	EXPECT_EQ(transfers.find_producers_zone({ "a/1", "a/2", "b/3" }), "a");
	EXPECT_EQ(transfers.find_producers_zone({}), "");
	const std::vector<result_transfer> inputs = transfers.get_inputs_read(1);
	ASSERT_EQ(inputs.size(), 4U);
	EXPECT_EQ(inputs[0].bytes, 20U) << "two results of ten bytes, read by one item in the same zone";
	EXPECT_EQ(get_cross_zone_bytes(inputs), 40U);
	EXPECT_EQ(get_cross_zone_bytes(transfers.get_final_read("llm", "c")), 10U);
	EXPECT_TRUE(transfers.get_inputs_read(0).empty());
}

TEST(commitment_table, counts_peers_until_they_are_forgotten) {
	commitment_table table;
	table.set_capacity("search", 1.0);
	table.set_peer("n2", { pool_commitment{ "search", 0, milliseconds(400) } });
	table.set_peer("n2", { pool_commitment{ "search", 0, milliseconds(300) } });
	table.set_peer("n3", { pool_commitment{ "search", 2, milliseconds(200) } });
	EXPECT_EQ(table.get_drain_time("search", 2), duration(milliseconds(500)));
	EXPECT_EQ(table.get_drain_time("search", 1), duration(milliseconds(300)));
	table.remove_peer("n2");
	EXPECT_EQ(table.get_drain_time("search", 2), duration(milliseconds(200)));
	EXPECT_TRUE(table.get_own().empty());
	EXPECT_EQ(table.get_drain_time("other", 2), duration::zero());
}

namespace {

const std::vector<engine_candidate> &get_engines() {
	static const std::vector<engine_candidate> engines{ { 1, { "e1", 1 }, "a", 0 }, { 2, { "e2", 1 }, "a", 0 }, { 3, { "e3", 1 }, "b", 0 } };
	return engines;
}

} // namespace

TEST(engine_view, goes_back_to_the_engine_that_read_the_shared_part) {
	engine_view view;
	const std::vector<prompt_link> first{ { 11, 13000 }, { 12, 3000 } };
	const std::vector<prompt_link> second{ { 11, 13000 }, { 13, 3000 } };
	view.on_sent({ "e3", 1 }, first, at(milliseconds(0)));
	EXPECT_EQ(view.choose(get_engines(), second, "", at(milliseconds(5000))), 2U);
	const engine_prediction prediction = view.predict({ "e3", 1 }, second, at(milliseconds(5000)));
	EXPECT_EQ(prediction.unread, 3000U);
	EXPECT_EQ(prediction.unread_shared, 0U);
	EXPECT_EQ(view.predict({ "e1", 1 }, second, at(milliseconds(5000))).unread_shared, 13000U);
}

TEST(engine_view, leaves_a_reader_that_is_busy_for_long) {
	engine_view view;
	const std::vector<prompt_link> shared{ { 11, 2000 }, { 12, 100 } };
	view.on_sent({ "e3", 1 }, shared, at(milliseconds(0)));
	for (std::uint64_t i = 0; i < 6; i++) {
		view.on_sent({ "e3", 1 }, { { 100 + i, 20000 } }, at(milliseconds(0)));
	}
	EXPECT_NE(view.choose(get_engines(), { { 11, 2000 }, { 14, 100 } }, "", at(milliseconds(10))), 2U);
	EXPECT_GT(view.predict({ "e3", 1 }, shared, at(milliseconds(10))).wait, duration(seconds(1)));
}

TEST(engine_view, spreads_prompts_that_are_new_and_agrees_with_other_nodes) {
	const engine_view one;
	const engine_view other;
	std::set<std::size_t> used;
	for (std::uint64_t i = 1; i <= 60; i++) {
		const std::vector<prompt_link> prompt{ { i * 7919, 5000 }, { i, 10 } };
		const std::size_t choice = one.choose(get_engines(), prompt, "", at(milliseconds(0)));
		EXPECT_EQ(other.choose(get_engines(), prompt, "", at(milliseconds(0))), choice);
		used.insert(choice);
	}
	EXPECT_EQ(used.size(), 3U);
}

TEST(engine_view, learns_that_an_engine_is_slow_and_forgets_it) {
	engine_view view;
	const std::vector<prompt_link> prompt{ { 11, 4000 } };
	const duration typical = view.predict({ "e1", 1 }, prompt, at(milliseconds(0))).reading;
	for (int i = 0; i < 8; i++) {
		view.on_first_event({ "e1", 1 }, view.predict({ "e1", 1 }, prompt, at(milliseconds(i))), seconds(2), at(milliseconds(i)));
	}
	EXPECT_GT(view.predict({ "e1", 1 }, prompt, at(milliseconds(10))).reading, typical * 3);
	EXPECT_LT(view.predict({ "e2", 1 }, prompt, at(milliseconds(10))).reading, typical * 3);
	view.forget_engine({ "e1", 1 });
	EXPECT_LT(view.predict({ "e1", 1 }, prompt, at(milliseconds(10))).reading, typical * 3);
}

} // namespace calicoscale
