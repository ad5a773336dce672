/*
 * calicoscale: link_test.cpp
 * Checks links between nodes: authentication, malformed input, message sizes and the codec.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/generated/node_link_generated.h"
#include "drivers/link_codec.h"
#include "tests/main/raw_connection.h"
#include "tests/mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>
#include <poll.h>

#include <fstream>
#include <limits>

namespace calicoscale {

namespace {

constexpr duration MAX_WAIT = std::chrono::seconds(20);

void run_until(event_loop &r_loop, const std::function<bool()> &p_condition) {
	const instant give_up = event_loop::now() + MAX_WAIT;
	while (!p_condition()) {
		ASSERT_LT(event_loop::now(), give_up);
		timer stop(r_loop, [&r_loop] { r_loop.stop(); });
		stop.set(std::chrono::milliseconds(1));
		r_loop.run();
	}
}

network_address any_address() {
	return network_address{ "127.0.0.1", 0 };
}

std::string frame(std::string_view p_bytes) {
	const std::uint32_t length = htonl(static_cast<std::uint32_t>(p_bytes.size()));
	return std::string(reinterpret_cast<const char *>(&length), 4) + std::string(p_bytes);
}

heartbeat_message make_heartbeat() {
	heartbeat_message message;
	message.at = hybrid_time{ 12345, 6 };
	member_digest digest;
	digest.vm = "vm";
	digest.incarnation = 7;
	digest.heartbeat = 8;
	digest.zone = "z";
	digest.link = network_address{ "127.0.0.1", 9 };
	digest.cores = 0.5;
	digest.demand[get_customer_code("c")] = 1.5;
	message.digests.push_back(digest);
	message.marks.push_back(leaving_mark{ "gone", 3 });
	message.gone = { { "lapsed", 41 }, { "stopped", 42 } };
	message.follows = true;
	message.known_nodes = 986;
	message.evacuations = evacuation_state{ { 3, 17 }, { "a", "b" } };
	return message;
}

} // namespace

TEST(link_codec, prompts_come_back_with_their_engines_and_links) {
	report_prompts_message told;
	told.prompts.push_back(prompt_record{ 7, { "i-1", 1 }, { prompt_link{ 11, 100 }, prompt_link{ 12, 20 } } });
	told.prompts.push_back(prompt_record{ 8, { "i-2", 0 }, {} });
	told.prompts.push_back(prompt_record{ 9, { "i-1", 2 }, { prompt_link{ 13, 5 } } });
	const std::optional<link_message> decoded = decode_link_message(encode(link_message(told)));
	ASSERT_TRUE(decoded);
	const report_prompts_message &read = std::get<report_prompts_message>(*decoded);
	ASSERT_EQ(read.prompts.size(), 3U);
	EXPECT_EQ(read.prompts[0].engine, (endpoint_identity{ "i-1", 1 }));
	EXPECT_EQ(read.prompts[1].engine, (endpoint_identity{ "i-2", 0 }));
	EXPECT_EQ(read.prompts[2].engine, (endpoint_identity{ "i-1", 2 })) << "two starts of one engine";
	EXPECT_EQ(read.prompts[0].prompt[1].chain, 12U);
	EXPECT_EQ(read.prompts[1].prompt.size(), 0U);
	EXPECT_EQ(read.prompts[2].origin, 9U);
	EXPECT_EQ(read.prompts[2].prompt[0].tokens, 5U);
}

TEST(link_codec, every_message_comes_back) {
	const std::optional<link_message> heartbeat = decode_link_message(encode(link_message(make_heartbeat())));
	ASSERT_TRUE(heartbeat.has_value());
	const heartbeat_message &read = std::get<heartbeat_message>(*heartbeat);
	EXPECT_EQ(read.at, (hybrid_time{ 12345, 6 }));
	EXPECT_EQ(read.digests.at(0).vm, "vm");
	EXPECT_EQ(read.digests.at(0).cores, 0.5);
	EXPECT_EQ(read.digests.at(0).demand.at(get_customer_code("c")), 1.5);
	EXPECT_EQ(read.marks.at(0).incarnation, 3U);
	EXPECT_EQ(read.gone, (std::vector<endpoint_identity>{ { "lapsed", 41 }, { "stopped", 42 } }));
	EXPECT_TRUE(read.follows);
	EXPECT_EQ(read.known_nodes, 986U);
	EXPECT_EQ(read.evacuations.known, (log_position{ 3, 17 }));
	EXPECT_EQ(read.evacuations.zones, (std::vector<std::string>{ "a", "b" }));
	endpoint_listing listing;
	listing.vm = "llm-1";
	listing.incarnation = 1'791'000'000'000;
	listing.pool = "llm";
	listing.leaving = true;
	listing.cold_left = std::chrono::milliseconds(1800);
	const endpoint_delta told_reading = std::get<report_delta_message>(*decode_link_message(encode(link_message(report_delta_message{ endpoint_delta{ 3, 9, { listing }, { "lapsed" }, 77, 78, 6, true } })))).reading;
	EXPECT_EQ(told_reading.from, 3U);
	EXPECT_EQ(told_reading.to, 9U);
	EXPECT_EQ(told_reading.written, (std::vector<endpoint_listing>{ listing }));
	EXPECT_EQ(told_reading.dropped, (std::vector<std::string>{ "lapsed" }));
	EXPECT_EQ(told_reading.listed, 77U);
	EXPECT_EQ(told_reading.listed_starts, 78U);
	EXPECT_EQ(told_reading.era, 6U);
	EXPECT_TRUE(told_reading.is_whole);
	assign_work_message work;
	work.pool = "p";
	work.homes = { "north", "south" };
	EXPECT_EQ(std::get<assign_work_message>(*decode_link_message(encode(link_message(work)))).homes, work.homes);
	const work_ended_message ended = std::get<work_ended_message>(*decode_link_message(encode(link_message(work_ended_message{ 1, 0, { "h" }, { 5 }, "r1", 2 }))));
	EXPECT_EQ(ended.incarnations, (std::vector<std::uint64_t>{ 5 }));
	EXPECT_EQ(ended.attempt, "r1");
	EXPECT_EQ(ended.stage, 2U);
	const report_results_message results = std::get<report_results_message>(*decode_link_message(encode(link_message(report_results_message{ "p", { "h" }, { 9 }, { 5 } }))));
	EXPECT_EQ(results.incarnations, (std::vector<std::uint64_t>{ 5 }));
	configuration_snapshot snapshot{ 4, 9, true, "change", "{}" };
	const configuration_snapshot told = std::get<configuration_snapshot>(*decode_link_message(encode(link_message(snapshot))));
	EXPECT_EQ(told.version, 4U);
	EXPECT_TRUE(told.certain);
	pass_request_message request{ 1, "c", "p", "k", std::chrono::milliseconds(250), "{}" };
	EXPECT_EQ(std::get<pass_request_message>(*decode_link_message(encode(link_message(request)))).remaining, std::chrono::milliseconds(250));
}

TEST(link_codec, each_kind_of_message_has_the_name_that_the_schema_gives_it) {
	const std::map<std::string, link_message> messages{ { "hello", hello_message() }, { "heartbeat", make_heartbeat() }, { "tell_configuration", configuration_snapshot() }, { "hand_work", assign_work_message() }, { "tell_prompts", report_prompts_message() }, { "tell_reading", report_delta_message() }, { "tell_crashes", report_crashes_message() }, { "tell_limits", report_limits_message() }, { "tell_streams", report_streams_message() }, { "ask_stream", request_stream_message() }, { "answer_stream", stream_answer_message() } };
	for (const auto &[name, message] : messages) {
		EXPECT_EQ(get_kind_name(message.index()), name);
		const std::string bytes = encode(message);
		EXPECT_EQ(wire::EnumNamemessage(wire::Getframe(bytes.data())->body_type()), name);
	}
}

TEST(link_codec, a_node_that_knows_no_incarnations_is_understood) {
	flatbuffers::FlatBufferBuilder builder;
	const auto gone = builder.CreateVectorOfStrings({ "lapsed" });
	wire::heartbeatBuilder heartbeat(builder);
	heartbeat.add_gone(gone);
	const auto body = heartbeat.Finish().Union();
	builder.Finish(wire::Createframe(builder, wire::message_heartbeat, body));
	const std::string_view bytes(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
	const std::optional<link_message> decoded = decode_link_message(bytes);
	ASSERT_TRUE(decoded);
	EXPECT_EQ(std::get<heartbeat_message>(*decoded).gone, (std::vector<endpoint_identity>{ { "lapsed", 0 } }));
}

TEST(link_codec, the_offset_of_a_list_counts_only_from_a_node_that_knows_starts) {
	flatbuffers::FlatBufferBuilder builder;
	wire::tell_endpointsBuilder endpoints(builder);
	endpoints.add_offset(5);
	const auto body = endpoints.Finish().Union();
	builder.Finish(wire::Createframe(builder, wire::message_tell_endpoints, body));
	const std::string_view bytes(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
	EXPECT_EQ(std::get<report_endpoints_message>(*decode_link_message(bytes)).known.offset, 0U);
	EXPECT_EQ(std::get<report_endpoints_message>(*decode_link_message(encode(link_message(report_endpoints_message{ {}, { 2, 5 } })))).known, (log_position{ 2, 5 }));
}

RC_GTEST_PROP(link_codec_properties, any_bytes_are_read_or_refused_but_never_crash, (const std::vector<std::uint8_t> &p_bytes)) {
	const std::string bytes(p_bytes.begin(), p_bytes.end());
	decode_link_message(bytes);
	std::string damaged = encode(link_message(make_heartbeat()));
	for (std::size_t i = 0; i < p_bytes.size(); i++) {
		damaged[(i * 37 + p_bytes[i]) % damaged.size()] = static_cast<char>(p_bytes[i]);
	}
	decode_link_message(damaged);
	decode_link_message(damaged.substr(0, damaged.size() / 2));
}

TEST(link_codec, times_and_amounts_out_of_range_are_brought_within) {
	assign_work_message work;
	work.give_up_in = duration::max();
	work.due_in = duration::min();
	const assign_work_message told = std::get<assign_work_message>(*decode_link_message(encode(link_message(work))));
	EXPECT_LT(told.give_up_in, duration(std::chrono::hours(25)));
	EXPECT_GT(told.due_in, duration(std::chrono::hours(-25)));
	heartbeat_message heartbeat = make_heartbeat();
	heartbeat.digests.front().cores = std::numeric_limits<double>::quiet_NaN();
	heartbeat.capacities.push_back(pool_capacity{ "p", std::numeric_limits<double>::infinity() });
	heartbeat.commitments.push_back(pool_commitment{ "p", 1, duration(-1) });
	const heartbeat_message heard = std::get<heartbeat_message>(*decode_link_message(encode(link_message(heartbeat))));
	EXPECT_EQ(heard.digests.front().cores, 0.0);
	EXPECT_EQ(heard.capacities.front().replicas, 0.0);
	EXPECT_GE(heard.commitments.front().work, duration::zero());
}

TEST(link_codec, limits_keep_their_ages_and_ends_and_rates_that_are_none_are_refused) {
	report_limits_message limits;
	limits.limits.push_back(reported_limit{ endpoint_identity{ "e1", 7 }, 1.25, std::chrono::milliseconds(1500) });
	limits.limits.push_back(reported_limit{ endpoint_identity{ "e2", 8 }, std::nullopt, std::chrono::milliseconds(20) });
	const report_limits_message read = std::get<report_limits_message>(*decode_link_message(encode(link_message(limits))));
	ASSERT_EQ(read.limits.size(), 2U);
	EXPECT_EQ(read.limits[0].endpoint, limits.limits[0].endpoint);
	EXPECT_EQ(read.limits[0].rate, 1.25);
	EXPECT_EQ(read.limits[0].age, std::chrono::milliseconds(1500));
	EXPECT_EQ(read.limits[1].rate, std::nullopt);
	for (const double rate : { -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
		limits.limits[0].rate = rate;
		EXPECT_FALSE(decode_link_message(encode(link_message(limits))).has_value());
	}
}

TEST(link_codec, news_of_crashes_keep_their_ages_and_unknown_ones_are_refused) {
	report_crashes_message crashes;
	crashes.is_whole = true;
	crashes.news.push_back(reported_crash{ crash_event::TRIAL_SENT, request_fingerprint{ 1, half_digest{ 2, 3 } }, 4, std::chrono::milliseconds(1500) });
	const report_crashes_message read = std::get<report_crashes_message>(*decode_link_message(encode(link_message(crashes))));
	EXPECT_TRUE(read.is_whole);
	ASSERT_EQ(read.news.size(), 1U);
	EXPECT_EQ(read.news.front().news, crash_event::TRIAL_SENT);
	EXPECT_EQ(read.news.front().run, crashes.news.front().run);
	EXPECT_EQ(read.news.front().subject, 4U);
	EXPECT_EQ(read.news.front().age, duration(std::chrono::milliseconds(1500)));
	crashes.news.front().news = crash_event::COUNT;
	EXPECT_FALSE(decode_link_message(encode(link_message(crashes))).has_value());
}

TEST(link_codec, forwarded_exchanges_keep_requests_heads_and_bytes_and_malformed_ones_are_refused) {
	open_exchange_message opened;
	opened.id = 7;
	opened.request.endpoint = endpoint_identity{ "e1", 5 };
	opened.request.to = network_address{ "127.0.0.1", 80 };
	opened.request.service = "llm";
	opened.request.zone = "a";
	opened.request.bytes = std::string("POST / HTTP/1.1\r\n\r\n\0\xff", 21);
	opened.request.echo_header = "Echo";
	opened.request.echo_value = "r1";
	opened.request.longest_idle = std::chrono::milliseconds(700);
	const open_exchange_message request = std::get<open_exchange_message>(*decode_link_message(encode(link_message(opened))));
	EXPECT_EQ(request.id, 7U);
	EXPECT_EQ(request.request.endpoint, opened.request.endpoint);
	EXPECT_EQ(request.request.to, opened.request.to);
	EXPECT_EQ(request.request.bytes, opened.request.bytes);
	EXPECT_EQ(request.request.echo_value, "r1");
	EXPECT_EQ(request.request.longest_idle, opened.request.longest_idle);
	EXPECT_EQ(request.request.connect_timeout, opened.request.connect_timeout);
	opened.request.to.port = 0;
	EXPECT_FALSE(decode_link_message(encode(link_message(opened))).has_value());

	exchange_progress_message progress;
	progress.id = 7;
	progress.number = 3;
	progress.head = http_head();
	progress.head->status = 200;
	progress.head->headers = { { "Seal", "x" }, { "Echo", "r1" } };
	progress.head->framing = body_framing::CHUNKS;
	progress.body = std::string("\0\n", 2);
	progress.end = forwarding_end::BROKEN;
	const exchange_progress_message part = std::get<exchange_progress_message>(*decode_link_message(encode(link_message(progress))));
	EXPECT_EQ(part.number, 3U);
	ASSERT_TRUE(part.head.has_value());
	EXPECT_EQ(part.head->status, 200);
	EXPECT_EQ(*part.head->find("echo"), "r1");
	EXPECT_EQ(part.head->framing, body_framing::CHUNKS);
	EXPECT_EQ(part.body, progress.body);
	EXPECT_EQ(part.end, forwarding_end::BROKEN);
	progress.end = forwarding_end::COUNT;
	EXPECT_FALSE(decode_link_message(encode(link_message(progress))).has_value());
	const control_exchange_message control = std::get<control_exchange_message>(*decode_link_message(encode(link_message(control_exchange_message{ 7, 4096, true }))));
	EXPECT_EQ(control.confirmed_bytes, 4096U);
	EXPECT_TRUE(control.is_cancelled);
}

TEST(link_codec, records_of_streams_keep_their_origins_and_lifetimes) {
	const reported_stream record{ make_stream_key("hearth", "r1"), 7, stream_origin{ "llm", "v1.1" }, std::chrono::milliseconds(7500) };
	const report_streams_message streams = std::get<report_streams_message>(*decode_link_message(encode(link_message(report_streams_message{ { record } }))));
	ASSERT_EQ(streams.streams.size(), 1U);
	EXPECT_EQ(streams.streams.front().key, record.key);
	EXPECT_EQ(streams.streams.front().customer, 7U);
	EXPECT_EQ(streams.streams.front().origin, record.origin);
	EXPECT_EQ(streams.streams.front().left, record.left);
	const request_stream_message request = std::get<request_stream_message>(*decode_link_message(encode(link_message(request_stream_message{ 5, record.key }))));
	EXPECT_EQ(request.id, 5U);
	EXPECT_EQ(request.key, record.key);
	const stream_answer_message found = std::get<stream_answer_message>(*decode_link_message(encode(link_message(stream_answer_message{ 5, record }))));
	ASSERT_TRUE(found.record.has_value());
	EXPECT_EQ(found.record->origin, record.origin);
	const stream_answer_message absent = std::get<stream_answer_message>(*decode_link_message(encode(link_message(stream_answer_message{ 6, std::nullopt }))));
	EXPECT_FALSE(absent.record.has_value());
}

RC_GTEST_PROP(link_codec_properties, a_damaged_message_is_read_or_refused, ()) {
	endpoint_listing listing;
	listing.vm = "llm-1";
	report_prompts_message prompts;
	prompt_record told;
	told.origin = 7;
	told.prompt = { prompt_link{ 11, 100 }, prompt_link{ 12, 20 } };
	prompts.prompts.push_back(told);
	endpoint_delta reading;
	reading.written = { listing };
	reading.dropped = { "lapsed" };
	report_results_message results;
	results.pool = "p";
	results.handles = { "h" };
	results.result_bytes = { 5 };
	assign_work_message work;
	work.inputs = { "10.0.0.1:1/a" };
	const std::vector<link_message> messages{ make_heartbeat(), prompts, work, report_endpoints_message{ { listing }, 5 }, report_delta_message{ reading }, results, report_crashes_message{ { reported_crash{} }, false }, release_results_message{ "p", { "h" } }, work_ended_message{ 1, 250, { "h" } }, configuration_snapshot{ 4, 9, true, "change", "{}" }, hello_message{ "vm", 1, "n" }, report_streams_message{ { reported_stream{} } }, request_stream_message{ 1, stream_key() }, stream_answer_message{ 1, reported_stream() } };
	for (const link_message &message : messages) {
		const std::optional<link_message> read = decode_link_message(mutate(encode(message)));
		if (read) {
			encode(*read);
		}
	}
}

TEST(node_link, nodes_with_one_fleet_key_link_and_talk) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	node_link right(loop, any_address(), link_identity{ "right", 2, "key" });
	int heartbeats = 0;
	right.heartbeat_received().connect([&heartbeats](const std::string &p_vm, const heartbeat_message &) { heartbeats += p_vm == "left" ? 1 : 0; });
	left.dial("right", right.get_address());
	run_until(loop, [&left, &right] { return left.is_linked("right") && right.is_linked("left"); });
	left.send("right", make_heartbeat());
	run_until(loop, [&heartbeats] { return heartbeats == 1; });
}

TEST(node_link, a_pair_that_dialled_each_other_at_once_keeps_both_links_alive) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	node_link right(loop, any_address(), link_identity{ "right", 2, "key" });
	int at_left = 0;
	int at_right = 0;
	left.heartbeat_received().connect([&at_left](const std::string &, const heartbeat_message &) { at_left++; });
	right.heartbeat_received().connect([&at_right](const std::string &, const heartbeat_message &) { at_right++; });
	int links_up = 0;
	left.link_up().connect([&links_up](const std::string &) { links_up++; });
	right.link_up().connect([&links_up](const std::string &) { links_up++; });
	left.dial("right", right.get_address());
	right.dial("left", left.get_address());
	run_until(loop, [&links_up] { return links_up == 4; });
	left.send("right", make_heartbeat());
	right.send("left", make_heartbeat());
	run_until(loop, [&at_left, &at_right] { return at_left == 2 && at_right == 2; });
}

TEST(node_link, a_message_that_finds_no_room_is_not_said_to_be_on_its_way) {
	event_loop loop;
	node_link first(loop, any_address(), link_identity{ "a", 1, "key" });
	node_link second(loop, any_address(), link_identity{ "b", 1, "key" });
	first.dial("b", second.get_address());
	run_until(loop, [&first] { return first.is_linked("b"); });
	// The loop does not run, as if the peer read nothing, so the unsent bytes grow to their limit.
	release_results_message large;
	large.pool = "pool";
	large.handles = { std::string(500'000, 'x') };
	int accepted = 0;
	while (accepted < 100 && first.send("b", large)) {
		accepted++;
	}
	EXPECT_GT(accepted, 0);
	EXPECT_LT(accepted, 100) << "work that was handed over so would be waited for in vain";
}

TEST(node_link, what_is_sent_goes_over_the_link_that_is_read_from_and_not_one_that_fell_silent) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	// Both links represent the same peer; the earlier one is the remote end of a connection that no longer carries messages.
	node_link silent(loop, any_address(), link_identity{ "right", 2, "key" });
	node_link right(loop, any_address(), link_identity{ "right", 2, "key" });
	int at_silent = 0;
	int at_right = 0;
	silent.work_ended().connect([&at_silent](const std::string &, const work_ended_message &) { at_silent++; });
	right.work_ended().connect([&at_right](const std::string &, const work_ended_message &) { at_right++; });
	silent.dial("left", left.get_address());
	run_until(loop, [&left] { return left.is_linked("right"); });
	right.dial("left", left.get_address());
	run_until(loop, [&right] { return right.is_linked("left"); });
	int heartbeats = 0;
	timer heartbeat_timer(loop, [&right, &heartbeat_timer, &heartbeats] {
		right.send("left", make_heartbeat());
		heartbeats++;
		heartbeat_timer.set(std::chrono::milliseconds(100));
	});
	heartbeat_timer.set(std::chrono::milliseconds(100));
	run_until(loop, [&heartbeats] { return heartbeats == 20; });
	EXPECT_TRUE(left.send("right", work_ended_message{ 1, 0, {} }));
	run_until(loop, [&at_silent, &at_right] { return at_silent + at_right == 1; });
	EXPECT_EQ(at_right, 1);
}

TEST(node_link, links_of_an_earlier_process_end_before_the_next_one_of_its_vm_is_linked) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	std::vector<std::string> events;
	left.link_up().connect([&events](const std::string &) { events.emplace_back("up"); });
	left.link_down().connect([&events](const std::string &) { events.emplace_back("down"); });
	left.peer_replaced().connect([&events](const std::string &p_vm) { events.push_back("replaced " + p_vm); });
	node_link earlier(loop, any_address(), link_identity{ "right", 2, "key" });
	earlier.dial("left", left.get_address());
	run_until(loop, [&left] { return left.is_linked("right"); });
	// Its clock was stepped back in between.
	node_link next(loop, any_address(), link_identity{ "right", 1, "key" });
	next.dial("left", left.get_address());
	run_until(loop, [&events] { return events.size() == 4; });
	EXPECT_EQ(events, (std::vector<std::string>{ "up", "down", "replaced right", "up" }));
	run_until(loop, [&earlier] { return !earlier.is_linked("left"); });
	EXPECT_TRUE(left.is_linked("right"));
}

TEST(node_link, a_process_that_returns_after_its_link_broke_is_known_from_its_successor) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	int replaced = 0;
	left.peer_replaced().connect([&replaced](const std::string &) { replaced++; });
	for (const std::uint64_t incarnation : { 2, 2, 3 }) {
		node_link right(loop, any_address(), link_identity{ "right", incarnation, "key" });
		right.dial("left", left.get_address());
		run_until(loop, [&left] { return left.is_linked("right"); });
		EXPECT_EQ(replaced, incarnation == 3 ? 1 : 0);
		left.drop("right");
		run_until(loop, [&right] { return !right.is_linked("left"); });
	}
}

TEST(node_link, another_fleet_key_or_another_vm_is_refused) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	node_link stranger(loop, any_address(), link_identity{ "right", 2, "other key" });
	left.dial("right", stranger.get_address());
	run_until(loop, [&left, &stranger] { return left.get_rejected_frames() + stranger.get_rejected_frames() > 0; });
	EXPECT_FALSE(left.is_linked("right"));
	node_link other_name(loop, any_address(), link_identity{ "middle", 3, "key" });
	left.dial("wanted", other_name.get_address());
	const std::uint64_t before = left.get_rejected_frames();
	run_until(loop, [&left, before] { return left.get_rejected_frames() > before; });
	EXPECT_TRUE(left.get_linked().empty());
}

TEST(node_link, garbage_oversized_and_unproven_frames_close_the_link) {
	event_loop loop;
	node_link link(loop, any_address(), link_identity{ "left", 1, "key" });
	const std::vector<std::string> attacks{
		frame("garbage that is no FlatBuffer"),
		std::string("\xff\xff\xff\xff", 4),
		frame(std::string(100'000, 'x')),
		frame(encode(link_message(make_heartbeat()))),
		frame(encode(link_message(proof_message{ "guess" }))),
		frame(encode(link_message(hello_message{ "left", 1, "own name" }))),
	};
	for (const std::string &attack : attacks) {
		raw_connection raw(link.get_address());
		raw.send_bytes(attack);
		run_until(loop, [&raw] { raw.poll(); return raw.is_closed(); });
	}
	EXPECT_EQ(link.get_rejected_frames(), attacks.size());
}

TEST(node_link, cut_links_close_and_heal) {
	event_loop loop;
	node_link left(loop, any_address(), link_identity{ "left", 1, "key" });
	node_link right(loop, any_address(), link_identity{ "right", 2, "key" });
	left.dial("right", right.get_address());
	run_until(loop, [&left] { return left.is_linked("right"); });
	left.set_cut_off({ "right" });
	run_until(loop, [&left, &right] { return left.get_linked().empty() && right.get_linked().empty(); });
	right.dial("left", left.get_address());
	run_until(loop, [&left] { return left.get_rejected_frames() > 0; });
	left.set_cut_off({});
	run_until(loop, [&left, &right] {
		right.dial("left", left.get_address());
		return left.is_linked("right");
	});
}

TEST(node_link, a_whole_fleet_may_connect_while_the_node_accepts_nothing) {
	std::size_t system_limit = 0;
	std::ifstream("/proc/sys/net/core/somaxconn") >> system_limit;
	const std::size_t connections = std::min<std::size_t>(1000, system_limit);
	ASSERT_GT(connections, 128U);
	event_loop loop;
	node_link link(loop, any_address(), link_identity{ "left", 1, "key" });
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(link.get_address().port);
	inet_pton(AF_INET, link.get_address().host.c_str(), &address.sin_addr);
	std::vector<pollfd> sockets;
	for (std::size_t i = 0; i < connections; i++) {
		sockets.push_back(pollfd{ socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), POLLOUT, 0 });
		connect(sockets.back().fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	}
	// The loop does not run, so that a connection that finds the queue full is never established.
	const instant give_up = event_loop::now() + MAX_WAIT;
	std::size_t established = 0;
	while (established < connections && event_loop::now() < give_up) {
		poll(sockets.data(), sockets.size(), 10);
		established = static_cast<std::size_t>(std::count_if(sockets.begin(), sockets.end(), [](const pollfd &p_entry) { return p_entry.revents == POLLOUT; }));
	}
	EXPECT_EQ(established, connections);
	for (const pollfd &entry : sockets) {
		close(entry.fd);
	}
}

TEST(node_link, a_connection_beyond_the_allowed_links_is_refused_and_counted_until_one_ends) {
	event_loop loop;
	link_identity identity{ "hub", 1, "key" };
	identity.max_links = 2;
	node_link hub(loop, any_address(), identity);
	int refused = 0;
	hub.connection_refused().connect([&refused] { refused++; });
	std::vector<std::unique_ptr<node_link>> nodes;
	for (int i = 0; i < 3; i++) {
		nodes.push_back(std::make_unique<node_link>(loop, any_address(), link_identity{ "n" + std::to_string(i), 1, "key" }));
	}
	nodes[0]->dial("hub", hub.get_address());
	nodes[1]->dial("hub", hub.get_address());
	run_until(loop, [&hub] { return hub.get_linked().size() == 2; });
	EXPECT_TRUE(hub.is_full());
	EXPECT_EQ(refused, 0);
	nodes[2]->dial("hub", hub.get_address());
	run_until(loop, [&refused] { return refused == 1; });
	EXPECT_EQ(hub.get_refused_connections(), 1U);
	EXPECT_FALSE(hub.is_linked("n2"));
	nodes[0].reset();
	run_until(loop, [&hub] { return !hub.is_full(); });
	run_until(loop, [&hub, &nodes] {
		nodes[2]->dial("hub", hub.get_address());
		return hub.is_linked("n2");
	});
}

} // namespace calicoscale
