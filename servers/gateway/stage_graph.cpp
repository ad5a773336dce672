/*
 * calicoscale: stage_graph.cpp
 * The stages of one request: which can be requested, their inputs, and the results that may be released.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/stage_graph.h"

#include <algorithm>
#include <utility>

namespace calicoscale {

stage_graph::stage_graph(std::vector<stage_spec> p_specs, const std::vector<std::size_t> &p_item_counts) :
		_specs(std::move(p_specs)), _stages(_specs.size()) {
	for (std::size_t i = 0; i < _stages.size(); i++) {
		_stages[i].items = i < p_item_counts.size() ? p_item_counts[i] : 0;
		_stages[i].done = _stages[i].items == 0;
		_stages[i].requested = _stages[i].done;
	}
}

bool stage_graph::_is_ready(std::size_t p_stage) const {
	const std::vector<std::size_t> &inputs = _specs[p_stage].inputs;
	return std::all_of(inputs.begin(), inputs.end(), [this](std::size_t p_input) { return _stages[p_input].done; });
}

bool stage_graph::is_final(std::size_t p_stage) const {
	return std::none_of(_specs.begin(), _specs.end(), [p_stage](const stage_spec &p_spec) {
		return std::find(p_spec.inputs.begin(), p_spec.inputs.end(), p_stage) != p_spec.inputs.end();
	});
}

bool stage_graph::_is_consumed(std::size_t p_stage) const {
	for (std::size_t i = 0; i < _specs.size(); i++) {
		const std::vector<std::size_t> &inputs = _specs[i].inputs;
		const bool follows = std::find(inputs.begin(), inputs.end(), p_stage) != inputs.end();
		if (follows && !_stages[i].done) {
			return false;
		}
	}
	return !is_final(p_stage);
}

std::vector<std::size_t> stage_graph::take_ready() {
	std::vector<std::size_t> ready;
	for (std::size_t i = 0; i < _stages.size(); i++) {
		if (!_stages[i].requested && _is_ready(i)) {
			_stages[i].requested = true;
			ready.push_back(i);
		}
	}
	return ready;
}

void stage_graph::set_done(std::size_t p_stage, std::vector<std::string> p_results) {
	_stages[p_stage].done = true;
	_stages[p_stage].released = false;
	_stages[p_stage].results = std::move(p_results);
}

std::vector<std::string> stage_graph::get_inputs(std::size_t p_stage) const {
	std::vector<std::string> handles;
	for (const std::size_t input : _specs[p_stage].inputs) {
		handles.insert(handles.end(), _stages[input].results.begin(), _stages[input].results.end());
	}
	return handles;
}

std::vector<std::string> stage_graph::get_final_results() const {
	std::vector<std::string> handles;
	for (std::size_t i = 0; i < _stages.size(); i++) {
		if (is_final(i)) {
			handles.insert(handles.end(), _stages[i].results.begin(), _stages[i].results.end());
		}
	}
	return handles;
}

std::vector<std::string> stage_graph::take_unneeded(std::size_t p_stage) {
	return _is_consumed(p_stage) ? take_all(p_stage) : std::vector<std::string>();
}

std::vector<std::string> stage_graph::take_all(std::size_t p_stage) {
	stage_state &stage = _stages[p_stage];
	if (!stage.done || stage.released) {
		return {};
	}
	stage.released = true;
	return stage.results;
}

void stage_graph::restart() {
	for (stage_state &stage : _stages) {
		stage.done = stage.items == 0;
		stage.requested = stage.done;
		stage.released = false;
		stage.results.clear();
	}
}

bool stage_graph::is_complete() const {
	return std::all_of(_stages.begin(), _stages.end(), [](const stage_state &p_stage) { return p_stage.done; });
}

bool stage_graph::is_empty() const {
	return std::all_of(_stages.begin(), _stages.end(), [](const stage_state &p_stage) { return p_stage.items == 0; });
}

} // namespace calicoscale
