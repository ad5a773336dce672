/*
 * calicoscale: load_report.cpp
 * Samples and report of a load run.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/load/load_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t MAX_STORED_FAULTS = 20;

double get_percentile(std::vector<duration> p_values, double p_share) {
	if (p_values.empty()) {
		return 0.0;
	}
	std::sort(p_values.begin(), p_values.end());
	const std::size_t index = std::min(p_values.size() - 1, static_cast<std::size_t>(p_share * static_cast<double>(p_values.size())));
	return to_milliseconds(p_values[index]);
}

json write_percentiles(const std::vector<duration> &p_values) {
	return { { "p50", get_percentile(p_values, 0.50) }, { "p95", get_percentile(p_values, 0.95) }, { "p99", get_percentile(p_values, 0.99) }, { "count", p_values.size() } };
}

struct attainment {
	std::uint64_t sent = 0;
	std::uint64_t in_time = 0;
};

json write_attainment(const std::map<std::string, attainment> &p_groups) {
	json groups = json::object();
	for (const auto &[name, group] : p_groups) {
		const double share = group.sent == 0 ? 0.0 : static_cast<double>(group.in_time) / static_cast<double>(group.sent);
		groups[name] = { { "sent", group.sent }, { "in_time", group.in_time }, { "attainment", share } };
	}
	return groups;
}

} // namespace

void load_report::add(load_sample p_sample) {
	_samples.push_back(std::move(p_sample));
}

void load_report::add_fault(const std::string &p_what) {
	_fault_count++;
	if (_faults.size() < MAX_STORED_FAULTS) {
		_faults.push_back(p_what);
	}
}

json load_report::to_json() const {
	std::map<std::string, attainment> by_customer;
	std::map<std::string, attainment> by_pipeline;
	std::map<std::string, std::uint64_t> verdicts;
	std::map<std::string, double> costs;
	attainment total;
	std::vector<duration> latencies;
	std::vector<duration> first_tokens;
	std::vector<duration> gaps;
	for (const load_sample &sample : _samples) {
		total.sent++;
		total.in_time += sample.in_time ? 1 : 0;
		by_customer[sample.customer].sent++;
		by_customer[sample.customer].in_time += sample.in_time ? 1 : 0;
		by_pipeline[sample.pipeline].sent++;
		by_pipeline[sample.pipeline].in_time += sample.in_time ? 1 : 0;
		verdicts[sample.verdict + (sample.reason.empty() ? "" : ":" + sample.reason)]++;
		if (sample.verdict == "completed") {
			latencies.push_back(sample.latency);
		}
		if (sample.first_token >= duration::zero()) {
			first_tokens.push_back(sample.first_token);
		}
		gaps.insert(gaps.end(), sample.gaps.begin(), sample.gaps.end());
		for (const auto &[stage, units] : sample.costs) {
			costs[stage + "/" + sample.customer] += units;
		}
	}
	json report;
	report["requests"] = total.sent;
	report["in_time"] = total.in_time;
	report["attainment"] = total.sent == 0 ? 0.0 : static_cast<double>(total.in_time) / static_cast<double>(total.sent);
	report["seconds"] = _seconds;
	report["goodput_per_second"] = _seconds <= 0.0 ? 0.0 : static_cast<double>(total.in_time) / _seconds;
	report["latency_ms"] = write_percentiles(latencies);
	report["first_token_ms"] = write_percentiles(first_tokens);
	report["token_gap_ms"] = write_percentiles(gaps);
	report["verdicts"] = verdicts;
	report["by_customer"] = write_attainment(by_customer);
	report["by_pipeline"] = write_attainment(by_pipeline);
	report["units_by_stage_and_customer"] = costs;
	report["wrong_answers"] = _fault_count;
	report["wrong_examples"] = _faults;
	return report;
}

std::string load_report::to_table() const {
	const json report = to_json();
	std::ostringstream text;
	text << std::fixed << std::setprecision(1);
	text << "requests " << report["requests"] << ", in time " << report["in_time"] << ", attainment " << std::setprecision(2) << report["attainment"].get<double>() * 100.0 << "%, goodput " << report["goodput_per_second"].get<double>() << "/s\n";
	for (const char *name : { "latency_ms", "first_token_ms", "token_gap_ms" }) {
		const json &row = report[name];
		text << std::left << std::setw(16) << name << std::right << " p50 " << std::setw(9) << row["p50"].get<double>() << "  p95 " << std::setw(9) << row["p95"].get<double>() << "  p99 " << std::setw(9) << row["p99"].get<double>() << "  (" << row["count"] << ")\n";
	}
	for (const auto &[name, count] : report["verdicts"].items()) {
		text << "  " << std::left << std::setw(40) << name << count << "\n";
	}
	for (const auto &[name, group] : report["by_customer"].items()) {
		text << "  customer " << std::left << std::setw(31) << name << std::setw(10) << group["sent"].get<std::uint64_t>() << group["attainment"].get<double>() * 100.0 << "%\n";
	}
	for (const auto &[name, units] : report["units_by_stage_and_customer"].items()) {
		text << "  units " << std::left << std::setw(34) << name << units.get<double>() << "\n";
	}
	text << "wrong answers " << _fault_count << "\n";
	for (const std::string &fault : _faults) {
		text << "  " << fault << "\n";
	}
	return text.str();
}

} // namespace calicoscale
