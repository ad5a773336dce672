/*
 * calicoscale: soak_schedule.cpp
 * What a soak does when; drawn from its seed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_schedule.h"

#include "tests/soak/soak_random.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

/** Nodes, endpoints and callers find each other. */
constexpr duration WARM_UP = milliseconds(3000);
constexpr duration BURST = milliseconds(4500);
/** Longer than contact and the bound of a change together, so that each must be in force in the end. */
constexpr duration CALM = milliseconds(7000);
/** What is done to nodes, endpoints and the store together is gone so long before the end. */
constexpr duration LAST_CALM = milliseconds(9000);
constexpr std::size_t LEAST_EVENTS = 6;
constexpr std::size_t MORE_EVENTS = 10;
/** A larger fleet has more trouble: one event more for so many nodes. */
constexpr std::size_t NODES_FOR_AN_EVENT = 8;
/** A series hits as many nodes one after the other. */
constexpr std::size_t MOST_IN_SERIES = 4;
constexpr duration SERIES_STEP = milliseconds(250);
constexpr double LEAST_LENGTH_MS = 150;
constexpr double MOST_LENGTH_MS = 2500;
constexpr double LEAST_BETWEEN_VERSIONS_MS = 300;
constexpr double MOST_BETWEEN_VERSIONS_MS = 5000;
/** Copies are drawn by a seed of their own. */
constexpr std::uint64_t COPY_SEED_STEP = 1'000'003;
constexpr std::size_t MOST_COPIES = 2;
constexpr double LEAST_COPY_AGE_MS = 300;
constexpr double MOST_COPY_AGE_MS = 5000;
/** So are what endpoints say in their answers. */
constexpr std::uint64_t NOTICE_SEED_STEP = 2'000'003;
constexpr std::size_t LEAST_NOTICES = 2;
constexpr std::size_t MORE_NOTICES = 4;
constexpr double LEAST_NOTICE_MS = 2800;
constexpr double MOST_NOTICE_MS = 8000;
/** And silences of the store. Each outlasts the first read that every node of a zone sends once its reader falls silent. */
constexpr std::uint64_t SILENCE_SEED_STEP = 3'000'003;
constexpr double LEAST_SILENCE_MS = 3000;
constexpr double MOST_SILENCE_MS = 4500;
/** And how endpoints end their answers. */
constexpr std::uint64_t ENDS_SEED_STEP = 4'000'003;
/** And second copies of answers. */
constexpr std::uint64_t SURPLUS_SEED_STEP = 6'000'003;
/** And replacements of the seeds. */
constexpr std::uint64_t REPLACEMENT_SEED_STEP = 7'000'003;
/** And answers that are not valid HTTP. */
constexpr std::uint64_t MALFORMED_SEED_STEP = 8'000'003;
/** Of the endpoints, those that one burst updates, one after the other. */
constexpr std::size_t UPDATED_PART = 3;
constexpr duration UPDATE_STEP = milliseconds(700);
constexpr std::uint64_t UPDATE_SEED_STEP = 5'000'003;
constexpr std::size_t CHOICES = 840; ///< Divides by the number of kinds of each action.

constexpr std::array<std::string_view, static_cast<std::size_t>(soak_action::COUNT)> ACTION_NAMES{ "kill", "stop", "stand_still", "reload", "caller_link", "store_link", "peer_link", "endpoint_link", "store_away", "store_silent", "store_reads_lost", "store_forgets", "endpoint_crashes", "endpoint_leaves", "endpoint_misbehaves", "spoilt_record", "configure", "endpoint_limits", "endpoint_leaves_by_word", "endpoint_rests", "store_from_copy", "endpoint_varies_ends", "endpoint_repeats_answers", "seeds_replaced", "endpoint_updates", "endpoint_sends_malformed" };

bool is_of_endpoint(soak_action p_action) {
	return p_action == soak_action::ENDPOINT_LINK || p_action == soak_action::ENDPOINT_CRASHES || p_action == soak_action::ENDPOINT_LEAVES || p_action == soak_action::ENDPOINT_MISBEHAVES;
}

bool is_in_series(soak_action p_action) {
	return p_action == soak_action::KILL || p_action == soak_action::STOP || p_action == soak_action::STAND_STILL || p_action == soak_action::RELOAD;
}

void add_burst(soak_random &r_random, const soak_size &p_size, duration p_begin, std::vector<soak_event> &r_events) {
	const std::size_t count = LEAST_EVENTS + r_random.pick(MORE_EVENTS) + p_size.nodes / NODES_FOR_AN_EVENT;
	for (std::size_t i = 0; i < count; i++) {
		soak_event event;
		event.action = static_cast<soak_action>(r_random.pick(static_cast<std::size_t>(soak_action::CONFIGURE)));
		event.at = p_begin + r_random.pick_time(0, to_milliseconds(BURST));
		event.subject = r_random.pick(is_of_endpoint(event.action) ? p_size.endpoints : p_size.nodes);
		event.length = r_random.pick_time(LEAST_LENGTH_MS, MOST_LENGTH_MS);
		event.choice = r_random.pick(CHOICES);
		const std::size_t repeats = is_in_series(event.action) ? 1 + r_random.pick(MOST_IN_SERIES) : 1;
		for (std::size_t k = 0; k < repeats; k++) {
			r_events.push_back(event);
			event.at += SERIES_STEP;
			event.subject = (event.subject + 1) % p_size.nodes;
		}
	}
}

void add_notices(soak_random &r_random, const soak_size &p_size, duration p_begin, std::vector<soak_event> &r_events) {
	constexpr std::size_t KINDS = static_cast<std::size_t>(soak_action::STORE_FROM_COPY) - static_cast<std::size_t>(soak_action::ENDPOINT_LIMITS);
	const std::size_t count = LEAST_NOTICES + r_random.pick(MORE_NOTICES);
	for (std::size_t i = 0; i < count; i++) {
		soak_event event;
		event.action = static_cast<soak_action>(static_cast<std::size_t>(soak_action::ENDPOINT_LIMITS) + r_random.pick(KINDS));
		event.at = p_begin + r_random.pick_time(0, to_milliseconds(BURST));
		event.subject = r_random.pick(p_size.endpoints);
		event.length = r_random.pick_time(LEAST_NOTICE_MS, MOST_NOTICE_MS);
		event.choice = r_random.pick(CHOICES);
		r_events.push_back(event);
	}
}

void add_copies(soak_random &r_random, duration p_begin, std::vector<soak_event> &r_events) {
	const std::size_t count = 1 + r_random.pick(MOST_COPIES);
	for (std::size_t i = 0; i < count; i++) {
		const duration at = p_begin + r_random.pick_time(0, to_milliseconds(BURST));
		r_events.push_back(soak_event{ at, soak_action::STORE_FROM_COPY, 0, r_random.pick_time(LEAST_COPY_AGE_MS, MOST_COPY_AGE_MS), 0 });
	}
}

/** One in each burst, over as soon as the longest other trouble may be. */
void add_silence(soak_random &r_random, duration p_begin, std::vector<soak_event> &r_events) {
	const duration length = r_random.pick_time(LEAST_SILENCE_MS, MOST_SILENCE_MS);
	const duration latest = BURST + from_seconds(MOST_LENGTH_MS / 1000) - length;
	r_events.push_back(soak_event{ p_begin + r_random.pick_time(0, to_milliseconds(latest)), soak_action::STORE_SILENT, 0, length, 0 });
}

/** How often a burst has some kind of trouble with the answers of an endpoint. */
struct answer_trouble {
	soak_action action = soak_action::COUNT;
	std::size_t least = 0;
	std::size_t more = 0; ///< Fewer than so many are added.
};

constexpr answer_trouble VARIED_ENDS{ soak_action::ENDPOINT_VARIES_ENDS, 2, 3 };
constexpr answer_trouble SURPLUS{ soak_action::ENDPOINT_REPEATS_ANSWERS, 3, 3 };
constexpr answer_trouble MALFORMED{ soak_action::ENDPOINT_SENDS_MALFORMED, 3, 3 };

void add_answer_trouble(const answer_trouble &p_trouble, soak_random &r_random, const soak_size &p_size, duration p_begin, std::vector<soak_event> &r_events) {
	const std::size_t count = p_trouble.least + r_random.pick(p_trouble.more);
	for (std::size_t i = 0; i < count; i++) {
		const duration at = p_begin + r_random.pick_time(0, to_milliseconds(BURST));
		const std::size_t endpoint = r_random.pick(p_size.endpoints);
		r_events.push_back(soak_event{ at, p_trouble.action, endpoint, r_random.pick_time(LEAST_NOTICE_MS, MOST_NOTICE_MS), 0 });
	}
}

/** @param p_version Number of the version that the update brings. */
void add_update(soak_random &r_random, const soak_size &p_size, duration p_begin, std::size_t p_version, std::vector<soak_event> &r_events) {
	const std::size_t first = r_random.pick(p_size.endpoints);
	for (std::size_t i = 0; i < std::max<std::size_t>(1, p_size.endpoints / UPDATED_PART); i++) {
		r_events.push_back(soak_event{ p_begin + UPDATE_STEP * static_cast<duration::rep>(i), soak_action::ENDPOINT_UPDATES, (first + i) % p_size.endpoints, r_random.pick_time(LEAST_LENGTH_MS, MOST_LENGTH_MS), p_version });
	}
}

} // namespace

std::string_view get_name(soak_action p_value) {
	return ACTION_NAMES.at(static_cast<std::size_t>(p_value));
}

std::string soak_event::describe() const {
	return std::to_string(at.count() / 1000) + " ms " + std::string(get_name(action)) + " " + std::to_string(subject) + " for " + std::to_string(length.count() / 1000) + " ms, choice " + std::to_string(choice);
}

duration get_calm_end(const soak_size &p_size) {
	return p_size.length - LAST_CALM;
}

std::vector<soak_event> make_schedule(std::uint64_t p_seed, const soak_size &p_size) {
	soak_random random(p_seed);
	soak_random copies(p_seed + COPY_SEED_STEP);
	soak_random notices(p_seed + NOTICE_SEED_STEP);
	soak_random silences(p_seed + SILENCE_SEED_STEP);
	soak_random ends(p_seed + ENDS_SEED_STEP);
	soak_random surplus(p_seed + SURPLUS_SEED_STEP);
	soak_random updates(p_seed + UPDATE_SEED_STEP);
	soak_random replacements(p_seed + REPLACEMENT_SEED_STEP);
	soak_random malformed(p_seed + MALFORMED_SEED_STEP);
	std::size_t newest_version = FIRST_VERSIONS;
	std::vector<soak_event> events;
	for (duration begin = WARM_UP; begin + BURST <= get_calm_end(p_size); begin += BURST + CALM) {
		add_burst(random, p_size, begin, events);
		if (p_size.has_notices) {
			add_notices(notices, p_size, begin, events);
		}
		if (p_size.has_copies) {
			add_copies(copies, begin, events);
		}
		if (p_size.has_silences) {
			add_silence(silences, begin, events);
		}
		if (p_size.has_varied_ends) {
			add_answer_trouble(VARIED_ENDS, ends, p_size, begin, events);
		}
		if (p_size.has_surplus) {
			add_answer_trouble(SURPLUS, surplus, p_size, begin, events);
		}
		if (p_size.has_malformed) {
			add_answer_trouble(MALFORMED, malformed, p_size, begin, events);
		}
		if (p_size.has_replaced_seeds) {
			events.push_back(soak_event{ begin + replacements.pick_time(0, to_milliseconds(BURST)), soak_action::SEEDS_REPLACED, 0, duration::zero(), 0 });
		}
		if (p_size.has_versions) {
			add_update(updates, p_size, begin, ++newest_version, events);
		}
	}
	for (duration at = WARM_UP; at < p_size.length; at += random.pick_time(LEAST_BETWEEN_VERSIONS_MS, MOST_BETWEEN_VERSIONS_MS)) {
		events.push_back(soak_event{ at, soak_action::CONFIGURE, 0, duration::zero(), 0 });
	}
	std::stable_sort(events.begin(), events.end(), [](const soak_event &p_left, const soak_event &p_right) { return p_left.at < p_right.at; });
	return events;
}

} // namespace calicoscale
