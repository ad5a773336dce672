/*
 * calicoscale: standin_store.cpp
 * Stand-in for the platform's store: keyed topics over HTTP.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/standins/standin_store.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace calicoscale {

namespace {

using json = nlohmann::json;

std::string decode_percent(std::string_view p_text) {
	std::string text;
	for (std::size_t i = 0; i < p_text.size(); i++) {
		if (p_text[i] == '%' && i + 2 < p_text.size()) {
			text += static_cast<char>(std::stoi(std::string(p_text.substr(i + 1, 2)), nullptr, 16));
			i += 2;
		} else {
			text += p_text[i];
		}
	}
	return text;
}

std::map<std::string, std::string> parse_query(const std::string &p_target) {
	std::map<std::string, std::string> query;
	std::size_t start = p_target.find('?');
	while (start != std::string::npos) {
		const std::size_t equals = p_target.find('=', start + 1);
		const std::size_t end = p_target.find('&', start + 1);
		query[p_target.substr(start + 1, equals - start - 1)] = decode_percent(p_target.substr(equals + 1, end == std::string::npos ? end : end - equals - 1));
		start = end;
	}
	return query;
}

std::string big_endian(std::uint64_t p_number, std::size_t p_bytes) {
	std::string bytes(p_bytes, '\0');
	for (std::size_t i = 0; i < p_bytes; i++) {
		bytes[p_bytes - 1 - i] = static_cast<char>((p_number >> (8U * i)) & 0xFFU);
	}
	return bytes;
}

std::string encode_base64(const std::string &p_bytes) {
	std::string text(4 * ((p_bytes.size() + 2) / 3) + 1, '\0');
	const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(p_bytes.data()), static_cast<int>(p_bytes.size()));
	text.resize(static_cast<std::size_t>(length));
	return text;
}

/** How often it looks for reads that have waited long enough. */
constexpr duration WAIT_CHECK = std::chrono::milliseconds(20);

} // namespace

standin_store::standin_store(event_loop &p_loop) :
		_wait_timer(p_loop, [this] { _end_waits(); }),
		_queue_timer(p_loop, [this] { _send_queued(); }),
		_server(std::make_unique<caller_server>(p_loop, network_address{ "127.0.0.1", 0 }, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_exchange(p_exchange); })) {
}

void standin_store::put(const std::string &p_topic, const std::string &p_key, const std::string &p_value) {
	_topics[p_topic].records.push_back(record{ p_key, p_value, std::nullopt });
	_wake();
}

void standin_store::put_raw(const std::string &p_topic, const std::string &p_bytes) {
	_topics[p_topic].records.push_back(record{ "", "", p_bytes });
	_wake();
}

void standin_store::set_rate(double p_bytes_per_second, duration p_longest_queue) {
	_rate = p_bytes_per_second;
	_longest_queue = p_longest_queue;
}

bool standin_store::_refuse_if_overloaded(caller_exchange &p_exchange) {
	if (_queue.empty() || _queue.back().leaves_at - event_loop::now() <= _longest_queue) {
		return false;
	}
	_refusals++;
	p_exchange.reply(503, {}, "");
	return true;
}

void standin_store::_give(const std::shared_ptr<caller_exchange> &p_exchange, int p_status, const std::vector<http_header> &p_headers, std::string p_body) {
	if (_rate == 0.0 && _queue.empty()) {
		_bytes_given += p_body.size();
		p_exchange->reply(p_status, p_headers, p_body);
		return;
	}
	const instant begins_at = _queue.empty() ? event_loop::now() : std::max(event_loop::now(), _queue.back().leaves_at);
	const duration time = _rate == 0.0 ? duration::zero() : from_seconds(static_cast<double>(p_body.size()) / _rate);
	_queue.push_back(queued_answer{ p_exchange, p_status, p_headers, std::move(p_body), begins_at + time });
	_queue_timer.set_at(_queue.front().leaves_at);
}

void standin_store::_send_queued() {
	while (!_queue.empty() && _queue.front().leaves_at <= event_loop::now()) {
		const queued_answer answer = std::move(_queue.front());
		_queue.pop_front();
		// One whose caller has gone took its time all the same: a server learns of that only afterwards.
		if (!answer.exchange->is_gone()) {
			_bytes_given += answer.body.size();
			answer.exchange->reply(answer.status, answer.headers, answer.body);
		}
	}
	if (!_queue.empty()) {
		_queue_timer.set_at(_queue.front().leaves_at);
	}
}

void standin_store::_answer_without_records(const std::shared_ptr<caller_exchange> &p_exchange, std::size_t p_offset) {
	if (!_refuse_if_overloaded(*p_exchange)) {
		_give(p_exchange, 200, _get_headers(), big_endian(p_offset, 8) + big_endian(0, 8));
	}
}

void standin_store::set_away(bool p_away) {
	_away = p_away;
	if (_away) {
		for (const waiting_read &entry : _waiting) {
			entry.exchange->reply(503, {}, "");
		}
		_waiting.clear();
		for (const queued_answer &answer : _queue) {
			answer.exchange->reply(503, {}, "");
		}
		_queue.clear();
	}
}

void standin_store::set_mute(bool p_mute) {
	_mute = p_mute;
	if (_mute) {
		lose_waiting_reads();
		for (const queued_answer &answer : _queue) {
			_unanswered.push_back(answer.exchange);
		}
		_queue.clear();
	}
}

void standin_store::lose_waiting_reads() {
	for (const waiting_read &entry : _waiting) {
		_unanswered.push_back(entry.exchange);
	}
	_waiting.clear();
}

void standin_store::come_back_from_copy() {
	for (const waiting_read &entry : _waiting) {
		entry.exchange->abort();
	}
	_waiting.clear();
	for (const queued_answer &answer : _queue) {
		answer.exchange->abort();
	}
	_queue.clear();
	_topics = _copy;
	_era++;
}

std::uint64_t standin_store::get_end(const std::string &p_topic) const {
	const auto found = _topics.find(p_topic);
	return found == _topics.end() ? 0 : found->second.records.size();
}

std::vector<http_header> standin_store::_get_headers() const {
	return _era == 0 ? std::vector<http_header>() : std::vector<http_header>{ { "Store-Era", std::to_string(_era) } };
}

void standin_store::forget_history() {
	for (auto &[name, entry] : _topics) {
		entry.first_kept = entry.records.size();
	}
}

std::size_t standin_store::count_reads_of(const std::string &p_topic) const {
	const auto found = _newest_reads.find(p_topic);
	return found == _newest_reads.end() ? 0 : found->second;
}

std::optional<std::string> standin_store::find(const std::string &p_topic, const std::string &p_key) const {
	const auto found = _topics.find(p_topic);
	if (found == _topics.end()) {
		return std::nullopt;
	}
	std::optional<std::string> value;
	for (const record &entry : found->second.records) {
		if (entry.key == p_key) {
			value = entry.value.empty() ? std::nullopt : std::optional<std::string>(entry.value);
		}
	}
	return value;
}

void standin_store::_wake() {
	for (auto entry = _waiting.begin(); entry != _waiting.end();) {
		if (entry->exchange->is_gone() || _answer_read(entry->exchange, entry->topic_name, entry->offset)) {
			entry = _waiting.erase(entry);
		} else {
			++entry;
		}
	}
}

void standin_store::_end_waits() {
	const instant now = event_loop::now();
	for (const waiting_read &entry : _waiting) {
		if (now >= entry.ends_at && !entry.exchange->is_gone()) {
			_answer_without_records(entry.exchange, entry.offset);
		}
	}
	std::erase_if(_waiting, [now](const waiting_read &p_entry) { return now >= p_entry.ends_at || p_entry.exchange->is_gone(); });
	if (!_waiting.empty()) {
		_wait_timer.set(WAIT_CHECK);
	}
}

std::size_t standin_store::count_unanswered() const {
	return static_cast<std::size_t>(std::count_if(_unanswered.begin(), _unanswered.end(), [](const std::shared_ptr<caller_exchange> &p_exchange) { return !p_exchange->is_gone(); }));
}

void standin_store::_on_exchange(const std::shared_ptr<caller_exchange> &p_exchange) {
	_calls++;
	if (_mute) {
		_unanswered.push_back(p_exchange);
		return;
	}
	if (_away) {
		p_exchange->reply(503, {}, "");
		return;
	}
	const std::string &target = p_exchange->head.target;
	const std::map<std::string, std::string> query = parse_query(target);
	const std::string path = target.substr(0, target.find('?'));
	if (path == "/log-newest") {
		_answer_newest(p_exchange, query);
	} else if (path == "/log-read") {
		const std::size_t offset = std::stoul(query.at("source"));
		if (!_answer_read(p_exchange, query.at("topic"), offset)) {
			if (query.contains("wait_ms")) {
				const instant ends_at = event_loop::now() + std::chrono::milliseconds(std::stol(query.at("wait_ms")));
				_waiting.push_back(waiting_read{ query.at("topic"), offset, p_exchange, ends_at });
				_wait_timer.set(WAIT_CHECK);
			} else {
				_answer_without_records(p_exchange, offset);
			}
		}
	} else if (path == "/log-append") {
		_append(p_exchange, query);
	} else {
		p_exchange->reply(404, {}, "");
	}
}

void standin_store::_answer_newest(const std::shared_ptr<caller_exchange> &p_exchange, const std::map<std::string, std::string> &p_query) {
	_newest_reads[p_query.at("topic")]++;
	if (_refuse_if_overloaded(*p_exchange)) {
		return;
	}
	if (!_next_pages.empty() && p_query.at("topic") == "keyed.servers") {
		_give(p_exchange, 200, {}, _next_pages.front());
		_next_pages.erase(_next_pages.begin());
		return;
	}
	const topic &entry = _topics[p_query.at("topic")];
	std::map<std::string, std::pair<std::string, std::size_t>> newest; ///< By key, the value and its offset.
	for (std::size_t offset = 0; offset < entry.records.size(); offset++) {
		const record &kept = entry.records[offset];
		if (kept.raw) {
			continue;
		}
		if (kept.value.empty()) {
			newest.erase(kept.key);
		} else {
			newest[kept.key] = { kept.value, offset };
		}
	}
	json items = json::array();
	bool has_more = false;
	const auto first = p_query.contains("since_rev") ? newest.upper_bound(p_query.at("since_rev")) : newest.begin();
	for (auto kept = first; kept != newest.end(); ++kept) {
		if (items.size() == _page_size) {
			has_more = true;
			break;
		}
		items.push_back({ { "private_key", kept->first }, { "value", encode_base64(kept->second.first) }, { "offset", kept->second.second } });
	}
	_give(p_exchange, 200, _get_headers(), json{ { "items", items }, { "has_more", has_more }, { "end_offset", entry.records.size() } }.dump());
}

bool standin_store::_answer_read(const std::shared_ptr<caller_exchange> &p_exchange, const std::string &p_topic, std::size_t p_offset) {
	const topic &entry = _topics[p_topic];
	if (p_offset == entry.records.size() && p_offset >= entry.first_kept) {
		return false;
	}
	if (_refuse_if_overloaded(*p_exchange)) {
		return true;
	}
	if (p_offset < entry.first_kept || p_offset > entry.records.size()) {
		_give(p_exchange, 410, _get_headers(), json{ { "first_offset", entry.first_kept } }.dump());
		return true;
	}
	std::string body = big_endian(entry.records.size(), 8) + big_endian(entry.first_kept, 8);
	for (std::size_t i = p_offset; i < entry.records.size(); i++) {
		const record &kept = entry.records[i];
		const std::string bytes = kept.raw ? *kept.raw : std::string(1, static_cast<char>(kept.key.size())) + kept.key + kept.value;
		body += big_endian(bytes.size(), 4) + bytes;
	}
	_give(p_exchange, 200, _get_headers(), body);
	return true;
}

void standin_store::_append(const std::shared_ptr<caller_exchange> &p_exchange, const std::map<std::string, std::string> &p_query) {
	if (_refuse_if_overloaded(*p_exchange)) {
		return;
	}
	const std::string &topic_name = p_query.at("topic");
	const std::size_t end = _topics[topic_name].records.size();
	if (p_query.contains("timestamp") && std::stoul(p_query.at("timestamp")) != end) {
		_give(p_exchange, 412, _get_headers(), json{ { "end_offset", end } }.dump());
		return;
	}
	const std::string &body = p_exchange->body;
	const std::size_t key_length = static_cast<unsigned char>(body.at(4));
	put(topic_name, body.substr(5, key_length), body.substr(5 + key_length));
	_give(p_exchange, 200, _get_headers(), json{ { "offset", 0 }, { "end_offset", _topics[topic_name].records.size() } }.dump());
}

} // namespace calicoscale
