/*
 * calicoscale: crash_memory.h
 * Which requests were at work at endpoints that ended, and which of them may still be sent.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_MEMORY_H
#define CRASH_MEMORY_H

#include "core/time.h"
#include "servers/request/request_fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace calicoscale {

/** What can be known of a request that was at work at endpoints that ended. */
enum class crash_news {
	ENDED_ENDPOINT, ///< An endpoint ended under it; the subject names the endpoint.
	TRIAL_ASKED, ///< A node wants to send it, alone among all; the subject names the trial.
	TRIAL_DROPPED, ///< That node does not send it after all.
	TRIAL_SENT,
	TRIAL_ENDED, ///< Sent, and ended without an answer that clears it; whether an endpoint ended is told apart.
	SERVED, ///< A run of it ended with a whole answer: whatever ended those endpoints, its content alone does not.
	COUNT,
};

/** Name of a kind of news, e.g. "ended_endpoint". */
std::string_view get_name(crash_news p_news);

/** One piece of news, as nodes tell each other. */
struct crash_record {
	crash_news news = crash_news::ENDED_ENDPOINT;
	request_fingerprint run;
	std::uint64_t subject = 0; ///< 0 for SERVED.
	instant at{}; ///< When it happened, on the holder's time line.
	bool operator==(const crash_record &p_other) const = default;
};

/** How a request stands. */
enum class crash_standing {
	FREE, ///< Nothing speaks against it.
	SUSPECT, ///< It was at work at endpoints that ended, as its neighbours there were.
	ON_TRIAL, ///< It may be sent once more, if no other node does.
	HELD_BACK, ///< It must not be sent.
};

/** Name of a standing, e.g. "held_back". */
std::string_view get_name(crash_standing p_standing);

/** A standing and what it follows from. */
struct crash_verdict {
	crash_standing standing = crash_standing::FREE;
	std::size_t crashes = 0; ///< Endpoints that ended under the request.
	std::size_t trials = 0; ///< Sends since it was put on trial.
	duration retry_after = duration::zero(); ///< When it may be sent again; for HELD_BACK.
};

/**
 * Remembers by fingerprint what happened to requests at any node. All nodes tell each other, so the memory is a set of news
 * that grows in any order to the same state; nothing of it is agreed upon.
 *
 * A request cannot be told from its neighbours by one crash, nor by three: many an innocent one is at work when a zone is
 * lost. So after CRASHES_TO_TRY crashes a request is neither served as ever nor refused for good, but tried: by one node at a
 * time, at the quietest endpoint, MOST_TRIALS times in all. An innocent request is served by its first trial, which clears
 * it everywhere; one that ends that endpoint too is held back until its memory ends.
 *
 * What it costs is bounded: a crash takes as many entries as runs were lost, the memory holds MOST_ENTRIES, and gives up the
 * ones with the fewest crashes first, so that a caller who ends endpoints by ever new contents cannot wash out the others.
 * Told the time with each call.
 */
class crash_memory {
	/** A trial as far as it was told. */
	struct trial {
		crash_news state = crash_news::TRIAL_ASKED;
		instant at{};
	};

	struct entry {
		std::map<std::uint64_t, instant> crashes; ///< By endpoint.
		std::map<std::uint64_t, trial> trials; ///< By their ids.
		std::optional<instant> served_at; ///< News from before count no more.
		instant newest{};

		bool is_over(instant p_now) const;
		std::size_t count_spent() const;
		/** The trial that others wait for. */
		const trial *find_open(instant p_now) const;
	};

	std::map<request_fingerprint, entry> _entries;
	std::map<std::uint64_t, std::size_t> _places; ///< Entries at each place.

	void _erase(std::map<request_fingerprint, entry>::iterator p_entry);
	void _make_room();
	static bool _take_trial(entry &r_entry, const crash_record &p_record);
	static bool _take_served(entry &r_entry, const crash_record &p_record);

public:
	/** Endpoints that may end under a request before it is held back; the users' rule. */
	static constexpr std::size_t CRASHES_TO_TRY = 3;
	/**
	 * Sends after that, by all nodes. The users' rule allows three; the third is for what nodes that cannot hear each other
	 * spend at the same moment.
	 */
	static constexpr std::size_t MOST_TRIALS = 2;
	static constexpr std::size_t MOST_ENTRIES = 4096;
	/**
	 * After the newest crash or trial. Longer than it takes to replace an engine's software, and short enough that a request
	 * which was wrongly held back, or whose engine was mended, is served again without an operator.
	 */
	static constexpr duration LIFETIME = std::chrono::minutes(10);
	/** A trial that is not heard of any more counts as ended; longer than requests live. */
	static constexpr duration LONGEST_TRIAL = std::chrono::seconds(15);

	/** Whether anything is known of requests at a place, so that their bodies have to be read. */
	bool knows_place(std::uint64_t p_place) const { return _places.contains(p_place); }

	/** Takes a piece of news. @return whether it was news and is worth telling. */
	bool take(const crash_record &p_record, instant p_now);

	/** How a request stands now. */
	crash_verdict judge(const request_fingerprint &p_run, instant p_now) const;

	/** Whether a trial that was asked for a moment ago may be sent: no other is open that comes before it. */
	bool may_send_trial(const request_fingerprint &p_run, std::uint64_t p_trial, instant p_now) const;

	/** All that is known, the requests with the most crashes first; at most so many records. */
	std::vector<crash_record> get_records(std::size_t p_most) const;

	/** What is known of one request. */
	std::vector<crash_record> get_records_of(const request_fingerprint &p_run) const;

	/** Endpoints that ended under a request. */
	std::size_t count_crashes(const request_fingerprint &p_run) const;

	/** Forgets what is over. */
	void expire(instant p_now);

	std::size_t get_size() const { return _entries.size(); }
};

} // namespace calicoscale

#endif // CRASH_MEMORY_H
