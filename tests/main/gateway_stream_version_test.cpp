/*
 * calicoscale: gateway_stream_version_test.cpp
 * Tests that a stream which breaks off goes on only at the software version that began it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/main/gateway_fixture.h"

#include <algorithm>
#include <set>

namespace calicoscale {

namespace {

constexpr int STREAMS = 12;
constexpr const char *ORIGIN_TOPIC = "keyed.calicoscale-streams";
/** Repeats per window that let a gateway repeat within milliseconds of its start. */
constexpr double AMPLE_SLACK = 1e6;
const std::string RESUMABLE_PATH = "/stream/again/x";

/** The versions that the events of a stream name. */
std::set<std::string> find_versions(const std::string &p_events) {
	std::set<std::string> versions;
	for (std::size_t at = p_events.find('@'); at != std::string::npos; at = p_events.find('@', at + 1)) {
		versions.insert(p_events.substr(at + 1, p_events.find('\n', at) - at - 1));
	}
	return versions;
}

/** A stream as its caller has received it. */
struct begun_stream {
	std::string attempt; ///< Brought the first event.
	std::string events;
};

class gateway_stream_version_test : public gateway_fixture {
protected:
	/** Adds an endpoint whose streams break off inside their second event unless they are resumed. */
	standin_replica &add_version(const std::string &p_version, const std::string &p_zone = "a") {
		standin_replica &made = add_replica("llm", p_zone);
		made.version = p_version;
		made.names_version = true;
		made.mode = replica_mode::BREAK_STREAM;
		_store.put(ENDPOINT_TOPIC, made.get_name(), made.get_entry("llm"));
		return made;
	}

	/** Sets whether the gateways started later may resume streams within one answer. */
	void set_resumes_itself(bool p_resumes) {
		_adjust_settings = [p_resumes](gateway_settings &r_settings) {
			r_settings.retries.slack = p_resumes ? AMPLE_SLACK : 0.0;
			r_settings.retries.ratio = 0.0;
		};
	}

	/** Starts gateways of a system that has never run before, and waits until the versions are recorded. */
	void start_first(std::size_t p_nodes, duration p_lifetime = stream_table::MAX_LIFETIME) {
		const auto adjust = [p_lifetime](bool p_is_first) {
			return [p_lifetime, p_is_first](gateway_settings &r_settings) {
				r_settings.retries.slack = 0.0;
				r_settings.retries.ratio = 0.0;
				r_settings.stream_lifetime = p_lifetime;
				r_settings.is_first_start = p_is_first;
			};
		};
		_adjust_settings = adjust(true);
		for (std::size_t i = 0; i < p_nodes; i++) {
			start_ready();
		}
		_adjust_settings = adjust(false);
		run_until([this] { return !find_recorded().empty(); });
	}

	/** The versions of the service at which streams may have begun, according to the store. */
	std::set<std::string> find_recorded() const {
		const std::optional<std::string> text = _store.find(ORIGIN_TOPIC, "origins");
		const std::optional<origin_record> record = text ? read_origin_record(*text) : std::nullopt;
		const auto service = record ? record->get_versions().find("llm") : service_versions::const_iterator();
		return record && service != record->get_versions().end() ? service->second : std::set<std::string>();
	}

	begun_stream begin(const gateway &p_node) {
		const std::shared_ptr<caller_result> result = ask(p_node, RESUMABLE_PATH);
		return begun_stream{ "r" + std::to_string(_next_attempt - 1), result->body };
	}

	std::shared_ptr<caller_result> take_up(const gateway &p_node, const begun_stream &p_stream, const std::string &p_key = "key-1") {
		return ask(p_node, RESUMABLE_PATH, p_key, "Resumes: " + p_stream.attempt + "\r\nLast-Event-Id: 1\r\n");
	}

	/** Adds two endpoints of each of two versions. */
	void add_versions() {
		for (const char *version : { "v1", "v1.1", "v1", "v1.1" }) {
			add_version(version);
		}
	}

	std::size_t count_resumes(const std::string &p_version) const {
		std::size_t count = 0;
		for (const standin_replica &replica : _replicas) {
			count += replica.version == p_version ? std::count_if(replica.runs.begin(), replica.runs.end(), [](const seen_request &p_run) { return !p_run.get("Last-Event-Id").empty(); }) : 0;
		}
		return count;
	}

	std::size_t count_all_resumes() const { return count_resumes("v1") + count_resumes("v1.1"); }

	/** Begins a stream at a version, which another attempt may have to be made for. */
	begun_stream begin_at(const gateway &p_node, const std::string &p_version) {
		begun_stream stream;
		run_until([this, &p_node, &p_version, &stream] {
			stream = begin(p_node);
			return find_versions(stream.events) == std::set<std::string>{ p_version };
		});
		return stream;
	}

	/** Changes the entries of all endpoints of a version and waits until the nodes have read them. */
	void change_entries(const std::string &p_version, const std::function<void(standin_replica &)> &p_change) {
		for (standin_replica &replica : _replicas) {
			if (replica.version == p_version) {
				p_change(replica);
			}
		}
		wait(milliseconds(1500));
	}

	std::vector<begun_stream> begin_at_all() {
		std::vector<begun_stream> streams;
		for (int i = 0; i < STREAMS; i++) {
			streams.push_back(begin(*_gateways[static_cast<std::size_t>(i) % _gateways.size()]));
		}
		return streams;
	}

	/** Takes each stream up at each gateway and expects that none goes on at another version. Returns how many go on. */
	std::size_t take_up_at_all(const std::vector<begun_stream> &p_streams) {
		std::size_t went_on = 0;
		for (const begun_stream &stream : p_streams) {
			for (const std::unique_ptr<gateway> &node : _gateways) {
				const std::set<std::string> versions = find_versions(take_up(*node, stream)->body);
				EXPECT_TRUE(versions.empty() || versions == find_versions(stream.events)) << stream.attempt;
				went_on += versions.empty() ? 0 : 1;
			}
		}
		return went_on;
	}

	/** Kills all gateways, and the endpoints of a version leave at that moment. Starts as many gateways. */
	void kill_all_while_leaves(const std::string &p_version) {
		const std::size_t nodes = _gateways.size();
		_gateways.clear();
		for (const standin_replica &replica : _replicas) {
			if (replica.version == p_version) {
				_store.drop(ENDPOINT_TOPIC, replica.get_name());
			}
		}
		for (std::size_t i = 0; i < nodes; i++) {
			start_ready();
		}
	}

	void expect_refused(const std::shared_ptr<caller_result> &p_result, const std::string &p_retry_after) {
		EXPECT_EQ(p_result->head.status, 503);
		EXPECT_EQ(p_result->get("Retry-After"), p_retry_after);
		EXPECT_EQ(p_result->body, "");
	}

	/** Begins streams at one node, takes them up at another and expects each to go on at its version. */
	void expect_one_version(const gateway &p_first, const gateway &p_second) {
		for (int i = 0; i < STREAMS; i++) {
			const begun_stream stream = begin(p_first);
			ASSERT_EQ(find_versions(stream.events).size(), 1U) << stream.events;
			const std::shared_ptr<caller_result> rest = take_up(p_second, stream);
			EXPECT_EQ(rest->head.status, 200);
			EXPECT_EQ(find_versions(rest->body), find_versions(stream.events));
		}
	}
};

} // namespace

TEST_F(gateway_stream_version_test, a_stream_resumed_within_one_answer_goes_on_at_its_version) {
	configure(1);
	add_versions();
	set_resumes_itself(true);
	const gateway &node = start_ready();
	for (int i = 0; i < STREAMS; i++) {
		const begun_stream stream = begin(node);
		EXPECT_EQ(find_versions(stream.events).size(), 1U) << stream.events;
		EXPECT_NE(stream.events.find("id: 4"), std::string::npos) << stream.events;
	}
}

TEST_F(gateway_stream_version_test, a_stream_that_its_caller_takes_up_at_the_same_node_goes_on_at_its_version) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	expect_one_version(node, node);
}

TEST_F(gateway_stream_version_test, a_stream_that_its_caller_takes_up_at_another_node_goes_on_at_its_version) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &first = start_ready();
	const gateway &second = start_ready();
	expect_one_version(first, second);
}

TEST_F(gateway_stream_version_test, a_stream_that_its_caller_takes_up_in_another_zone_goes_on_at_its_version) {
	configure(1);
	for (const char *zone : { "a", "b" }) {
		add_version("v1", zone);
		add_version("v1.1", zone);
	}
	set_resumes_itself(false);
	const gateway &first = start_ready();
	_zone = "b";
	const gateway &second = start_ready();
	expect_one_version(first, second);
}

TEST_F(gateway_stream_version_test, a_chain_of_resumptions_at_three_nodes_goes_on_at_its_version) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &first = start_ready();
	const gateway &second = start_ready();
	const gateway &third = start_ready();
	for (int i = 0; i < STREAMS; i++) {
		const begun_stream stream = begin(first);
		for (const gateway *node : { &second, &third, &first }) {
			EXPECT_EQ(find_versions(take_up(*node, stream)->body), find_versions(stream.events));
		}
	}
}

// Guards against a record that is known only to the node that began the stream.
TEST_F(gateway_stream_version_test, a_stream_whose_node_has_ended_goes_on_at_its_version_elsewhere) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	for (int i = 0; i < 4; i++) {
		start_ready();
	}
	std::vector<begun_stream> streams;
	for (int i = 0; i < STREAMS; i++) {
		streams.push_back(begin(*_gateways.front()));
	}
	wait(milliseconds(20));
	_gateways.front().reset();
	for (const begun_stream &stream : streams) {
		const std::shared_ptr<caller_result> rest = take_up(*_gateways.back(), stream);
		EXPECT_EQ(rest->head.status, 200);
		EXPECT_EQ(find_versions(rest->body), find_versions(stream.events));
	}
}

TEST_F(gateway_stream_version_test, the_endpoint_that_sends_the_first_event_counts_and_not_the_first_one_asked) {
	configure(1);
	add_version("v1").mode = replica_mode::RESET_AFTER_RUN;
	add_version("v1.1");
	add_version("v1.1");
	_adjust_settings = [](gateway_settings &r_settings) { r_settings.retries.slack = AMPLE_SLACK; };
	const gateway &node = start_ready();
	for (int i = 0; i < STREAMS; i++) {
		const begun_stream stream = begin(node);
		EXPECT_EQ(find_versions(stream.events), std::set<std::string>{ "v1.1" });
		EXPECT_EQ(find_versions(take_up(node, stream)->body), std::set<std::string>{ "v1.1" });
	}
	EXPECT_EQ(count_resumes("v1"), 0U);
}

TEST_F(gateway_stream_version_test, a_stream_whose_version_has_gone_is_refused_at_once) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	const begun_stream stream = begin_at(node, "v1");
	change_entries("v1", [this](standin_replica &r_replica) { _store.put(ENDPOINT_TOPIC, r_replica.get_name(), r_replica.get_entry("llm", true)); });
	expect_refused(take_up(node, stream), "0.000");
	change_entries("v1", [this](standin_replica &r_replica) { _store.put(ENDPOINT_TOPIC, r_replica.get_name(), ""); });
	expect_refused(take_up(node, stream), "0.000");
	EXPECT_EQ(count_all_resumes(), 0U);
}

// Guards against a version that is bound to an endpoint's name, which may start again with another one.
TEST_F(gateway_stream_version_test, an_endpoint_that_started_again_with_another_version_does_not_continue_a_stream) {
	configure(1);
	add_version("v1");
	set_resumes_itself(false);
	const gateway &node = start_ready();
	const begun_stream stream = begin_at(node, "v1");
	standin_replica &again = _replicas.emplace_back(_loop, _replicas.front().get_name());
	again.version = "v1.1";
	again.names_version = true;
	_replicas.front().end_process();
	_store.put(ENDPOINT_TOPIC, again.get_name(), again.get_entry("llm"));
	wait(milliseconds(1500));
	expect_refused(take_up(node, stream), "0.000");
	EXPECT_EQ(count_all_resumes(), 0U);
}

TEST_F(gateway_stream_version_test, a_stream_within_one_answer_is_broken_off_if_its_version_has_gone) {
	configure(1);
	add_version("v1").mode = replica_mode::HOLD_STREAM;
	set_resumes_itself(true);
	const gateway &node = start_ready();
	const std::shared_ptr<caller_result> result = send(node, RESUMABLE_PATH);
	run_until([&result] { return !result->body.empty(); });
	add_version("v1.1").mode = replica_mode::ANSWER;
	change_entries("v1", [this](standin_replica &r_replica) { _store.put(ENDPOINT_TOPIC, r_replica.get_name(), r_replica.get_entry("llm", true)); });
	_replicas.front().end_process();
	run_until([&result] { return result->end.has_value(); });
	EXPECT_EQ(result->end, channel_end::BROKEN);
	EXPECT_EQ(find_versions(result->body), std::set<std::string>{ "v1" });
	EXPECT_EQ(count_all_resumes(), 0U);
}

TEST_F(gateway_stream_version_test, a_stream_whose_version_is_full_is_not_continued_elsewhere) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	const begun_stream stream = begin_at(node, "v1");
	for (standin_replica &replica : _replicas) {
		replica.mode = replica.version == "v1" ? replica_mode::SHED : replica.mode;
	}
	EXPECT_EQ(take_up(node, stream)->head.status, 503);
	EXPECT_EQ(count_all_resumes(), 0U);
}

TEST_F(gateway_stream_version_test, a_stream_that_nobody_knows_is_refused_while_two_versions_serve) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	start_ready();
	const begun_stream stream = begin(node);
	expect_refused(take_up(node, begun_stream{ "unknown", "" }), "0.000");
	expect_refused(take_up(node, begun_stream{ "r\xc3\xa9", "" }), "0.000");
	expect_refused(take_up(node, begun_stream{ std::string(8000, 'r'), "" }), "0.000");
	expect_refused(ask(node, RESUMABLE_PATH, "key-1", "Last-Event-Id: 1\r\n"), "0.000");
	expect_refused(ask(node, RESUMABLE_PATH, "key-1", "Resumes: \r\nLast-Event-Id: 1\r\n"), "0.000");
	expect_refused(ask(node, "/stream/x", "key-1", "Last-Event-Id: 1\r\n"), "0.000");
	EXPECT_EQ(ask(node, RESUMABLE_PATH, "key-1", "Resumes: " + stream.attempt + "\r\nResumes: other\r\nLast-Event-Id: 1\r\n")->head.status, 400);
	EXPECT_EQ(count_all_resumes(), 0U);
}

// Guards against a guess by what is listed just now, and against refusals where only one version can have begun the stream.
TEST_F(gateway_stream_version_test, a_stream_without_a_record_goes_on_only_if_its_service_had_one_version_for_its_lifetime) {
	configure(1);
	add_version("v1");
	_adjust_settings = [](gateway_settings &r_settings) {
		r_settings.retries.slack = 0.0;
		r_settings.retries.ratio = 0.0;
		r_settings.stream_lifetime = seconds(3);
	};
	const gateway &node = start_ready();
	const std::string without_attempt = "Last-Event-Id: 1\r\n";
	begin(node);
	expect_refused(ask(node, RESUMABLE_PATH, "key-1", without_attempt), "0.000");
	// The lifetime of streams, and the time in which an endpoint that is no longer listed may serve.
	wait(seconds(3) + seconds(10) + milliseconds(500));
	const gateway &young = start_ready();
	for (const gateway *asked : { &node, &young }) {
		EXPECT_EQ(find_versions(ask(*asked, RESUMABLE_PATH, "key-1", without_attempt)->body), std::set<std::string>{ "v1" });
		EXPECT_EQ(find_versions(take_up(*asked, begun_stream{ "unknown", "" })->body), std::set<std::string>{ "v1" });
	}
	const std::size_t resumed = count_all_resumes();
	add_version("v1.1");
	run_until([this] { return find_recorded() == std::set<std::string>{ "v1", "v1.1" }; });
	expect_refused(ask(node, RESUMABLE_PATH, "key-1", without_attempt), "0.000");
	EXPECT_EQ(count_all_resumes(), resumed);
}

// Guards against joining two versions after a kill of all nodes, when no record of a stream is left.
TEST_F(gateway_stream_version_test, streams_taken_up_after_all_nodes_were_killed_are_not_joined) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	start_ready();
	start_ready();
	std::vector<begun_stream> streams;
	for (int i = 0; i < STREAMS; i++) {
		streams.push_back(begin(*_gateways[static_cast<std::size_t>(i) % 2]));
	}
	kill_all_while_leaves("v1");
	for (const begun_stream &stream : streams) {
		for (const std::unique_ptr<gateway> &node : _gateways) {
			const std::set<std::string> versions = find_versions(take_up(*node, stream)->body);
			EXPECT_TRUE(versions.empty() || versions == find_versions(stream.events)) << stream.attempt;
		}
	}
}

// Guards against a guess by a node that has run for less time than the stream: callers may wait longer than any that the node has seen.
TEST_F(gateway_stream_version_test, a_stream_older_than_all_nodes_does_not_go_on_at_the_only_version_listed) {
	configure(1);
	add_version("v1");
	set_resumes_itself(false);
	const begun_stream stream = begin(start_ready());
	add_version("v1.1");
	kill_all_while_leaves("v1");
	wait(seconds(3) + seconds(10) + milliseconds(500));
	expect_refused(take_up(*_gateways.front(), stream), "0.000");
}

// Guards against refusing all streams that were cut by a kill of all nodes, although one version began them all.
TEST_F(gateway_stream_version_test, streams_cut_by_a_kill_of_all_nodes_go_on_if_their_service_has_one_version) {
	configure(1);
	add_version("v1");
	add_version("v1");
	start_first(2);
	const std::vector<begun_stream> streams = begin_at_all();
	kill_all_while_leaves("none");
	EXPECT_EQ(take_up_at_all(streams), STREAMS * _gateways.size());
}

// Guards against joining versions by a record that was not written before the second one began streams.
TEST_F(gateway_stream_version_test, a_version_is_recorded_before_it_begins_a_stream) {
	configure(1);
	add_version("v1");
	start_first(2);
	standin_replica &later = add_version("v1.1");
	run_until([this, &later] {
		begin_at_all();
		EXPECT_TRUE(later.runs.empty() || find_recorded().contains("v1.1"));
		return !later.runs.empty();
	});
	const std::vector<begun_stream> streams = begin_at_all();
	kill_all_while_leaves("v1");
	EXPECT_EQ(take_up_at_all(streams), 0U);
}

// Guards against forgetting that the other versions are recorded when one is listed while the record is being read.
TEST_F(gateway_stream_version_test, a_version_that_is_listed_during_the_first_read_begins_no_stream_before_it_is_recorded) {
	configure(1);
	add_version("v1");
	start_first(1);
	_gateways.clear();
	const gateway &node = start_ready();
	const std::size_t reads = _store.count_reads_of(ORIGIN_TOPIC);
	run_until([this, reads] { return _store.count_reads_of(ORIGIN_TOPIC) > reads; });
	const standin_replica &later = add_version("v1.1");
	timer other_writer(_loop, [this, &other_writer] {
		_store.put(ORIGIN_TOPIC, "other", "record");
		other_writer.set(duration::zero());
	});
	other_writer.set(duration::zero());
	const instant end = event_loop::now() + seconds(2);
	while (event_loop::now() < end) {
		EXPECT_EQ(find_versions(begin(node).events), std::set<std::string>{ "v1" });
	}
	EXPECT_TRUE(later.runs.empty());
}

// Guards against streams that begin at an unrecorded version as a node that has just started has not read the record.
TEST_F(gateway_stream_version_test, a_node_that_starts_begins_no_stream_before_it_knows_which_versions_are_recorded) {
	configure(1);
	add_version("v1");
	start_first(1);
	_gateways.clear();
	const standin_replica &later = add_version("v1.1");
	const gateway &node = start_ready();
	run_until([this, &node, &later] {
		const std::size_t runs = later.runs.size();
		begin(node);
		EXPECT_TRUE(later.runs.size() == runs || find_recorded().contains("v1.1"));
		return later.runs.size() > runs;
	});
}

// Guards against streams that begin at a version of which the store takes no record, as others keep changing its topic.
TEST_F(gateway_stream_version_test, streams_begin_at_recorded_versions_while_a_new_one_cannot_be_recorded) {
	configure(1);
	add_version("v1");
	start_first(1);
	timer other_writer(_loop, [this, &other_writer] {
		_store.put(ORIGIN_TOPIC, "other", "record");
		other_writer.set(duration::zero());
	});
	other_writer.set(duration::zero());
	const standin_replica &later = add_version("v1.1");
	const instant end = event_loop::now() + seconds(3);
	while (event_loop::now() < end) {
		EXPECT_EQ(find_versions(begin(*_gateways.front()).events), std::set<std::string>{ "v1" });
		EXPECT_EQ(find_recorded(), std::set<std::string>{ "v1" });
	}
	other_writer.cancel();
	run_until([this, &later] {
		begin(*_gateways.front());
		return !later.runs.empty();
	});
	EXPECT_EQ(find_recorded(), (std::set<std::string>{ "v1", "v1.1" }));
}

// Guards against a conclusion from a record that was read before the stream began.
TEST_F(gateway_stream_version_test, a_record_that_was_read_before_a_stream_is_taken_up_does_not_tell_its_origin) {
	configure(1);
	add_version("v1");
	start_first(1);
	EXPECT_EQ(find_versions(take_up(*_gateways.front(), begun_stream{ "first", "" })->body), std::set<std::string>{ "v1" });
	_store.put(ORIGIN_TOPIC, "origins", write_origin_record(origin_record(0, { { "llm", { "v1", "v1.1" } } })));
	expect_refused(take_up(*_gateways.front(), begun_stream{ "second", "" }), "0.000");
}

// Guards against a service that is not served, as the store takes no record of its only version.
TEST_F(gateway_stream_version_test, streams_begin_at_an_unrecorded_version_if_no_other_serves) {
	configure(1);
	add_version("v1");
	start_first(1);
	_store.put(ORIGIN_TOPIC, "origins", write_origin_record(origin_record(0, { { "llm", { "v0" } } })));
	add_version("v1.1");
	_store.set_away(true);
	EXPECT_EQ(begin(*_gateways.front()).events.empty(), false);
}

// Guards against a record from before a restore of the store, which lacks the versions that were recorded since.
TEST_F(gateway_stream_version_test, a_record_of_an_older_copy_of_the_store_is_not_believed) {
	configure(1);
	add_version("v1");
	start_first(2);
	_store.take_copy();
	const std::vector<begun_stream> streams = begin_at_all();
	_store.come_back_from_copy();
	kill_all_while_leaves("none");
	EXPECT_EQ(take_up_at_all(streams), 0U);
}

TEST_F(gateway_stream_version_test, a_version_leaves_the_record_after_the_lifetime_of_streams_and_enters_it_again) {
	configure(1);
	add_version("v1");
	standin_replica &leaving = add_version("v1.1");
	start_first(2, seconds(1));
	_store.drop(ENDPOINT_TOPIC, leaving.get_name());
	run_until([this] { return find_recorded() == std::set<std::string>{ "v1" }; });
	_store.put(ENDPOINT_TOPIC, leaving.get_name(), leaving.get_entry("llm"));
	run_until([this] { return find_recorded() == std::set<std::string>{ "v1", "v1.1" }; });
}

// Guards against callers that return at once, again and again, while the store cannot tell which version began their streams.
TEST_F(gateway_stream_version_test, a_stream_that_only_the_store_can_tell_is_refused_with_a_time_to_return_while_the_store_is_away) {
	configure(1);
	add_version("v1");
	start_first(2);
	const std::vector<begun_stream> streams = begin_at_all();
	kill_all_while_leaves("none");
	_store.set_away(true);
	expect_refused(take_up(*_gateways.front(), streams.front()), "0.500");
	_store.set_away(false);
	wait(seconds(2));
	EXPECT_EQ(take_up(*_gateways.front(), streams.front())->head.status, 200);
}

TEST_F(gateway_stream_version_test, a_stream_without_an_event_begins_anew_at_any_version) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	EXPECT_EQ(ask(node, RESUMABLE_PATH, "key-1", "Last-Event-Id:\r\n")->head.status, 200);
}

TEST_F(gateway_stream_version_test, a_customer_cannot_resume_or_change_the_stream_of_another) {
	json configuration = make_configuration(1);
	configuration["tenants"].push_back({ { "name", "yards" }, { "api_keys", { "key-3" } } });
	_store.put(CONFIGURATION_TOPIC, "config", configuration.dump());
	add_versions();
	set_resumes_itself(false);
	const gateway &node = start_ready();
	const begun_stream stream = begin_at(node, "v1");
	expect_refused(take_up(node, stream, "key-3"), "0.000");
	EXPECT_EQ(count_all_resumes(), 0U);
	// The other customer begins streams by the same id, some of them at the other version.
	for (int i = 0; i < STREAMS; i++) {
		send_bytes(node.get_caller_address(), "POST " + RESUMABLE_PATH + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + stream.attempt + "\r\nAuthorization: Bearer key-3\r\nContent-Length: 0\r\n\r\n");
	}
	wait(milliseconds(50));
	EXPECT_EQ(find_versions(take_up(node, stream)->body), std::set<std::string>{ "v1" });
}

TEST_F(gateway_stream_version_test, a_stream_of_a_split_route_goes_on_at_its_service) {
	json configuration = make_configuration(1);
	for (json &route : configuration["routes"]) {
		if (route.at("name") == "/stream/again/") {
			route.erase("service");
			route["split"] = json::array({ { { "service", "llm" }, { "weight", 50 } }, { { "service", "other" }, { "weight", 50 } } });
		}
	}
	configuration["services"].push_back({ { "name", "other" }, { "max_conns", 50 } });
	_store.put(CONFIGURATION_TOPIC, "config", configuration.dump());
	standin_replica &of_llm = add_version("v1");
	standin_replica &of_other = add_version("v1");
	_store.put(ENDPOINT_TOPIC, of_other.get_name(), of_other.get_entry("other"));
	set_resumes_itself(false);
	const gateway &node = start_ready();
	for (int i = 0; i < STREAMS; i++) {
		const std::size_t before = of_llm.runs.size();
		const begun_stream stream = begin(node);
		const bool was_llm = of_llm.runs.size() > before;
		standin_replica &beginner = was_llm ? of_llm : of_other;
		const std::size_t runs = beginner.runs.size();
		EXPECT_EQ(take_up(node, stream)->head.status, 200);
		EXPECT_EQ(beginner.runs.size(), runs + 1);
	}
}

TEST_F(gateway_stream_version_test, a_stream_whose_version_is_evacuated_is_refused_with_a_time_to_return) {
	configure(1);
	add_version("v1", "a");
	add_version("v1.1", "b");
	set_resumes_itself(false);
	const gateway &node = start_ready();
	const begun_stream stream = begin_at(node, "v1");
	_store.put(CONFIGURATION_TOPIC, "evacuate/a", "{}");
	wait(milliseconds(1500));
	expect_refused(take_up(node, stream), "2.000");
	EXPECT_EQ(count_all_resumes(), 0U);
}

TEST_F(gateway_stream_version_test, streams_keep_their_version_while_a_roll_out_moves_the_service) {
	configure(1);
	add_versions();
	set_resumes_itself(false);
	const gateway &first = start_ready();
	const gateway &second = start_ready();
	_store.put(CONFIGURATION_TOPIC, "rollout/llm", json{ { "service", "llm" }, { "target_version", "v1.1" }, { "duration_s", 6.0 } }.dump());
	std::set<std::string> went_on;
	const instant end = event_loop::now() + seconds(7);
	while (event_loop::now() < end) {
		const begun_stream stream = begin(first);
		const std::shared_ptr<caller_result> rest = take_up(second, stream);
		if (rest->head.status == 200) {
			EXPECT_EQ(find_versions(rest->body), find_versions(stream.events));
			went_on.merge(find_versions(rest->body));
		}
		wait(milliseconds(5));
	}
	EXPECT_EQ(went_on, (std::set<std::string>{ "v1", "v1.1" }));
}

} // namespace calicoscale
