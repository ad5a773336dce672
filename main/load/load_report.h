/*
 * calicoscale: load_report.h
 * What a load run measured.
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
	std::string verdict; ///< As told, "unanswered" or "wrong".
	std::string reason;
	bool in_time = false; ///< Complete before its deadline.
	duration latency = duration::zero(); ///< From the scheduled arrival.
	duration first_token = duration(-1); ///< -1 for none.
	std::vector<duration> gaps; ///< Between tokens.
	std::map<std::string, double> costs; ///< Units by stage, as the answer told.
};

/** Gathers samples and writes the report. */
class load_report {
	std::vector<load_sample> _samples;
	std::vector<std::string> _faults; ///< Answers that were wrong, bounded.
	std::uint64_t _fault_count = 0;
	double _seconds = 0.0;

public:
	void add(load_sample p_sample);

	/** Notes a wrong, doubled, truncated or misdelivered answer. */
	void add_fault(const std::string &p_what);

	void set_seconds(double p_seconds) { _seconds = p_seconds; }
	std::uint64_t get_fault_count() const { return _fault_count; }
	std::size_t get_size() const { return _samples.size(); }

	/** Figures as JSON. */
	nlohmann::json to_json() const;

	/** Figures as a table for people. */
	std::string to_table() const;
};

} // namespace calicoscale

#endif // LOAD_REPORT_H
