/*
 * calicoscale: document_problem.cpp
 * Mistakes found in a JSON document, and the error that carries all of them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/document_problem.h"

namespace calicoscale {

std::string to_string(const std::vector<document_problem> &p_problems) {
	std::string text;
	for (const document_problem &problem : p_problems) {
		if (!text.empty()) {
			text += '\n';
		}
		text += problem.place.empty() ? "/" : problem.place;
		text += ": found " + problem.found + ", expected " + problem.expected;
	}
	return text;
}

document_error::document_error(std::vector<document_problem> p_problems) :
		std::runtime_error(to_string(p_problems)), _problems(std::move(p_problems)) {
}

} // namespace calicoscale
