/*
 * calicoscale: answer_writer.cpp
 * JSON bodies of answers to callers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/answer_writer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr double TENTHS_PER_MILLISECOND = 10.0;

std::string write(const json &p_document) {
	return p_document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json write_stages(const finish_request &p_finish) {
	json stages = json::array();
	for (const stage_report &stage : p_finish.stages) {
		const double milliseconds = std::round(to_milliseconds(stage.elapsed) * TENTHS_PER_MILLISECOND) / TENTHS_PER_MILLISECOND;
		stages.push_back({ { "stage", stage.stage }, { "pool", stage.pool }, { "milliseconds", milliseconds }, { "cost", stage.units }, { "attempts", stage.attempts } });
	}
	return stages;
}

std::string get_sentence(const outcome &p_result) {
	switch (p_result.what) {
		case verdict::NOT_RUN:
			return "The request did not run at any stage; it is safe to send it again.";
		case verdict::MAY_HAVE_RUN:
			return "Some stage ran or may have run.";
		case verdict::COMPLETED:
			return "The request is complete.";
	}
	return "";
}

} // namespace

caller_answer write_problem(const outcome &p_result, duration p_retry_after, const std::string &p_detail, const std::string &p_request_id) {
	json problem;
	problem["type"] = "about:blank";
	problem["title"] = get_name(p_result.why);
	problem["status"] = get_http_status(p_result.why);
	problem["verdict"] = get_name(p_result.what);
	problem["reason"] = get_name(p_result.why);
	problem["detail"] = p_detail.empty() ? get_sentence(p_result) : p_detail;
	if (!p_request_id.empty()) {
		problem["request_id"] = p_request_id;
	}
	if (p_retry_after > duration::zero()) {
		problem["retry_after_ms"] = std::max<std::int64_t>(1, p_retry_after.count() / 1000);
	}
	return caller_answer{ get_http_status(p_result.why), "application/problem+json", write(problem) + "\n", p_retry_after };
}

caller_answer write_end(const request_id &p_id, const finish_request &p_finish) {
	if (p_finish.result.what != verdict::COMPLETED) {
		return write_problem(p_finish.result, p_finish.retry_after, "", to_string(p_id));
	}
	json answer;
	answer["request_id"] = to_string(p_id);
	answer["verdict"] = get_name(verdict::COMPLETED);
	answer["output"] = json::parse(p_finish.output, nullptr, false);
	answer["stages"] = write_stages(p_finish);
	return caller_answer{ 200, "application/json", write(answer) + "\n", duration::zero() };
}

std::string write_done_event(const request_id &p_id, const finish_request &p_finish) {
	json done;
	done["request_id"] = to_string(p_id);
	done["verdict"] = get_name(verdict::COMPLETED);
	done["count"] = p_finish.token_count;
	done["digest"] = p_finish.digest;
	done["stages"] = write_stages(p_finish);
	return write(done);
}

std::string write_event(const std::string &p_name, const std::string &p_data) {
	std::string data = p_data;
	while (!data.empty() && data.back() == '\n') {
		data.pop_back();
	}
	return "event: " + p_name + "\ndata: " + data + "\n\n";
}

std::string write_token(std::uint32_t p_sequence, const std::string &p_token) {
	return write(json{ { "sequence", p_sequence }, { "token", p_token } });
}

} // namespace calicoscale
