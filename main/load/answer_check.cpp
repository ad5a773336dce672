/*
 * calicoscale: answer_check.cpp
 * Checks that an answer is complete and belongs to its request.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/answer_check.h"

#include "core/digest.h"
#include "core/ids.h"

namespace calicoscale {

namespace {

constexpr std::size_t HASH_DIGITS = 8;
constexpr char TOKEN_START = ' ';

std::string hash_text(std::string_view p_text) {
	return to_hex(hash_bytes(p_text)).substr(0, HASH_DIGITS);
}

} // namespace

std::string make_chain_token(std::string_view p_text_before, std::string_view p_salt) {
	return TOKEN_START + hash_text(p_text_before) + "-" + std::string(p_salt);
}

std::optional<std::string> check_chain(const std::vector<std::string> &p_tokens, std::string_view p_marker) {
	if (p_tokens.empty()) {
		return "no token";
	}
	if (p_tokens.front() != p_marker) {
		return "the answer belongs to another request: \"" + p_tokens.front() + "\"";
	}
	std::string text = p_tokens.front();
	for (std::size_t i = 1; i < p_tokens.size(); i++) {
		const std::string &token = p_tokens[i];
		const bool is_next = token.size() > HASH_DIGITS && token.front() == TOKEN_START && token.compare(1, HASH_DIGITS, hash_text(text)) == 0;
		if (!is_next) {
			return "token " + std::to_string(i) + " does not follow from the text before it";
		}
		text += token;
	}
	return std::nullopt;
}

std::vector<std::string> split_chain(std::string_view p_text) {
	std::vector<std::string> tokens;
	std::size_t start = 0;
	while (start < p_text.size()) {
		std::size_t end = p_text.find(TOKEN_START, start + 1);
		end = end == std::string_view::npos ? p_text.size() : end;
		tokens.emplace_back(p_text.substr(start, end - start));
		start = end;
	}
	return tokens;
}

} // namespace calicoscale
