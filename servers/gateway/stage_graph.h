/*
 * calicoscale: stage_graph.h
 * The stages of one request: what can be asked for, what it needs, what may be released.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STAGE_GRAPH_H
#define STAGE_GRAPH_H

#include "servers/gateway/gateway_configuration.h"

#include <string>
#include <vector>

namespace calicoscale {

/**
 * Progress of one request through its stages. A stage with no pieces is left out. Results are known by handles that
 * name their maker; when one is lost, everything is made again from the start.
 */
class stage_graph {
	struct stage_state {
		std::size_t pieces = 0;
		bool asked = false;
		bool done = false;
		bool released = false;
		std::vector<std::string> results;
	};

	std::vector<stage_spec> _specs;
	std::vector<stage_state> _stages;

	bool _is_ready(std::size_t p_stage) const;
	bool _is_consumed(std::size_t p_stage) const;

public:
	stage_graph() = default;

	/** @param p_pieces number of pieces of each stage; missing ones count as none. */
	stage_graph(std::vector<stage_spec> p_specs, const std::vector<std::size_t> &p_pieces);

	/** Stages that can be asked for now; each is returned once. */
	std::vector<std::size_t> take_ready();

	/** All results of a stage have come. */
	void set_done(std::size_t p_stage, std::vector<std::string> p_results);

	/** Handles a stage needs: every result of every stage before it. */
	std::vector<std::string> get_inputs(std::size_t p_stage) const;

	/** Results of a stage, as long as they are not released. */
	const std::vector<std::string> &get_results(std::size_t p_stage) const { return _stages[p_stage].results; }

	/** Handles the service needs: the results of the stages that none follows. */
	std::vector<std::string> get_final_results() const;

	/** Results of a stage if no other stage needs them any more; each is returned once. Final ones are the service's. */
	std::vector<std::string> take_spent(std::size_t p_stage);

	/** Results of a stage that were not released yet, for the end of the request. */
	std::vector<std::string> take_all(std::size_t p_stage);

	/** Forgets all results, so that everything is made again. */
	void restart();

	/** Whether no other stage needs its results, so that they are the service's. */
	bool is_final(std::size_t p_stage) const;

	std::size_t get_stage_count() const { return _stages.size(); }
	std::size_t get_pieces(std::size_t p_stage) const { return _stages[p_stage].pieces; }
	const stage_spec &get_spec(std::size_t p_stage) const { return _specs[p_stage]; }
	bool is_complete() const;
	bool is_empty() const;
};

} // namespace calicoscale

#endif // STAGE_GRAPH_H
