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
 * Any node may write, and may end or be cut off at any step: the state in the store is read first, and written only if the topic
 * has got no other record since, so that the first final state of an order stands. Nodes take turns by rank, so that usually one
 * writes; the next one does when the state is still not written after a while.
 */
class rollout_writer {
	struct pending_write {
		rollout_state state = rollout_state::IN_PROGRESS;
		log_position order;
		instant since{}; ///< When it was found unwritten first.
		instant next_try{};
		bool is_busy = false;
	};

	gateway_context &_context;
	gateway_fleet &_fleet;
	rollout_table &_table;
	std::map<std::string, pending_write> _pending; ///< By service.

	duration _get_patience(const std::string &p_service) const;
	void _read(const rollout_status &p_status);
	void _on_read(const rollout_status &p_status, const store_answer &p_answer);
	void _on_put(const rollout_status &p_status, put_end p_end);
	void _retry(const std::string &p_service, duration p_pause);

public:
	rollout_writer(gateway_context &p_context, gateway_fleet &p_fleet, rollout_table &p_table) :
			_context(p_context), _fleet(p_fleet), _table(p_table) {}

	/** Begins to write what is unwritten and this node's turn. To be called often. */
	void tick();
};

} // namespace calicoscale

#endif // ROLLOUT_WRITER_H
