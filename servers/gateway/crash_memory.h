/*
 * calicoscale: crash_memory.h
 * Requests that were running on endpoints that crashed, and whether they may still be sent.
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

/** Events of a request that was running on endpoints that crashed. */
enum class crash_event {
	CRASHED_ENDPOINT, ///< An endpoint crashed while it ran the request; the subject identifies the endpoint.
	TRIAL_REQUESTED, ///< A node wants to be the only one to send the request; the subject identifies the trial.
	TRIAL_DROPPED, ///< That node decided not to send the request.
	TRIAL_SENT,
	TRIAL_ENDED, ///< Sent, and completed without an answer that clears the request; a crash is reported as CRASHED_ENDPOINT.
	SERVED, ///< A run returned a complete answer, so the content of the request alone does not crash endpoints.
	COUNT,
};

/** Returns the name of an event, e.g. "ended_endpoint". */
std::string_view get_name(crash_event p_news);

/** One event, as nodes exchange it. */
struct crash_record {
	crash_event news = crash_event::CRASHED_ENDPOINT;
	request_fingerprint run;
	std::uint64_t subject = 0; ///< 0 for SERVED.
	instant at{}; ///< When it happened, on the monotonic clock of the node that stores the record.
	bool operator==(const crash_record &p_other) const = default;
};

/** State of a request, derived from its events. */
enum class crash_state {
	FREE, ///< No known crashes.
	SUSPECT, ///< It was running on endpoints that crashed, as other requests there were.
	ON_TRIAL, ///< It may be sent once more, as a trial, unless another node sends it.
	BLOCKED, ///< It must not be sent.
};

/** Returns the name of a state, e.g. "held_back". */
std::string_view get_name(crash_state p_standing);

/** State of a request with the counts it follows from. */
struct crash_verdict {
	crash_state standing = crash_state::FREE;
	std::size_t crashes = 0; ///< Endpoints that crashed while they ran the request.
	std::size_t trials = 0; ///< Trials sent so far.
	duration retry_after = duration::zero(); ///< Time until it may be sent again; set for BLOCKED.
	bool needs_sole_suspect = false; ///< ON_TRIAL only for a request in which nothing else is on trial.
};

/**
 * Combines the verdicts on a request and the parts of its prompt: the request is blocked if any of them is, and on trial if any is. A
 * fingerprint that may only be tried as the sole suspect blocks the request while something else in it is on trial.
 */
crash_verdict combine_verdicts(const std::vector<crash_verdict> &p_verdicts);

/**
 * Stores the crash events of requests and of parts of their prompts at all nodes, by fingerprint. Nodes send each other every event. The state of a
 * request depends only on the set of received events and not on their order, so the nodes need no consensus protocol.
 *
 * Neither one crash nor three show which of the requests running on an endpoint caused it: many harmless requests are running
 * when a zone fails. After CRASHES_TO_TRY crashes a request is therefore neither served normally nor rejected for good, but sent
 * as a trial: a single supervised send of a suspect request, by one node at a time, to the least loaded endpoint, and MAX_TRIALS
 * times in all. A harmless request gets its answer from the first trial, which clears it at all nodes. A request that crashes
 * that endpoint as well is blocked until its entry expires.
 *
 * A part that several requests share is on trial after CRASHES_TO_TRY_PART crashes in a row, without a complete answer to any request
 * that has it. A trial whose request has several such parts does not show which of them is the cause. So a part with no other result
 * gets one more trial in a request in which it is the only suspect, which clears a harmless part that occurs beside a harmful one.
 *
 * Memory is bounded: a crash adds one entry for each run with an unknown outcome, and at most MAX_ENTRIES are stored. Entries
 * with the fewest crashes are evicted first, so that a caller who crashes endpoints with ever new contents cannot evict the
 * entries of other requests. The caller passes the current time.
 */
class crash_memory {
	/** Latest known event of a trial. */
	struct trial {
		crash_event state = crash_event::TRIAL_REQUESTED;
		instant at{};
	};

	struct entry {
		std::map<std::uint64_t, instant> crashes; ///< Time of the crash, by endpoint.
		std::map<std::uint64_t, trial> trials; ///< By trial id.
		std::optional<instant> served_at; ///< Events up to this time are ignored.
		instant newest{};

		bool is_expired(instant p_now) const;
		std::size_t count_sent_trials() const;
		/** Whether a trial was sent in which the run or part was the only suspect. */
		bool has_sole_trial() const;
		/** Returns the trial that blocks others, or nullptr. */
		const trial *find_open(instant p_now) const;
	};

	static constexpr std::uint64_t SOLE_SUSPECT_BIT = 1;

	/** Whether one more trial may be sent. */
	static bool _has_trial_left(const request_fingerprint &p_run, const entry &p_entry, bool p_is_sole);

	std::map<request_fingerprint, entry> _entries;
	std::map<std::uint64_t, std::size_t> _target_counts; ///< Number of entries for each request target.

	void _erase(std::map<request_fingerprint, entry>::iterator p_entry);
	void _evict_if_full();
	static bool _apply_trial(entry &r_entry, const crash_record &p_record);
	static bool _apply_served(entry &r_entry, const crash_record &p_record);

public:
	/** Crashes of endpoints running a request before it is only sent as a trial; a requirement. */
	static constexpr std::size_t CRASHES_TO_TRY = 3;
	/** The same for parts of prompts; a requirement. */
	static constexpr std::size_t CRASHES_TO_TRY_PART = 5;
	/**
	 * Trials of a request by all nodes together. The requirement allows three; the third is kept in reserve, because two
	 * partitioned nodes may each use one at the same moment.
	 */
	static constexpr std::size_t MAX_TRIALS = 2;
	static constexpr std::size_t MAX_ENTRIES = 4096;
	/**
	 * Time after the newest crash or trial at which an entry expires. Longer than it takes to replace the engine's software, and
	 * short enough that a request which was blocked wrongly, or whose engine was fixed, is served again without an operator.
	 */
	static constexpr duration LIFETIME = std::chrono::minutes(10);
	/** A trial without an update for this long counts as completed; longer than any request may take. */
	static constexpr duration TRIAL_TIMEOUT = std::chrono::seconds(15);

	/** Returns the crashes after which a request or a part is only sent as a trial. */
	static std::size_t get_crashes_to_try(const request_fingerprint &p_run) { return is_part(p_run) ? CRASHES_TO_TRY_PART : CRASHES_TO_TRY; }

	/** Marks the id of a trial of a request in which only one fingerprint is on trial. */
	static std::uint64_t mark_sole_suspect(std::uint64_t p_trial, bool p_is_sole) { return p_is_sole ? p_trial | SOLE_SUSPECT_BIT : p_trial & ~SOLE_SUSPECT_BIT; }

	/** Returns whether there is an entry for a request target, so that bodies of requests to it have to be read. */
	bool knows_target(std::uint64_t p_place) const { return _target_counts.contains(p_place); }

	/** Applies an event. @return whether it changed anything and should be sent on to other nodes. */
	bool take(const crash_record &p_record, instant p_now);

	/** Returns the state of a request. */
	crash_verdict judge(const request_fingerprint &p_run, instant p_now) const;

	/** Returns whether a trial that was requested a moment ago may be sent: no open trial comes before it. */
	bool may_send_trial(const request_fingerprint &p_run, std::uint64_t p_trial, instant p_now) const;

	/** Returns at most p_max records, of the requests with the most crashes first; all records of a request or none. */
	std::vector<crash_record> get_records(std::size_t p_max) const;

	/** Returns the crashes and trials of one request. */
	std::vector<crash_record> get_records_of(const request_fingerprint &p_run) const;

	/** Returns the number of endpoints that crashed while they ran a request. */
	std::size_t count_crashes(const request_fingerprint &p_run) const;

	/** Removes entries whose lifetime has passed. */
	void expire(instant p_now);

	std::size_t get_size() const { return _entries.size(); }
};

} // namespace calicoscale

#endif // CRASH_MEMORY_H
