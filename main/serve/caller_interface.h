/*
 * calicoscale: caller_interface.h
 * HTTP towards callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CALLER_INTERFACE_H
#define CALLER_INTERFACE_H

#include "drivers/http_server.h"
#include "main/serve/request_door.h"
#include "main/serve/resume_service.h"

#include <memory>

namespace calicoscale {

/** Serves POST /v1/pipelines/{pipeline}/requests, POST /v1/tickets, POST /v1/resume and GET /v1/requests/{id}. */
class caller_interface {
	struct open_exchange;

	node_context &_context;
	configuration_service &_configuration;
	request_door &_door;
	request_service &_requests;
	once_service &_once;
	resume_service &_resumes;
	http_server _server;
	bool _closing = false;

	void _on_exchange(std::unique_ptr<http_exchange> p_exchange);
	void _refuse(http_exchange &r_exchange, reason p_reason, const std::string &p_detail);
	void _answer(http_exchange &r_exchange, const caller_answer &p_answer);
	const customer_settings *_authenticate(const http_exchange &p_exchange) const;
	bool _has_valid_framing(http_exchange &r_exchange);
	void _handle_request(std::unique_ptr<http_exchange> p_exchange, const std::string &p_customer, const std::string &p_pipeline);
	bool _read_request(http_exchange &r_exchange, door_request &r_request);
	void _handle_ticket(http_exchange &r_exchange, const std::string &p_customer);
	void _handle_resume(std::unique_ptr<http_exchange> p_exchange, const std::string &p_customer);
	void _handle_lookup(http_exchange &r_exchange, const std::string &p_customer, const std::string &p_id);
	door_hooks _make_hooks(const std::shared_ptr<open_exchange> &p_open, const door_request &p_request);
	void _send_token(open_exchange &r_open, std::uint32_t p_sequence, const std::string &p_token, const resume_point &p_point);
	static void _end_stream(open_exchange &r_open, const std::string &p_name, const std::string &p_data);

public:
	caller_interface(node_context &p_context, configuration_service &p_configuration, request_door &p_door, request_service &p_requests, once_service &p_once, resume_service &p_resumes);

	const network_address &get_address() const { return _server.get_address(); }

	/** Makes all further answers close their connections, so that callers reconnect through the load balancer. */
	void announce_close() { _closing = true; }

	/** Stops accepting connections. */
	void close();
};

} // namespace calicoscale

#endif // CALLER_INTERFACE_H
