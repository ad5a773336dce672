/*
 * calicoscale: verdict.cpp
 * Names and HTTP statuses of verdicts and reasons.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/verdict.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<verdict>, 3> VERDICT_NAMES{ {
		{ verdict::NOT_RUN, "not_run" },
		{ verdict::MAY_HAVE_RUN, "may_have_run" },
		{ verdict::COMPLETED, "completed" },
} };

struct reason_row {
	reason value;
	std::string_view name;
	int http_status;
};

constexpr std::array<reason_row, 35> REASONS{ {
		{ reason::NONE, "none", 200 },
		{ reason::BAD_REQUEST, "bad_request", 400 },
		{ reason::BAD_DEADLINE, "bad_deadline", 400 },
		{ reason::UNAUTHORIZED, "unauthorized", 401 },
		{ reason::NOT_FOUND, "not_found", 404 },
		{ reason::TOO_LARGE, "too_large", 413 },
		{ reason::KEY_REQUIRED, "idempotency_key_required", 400 },
		{ reason::KEY_MALFORMED, "idempotency_key_malformed", 400 },
		{ reason::KEY_EXPIRED, "idempotency_key_expired", 409 },
		{ reason::KEY_IN_USE, "idempotency_key_in_use", 409 },
		{ reason::CLAIM_UNAVAILABLE, "claim_unavailable", 503 },
		{ reason::ISSUER_GONE, "ticket_issuer_gone", 503 },
		{ reason::CUSTOMER_RATE, "customer_rate", 429 },
		{ reason::CUSTOMER_CONCURRENCY, "customer_concurrency", 429 },
		{ reason::QUEUE_FULL, "queue_full", 503 },
		{ reason::DEADLINE_UNREACHABLE, "deadline_unreachable", 503 },
		{ reason::DEADLINE_PASSED, "deadline_passed", 504 },
		{ reason::NO_ENDPOINT, "no_endpoint", 503 },
		{ reason::CONNECT_FAILED, "connect_failed", 503 },
		{ reason::REFUSED_BUSY, "refused_busy", 503 },
		{ reason::REFUSED_LEAVING, "refused_leaving", 503 },
		{ reason::REFUSED_INPUT, "refused_input", 400 },
		{ reason::CONNECTION_LOST, "connection_lost", 503 },
		{ reason::TIMED_OUT, "timed_out", 504 },
		{ reason::TRUNCATED, "truncated", 503 },
		{ reason::ENDPOINT_ERROR, "endpoint_error", 503 },
		{ reason::WRONG_ECHO, "wrong_echo", 503 },
		{ reason::CANCELLED, "cancelled", 503 },
		{ reason::CALLER_DISCONNECTED, "caller_gone", 503 },
		{ reason::DRAINING, "draining", 503 },
		{ reason::NOT_READY, "not_ready", 503 },
		{ reason::CRASHES_ENDPOINTS, "ends_endpoints", 503 },
		{ reason::STREAM_UNKNOWN, "stream_unknown", 503 },
		{ reason::STREAM_VERSION_GONE, "stream_version_gone", 503 },
		{ reason::CONFIGURATION_UNCONFIRMED, "configuration_unconfirmed", 503 },
} };

} // namespace

std::string_view get_name(verdict p_verdict) {
	return find_name(VERDICT_NAMES, p_verdict);
}

std::string_view get_name(reason p_reason) {
	for (const reason_row &row : REASONS) {
		if (row.value == p_reason) {
			return row.name;
		}
	}
	return "unknown";
}

reason find_reason(std::string_view p_name) {
	for (const reason_row &row : REASONS) {
		if (row.name == p_name) {
			return row.value;
		}
	}
	return reason::NONE;
}

int get_http_status(reason p_reason) {
	for (const reason_row &row : REASONS) {
		if (row.value == p_reason) {
			return row.http_status;
		}
	}
	return 500;
}

void verdict_tally::add(verdict p_attempt) {
	if (p_attempt != verdict::NOT_RUN) {
		_may_have_run = true;
	}
}

} // namespace calicoscale
