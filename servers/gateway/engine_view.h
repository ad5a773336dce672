/*
 * calicoscale: engine_view.h
 * What is known of each engine's prompt cache and of the prompts it still has to read.
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

/** One part of a prompt, named by the hash of all parts up to it. */
struct prompt_link {
	std::uint64_t chain = 0;
	std::uint64_t tokens = 0;
};

/** An engine that may be chosen. */
struct engine_candidate {
	std::uint64_t id = 0;
	endpoint_identity engine;
	std::string zone;
	int in_flight = 0; ///< Requests of this node.
	bool is_in_other_region = false; ///< Than what the request needs there.
};

/** What a prompt would meet at an engine. */
struct engine_prediction {
	duration wait = duration::zero(); ///< Until the engine has read what it was sent before.
	duration reading = duration::zero();
	std::uint64_t unread_shared = 0; ///< Tokens that other requests may share and that the engine has not read.
	std::uint64_t unread = 0;
};

/**
 * Follows what all nodes send to engines: which prompt parts each engine has read, and until when it is busy reading.
 * Engines' own reports are older than the work they would tell of. Speeds are learnt from the times to the first event.
 * An engine that starts again has read nothing; what is told late of its start before is ignored.
 */
class engine_view {
	struct engine_state {
		instant busy_until{};
		double slowness = 1.0;
		instant learnt_at{};
	};

	struct cached_part {
		std::unordered_map<endpoint_identity, instant, endpoint_identity_hash> read_by; ///< Engines, with the last use.
	};

	std::unordered_map<endpoint_identity, engine_state, endpoint_identity_hash> _engines;
	std::unordered_map<std::string, std::uint64_t> _newest; ///< The latest incarnation heard of, by name.
	std::unordered_map<std::uint64_t, cached_part> _parts;
	std::deque<std::pair<instant, std::uint64_t>> _uses; ///< For forgetting parts in order of use.
	double _tokens_per_ms;
	mechanism_set _mechanisms;

	bool _has_read(const endpoint_identity &p_engine, std::uint64_t p_chain) const;
	double _get_slowness(const endpoint_identity &p_engine, instant p_now) const;
	duration _get_reading_time(std::uint64_t p_tokens) const;
	void _forget(instant p_now);
	bool _is_replaced(const endpoint_identity &p_engine) const;

public:
	explicit engine_view(const mechanism_set &p_mechanisms = {});

	/** What the prompt would meet at the engine. */
	engine_prediction predict(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now) const;

	/** A node sent the prompt to the engine. */
	void on_sent(const endpoint_identity &p_engine, const std::vector<prompt_link> &p_prompt, instant p_now);

	/** An engine's first event came. @param p_predicted as it was when the prompt was sent. */
	void on_first_event(const endpoint_identity &p_engine, const engine_prediction &p_predicted, duration p_elapsed, instant p_now);

	/** An engine was lost; what it had read is gone. */
	void forget_engine(const endpoint_identity &p_engine);

	/** A start of an engine is known; what is kept of those before is gone. */
	void set_start(const endpoint_identity &p_engine);

	/**
	 * Chooses an engine by the predicted time to the first event, the price of reading shared parts again, and the zone.
	 * @param p_zone zone where large inputs lie; empty when it does not matter.
	 * @return index of the candidate; candidates must not be empty.
	 */
	std::size_t choose(const std::vector<engine_candidate> &p_candidates, const std::vector<prompt_link> &p_prompt, const std::string &p_zone, instant p_now) const;
};

} // namespace calicoscale

#endif // ENGINE_VIEW_H
