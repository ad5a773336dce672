/*
 * calicoscale: platform_log.cpp
 * The platform's append-only log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/platform_log.h"

#include "core/enum_names.h"

#include <nlohmann/json.hpp>

#include <array>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr duration READ_TIMEOUT = std::chrono::seconds(3);
constexpr std::size_t MAX_READ_BYTES = 64 * 1024 * 1024;
constexpr int STATUS_OK = 200;
constexpr std::string_view NOT_APPENDED = "Not-Appended";

constexpr std::array<enum_name<log_stream>, 3> STREAM_NAMES{ {
		{ log_stream::CONFIGURATION, "configuration" },
		{ log_stream::CLAIMS, "claims" },
		{ log_stream::LEDGER, "ledger" },
} };

std::string make_path(log_stream p_stream) {
	return "/v1/streams/" + std::string(get_name(p_stream)) + "/records";
}

append_result judge_append(const http_result &p_result, std::uint64_t &r_offset) {
	if (p_result.failure == http_failure::CONNECT_FAILED) {
		return append_result::NOT_DONE;
	}
	if (p_result.failure != http_failure::NONE) {
		return append_result::UNKNOWN;
	}
	if (p_result.status != STATUS_OK) {
		return p_result.find_header(NOT_APPENDED).empty() ? append_result::UNKNOWN : append_result::NOT_DONE;
	}
	const json answer = json::parse(p_result.body, nullptr, false);
	if (!answer.is_object() || !answer.contains("offset") || !answer["offset"].is_number_unsigned()) {
		return append_result::UNKNOWN;
	}
	r_offset = answer["offset"].get<std::uint64_t>();
	return append_result::DONE;
}

std::optional<log_read> parse_read(const http_result &p_result) {
	if (p_result.failure != http_failure::NONE || p_result.status != STATUS_OK || !p_result.has_length) {
		return std::nullopt;
	}
	const json answer = json::parse(p_result.body, nullptr, false);
	if (!answer.is_object()) {
		return std::nullopt;
	}
	try {
		log_read read;
		read.earliest = answer.at("earliest").get<std::uint64_t>();
		read.next = answer.at("next").get<std::uint64_t>();
		for (const json &record : answer.at("records")) {
			read.entries.push_back(log_entry{ record.at("offset").get<std::uint64_t>(), record.at("data").get<std::string>() });
		}
		return read;
	} catch (const json::exception &) {
		return std::nullopt;
	}
}

} // namespace

std::string_view get_name(log_stream p_stream) {
	return find_name(STREAM_NAMES, p_stream);
}

platform_log::platform_log(http_client &p_client, network_address p_address) :
		_client(p_client), _address(std::move(p_address)) {
}

void platform_log::append(log_stream p_stream, const std::string &p_bytes, duration p_timeout, std::function<void(append_result, std::uint64_t)> p_hook) {
	http_call call;
	call.to = _address;
	call.is_post = true;
	call.path = make_path(p_stream);
	call.headers = { { "Content-Type", "application/octet-stream" } };
	call.body = p_bytes;
	call.timeout = p_timeout;
	http_hooks hooks;
	hooks.on_end = [hook = std::move(p_hook)](const http_result &p_result) {
		std::uint64_t offset = 0;
		const append_result result = judge_append(p_result, offset);
		hook(result, offset);
	};
	_client.start(call, std::move(hooks));
}

void platform_log::read(log_stream p_stream, std::uint64_t p_from, std::size_t p_most, std::function<void(const std::optional<log_read> &)> p_hook) {
	http_call call;
	call.to = _address;
	call.path = make_path(p_stream) + "?from=" + std::to_string(p_from) + "&most=" + std::to_string(p_most);
	call.timeout = READ_TIMEOUT;
	call.largest_answer = MAX_READ_BYTES;
	http_hooks hooks;
	hooks.on_end = [hook = std::move(p_hook)](const http_result &p_result) { hook(parse_read(p_result)); };
	_client.start(call, std::move(hooks));
}

} // namespace calicoscale
