/*
 * calicoscale: stage_graph.h
 * The stages of one request: which can be requested, their inputs, and the results that may be released.
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
 * Progress of one request through its stages. A stage without items is skipped. Results are identified by handles that
 * name their producer; when a result is lost, all stages are run again from the start.
 */
class stage_graph {
	struct stage_state {
		std::size_t items = 0;
		bool requested = false;
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

	/** @param p_item_counts number of items of each stage; missing entries count as 0. */
	stage_graph(std::vector<stage_spec> p_specs, const std::vector<std::size_t> &p_item_counts);

	/** Returns the stages that can be requested now; each is returned once. */
	std::vector<std::size_t> take_ready();

	/** Records that all results of a stage have been received. */
	void set_done(std::size_t p_stage, std::vector<std::string> p_results);

	/** Returns the handles that a stage needs: all results of its direct input stages. */
	std::vector<std::string> get_inputs(std::size_t p_stage) const;

	/** Returns the handles of the results of a stage. */
	const std::vector<std::string> &get_results(std::size_t p_stage) const { return _stages[p_stage].results; }

	/** Returns the handles that the service needs: the results of the stages that are not input of another stage. */
	std::vector<std::string> get_final_results() const;

	/** Returns the results of a stage once no other stage needs them; each is returned once. Final results belong to the service and are not returned. */
	std::vector<std::string> take_unneeded(std::size_t p_stage);

	/** Returns the results of a stage that were not released yet, for the end of the request. */
	std::vector<std::string> take_all(std::size_t p_stage);

	/** Clears all results, so that all stages are run again. */
	void restart();

	/** Returns whether no other stage needs the results of a stage, so that they belong to the service. */
	bool is_final(std::size_t p_stage) const;

	std::size_t get_stage_count() const { return _stages.size(); }
	std::size_t get_pieces(std::size_t p_stage) const { return _stages[p_stage].items; }
	const stage_spec &get_spec(std::size_t p_stage) const { return _specs[p_stage]; }
	bool is_complete() const;
	bool is_empty() const;
};

} // namespace calicoscale

#endif // STAGE_GRAPH_H
