/*
 * calicoscale: request_story.h
 * What the logs of all nodes tell of one request, and why it ended as it did.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_STORY_H
#define REQUEST_STORY_H

#include "servers/timeline/logged_event.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace calicoscale {

/**
 * Reads the logs of any number of nodes twice, line by line, so that they need not fit in memory: first for the
 * request's own lines, then for what else happened meanwhile to the endpoints, calls and nodes that it met.
 */
class request_story {
	struct told_line {
		std::int64_t wall_ms = 0;
		std::string node;
		logged_event entry;
		bool is_own = false; ///< About the request itself.
	};

	struct node_log {
		std::string node;
		std::optional<std::int64_t> wall_offset; ///< Wall time less steady time, as the log told it last.
	};

	std::string _request;
	std::map<std::string, node_log> _logs; ///< By the name of the log.
	std::vector<told_line> _lines;
	std::set<std::string> _endpoints;
	std::set<std::string> _nodes;
	std::set<std::pair<std::string, std::string>> _calls; ///< Node and call id.
	std::int64_t _first_ms = 0;
	std::int64_t _last_ms = 0;
	bool _has_finish = false;

	bool _is_about_request(const logged_event &p_entry) const;
	bool _is_context(const std::string &p_node, const logged_event &p_entry) const;
	std::int64_t _note_clock(node_log &r_log, const logged_event &p_entry);
	void _add(const std::string &p_node, std::int64_t p_wall_ms, const logged_event &p_entry, bool p_is_own);
	const logged_event *_find_last(std::string_view p_event) const;
	std::string _explain_refusal(const logged_event &p_entry) const;
	std::string _explain_finish(const logged_event &p_finish) const;
	std::string _find_longest_part() const;

public:
	/** @param p_request id as the caller sent it. */
	explicit request_story(std::string p_request);

	/** First reading. @param p_log name of the log, the same in both readings; stands for the node until the log names it. */
	void read(const std::string &p_log, std::string_view p_line);

	/** Second reading, after the first of all logs. */
	void read_context(const std::string &p_log, std::string_view p_line);

	/** Whether any line is about the request. */
	bool is_known() const { return !_lines.empty(); }

	/** One sentence on how the request ended and why. */
	std::string get_cause() const;

	/** The lines in the order of time, those about the request marked with `*`, and the cause. */
	std::string write();
};

} // namespace calicoscale

#endif // REQUEST_STORY_H
