/*
 * calicoscale: request_stages.h
 * The stages of one request, from the first requested work to the results that its service reads.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef REQUEST_STAGES_H
#define REQUEST_STAGES_H

#include "core/verdict.h"
#include "main/gateway/admitted_request.h"
#include "servers/gateway/stage_graph.h"
#include "servers/gateway/stage_transfers.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Hooks through which the stages query and notify their request. */
struct request_stages_hooks {
	std::function<std::string()> choose_zone; ///< Returns the zone of the endpoint that the request would be sent to now; empty if there is none.
	std::function<void()> on_complete; ///< All results are available.
	std::function<void(reason)> on_failed; ///< The results cannot be produced.
};

/**
 * Requests the work of one request's stages in their order, counts it in the commitments until it is done, and releases results
 * that are no longer needed. Lost results are produced again. Destroying the object cancels the requested work.
 */
class request_stages {
	struct requested_stage {
		std::size_t stage = 0;
		instant asked_at{};
	};

	request_services &_services;
	const admitted_request &_request;
	instant _started;
	instant _give_up_at;
	request_stages_hooks _hooks;
	stage_graph _graph;
	stage_transfers _transfers;
	std::vector<duration> _remaining_stage_times; ///< Time from the end of each stage to the end of the last one, without queueing.
	std::vector<duration> _committed; ///< Work that is counted in the commitments, by stage.
	std::map<std::uint64_t, requested_stage> _works; ///< Requested work that has not completed, by id.
	std::string _results_zone; ///< Zone in which large results for the service are produced.
	request_fingerprint _fingerprint;
	bool _is_alone = false; ///< Items of this request share no call with those of other requests.
	bool _may_have_run = false;
	bool _has_results = true; ///< Not all results have been released.
	int _restarts = 0;

	void _commit();
	void _uncommit(std::size_t p_stage);
	instant _get_due(std::size_t p_stage) const;
	void _set_zone(std::size_t p_stage, stage_work &r_work);
	/** Counts results that were read. @return Bytes that crossed zones. */
	std::size_t _count_read(const std::vector<result_transfer> &p_transfers);
	void _advance();
	void _ask(std::size_t p_stage);
	void _on_work_ended(std::uint64_t p_id, const work_result &p_result);
	void _cancel_works();
	void _release_unneeded();
	void _release_all();

public:
	request_stages(request_services &p_services, const admitted_request &p_request, instant p_started, instant p_give_up_at, request_stages_hooks p_hooks);
	~request_stages();
	request_stages(const request_stages &) = delete;
	request_stages &operator=(const request_stages &) = delete;

	/** Starts the first stages. @param p_is_alone Whether items of this request share no call with those of other requests. */
	void begin(bool p_is_alone);

	/** Produces all results again, because some were lost or released. */
	void remake();

	/** Whether remake() may be called again. A stream that is resumed elsewhere needs its results regardless of this limit. */
	bool may_remake() const;

	/** Releases the results, as the service has read them. */
	void on_results_read();

	/** Ends the stages with their request: cancels work, removes commitments and releases results. */
	void end();

	/** Counts the results that a service in a zone reads. @return Bytes that cross zones. */
	std::size_t count_final_read(const std::string &p_zone);

	/** Handles of the results that the service reads. */
	std::vector<std::string> get_final_results() const { return _graph.get_final_results(); }

	/** Zone of large results, near which the service should be chosen. Empty for any zone. */
	const std::string &get_results_zone() const { return _results_zone; }

	/** Whether all results are available. True if there are no stages. */
	bool is_complete() const { return _graph.is_complete(); }

	/** Whether the request has no stages. */
	bool is_empty() const { return _graph.is_empty(); }

	/** Whether some work that did not complete may have run. */
	bool may_have_run() const { return _may_have_run; }
};

} // namespace calicoscale

#endif // REQUEST_STAGES_H
