/*
 * calicoscale: crash_memory.cpp
 * Requests that were running on endpoints that crashed, and whether they may still be sent.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/gateway/crash_memory.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<crash_event>, 6> EVENT_NAMES{ {
		{ crash_event::CRASHED_ENDPOINT, "ended_endpoint" },
		{ crash_event::TRIAL_REQUESTED, "trial_asked" },
		{ crash_event::TRIAL_DROPPED, "trial_dropped" },
		{ crash_event::TRIAL_SENT, "trial_sent" },
		{ crash_event::TRIAL_ENDED, "trial_ended" },
		{ crash_event::SERVED, "served" },
} };

constexpr std::array<enum_name<crash_state>, 4> STATE_NAMES{ {
		{ crash_state::FREE, "free" },
		{ crash_state::SUSPECT, "suspect" },
		{ crash_state::ON_TRIAL, "on_trial" },
		{ crash_state::BLOCKED, "held_back" },
} };

/** Lifetime of the entry of a cleared request; after it no delayed event from before the clearing can arrive. */
constexpr duration SERVED_LIFETIME = std::chrono::seconds(30);
/** Crashes and trials stored for one request; more of them would not change its state. */
constexpr std::size_t MAX_KEPT = 16;
/** Entries evicted at once when the memory is full, so that the search for the weakest isn't repeated for each new one. */
constexpr std::ptrdiff_t EVICTION_BATCH = 512;
/** Retry time while another node runs a trial; a trial takes as long as any request, usually less than this. */
constexpr duration TRIAL_RETRY_AFTER = std::chrono::seconds(1);

/** Returns whether a trial has been sent, whatever its outcome. */
bool is_sent(crash_event p_state) {
	return p_state == crash_event::TRIAL_SENT || p_state == crash_event::TRIAL_ENDED;
}

bool is_trial(crash_event p_news) {
	return p_news != crash_event::CRASHED_ENDPOINT && p_news != crash_event::SERVED;
}

} // namespace

std::string_view get_name(crash_event p_news) {
	return find_name(EVENT_NAMES, p_news);
}

std::string_view get_name(crash_state p_standing) {
	return find_name(STATE_NAMES, p_standing);
}

crash_verdict combine_verdicts(const std::vector<crash_verdict> &p_verdicts) {
	crash_verdict combined;
	std::size_t on_trial = 0;
	bool needs_sole_suspect = false;
	duration longest = duration::zero();
	for (const crash_verdict &verdict : p_verdicts) {
		on_trial += verdict.standing == crash_state::ON_TRIAL ? 1 : 0;
		needs_sole_suspect = needs_sole_suspect || verdict.needs_sole_suspect;
		longest = std::max(longest, verdict.retry_after);
		if (verdict.standing >= combined.standing) {
			combined = verdict;
		}
	}
	combined.retry_after = longest;
	if (combined.standing == crash_state::ON_TRIAL && needs_sole_suspect && on_trial > 1) {
		combined.standing = crash_state::BLOCKED;
		combined.retry_after = TRIAL_RETRY_AFTER;
	}
	return combined;
}

bool crash_memory::entry::is_expired(instant p_now) const {
	const bool is_cleared = crashes.empty() && trials.empty();
	return p_now - newest > (is_cleared ? SERVED_LIFETIME : LIFETIME);
}

std::size_t crash_memory::entry::count_sent_trials() const {
	return static_cast<std::size_t>(std::count_if(trials.begin(), trials.end(), [](const auto &p_entry) { return is_sent(p_entry.second.state); }));
}

bool crash_memory::entry::has_sole_trial() const {
	return std::any_of(trials.begin(), trials.end(), [](const auto &p_entry) { return is_sent(p_entry.second.state) && (p_entry.first & SOLE_SUSPECT_BIT) != 0; });
}

bool crash_memory::_has_trial_left(const request_fingerprint &p_run, const entry &p_entry, bool p_is_sole) {
	const std::size_t sent = p_entry.count_sent_trials();
	return sent < MAX_TRIALS || (is_part(p_run) && p_is_sole && sent == MAX_TRIALS && !p_entry.has_sole_trial());
}

const crash_memory::trial *crash_memory::entry::find_open(instant p_now) const {
	for (const auto &[id, known] : trials) {
		const bool is_open = known.state == crash_event::TRIAL_REQUESTED || known.state == crash_event::TRIAL_SENT;
		if (is_open && p_now - known.at <= TRIAL_TIMEOUT) {
			return &known;
		}
	}
	return nullptr;
}

bool crash_memory::_apply_trial(entry &r_entry, const crash_record &p_record) {
	if (r_entry.trials.size() >= MAX_KEPT) {
		std::erase_if(r_entry.trials, [](const auto &p_entry) { return !is_sent(p_entry.second.state); });
	}
	const auto [found, is_new] = r_entry.trials.try_emplace(p_record.subject, trial{ p_record.news, p_record.at });
	if (is_new) {
		return true;
	}
	// The node of a trial sends its events in order, but they may arrive over two hubs and so out of order.
	if (p_record.news <= found->second.state) {
		return false;
	}
	found->second = trial{ p_record.news, p_record.at };
	return true;
}

bool crash_memory::_apply_served(entry &r_entry, const crash_record &p_record) {
	const auto is_before = [&p_record](instant p_at) { return p_at <= p_record.at; };
	const std::size_t crashes = std::erase_if(r_entry.crashes, [&is_before](const auto &p_entry) { return is_before(p_entry.second); });
	const std::size_t trials = std::erase_if(r_entry.trials, [&is_before](const auto &p_entry) { return is_before(p_entry.second.at); });
	r_entry.served_at = std::max(r_entry.served_at.value_or(p_record.at), p_record.at);
	return crashes + trials > 0;
}

bool crash_memory::take(const crash_record &p_record, instant p_now) {
	const auto known = _entries.find(p_record.run);
	if (known == _entries.end() && p_record.news == crash_event::SERVED) {
		return false;
	}
	if (p_now - p_record.at > LIFETIME) {
		return false;
	}
	if (known == _entries.end()) {
		_evict_if_full();
		_target_counts[p_record.run.place]++;
	}
	entry &target = _entries[p_record.run];
	if (target.served_at && p_record.at <= *target.served_at) {
		return false;
	}
	bool is_new = false;
	if (p_record.news == crash_event::SERVED) {
		is_new = _apply_served(target, p_record);
	} else if (is_trial(p_record.news)) {
		is_new = _apply_trial(target, p_record);
	} else {
		is_new = target.crashes.size() < MAX_KEPT && target.crashes.try_emplace(p_record.subject, p_record.at).second;
	}
	target.newest = std::max(target.newest, p_record.at);
	return is_new;
}

crash_verdict crash_memory::judge(const request_fingerprint &p_run, instant p_now) const {
	const auto found = _entries.find(p_run);
	if (found == _entries.end() || found->second.crashes.empty() || found->second.is_expired(p_now)) {
		return {};
	}
	const entry &known = found->second;
	crash_verdict verdict{ crash_state::SUSPECT, known.crashes.size(), known.count_sent_trials(), duration::zero(), false };
	if (verdict.crashes < get_crashes_to_try(p_run)) {
		return verdict;
	}
	verdict.standing = crash_state::BLOCKED;
	if (!_has_trial_left(p_run, known, true)) {
		verdict.retry_after = known.newest + LIFETIME - p_now;
	} else if (known.find_open(p_now) != nullptr) {
		verdict.retry_after = TRIAL_RETRY_AFTER;
	} else {
		verdict.standing = crash_state::ON_TRIAL;
		verdict.needs_sole_suspect = !_has_trial_left(p_run, known, false);
	}
	return verdict;
}

bool crash_memory::may_send_trial(const request_fingerprint &p_run, std::uint64_t p_trial, instant p_now) const {
	const auto found = _entries.find(p_run);
	if (found == _entries.end()) {
		// The request was cleared and its entry has expired since the trial was requested.
		return true;
	}
	const entry &known = found->second;
	if (known.crashes.size() < get_crashes_to_try(p_run)) {
		return true;
	}
	if (!_has_trial_left(p_run, known, (p_trial & SOLE_SUSPECT_BIT) != 0)) {
		return false;
	}
	return std::none_of(known.trials.begin(), known.trials.end(), [p_trial, p_now](const auto &p_entry) {
		const trial &other = p_entry.second;
		const bool is_sent_and_open = other.state == crash_event::TRIAL_SENT && p_now - other.at <= TRIAL_TIMEOUT;
		const bool comes_first = other.state == crash_event::TRIAL_REQUESTED && p_now - other.at <= TRIAL_TIMEOUT && p_entry.first < p_trial;
		return p_entry.first != p_trial && (is_sent_and_open || comes_first);
	});
}

std::vector<crash_record> crash_memory::get_records_of(const request_fingerprint &p_run) const {
	std::vector<crash_record> records;
	const auto found = _entries.find(p_run);
	if (found == _entries.end()) {
		return records;
	}
	for (const auto &[endpoint, at] : found->second.crashes) {
		records.push_back(crash_record{ crash_event::CRASHED_ENDPOINT, p_run, endpoint, at });
	}
	for (const auto &[id, known] : found->second.trials) {
		records.push_back(crash_record{ known.state, p_run, id, known.at });
	}
	return records;
}

std::vector<crash_record> crash_memory::get_records(std::size_t p_max) const {
	std::vector<const std::pair<const request_fingerprint, entry> *> order;
	order.reserve(_entries.size());
	for (const auto &known : _entries) {
		order.push_back(&known);
	}
	std::stable_sort(order.begin(), order.end(), [](const auto *p_left, const auto *p_right) { return p_left->second.crashes.size() > p_right->second.crashes.size(); });
	std::vector<crash_record> records;
	for (const auto *known : order) {
		const std::vector<crash_record> of_one = get_records_of(known->first);
		if (records.size() + of_one.size() > p_max) {
			break;
		}
		records.insert(records.end(), of_one.begin(), of_one.end());
	}
	return records;
}

std::size_t crash_memory::count_crashes(const request_fingerprint &p_run) const {
	const auto found = _entries.find(p_run);
	return found == _entries.end() ? 0 : found->second.crashes.size();
}

void crash_memory::_erase(std::map<request_fingerprint, entry>::iterator p_entry) {
	const auto count = _target_counts.find(p_entry->first.place);
	if (--count->second == 0) {
		_target_counts.erase(count);
	}
	_entries.erase(p_entry);
}

void crash_memory::_evict_if_full() {
	if (_entries.size() < MAX_ENTRIES) {
		return;
	}
	using position = std::map<request_fingerprint, entry>::iterator;
	std::vector<position> order;
	order.reserve(_entries.size());
	for (position known = _entries.begin(); known != _entries.end(); ++known) {
		order.push_back(known);
	}
	const auto is_weaker = [](const position &p_left, const position &p_right) {
		const std::size_t left = p_left->second.crashes.size();
		const std::size_t right = p_right->second.crashes.size();
		return left != right ? left < right : p_left->second.newest < p_right->second.newest;
	};
	const auto end = order.begin() + EVICTION_BATCH;
	std::nth_element(order.begin(), end, order.end(), is_weaker);
	std::for_each(order.begin(), end, [this](const position &p_entry) { _erase(p_entry); });
}

void crash_memory::expire(instant p_now) {
	for (auto known = _entries.begin(); known != _entries.end();) {
		const auto next = std::next(known);
		if (known->second.is_expired(p_now)) {
			_erase(known);
		}
		known = next;
	}
}

} // namespace calicoscale
