/*
 * calicoscale: lost_runs.cpp
 * Runs whose connection ended, until it is known whether their endpoint ended too.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/lost_runs.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<probe_end>, 3> PROBE_NAMES{ {
		{ probe_end::REFUSED, "refused" },
		{ probe_end::ACCEPTED, "accepted" },
		{ probe_end::SILENT, "silent" },
} };

/** An entry goes after three heartbeats of silence, of 1.2 s each in the settings at hand, and is read each 0.9 s. */
constexpr duration ENTRY_TIME = std::chrono::seconds(6);
/** Runs blamed for the end of one endpoint; more than any endpoint at hand works on at once. */
constexpr std::size_t MOST_RUNS = 256;

} // namespace

std::string_view get_name(probe_end p_end) {
	return find_name(PROBE_NAMES, p_end);
}

bool lost_runs::add(const endpoint_identity &p_endpoint, const request_fingerprint &p_run, instant p_now) {
	loss &entry = _losses[p_endpoint];
	if (entry.runs.empty()) {
		entry.lost_at = p_now;
	}
	if (entry.runs.size() < MOST_RUNS) {
		entry.runs.push_back(p_run);
	}
	if (entry.is_probed) {
		return false;
	}
	entry.is_probed = true;
	return true;
}

std::vector<request_fingerprint> lost_runs::on_probed(const endpoint_identity &p_endpoint, probe_end p_end) {
	const auto found = _losses.find(p_endpoint);
	if (found == _losses.end()) {
		return {};
	}
	if (p_end == probe_end::SILENT) {
		found->second.is_probed = false;
		return {};
	}
	std::vector<request_fingerprint> runs;
	if (p_end == probe_end::REFUSED) {
		runs.swap(found->second.runs);
	}
	_losses.erase(found);
	return runs;
}

std::vector<ended_endpoint> lost_runs::take_ended(const std::function<bool(const endpoint_identity &)> &p_is_listed, instant p_now) {
	std::vector<ended_endpoint> ended;
	for (auto entry = _losses.begin(); entry != _losses.end();) {
		const bool has_ended = !p_is_listed(entry->first);
		if (has_ended) {
			ended.push_back(ended_endpoint{ entry->first, std::move(entry->second.runs), entry->second.lost_at });
		}
		entry = has_ended || p_now - entry->second.lost_at > ENTRY_TIME ? _losses.erase(entry) : std::next(entry);
	}
	return ended;
}

} // namespace calicoscale
