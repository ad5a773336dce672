/*
 * calicoscale: crash_sync.h
 * Shares records of requests that crash endpoints with other nodes and with the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CRASH_SYNC_H
#define CRASH_SYNC_H

#include "main/gateway/hub_relay.h"
#include "servers/gateway/crash_memory.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * Sends new events through the hubs, and all records to each newly linked node. Writes to the store the records of requests that
 * are on trial or blocked, so that a restarted fleet need not crash endpoints to identify them again. The store is read once at the
 * start, unless a peer sends its content earlier.
 */
class crash_sync {
	gateway_context &_context;
	gateway_fleet &_fleet;
	crash_memory &_memory;
	std::function<void(const crash_record &, std::string_view)> _on_event;
	hub_relay<crash_record> _relay;
	timer _read_timer;
	timer _write_timer;
	std::set<request_fingerprint> _to_write;
	bool _is_write_open = false;
	bool _is_synchronized = false; ///< A peer or the store has sent its records.
	bool _knows_store = false; ///< The content of the store is known, from a read or from a peer that knows it.

	void _on_link_up(const std::string &p_vm);
	void _on_reported(const std::string &p_vm, const report_crashes_message &p_message);
	void _send(const std::string &p_vm, const std::vector<crash_record> &p_records, bool p_is_whole);
	/** Sends all records to the linked nodes as the content of the store is now known, so that they need not read it. */
	void _on_store_known();
	void _read();
	void _on_read(const store_answer &p_answer);
	void _write_next();
	void _on_written(const request_fingerprint &p_run, bool p_written);

public:
	/** @param p_on_event receives each new record, of this node, a peer or the store, and its source. */
	crash_sync(gateway_context &p_context, gateway_fleet &p_fleet, crash_memory &p_memory, std::function<void(const crash_record &, std::string_view)> p_on_event);

	/** Schedules the read of the store: after a delay if there are peers, which may send its content earlier. */
	void start();

	/** Records an event of this node and sends it to the others. */
	void publish(const crash_record &p_record);

	/** Writes the persistent records again after the store was restored from an older copy. Only the first dispatch node does so. */
	void write_again();

	/** Whether a peer or the store has sent its records. */
	bool is_synchronized() const { return _is_synchronized; }
};

} // namespace calicoscale

#endif // CRASH_SYNC_H
