/*
 * calicoscale: document_problem.h
 * Mistakes found in a JSON document, and the error that carries all of them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef DOCUMENT_PROBLEM_H
#define DOCUMENT_PROBLEM_H

#include <stdexcept>
#include <string>
#include <vector>

namespace calicoscale {

/** One mistake in a document: its location, the value found and the value expected. */
struct document_problem {
	std::string place; ///< JSON pointer, e.g. "/customers/0/weight"; "" is the whole document.
	std::string found;
	std::string expected;
};

/** Thrown when a document has mistakes; lists all of them. */
class document_error : public std::runtime_error {
	std::vector<document_problem> _problems;

public:
	explicit document_error(std::vector<document_problem> p_problems);
	const std::vector<document_problem> &get_problems() const { return _problems; }
};

/** Writes one line for each problem: "<JSON pointer>: found X, expected Y". */
std::string to_string(const std::vector<document_problem> &p_problems);

} // namespace calicoscale

#endif // DOCUMENT_PROBLEM_H
