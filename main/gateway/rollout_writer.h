/*
 * calicoscale: rollout_writer.h
 * Writes the states of roll-outs to the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ROLLOUT_WRITER_H
#define ROLLOUT_WRITER_H

#include "main/gateway/gateway_context.h"
#include "main/gateway/gateway_fleet.h"
#include "servers/rollout/rollout_table.h"

#include <map>
#include <string>

namespace calicoscale {

/**
 * Any node may write, and may crash or lose its connection at any step. Therefore a node reads the state in the store first, and
 * writes only if the topic has received no other record since, so that the first final state of an order is kept. Nodes take turns
 * by rank, so that typically one node writes. The next one writes if the state is still missing after the turn.
 */
class rollout_writer {
	struct pending_write {
		rollout_state state = rollout_state::IN_PROGRESS;
		log_position order;
		instant since{}; ///< When the state was first found unwritten.
		instant next_try{};
		bool is_busy = false;
	};

	gateway_context &_context;
	gateway_fleet &_fleet;
	rollout_table &_table;
	std::map<std::string, pending_write> _pending; ///< By service.

	void _read(const rollout_status &p_status);
	void _on_read(const rollout_status &p_status, const store_answer &p_answer);
	void _on_put(const rollout_status &p_status, put_end p_end);
	void _retry(const std::string &p_service, duration p_pause);

public:
	rollout_writer(gateway_context &p_context, gateway_fleet &p_fleet, rollout_table &p_table) :
			_context(p_context), _fleet(p_fleet), _table(p_table) {}

	/** Begins to write the unwritten states for which it is this node's turn. To be called often. */
	void tick();
};

} // namespace calicoscale

#endif // ROLLOUT_WRITER_H
