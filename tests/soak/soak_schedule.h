/*
 * calicoscale: soak_schedule.h
 * What a soak does when; drawn from its seed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

enum class soak_action {
	KILL,
	STOP, ///< SIGTERM.
	STAND_STILL, ///< SIGSTOP and, later, SIGCONT.
	RELOAD, ///< SIGHUP.
	CALLER_LINK,
	STORE_LINK,
	PEER_LINK,
	ENDPOINT_LINK,
	STORE_AWAY, ///< Answers 503.
	STORE_SILENT,
	STORE_READS_LOST, ///< Reads that wait are never answered.
	STORE_FORGETS, ///< Its history is gone.
	ENDPOINT_CRASHES, ///< And starts again under its name.
	ENDPOINT_LEAVES, ///< Says so, ends, and starts again under its name.
	ENDPOINT_MISBEHAVES,
	SPOILT_RECORD,
	CONFIGURE,
	ENDPOINT_LIMITS, ///< Names in its answers what it takes.
	ENDPOINT_LEAVES_BY_WORD, ///< Says in its answers that it leaves, its record does not; ends, and starts again under its name.
	ENDPOINT_RESTS, ///< Turns requests away and asks for rest.
	STORE_FROM_COPY, ///< It is copied, and comes back from that copy when the length is over; those who write there do so again.
	ENDPOINT_VARIES_ENDS, ///< Frames its answers in any way, and ends streams inside an event in good order.
	ENDPOINT_REPEATS_ANSWERS, ///< Sends second copies of its answers, immediately or where the next one is due.
	SEEDS_REPLACED, ///< The seeds stop, and other machines start in their places, whose settings name only each other.
	ENDPOINT_UPDATES, ///< Leaves, and starts again under another name with a newer version of its software.
	ENDPOINT_SENDS_MALFORMED, ///< Sends heads that are not valid HTTP.
	COUNT,
};

std::string_view get_name(soak_action p_value);

/** How a link is harmed. */
enum class harm_kind {
	DELAY,
	RESET,
	HOLD_UP,
	HOLD_DOWN,
	SILENCE,
	NARROW,
	COUNT,
};

struct soak_event {
	duration at{}; ///< From the start.
	soak_action action = soak_action::COUNT;
	std::size_t subject = 0; ///< Node or endpoint.
	duration length{}; ///< How long it lasts.
	std::size_t choice = 0; ///< Of the kinds that the action has.
	std::string describe() const;
};

/** Versions of the endpoints' software at the start of a soak with versions, by turns. */
constexpr std::size_t FIRST_VERSIONS = 2;

/** How large a soak is. */
struct soak_size {
	std::size_t nodes = 6;
	std::size_t endpoints = 6;
	std::size_t callers = 30;
	duration length = std::chrono::seconds(25);
	bool has_notices = false; ///< Endpoints say things about themselves in their answers besides, some in each burst.
	bool has_copies = false; ///< The store comes back from older copies besides, once or twice in each burst.
	bool has_silences = false; ///< The store is silent besides, once in each burst, for longer than any node leaves a read to others.
	bool has_versions = false; ///< Endpoints have two versions of their software, and more of them are updated in each burst; callers resume streams.
	bool has_varied_ends = false; ///< Endpoints end answers in any way besides, some in each burst.
	bool has_surplus = false; ///< Endpoints send second copies of their answers besides, some in each burst.
	bool has_replaced_seeds = false; ///< The seeds are replaced besides, once in each burst.
	bool has_malformed = false; ///< Endpoints send answers that are not valid HTTP besides, some in each burst, and callers such requests throughout.
};

/** From here on nothing is disturbed, only configured. */
duration get_calm_end(const soak_size &p_size);

/**
 * Bursts of trouble that overlap, with calm between; one seed and size give one schedule. Copies and silences of the store, and ends of answers, are drawn
 * apart, so that a seed's other trouble is the same with and without them.
 */
std::vector<soak_event> make_schedule(std::uint64_t p_seed, const soak_size &p_size);

} // namespace calicoscale

#endif // SOAK_SCHEDULE_H
