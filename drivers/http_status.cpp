/*
 * calicoscale: http_status.cpp
 * HTTP status codes that the gateway sends or handles.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/http_status.h"

#include <array>

namespace calicoscale {

namespace {

struct status_phrase {
	int status;
	std::string_view phrase;
};

constexpr std::array<status_phrase, 16> PHRASES{ {
		{ 200, "OK" },
		{ 202, "Accepted" },
		{ 204, "No Content" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 408, "Request Timeout" },
		{ 413, "Content Too Large" },
		{ 421, "Misdirected Request" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
} };

} // namespace

std::string_view get_reason_phrase(int p_status) {
	for (const status_phrase &row : PHRASES) {
		if (row.status == p_status) {
			return row.phrase;
		}
	}
	return "Status";
}

} // namespace calicoscale
