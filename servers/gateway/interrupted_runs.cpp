/*
 * calicoscale: interrupted_runs.cpp
 * Runs with an unknown outcome, whose connection was closed, until it is known whether their endpoint crashed.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/interrupted_runs.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<probe_end>, 3> PROBE_NAMES{ {
		{ probe_end::REFUSED, "refused" },
		{ probe_end::ACCEPTED, "accepted" },
		{ probe_end::SILENT, "silent" },
} };

/** An entry expires after three missed heartbeats, of 1.2 s each in the current settings, and entries are read every 0.9 s. */
constexpr duration ENTRY_EXPIRY_TIME = std::chrono::seconds(6);
/** Maximum of runs stored for one endpoint; more than any current endpoint runs concurrently. */
constexpr std::size_t MAX_RUNS = 256;

} // namespace

std::string_view get_name(probe_end p_end) {
	return find_name(PROBE_NAMES, p_end);
}

bool interrupted_runs::add(const endpoint_identity &p_endpoint, const request_fingerprint &p_run, instant p_now) {
	unresolved_runs &entry = _unresolved[p_endpoint];
	if (entry.runs.empty()) {
		entry.lost_at = p_now;
	}
	// Several runs at an endpoint share parts of their prompts.
	const bool is_new = std::find(entry.runs.begin(), entry.runs.end(), p_run) == entry.runs.end();
	if (is_new && entry.runs.size() < MAX_RUNS) {
		entry.runs.push_back(p_run);
	}
	if (entry.is_probed) {
		return false;
	}
	entry.is_probed = true;
	return true;
}

std::vector<request_fingerprint> interrupted_runs::on_probed(const endpoint_identity &p_endpoint, probe_end p_end) {
	const auto found = _unresolved.find(p_endpoint);
	if (found == _unresolved.end()) {
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
	_unresolved.erase(found);
	return runs;
}

std::vector<crashed_endpoint> interrupted_runs::take_ended(const std::function<bool(const endpoint_identity &)> &p_is_listed, instant p_now) {
	std::vector<crashed_endpoint> ended;
	for (auto entry = _unresolved.begin(); entry != _unresolved.end();) {
		const bool is_removed = !p_is_listed(entry->first);
		if (is_removed) {
			ended.push_back(crashed_endpoint{ entry->first, std::move(entry->second.runs), entry->second.lost_at });
		}
		entry = is_removed || p_now - entry->second.lost_at > ENTRY_EXPIRY_TIME ? _unresolved.erase(entry) : std::next(entry);
	}
	return ended;
}

} // namespace calicoscale
