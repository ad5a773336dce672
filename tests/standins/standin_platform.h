/*
 * calicoscale: standin_platform.h
 * All stand-ins of one process and the switch for their faults.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "tests/standins/standin_endpoint.h"
#include "tests/standins/standin_log.h"

#include <memory>
#include <string>
#include <vector>

namespace calicoscale {

/** Log, VM list and endpoints, made from a JSON specification, steered over HTTP. */
class standin_platform {
	struct entry_vm {
		std::string vm;
		std::uint64_t incarnation = 0;
		std::string zone;
		std::string address;
		std::string state;
	};

	event_loop &_loop;
	standin_log _log;
	std::vector<std::unique_ptr<standin_endpoint>> _endpoints;
	std::vector<entry_vm> _entries;
	standin_server _list;
	standin_server _control;
	fault_setting<list_fault> _list_fault;
	std::string _stale_list;

	void _add_endpoints(const nlohmann::json &p_spec);
	std::string _write_list() const;
	void _show_list(http_exchange &r_exchange);
	void _on_control(std::unique_ptr<http_exchange> p_exchange);
	void _set_fault(http_exchange &r_exchange, const nlohmann::json &p_body);
	void _set_entries(http_exchange &r_exchange, const nlohmann::json &p_body);
	int _count_most_runs(const std::string &p_pool) const;
	void _show_truth(http_exchange &r_exchange) const;

public:
	standin_platform(event_loop &p_loop, const nlohmann::json &p_spec);

	/** One JSON line with all addresses. */
	std::string describe() const;

	standin_log &get_log() { return _log; }
	standin_endpoint *find_endpoint(const std::string &p_vm);
	const network_address &get_list_address() const { return _list.get_address(); }
	const network_address &get_control_address() const { return _control.get_address(); }
};

} // namespace calicoscale

#endif // STANDIN_PLATFORM_H
