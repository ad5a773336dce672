/*
 * calicoscale: late_copy_endpoint.h
 * An endpoint that rejects each request once and sends that rejection again where the next answer on the connection is due.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LATE_COPY_ENDPOINT_H
#define LATE_COPY_ENDPOINT_H

#include "tests/main/raw_server.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <string>

namespace calicoscale {

/** Runs a request at its second arrival. Counts arrivals and runs by attempt id. */
class late_copy_endpoint {
	/** Long enough for the late copy to be read before the answer. */
	static constexpr duration WORK_TIME = std::chrono::milliseconds(60);

	event_loop &_loop;
	raw_server _server;
	std::map<std::size_t, std::string> _late; ///< Copies to be sent, by connection.
	std::list<timer> _work;

	static std::string _write(const std::string &p_status, const std::string &p_attempt, const std::string &p_headers, const std::string &p_body) {
		return "HTTP/1.1 " + p_status + "\r\nX-Attempt-Id: " + p_attempt + "\r\n" + p_headers + "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n" + p_body;
	}

	std::string _respond(std::size_t p_connection, const std::string &p_request) {
		const std::string attempt = raw_server::get_header(p_request, "X-Attempt-Id");
		const std::string late = std::move(_late[p_connection]);
		_late[p_connection].clear();
		if (arrivals[attempt]++ == 0) {
			const std::string rejection = _write("503 Service Unavailable", attempt, "X-Not-Executed: 1\r\n", "");
			_late[p_connection] = rejection;
			return late + rejection;
		}
		runs[attempt]++;
		_work.emplace_back(_loop, [this, p_connection, attempt] { _server.send(p_connection, _write("200 OK", attempt, "X-Replica-Seal: late\r\n", "done " + attempt)); });
		_work.back().set(WORK_TIME);
		return late;
	}

public:
	std::map<std::string, int> arrivals;
	std::map<std::string, int> runs;

	explicit late_copy_endpoint(event_loop &p_loop) :
			_loop(p_loop), _server(p_loop) {
		_server.set_answer("", raw_server::after::KEEP);
		_server.set_responder([this](std::size_t p_connection, const std::string &p_request) { return _respond(p_connection, p_request); });
	}

	const network_address &get_address() const { return _server.get_address(); }

	/** Returns the entry of this endpoint in the store. */
	std::string get_entry(const std::string &p_service) const {
		return nlohmann::json{ { "service", p_service }, { "address", to_string(get_address()) }, { "zone", "a" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq_no", 1 }, { "born", 1 } }.dump();
	}
};

} // namespace calicoscale

#endif // LATE_COPY_ENDPOINT_H
