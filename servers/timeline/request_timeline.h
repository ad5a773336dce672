/*
 * calicoscale: request_timeline.h
 * Collects the log lines of all nodes on one request and explains its outcome.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_TIMELINE_H
#define REQUEST_TIMELINE_H

#include "servers/timeline/logged_event.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace calicoscale {

/**
 * Reads the logs of any number of nodes twice, line by line, so that they need not fit in memory: first for the lines
 * about the request itself, then for its context: other events of the same time that concern the endpoints, calls and
 * nodes that the request used.
 */
class request_timeline {
	struct merged_line {
		std::int64_t wall_ms = 0;
		std::string node;
		logged_event entry;
		bool is_own = false; ///< Whether the line is about the request itself, not context.
	};

	struct node_log {
		std::string node;
		std::optional<std::int64_t> wall_offset; ///< Wall time minus steady time, in milliseconds, by the log's latest line that has both.
	};

	std::string _request;
	std::map<std::string, node_log> _logs; ///< By name of the log.
	std::vector<merged_line> _lines;
	std::set<std::string> _endpoints; ///< Endpoints and replicas that the request used.
	std::set<std::string> _nodes; ///< Nodes that handled the request.
	std::set<std::pair<std::string, std::string>> _calls; ///< Node, and pool and id of a stage call with the request.
	std::int64_t _first_ms = 0; ///< Wall time of the request's first line.
	std::int64_t _last_ms = 0; ///< Wall time of the request's last line.
	bool _has_finish = false;

	bool _is_about_request(const logged_event &p_entry) const;
	bool _is_context(const std::string &p_node, const logged_event &p_entry) const;
	/** Updates the clock offset and the node of a log; returns the wall time of the line. */
	std::int64_t _update_clock(node_log &r_log, const logged_event &p_entry);
	void _add(const std::string &p_node, std::int64_t p_wall_ms, const logged_event &p_entry, bool p_is_own);
	const logged_event *_find_last(std::string_view p_event) const;
	std::string _explain_refusal(const logged_event &p_entry) const;
	std::string _explain_finish(const logged_event &p_finish) const;
	std::string _describe_longest_wait() const;

public:
	/** @param p_request id as the caller sent it. */
	explicit request_timeline(std::string p_request);

	/**
	 * Reads a line in the first pass.
	 * @param p_log name of the log, the same in both passes; used as the node's name until a line of the log gives it.
	 */
	void read(const std::string &p_log, std::string_view p_line);

	/** Reads a line in the second pass, after the first pass over all logs. */
	void read_context(const std::string &p_log, std::string_view p_line);

	/** Whether any line about the request was read. */
	bool is_known() const { return !_lines.empty(); }

	/** Explains in a few sentences how the request ended and why. */
	std::string get_cause() const;

	/** Returns the lines sorted by time, with those about the request marked by `*`, followed by the cause. */
	std::string write();
};

} // namespace calicoscale

#endif // REQUEST_TIMELINE_H
