/*
 * calicoscale: standin_log.h
 * Stand-in for the platform's append-only log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_LOG_H
#define STANDIN_LOG_H

#include "tests/standins/standin_faults.h"
#include "tests/standins/standin_server.h"

#include <deque>
#include <list>
#include <map>
#include <string>

namespace calicoscale {

/** Streams of records with offsets, limited retention and faults. Keeps everything in memory. */
class standin_log {
	struct record {
		std::uint64_t offset;
		std::string data;
	};

	struct stream {
		std::deque<record> records;
		std::uint64_t next = 0;
	};

	struct delayed_answer {
		std::unique_ptr<timer> wait;
		bool is_over = false;
	};

	event_loop &_loop;
	std::map<std::string, stream> _streams;
	standin_server _server;
	fault_setting<log_fault> _fault;
	std::uint64_t _appends = 0;
	std::uint64_t _reads = 0;
	std::vector<std::shared_ptr<http_exchange>> _hanging;
	std::list<delayed_answer> _delays;
	std::uint64_t _turn = 0;

	void _on_exchange(std::unique_ptr<http_exchange> p_exchange);
	void _append(const std::shared_ptr<http_exchange> &p_exchange, const std::string &p_stream);
	void _read(http_exchange &r_exchange, const std::string &p_stream);
	void _delayed(std::function<void()> p_hook);

public:
	standin_log(event_loop &p_loop, const network_address &p_address);

	void set_fault(const fault_setting<log_fault> &p_fault);

	/** Forgets records below an offset. */
	void truncate(const std::string &p_stream, std::uint64_t p_earliest);

	/** Appends from inside a test. */
	std::uint64_t append(const std::string &p_stream, const std::string &p_data);

	std::uint64_t get_next(const std::string &p_stream) { return _streams[p_stream].next; }
	std::uint64_t get_appends() const { return _appends; }
	std::uint64_t get_reads() const { return _reads; }
	const network_address &get_address() const { return _server.get_address(); }
};

} // namespace calicoscale

#endif // STANDIN_LOG_H
