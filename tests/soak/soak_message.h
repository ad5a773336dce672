/*
 * calicoscale: soak_message.h
 * What callers of the soak send and what its endpoints answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_MESSAGE_H
#define SOAK_MESSAGE_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace calicoscale {

enum class request_kind {
	SAFE, ///< May be repeated.
	ONCE, ///< May run once.
	STREAM, ///< Events; may run once.
	RESUMABLE, ///< Events; another endpoint may go on.
	PROBE, ///< On a route that only one version of the configuration has.
	COUNT,
};

bool is_repeatable(request_kind p_kind);
bool is_stream(request_kind p_kind);

constexpr int EVENTS_IN_STREAM = 5;

/** The path of a kind of request; a probe's names the version. */
std::string make_target(request_kind p_kind, const std::string &p_id, std::uint64_t p_version);

/** The key that one version of the configuration holds, beside the one that all hold. */
std::string make_key(std::uint64_t p_version);
constexpr std::string_view STEADY_KEY = "key-1";
constexpr std::string_view CUSTOMER = "hearth";

/** From a few bytes to some ten thousand, as the id has it. */
std::string make_request_body(const std::string &p_id);
/** Requests that are not valid HTTP, of a kind told by the number. Some hide a second request. */
std::string make_malformed_request(std::size_t p_number);

std::string make_answer_body(const std::string &p_id, const std::string &p_endpoint);

/** @param p_version Of the endpoint's software; empty if its events do not name it. */
std::string make_event(const std::string &p_id, int p_number, const std::string &p_version);

/** Whole events at the beginning of an answer. */
struct received_events {
	int count = 0;
	std::set<std::string> versions; ///< That they name.
};

/** @param p_first The number of the first event. */
received_events read_events(std::string_view p_body, const std::string &p_id, int p_first);

/** The configuration of the soak at a version: its steady routes, and one route and key that no other version has. */
std::string make_soak_configuration(std::uint64_t p_version, int p_idle_ms);

} // namespace calicoscale

#endif // SOAK_MESSAGE_H
