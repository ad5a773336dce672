/*
 * calicoscale: load_report.h
 * Samples and report of a load run.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include "core/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** One finished request as the caller saw it. */
struct load_sample {
	std::string customer;
	std::string pipeline;
	std::string verdict; ///< The verdict of the answer; otherwise "unanswered", "unreachable" or "wrong".
	std::string reason;
	bool in_time = false; ///< Complete before its deadline.
	duration latency = duration::zero(); ///< From the scheduled arrival to the end of the answer.
	duration first_token = duration(-1); ///< From the scheduled arrival to the first token; negative if no token arrived.
	std::vector<duration> gaps; ///< Times between consecutive tokens.
	std::map<std::string, double> costs; ///< Cost units by stage, as the answer reports them.
};

/** Collects samples and writes the report. */
class load_report {
	std::vector<load_sample> _samples;
	std::vector<std::string> _faults; ///< Descriptions of the first wrong answers, at most MAX_STORED_FAULTS.
	std::uint64_t _fault_count = 0;
	double _seconds = 0.0;

public:
	void add(load_sample p_sample);

	/** Records a wrong, duplicated, truncated or misdelivered answer. */
	void add_fault(const std::string &p_what);

	void set_seconds(double p_seconds) { _seconds = p_seconds; }
	std::uint64_t get_fault_count() const { return _fault_count; }
	std::size_t get_size() const { return _samples.size(); }

	/** Returns the figures as JSON; latencies and token times are in milliseconds, attainment is a share from 0 to 1. */
	nlohmann::json to_json() const;

	/** Returns the figures as a table for the terminal. */
	std::string to_table() const;
};

} // namespace calicoscale

#endif // LOAD_REPORT_H
