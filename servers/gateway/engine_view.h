/*
 * calicoscale: engine_view.h
 * Estimates of each engine's prompt cache and of the prompts it still has to read.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENGINE_VIEW_H
#define ENGINE_VIEW_H

#include "core/time.h"
#include "servers/gateway/mechanism.h"
#include "servers/routing/endpoint_identity.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** One part of a prompt, identified by the hash of all parts up to and including it. */
struct prompt_link {
	std::uint64_t chain = 0;
	std::uint64_t tokens = 0;
};

/** An engine that a request may be sent to. */
struct engine_candidate {
	std::uint64_t id = 0;
	endpoint_identity engine;
	std::string zone;
	int in_flight = 0; ///< Requests of this node that the engine is running.
	bool is_in_other_region = false; ///< Whether it is in another region than the results that the request needs.
};

/** Predicted times and uncached tokens of a prompt at an engine. */
struct engine_prediction {
	duration wait = duration::zero(); ///< Until the engine has read the prompts it was sent before.
	duration reading = duration::zero(); ///< Time for reading this prompt's uncached tokens.
	std::uint64_t unread_shared = 0; ///< Uncached tokens that other requests may share: all but those of the last part.
	std::uint64_t unread = 0; ///< All uncached tokens.
};

/**
 * Tracks the prompts that all nodes send to engines, and derives which prompt parts each engine has read and until when it is
 * busy reading. Reports of the engines themselves would be older than the work they describe. Speeds are estimated from the
 * times to the first event. A restarted engine has an empty cache; delayed reports about an earlier start are ignored.
 */
class engine_view {
	struct engine_state {
		instant busy_until{};
		double slowness = 1.0;
		instant learned_at{};
	};

	struct cached_part {
		std::unordered_map<endpoint_identity, instant, endpoint_identity_hash> read_by; ///< Time of the last use, by engine.
	};

	std::unordered_map<endpoint_identity, engine_state, endpoint_identity_hash> _engines;
	std::unordered_map<std::string, std::uint64_t> _newest_starts; ///< Latest known incarnation, by name.
	std::unordered_map<std::uint64_t, cached_part> _parts;
	std::deque<std::pair<instant, std::uint64_t>> _uses; ///< Uses of parts in order of time, to expire them.
	double _tokens_per_ms;
	mechanism_set _mechanisms;

	bool _has_read(const endpoint_identity &p_engine, std::uint64_t p_chain) const;
	double _get_slowness(const endpoint_identity &p_engine, instant p_now) const;
	duration _get_reading_time(std::uint64_t p_tokens) const;
	void _expire_parts(instant p_now);
	bool _is_replaced(const endpoint_identity &p_engine) const;

public:
	explicit engine_view(const mechanism_set &p_mechanisms = {});

	engine_prediction predict(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now) const;

	/** Records that any node sent the prompt to the engine. */
	void on_sent(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now);

	/** Updates the speed estimates from the time to an answer's first event. @param p_predicted the prediction when the prompt was sent. */
	void on_first_event(const endpoint_identity &p_engine, const engine_prediction &p_predicted, duration p_elapsed, instant p_now);

	/** Removes everything stored about an engine that failed. */
	void forget_engine(const endpoint_identity &p_engine);

	/** Records a start of an engine and removes everything stored about earlier starts. */
	void set_start(const endpoint_identity &p_engine);

	/**
	 * Chooses the engine with the lowest cost: the predicted time to the first event plus penalties for reading shared parts again,
	 * for hash rank, for other requests in flight, and for another zone or region.
	 * @param p_zone zone in which large inputs are stored; empty when it does not matter.
	 * @return index of the candidate; candidates must not be empty.
	 */
	std::size_t choose(const std::vector<engine_candidate> &p_candidates, const std::vector<prompt_link> &p_prompt, const std::string &p_zone, instant p_now) const;
};

} // namespace calicoscale

#endif // ENGINE_VIEW_H
