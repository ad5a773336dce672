/*
 * calicoscale: waiting_line.h
 * Requests that were admitted and not sent to an endpoint yet, in the order of their admission.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef WAITING_LINE_H
#define WAITING_LINE_H

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>

namespace calicoscale {

/** Place of a request in a waiting line; later ones are higher. */
using line_place = std::uint64_t;

/** One line for each service. */
class waiting_line {
	std::map<std::string, std::set<line_place>> _lines;
	line_place _next = 1;

public:
	/** A request for a service was admitted. */
	line_place join(const std::string &p_service) {
		_lines[p_service].insert(_next);
		return _next++;
	}

	/** It was sent, or has ended. A second call does nothing. */
	void leave(const std::string &p_service, line_place p_place) { _lines[p_service].erase(p_place); }

	/** How many requests for a service were admitted before a place and wait still. */
	std::size_t count_before(const std::string &p_service, line_place p_place) const {
		const auto line = _lines.find(p_service);
		return line == _lines.end() ? 0 : static_cast<std::size_t>(std::distance(line->second.begin(), line->second.lower_bound(p_place)));
	}

	/** How many requests for a service wait. */
	std::size_t count(const std::string &p_service) const {
		const auto line = _lines.find(p_service);
		return line == _lines.end() ? 0 : line->second.size();
	}
};

} // namespace calicoscale

#endif // WAITING_LINE_H
