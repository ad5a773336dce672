/*
 * calicoscale: admin_interface.h
 * HTTP towards operators and scrapers, at its own address with its own key.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ADMIN_INTERFACE_H
#define ADMIN_INTERFACE_H

#include "drivers/http_server.h"
#include "main/serve/request_door.h"

#include <functional>
#include <memory>

namespace calicoscale {

/** Serves /healthz, /readyz, /metrics and /admin/. */
class admin_interface {
	node_context &_context;
	configuration_service &_configuration;
	http_server _server;
	fleet_service *_fleet = nullptr;
	request_door *_door = nullptr;
	request_service *_requests = nullptr;
	ledger_service *_ledger = nullptr;
	once_service *_once = nullptr;
	router *_router = nullptr;
	std::function<void()> _on_drain;

	using handler = void (admin_interface::*)(std::unique_ptr<http_exchange> p_exchange);
	struct route {
		bool is_post;
		const char *path;
		handler handle;
	};
	static const std::vector<route> &_get_routes();

	void _on_exchange(std::unique_ptr<http_exchange> p_exchange);
	bool _is_allowed(const http_exchange &p_exchange) const;
	void _show_metrics(http_exchange &r_exchange);
	void _show_status(std::unique_ptr<http_exchange> p_exchange);
	void _show_timeline(std::unique_ptr<http_exchange> p_exchange);
	void _show_costs(std::unique_ptr<http_exchange> p_exchange);
	void _show_configuration(std::unique_ptr<http_exchange> p_exchange);
	void _show_history(std::unique_ptr<http_exchange> p_exchange);
	void _publish(std::unique_ptr<http_exchange> p_exchange);
	void _drain(std::unique_ptr<http_exchange> p_exchange);
	void _cut(std::unique_ptr<http_exchange> p_exchange);

public:
	admin_interface(node_context &p_context, configuration_service &p_configuration);

	/** Sets the services that the interface reports on; they are constructed after it. */
	void connect(fleet_service &p_fleet, request_door &p_door, request_service &p_requests, ledger_service &p_ledger, once_service &p_once, router &p_router, std::function<void()> p_on_drain);

	const network_address &get_address() const { return _server.get_address(); }
};

} // namespace calicoscale

#endif // ADMIN_INTERFACE_H
