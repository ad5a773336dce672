/*
 * calicoscale: stream_fleet.h
 * A fleet of any size in virtual time, whose callers resume streams while the software of the endpoints is updated.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_FLEET_H
#define STREAM_FLEET_H

#include "core/random_source.h"
#include "servers/streams/record_placement.h"
#include "servers/streams/stream_lookup.h"
#include "servers/streams/stream_table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace calicoscale {

/** What became of the streams that callers resumed in a span of time. */
struct resumption_counts {
	std::size_t mixed = 0; ///< Sent to another version than the one that began the stream.
	std::size_t continued = 0;
	std::size_t refused = 0; ///< While two endpoints of the stream's version were serving.
	std::size_t gone = 0; ///< No endpoint of the stream's version was left.

	double get_continued_share() const { return continued + refused == 0 ? 1.0 : static_cast<double>(continued) / static_cast<double>(continued + refused); }
};

/**
 * Nodes in three zones with links of some milliseconds, that fail and come back and are cut off by zones. A node notices after
 * DETECTION_TIME that another one has failed, so that views differ meanwhile.
 */
class stream_fleet {
	struct node {
		record_node name;
		bool is_hub = false;
		bool is_running = true;
		instant changed_at{}; ///< When it was started or killed last.
		std::unique_ptr<stream_table> table = std::make_unique<stream_table>();
		std::size_t bytes = 0; ///< Of messages about streams that it sent.
	};

	struct lookup {
		stream_lookup state;
		stream_key key;
		std::size_t node = 0;
		std::string version; ///< That began the stream.
	};

	struct event {
		instant at{};
		std::uint64_t order = 0;
		std::function<void()> run;
		bool operator<(const event &p_other) const { return at != p_other.at ? at > p_other.at : order > p_other.order; }
	};

	instant _now{ std::chrono::seconds(1000) };
	random_source _random;
	std::vector<node> _nodes;
	std::vector<std::size_t> _hubs;
	double _broken_share;
	std::map<std::string, std::size_t> _by_name;
	std::map<std::string, std::size_t> _endpoints; ///< Number of serving endpoints, by version.
	std::priority_queue<event> _events;
	std::uint64_t _next_order = 0;
	std::uint64_t _next_stream = 1;
	std::string _cut_zone;
	instant _cut_at{};
	resumption_counts _counts;

	void _schedule(duration p_delay, std::function<void()> p_run);
	bool _is_cut(const node &p_left, const node &p_right) const;
	std::vector<record_node> _get_view(const node &p_viewer) const;
	void _send(std::size_t p_from, std::size_t p_to, std::size_t p_bytes, std::function<void()> p_on_received);
	std::optional<std::size_t> _choose_node(const std::string &p_zone);
	std::string _choose_version();
	void _publish(std::size_t p_node, const stream_key &p_key, const std::string &p_version);
	void _begin_stream(const std::string &p_zone);
	void _resume(const std::string &p_zone, const stream_key &p_key, const std::string &p_version, int p_resumptions);
	void _ask(const std::shared_ptr<lookup> &p_lookup, lookup_round p_round);
	void _advance(const std::shared_ptr<lookup> &p_lookup, const std::function<void()> &p_on_continued);

public:
	static constexpr duration DETECTION_TIME = std::chrono::milliseconds(750);

	/** @param p_broken_share share of the streams that break off, and of those that are resumed. */
	stream_fleet(std::size_t p_nodes, double p_broken_share, std::uint64_t p_seed);

	/** Sets the number of serving endpoints by version. */
	void set_endpoints(std::map<std::string, std::size_t> p_endpoints) { _endpoints = std::move(p_endpoints); }

	/** Begins streams at a rate for a time, and runs until that time is over. */
	void run(double p_streams_per_second, duration p_time);

	/** Kills a share of the nodes, rounded down; they start again without their records after a time. */
	void kill(double p_share, duration p_down_time);

	/** Cuts a zone off from all others; an empty name ends the cut. */
	void cut(const std::string &p_zone);

	/** Returns the counts since the last call. */
	resumption_counts take_counts();

	/** Returns the number of bytes that the busiest node has sent. */
	std::size_t get_most_bytes() const;

	/** Returns the number of records at the node with the most. */
	std::size_t get_most_records() const;
};

} // namespace calicoscale

#endif // STREAM_FLEET_H
