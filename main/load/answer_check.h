/*
 * calicoscale: answer_check.h
 * Checks that an answer is complete and belongs to its request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ANSWER_CHECK_H
#define ANSWER_CHECK_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/**
 * Returns the next token of a chained answer. The engines used by tests and by the load tool generate chained answers, so that
 * the sender of a request can check them: the first token is the marker of the input, and every later token carries a hash over
 * all text before it. A token that is missing, duplicated, out of order, or from another generation breaks the chain.
 */
std::string make_chain_token(std::string_view p_text_before, std::string_view p_salt);

/** Returns the fault of a generated text for a marker; empty if the chain is intact. */
std::optional<std::string> check_chain(const std::vector<std::string> &p_tokens, std::string_view p_marker);

/** Splits the complete text of a chained answer into its tokens. */
std::vector<std::string> split_chain(std::string_view p_text);

} // namespace calicoscale

#endif // ANSWER_CHECK_H
