/*
 * calicoscale: http_status.h
 * HTTP status codes that the gateway sends or handles.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HTTP_STATUS_H
#define HTTP_STATUS_H

#include <string_view>

namespace calicoscale::http_status {

constexpr int FIRST = 100; ///< The lowest status of an answer.
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr int OK = 200;
constexpr int NO_CONTENT = 204;
constexpr int NOT_MODIFIED = 304;
constexpr int BAD_REQUEST = 400;
constexpr int UNAUTHORIZED = 401;
constexpr int NOT_FOUND = 404;
constexpr int REQUEST_TIMEOUT = 408;
constexpr int CONFLICT = 409;
constexpr int GONE = 410;
constexpr int PRECONDITION_FAILED = 412;
constexpr int BODY_TOO_LARGE = 413;
constexpr int MISDIRECTED = 421;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int HEADERS_TOO_LARGE = 431;
constexpr int FIRST_SERVER_ERROR = 500;
constexpr int BAD_GATEWAY = 502;
constexpr int UNAVAILABLE = 503;
constexpr int GATEWAY_TIMEOUT = 504;
constexpr int LAST = 599; ///< The highest status of an answer.

constexpr bool is_success(int p_status) {
	return p_status / 100 == 2;
}

constexpr bool is_interim(int p_status) {
	return p_status / 100 == 1;
}

/** Whether an answer of a status ends with its headers, whatever they say of a body. */
constexpr bool has_no_body(int p_status) {
	return is_interim(p_status) || p_status == NO_CONTENT || p_status == NOT_MODIFIED;
}

/** Whether a status promises callers that the request did not run and never will. */
constexpr bool promises_not_run(int p_status) {
	return p_status == REQUEST_TIMEOUT || p_status == MISDIRECTED || p_status == TOO_MANY_REQUESTS || p_status == UNAVAILABLE;
}

} // namespace calicoscale::http_status

namespace calicoscale {

std::string_view get_reason_phrase(int p_status);

} // namespace calicoscale

#endif // HTTP_STATUS_H
