/*
 * calicoscale: soak_message.cpp
 * What callers of the soak send and what its endpoints answer.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/soak/soak_message.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <array>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t MOST_REQUEST_BYTES = 3000;
constexpr std::size_t MOST_ANSWER_BYTES = 60000;
/** One answer in so many is long. */
constexpr std::uint64_t LONG_ANSWERS = 4;
constexpr std::size_t SHORT_ANSWER_BYTES = 200;

std::string fill(std::string p_text, std::size_t p_size) {
	const std::size_t unit = p_text.size();
	while (p_text.size() < p_size) {
		p_text.append(p_text, 0, std::min(unit, p_size - p_text.size()));
	}
	return p_text;
}

json make_route(const std::string &p_path, const char *p_kind, int p_attempts) {
	return json{ { "name", p_path }, { "host", "h.example" }, { "path_prefix", p_path }, { "route_kind", p_kind }, { "timeout_ms", 3000 }, { "slo_ms", 1000 }, { "priority", 1 }, { "service", "svc" }, { "max_attempts", p_attempts }, { "public", false } };
}

} // namespace

bool is_repeatable(request_kind p_kind) {
	return p_kind == request_kind::SAFE || p_kind == request_kind::RESUMABLE || p_kind == request_kind::PROBE;
}

bool is_stream(request_kind p_kind) {
	return p_kind == request_kind::STREAM || p_kind == request_kind::RESUMABLE;
}

std::string make_target(request_kind p_kind, const std::string &p_id, std::uint64_t p_version) {
	switch (p_kind) {
		case request_kind::SAFE:
			return "/safe/" + p_id;
		case request_kind::ONCE:
			return "/once/" + p_id;
		case request_kind::STREAM:
			return "/stream/" + p_id;
		case request_kind::RESUMABLE:
			return "/resumable/" + p_id;
		default:
			return "/version/" + std::to_string(p_version) + "/" + p_id;
	}
}

std::string make_key(std::uint64_t p_version) {
	return "key-of-" + std::to_string(p_version);
}

std::string make_request_body(const std::string &p_id) {
	return fill("request " + p_id + ";", hash_bytes(p_id) % MOST_REQUEST_BYTES);
}

std::string make_malformed_request(std::size_t p_number) {
	static const std::vector<std::string> REST_OF_HEAD{ "\rX", "\nX", " X: 1\r\n\r\n", "X Y: 1\r\n\r\n", "X-\x01Y: 1\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\rX\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n" };
	const auto write_head = [p_number](const std::string &p_id) {
		const std::string id = p_id + std::to_string(p_number);
		return "POST /safe/" + id + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + std::string(STEADY_KEY) + "\r\n";
	};
	return write_head("malformed-") + REST_OF_HEAD[p_number % REST_OF_HEAD.size()] + write_head("hidden-") + "Content-Length: 0\r\n\r\n";
}

std::string make_answer_body(const std::string &p_id, const std::string &p_endpoint) {
	const std::uint64_t number = hash_bytes(p_id, 1);
	const std::size_t most = number % LONG_ANSWERS == 0 ? MOST_ANSWER_BYTES : SHORT_ANSWER_BYTES;
	return fill("answer to " + p_id + " by " + p_endpoint + ";", number % most);
}

std::string make_event(const std::string &p_id, int p_number, const std::string &p_version) {
	static constexpr std::array<std::string_view, 3> LINE_ENDS{ "\n", "\r\n", "\r" };
	const std::string end(LINE_ENDS.at(hash_bytes(p_id, 6) % LINE_ENDS.size()));
	const std::string version = p_version.empty() ? "" : "@" + p_version;
	return "id: " + std::to_string(p_number) + end + "data: " + p_id + "/" + std::to_string(p_number) + version + end + end;
}

received_events read_events(std::string_view p_body, const std::string &p_id, int p_first) {
	received_events events;
	while (true) {
		const std::size_t at = p_body.find("data: ");
		const std::size_t line_end = at == std::string_view::npos ? at : p_body.find_first_of("\r\n", at);
		if (line_end == std::string_view::npos) {
			return events;
		}
		const std::string_view line = p_body.substr(at, line_end - at);
		const std::size_t mark = line.find('@');
		const std::string version(mark == std::string_view::npos ? std::string_view() : line.substr(mark + 1));
		const std::string event = make_event(p_id, p_first + events.count, version);
		if (!p_body.starts_with(event)) {
			return events;
		}
		events.count++;
		events.versions.insert(version);
		p_body.remove_prefix(event.size());
	}
}

std::string make_soak_configuration(std::uint64_t p_version, int p_idle_ms) {
	json resumable = make_route("/resumable/", "streaming", 2);
	resumable["resumable"] = true;
	const json routes = json::array({ make_route("/safe/", "idempotent", 2), make_route("/once/", "non_idempotent", 2), make_route("/stream/", "streaming", 2), resumable, make_route("/version/" + std::to_string(p_version) + "/", "idempotent", 2) });
	const json limits{ { "max_header_bytes", 16384 }, { "max_body_bytes", 65536 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", p_idle_ms } };
	const json services = json::array({ { { "name", "svc" }, { "max_conns", 200 } } });
	const json customers = json::array({ { { "name", CUSTOMER }, { "api_keys", { STEADY_KEY, make_key(p_version) } } } });
	return json{ { "version", p_version }, { "routes", routes }, { "services", services }, { "limits", limits }, { "tenants", customers } }.dump();
}

} // namespace calicoscale
