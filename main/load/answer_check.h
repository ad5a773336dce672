/*
 * calicoscale: answer_check.h
 * Checks that an answer is whole and belongs to its request.
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
 * Answers of the engines that tests and load use can be checked by whoever sent the request: the first token is the
 * marker of the input, and every later token carries a hash over all text before it. A token that is missing, doubled,
 * out of place, or spliced in from another generation breaks the chain.
 */
std::string make_chain_token(std::string_view p_text_before, std::string_view p_salt);

/** What is wrong with a generated text for a marker; empty when nothing is. */
std::optional<std::string> check_chain(const std::vector<std::string> &p_tokens, std::string_view p_marker);

/** Takes a whole text apart into the tokens it was made of. */
std::vector<std::string> split_chain(std::string_view p_text);

} // namespace calicoscale

#endif // ANSWER_CHECK_H
