/*
 * calicoscale: admission.cpp
 * Decides whether a request is started, or refused immediately with a retry time.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/admission.h"

#include "main/gateway/endpoint_selector.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration MIN_RETRY_AFTER = std::chrono::milliseconds(150);
/** Spread of retry times, so that requests that were refused together are not retried together. */
constexpr double RETRY_SPREAD = 0.5;
/** Retry time if none is predicted. */
constexpr duration RETRY_AFTER = std::chrono::milliseconds(500);
/** An evacuation lasts for seconds at least, and its end is not known in advance. */
constexpr duration CLOSED_OFF_RETRY_AFTER = std::chrono::seconds(2);

} // namespace

std::optional<refusal> admission::_judge_crashes(const admitted_request &p_request) const {
	const crash_verdict verdict = _shared.crashes.judge(get_content(p_request));
	if (verdict.standing != crash_state::BLOCKED) {
		return std::nullopt;
	}
	return refusal{ reason::CRASHES_ENDPOINTS, verdict.retry_after, [&p_request, verdict](log_line &r_line) {
					   r_line.add("fingerprint", to_string(make_fingerprint(get_content(p_request)))).add("crashes", static_cast<long long>(verdict.crashes)).add("trials", static_cast<long long>(verdict.trials));
				   } };
}

std::string admission::_find_closed_off(const admitted_request &p_request) const {
	if (p_request.homes.is_unsatisfiable() || get_router(_shared, p_request).has_no_admitted_endpoint(make_choice(_context, p_request))) {
		return p_request.service;
	}
	const std::vector<std::size_t> &pieces = p_request.facts.stage_pieces;
	for (std::size_t stage = 0; stage < p_request.route->stages.size(); stage++) {
		const std::string &pool = p_request.route->stages[stage].pool;
		const bool is_needed = stage < pieces.size() && pieces[stage] > 0;
		if (is_needed && _shared.dispatcher.has_no_admitted_endpoint(pool, p_request.homes)) {
			return pool;
		}
	}
	return "";
}

std::optional<refusal> admission::_judge_locations(const admitted_request &p_request) const {
	const std::size_t evacuated = _evacuations.get_zones().size();
	if (evacuated == 0 && !p_request.homes.is_bound()) {
		return std::nullopt;
	}
	const std::string closed = _find_closed_off(p_request);
	if (closed.empty()) {
		return std::nullopt;
	}
	return refusal{ reason::NO_ENDPOINT, CLOSED_OFF_RETRY_AFTER, [&p_request, closed, evacuated](log_line &r_line) {
					   r_line.add("closed_off", closed).add("evacuated_zones", static_cast<long long>(evacuated)).add("has_homes", p_request.homes.is_bound() ? "yes" : "no");
				   } };
}

duration admission::_get_return_time(duration p_late, const admitted_request &p_request) {
	const duration remaining = p_request.facts.remaining.value_or(p_request.route->timeout);
	const double spread = 1.0 + _shared.context.random.get_unit() * RETRY_SPREAD;
	const duration wait = from_seconds(to_seconds(p_late) * spread);
	const duration suggested = _context.settings.mechanisms.has(mechanism::PREDICTED_RETURN) ? wait : RETRY_AFTER;
	return std::clamp<duration>(suggested, MIN_RETRY_AFTER, std::max<duration>(MIN_RETRY_AFTER, remaining / 3));
}

std::optional<refusal> admission::_judge_time(admitted_request &r_request) {
	const gateway_route &route = *r_request.route;
	if (route.stages.empty() || !_context.settings.mechanisms.has(mechanism::ADMISSION)) {
		return std::nullopt;
	}
	const duration stages = _shared.commitments.predict_stages(*r_request.configuration, route, r_request.facts.stage_pieces, get_priority(r_request));
	const duration predicted = stages + get_first_event_time(_shared, route.name);
	const duration allowed = route.objective;
	r_request.predicted = predicted;
	if (stages == duration::zero() || predicted <= allowed) {
		return std::nullopt;
	}
	const duration retry_after = _get_return_time(predicted - allowed, r_request);
	return refusal{ reason::DEADLINE_UNREACHABLE, retry_after, [predicted, allowed](log_line &r_line) { r_line.add("predicted_ms", predicted).add("allowed_ms", allowed); } };
}

std::optional<refusal> admission::_judge_limits(const admitted_request &p_request) {
	const std::size_t before = _shared.guard.get_queue().count(p_request.service);
	const send_prospect prospect = _shared.guard.predict(get_router(_shared, p_request), make_choice(_context, p_request), before);
	if (prospect.wait && *prospect.wait == duration::zero()) {
		return std::nullopt;
	}
	const duration answer = get_answer_time(_shared, p_request);
	const duration stages = std::max(duration::zero(), p_request.predicted - answer);
	const duration late = std::max(prospect.wait.value_or(duration::zero()), stages) + answer - p_request.route->objective;
	if (prospect.wait && late <= duration::zero()) {
		return std::nullopt;
	}
	const bool is_backing_off = !prospect.wait && prospect.backoff_left;
	const duration retry_after = is_backing_off ? *prospect.backoff_left : _get_return_time(late, p_request);
	return refusal{ reason::NO_ENDPOINT, retry_after, [prospect, before](log_line &r_line) {
					   r_line.add("limit_wait_ms", prospect.wait.value_or(duration::zero())).add("has_place", prospect.wait ? "yes" : "no").add("rest_left_ms", prospect.backoff_left.value_or(duration::zero())).add("before", static_cast<long long>(before));
				   } };
}

std::optional<refusal> admission::judge_resumption(admitted_request &r_request, const stream_resolution &p_resolution) const {
	const std::vector<service_share> &services = r_request.route->services;
	const bool is_of_route = p_resolution.origin && std::any_of(services.begin(), services.end(), [&p_resolution](const service_share &p_share) { return p_share.service == p_resolution.origin->service; });
	if (is_of_route) {
		r_request.service = p_resolution.origin->service;
		r_request.stream_version = p_resolution.origin->version;
		return std::nullopt;
	}
	// Nodes that did not answer may do so later. Otherwise the caller loses time by waiting, as it has to begin anew.
	const duration retry_after = p_resolution.lookup == lookup_state::UNANSWERED ? RETRY_AFTER : duration::zero();
	return refusal{ reason::STREAM_UNKNOWN, retry_after, [&r_request, p_resolution](log_line &r_line) {
					   r_line.add("resumes", r_request.facts.resumed_attempt).add("lookup", get_name(p_resolution.lookup)).add("source", p_resolution.source).add("recorded_service", p_resolution.origin ? p_resolution.origin->service : "").add("took_ms", p_resolution.took);
				   } };
}

std::optional<refusal> admission::_judge_stream_version(const admitted_request &p_request) const {
	if (!p_request.stream_version || endpoint_selector(_shared, p_request).has_open()) {
		return std::nullopt;
	}
	std::size_t staying = 0;
	for (const endpoint_listing &listing : _shared.endpoints.get_directory().get_listings()) {
		staying += listing.pool == p_request.service && listing.version == *p_request.stream_version && !listing.leaving ? 1 : 0;
	}
	// Endpoints that may not get the request now, such as those of an evacuated zone, may get it later.
	const duration retry_after = staying > 0 ? CLOSED_OFF_RETRY_AFTER : duration::zero();
	return refusal{ staying > 0 ? reason::NO_ENDPOINT : reason::STREAM_VERSION_GONE, retry_after, [&p_request, staying](log_line &r_line) {
					   r_line.add("resumes", p_request.facts.resumed_attempt).add("stream_version", *p_request.stream_version).add("staying", static_cast<long long>(staying));
				   } };
}

std::optional<refusal> admission::_judge_reach(const admitted_request &p_request) const {
	if (_shared.exchanges.may_send(p_request.service)) {
		return std::nullopt;
	}
	return refusal{ reason::CONNECT_FAILED, peer_reach::DECLINED_TIME, [&p_request](log_line &r_line) { r_line.add("unreached", p_request.service); } };
}

std::optional<refusal> admission::judge(admitted_request &r_request) {
	std::optional<refusal> refused = _judge_locations(r_request);
	if (!refused) {
		refused = _judge_reach(r_request);
	}
	if (!refused) {
		refused = _judge_stream_version(r_request);
	}
	if (!refused) {
		refused = _judge_time(r_request);
	}
	return refused ? refused : _judge_limits(r_request);
}

} // namespace calicoscale
