/*
 * calicoscale: crash_memory.cpp
 * Which requests were at work at endpoints that ended, and which of them may still be sent.
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

constexpr std::array<enum_name<crash_news>, 6> NEWS_NAMES{ {
		{ crash_news::ENDED_ENDPOINT, "ended_endpoint" },
		{ crash_news::TRIAL_ASKED, "trial_asked" },
		{ crash_news::TRIAL_DROPPED, "trial_dropped" },
		{ crash_news::TRIAL_SENT, "trial_sent" },
		{ crash_news::TRIAL_ENDED, "trial_ended" },
		{ crash_news::SERVED, "served" },
} };

constexpr std::array<enum_name<crash_standing>, 4> STANDING_NAMES{ {
		{ crash_standing::FREE, "free" },
		{ crash_standing::SUSPECT, "suspect" },
		{ crash_standing::ON_TRIAL, "on_trial" },
		{ crash_standing::HELD_BACK, "held_back" },
} };

/** A request that was served is remembered as such until no late news of before can come any more. */
constexpr duration SERVED_LIFETIME = std::chrono::seconds(30);
/** Crashes and trials kept of one request; more change nothing. */
constexpr std::size_t MOST_KEPT = 16;
/** Entries given up when the memory is full, so that the look for the weakest is not made for each new one. */
constexpr std::ptrdiff_t GIVEN_UP_AT_ONCE = 512;
/** When to come back while another node tries the request; a trial ends like any request, most in less. */
constexpr duration TRIAL_RETRY_AFTER = std::chrono::seconds(1);

/** Whether a trial has been sent, whatever came of it. */
bool is_spent(crash_news p_state) {
	return p_state == crash_news::TRIAL_SENT || p_state == crash_news::TRIAL_ENDED;
}

bool is_trial(crash_news p_news) {
	return p_news != crash_news::ENDED_ENDPOINT && p_news != crash_news::SERVED;
}

} // namespace

std::string_view get_name(crash_news p_news) {
	return find_name(NEWS_NAMES, p_news);
}

std::string_view get_name(crash_standing p_standing) {
	return find_name(STANDING_NAMES, p_standing);
}

bool crash_memory::entry::is_over(instant p_now) const {
	const bool is_cleared = crashes.empty() && trials.empty();
	return p_now - newest > (is_cleared ? SERVED_LIFETIME : LIFETIME);
}

std::size_t crash_memory::entry::count_spent() const {
	return static_cast<std::size_t>(std::count_if(trials.begin(), trials.end(), [](const auto &p_entry) { return is_spent(p_entry.second.state); }));
}

const crash_memory::trial *crash_memory::entry::find_open(instant p_now) const {
	for (const auto &[id, known] : trials) {
		const bool is_open = known.state == crash_news::TRIAL_ASKED || known.state == crash_news::TRIAL_SENT;
		if (is_open && p_now - known.at <= LONGEST_TRIAL) {
			return &known;
		}
	}
	return nullptr;
}

bool crash_memory::_take_trial(entry &r_entry, const crash_record &p_record) {
	if (r_entry.trials.size() >= MOST_KEPT) {
		std::erase_if(r_entry.trials, [](const auto &p_entry) { return !is_spent(p_entry.second.state); });
	}
	const auto [found, is_new] = r_entry.trials.try_emplace(p_record.subject, trial{ p_record.news, p_record.at });
	if (is_new) {
		return true;
	}
	// Its node tells in order, but what it told may come over two hubs.
	if (p_record.news <= found->second.state) {
		return false;
	}
	found->second = trial{ p_record.news, p_record.at };
	return true;
}

bool crash_memory::_take_served(entry &r_entry, const crash_record &p_record) {
	const auto is_before = [&p_record](instant p_at) { return p_at <= p_record.at; };
	const std::size_t crashes = std::erase_if(r_entry.crashes, [&is_before](const auto &p_entry) { return is_before(p_entry.second); });
	const std::size_t trials = std::erase_if(r_entry.trials, [&is_before](const auto &p_entry) { return is_before(p_entry.second.at); });
	r_entry.served_at = std::max(r_entry.served_at.value_or(p_record.at), p_record.at);
	return crashes + trials > 0;
}

bool crash_memory::take(const crash_record &p_record, instant p_now) {
	const auto known = _entries.find(p_record.run);
	if (known == _entries.end() && p_record.news == crash_news::SERVED) {
		return false;
	}
	if (p_now - p_record.at > LIFETIME) {
		return false;
	}
	if (known == _entries.end()) {
		_make_room();
		_places[p_record.run.place]++;
	}
	entry &target = _entries[p_record.run];
	if (target.served_at && p_record.at <= *target.served_at) {
		return false;
	}
	bool is_news = false;
	if (p_record.news == crash_news::SERVED) {
		is_news = _take_served(target, p_record);
	} else if (is_trial(p_record.news)) {
		is_news = _take_trial(target, p_record);
	} else {
		is_news = target.crashes.size() < MOST_KEPT && target.crashes.try_emplace(p_record.subject, p_record.at).second;
	}
	target.newest = std::max(target.newest, p_record.at);
	return is_news;
}

crash_verdict crash_memory::judge(const request_fingerprint &p_run, instant p_now) const {
	const auto found = _entries.find(p_run);
	if (found == _entries.end() || found->second.crashes.empty() || found->second.is_over(p_now)) {
		return {};
	}
	const entry &known = found->second;
	crash_verdict verdict{ crash_standing::SUSPECT, known.crashes.size(), known.count_spent(), duration::zero() };
	if (verdict.crashes < CRASHES_TO_TRY) {
		return verdict;
	}
	verdict.standing = crash_standing::HELD_BACK;
	if (verdict.trials >= MOST_TRIALS) {
		verdict.retry_after = known.newest + LIFETIME - p_now;
	} else if (known.find_open(p_now) != nullptr) {
		verdict.retry_after = TRIAL_RETRY_AFTER;
	} else {
		verdict.standing = crash_standing::ON_TRIAL;
	}
	return verdict;
}

bool crash_memory::may_send_trial(const request_fingerprint &p_run, std::uint64_t p_trial, instant p_now) const {
	const auto found = _entries.find(p_run);
	if (found == _entries.end()) {
		// Served meanwhile, and long ago.
		return true;
	}
	const entry &known = found->second;
	if (known.crashes.size() < CRASHES_TO_TRY) {
		return true;
	}
	if (known.count_spent() >= MOST_TRIALS) {
		return false;
	}
	return std::none_of(known.trials.begin(), known.trials.end(), [p_trial, p_now](const auto &p_entry) {
		const trial &other = p_entry.second;
		const bool is_under_way = other.state == crash_news::TRIAL_SENT && p_now - other.at <= LONGEST_TRIAL;
		const bool comes_first = other.state == crash_news::TRIAL_ASKED && p_now - other.at <= LONGEST_TRIAL && p_entry.first < p_trial;
		return p_entry.first != p_trial && (is_under_way || comes_first);
	});
}

std::vector<crash_record> crash_memory::get_records_of(const request_fingerprint &p_run) const {
	std::vector<crash_record> records;
	const auto found = _entries.find(p_run);
	if (found == _entries.end()) {
		return records;
	}
	for (const auto &[endpoint, at] : found->second.crashes) {
		records.push_back(crash_record{ crash_news::ENDED_ENDPOINT, p_run, endpoint, at });
	}
	for (const auto &[id, known] : found->second.trials) {
		records.push_back(crash_record{ known.state, p_run, id, known.at });
	}
	return records;
}

std::vector<crash_record> crash_memory::get_records(std::size_t p_most) const {
	std::vector<const std::pair<const request_fingerprint, entry> *> order;
	order.reserve(_entries.size());
	for (const auto &known : _entries) {
		order.push_back(&known);
	}
	std::stable_sort(order.begin(), order.end(), [](const auto *p_left, const auto *p_right) { return p_left->second.crashes.size() > p_right->second.crashes.size(); });
	std::vector<crash_record> records;
	for (const auto *known : order) {
		const std::vector<crash_record> of_one = get_records_of(known->first);
		if (records.size() + of_one.size() > p_most) {
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
	const auto place = _places.find(p_entry->first.place);
	if (--place->second == 0) {
		_places.erase(place);
	}
	_entries.erase(p_entry);
}

void crash_memory::_make_room() {
	if (_entries.size() < MOST_ENTRIES) {
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
	const auto end = order.begin() + GIVEN_UP_AT_ONCE;
	std::nth_element(order.begin(), end, order.end(), is_weaker);
	std::for_each(order.begin(), end, [this](const position &p_entry) { _erase(p_entry); });
}

void crash_memory::expire(instant p_now) {
	for (auto known = _entries.begin(); known != _entries.end();) {
		const auto next = std::next(known);
		if (known->second.is_over(p_now)) {
			_erase(known);
		}
		known = next;
	}
}

} // namespace calicoscale
