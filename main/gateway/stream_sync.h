/*
 * calicoscale: stream_sync.h
 * Stores the records of streams at several nodes, and retrieves them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_SYNC_H
#define STREAM_SYNC_H

#include "main/gateway/gateway_fleet.h"
#include "servers/streams/record_placement.h"
#include "servers/streams/stream_lookup.h"
#include "servers/streams/stream_table.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Sends the record of each stream that begins here to the hubs that its key selects, and answers the requests of other nodes for
 * records. Any number of nodes may fail or be cut off as long as one that has the record can be asked.
 */
class stream_sync {
	gateway_context &_context;
	gateway_fleet &_fleet;
	stream_table _table;
	std::map<std::string, std::vector<stream_record>> _unsent; ///< Records for nodes to which a link is being established.
	sigc::signal<void(const std::string &, const stream_answer_message &)> _answered;

	std::vector<record_node> _get_nodes() const;
	void _send(const std::string &p_vm, const std::vector<stream_record> &p_records);
	void _send_once_linked(const std::string &p_vm, const stream_record &p_record);
	void _on_link_up(const std::string &p_vm);
	void _on_reported(const report_streams_message &p_message);
	void _on_requested(const std::string &p_vm, const request_stream_message &p_message);

public:
	stream_sync(gateway_context &p_context, gateway_fleet &p_fleet);

	/** Stores a record at this node and sends it to its holders. Returns the number of nodes that store it. */
	std::size_t publish(const stream_record &p_record);

	/** Returns the record of a stream at this node; nullptr if there is none. */
	const stream_record *find(const stream_key &p_key) const { return _table.find(p_key, event_loop::now()); }

	/** Returns the nodes to ask for a record in one round of a lookup. */
	std::vector<std::string> get_sources(const stream_key &p_key, lookup_round p_round) const;

	/** Sends a request to a node. Returns whether it was sent; if not, a link to the node is being established. */
	bool request(const std::string &p_vm, const request_stream_message &p_message);

	/** Emitted with the answer of a node to request(). */
	sigc::signal<void(const std::string &, const stream_answer_message &)> &answered() { return _answered; }

	/** Removes expired records. Must be called often. */
	void tick();

	/** Sets the gauges in the metrics. */
	void report();
};

} // namespace calicoscale

#endif // STREAM_SYNC_H
