/*
 * calicoscale: stream_fleet.cpp
 * A fleet of any size in virtual time, whose callers resume streams while the software of the endpoints is updated.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "tests/servers/streams/stream_fleet.h"

#include "drivers/link_codec.h"

#include <algorithm>

namespace calicoscale {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t HUBS_IN_ZONE = 8;
constexpr std::size_t FRAME_BYTES = 4;
constexpr duration LATENCY_IN_ZONE = milliseconds(1);
constexpr duration LATENCY_BETWEEN_ZONES = milliseconds(15);
constexpr duration STREAM_LIFETIME = std::chrono::seconds(9);
constexpr duration LOOKUP_TIME = milliseconds(400);
constexpr std::uint64_t MAX_STREAM_MS = 3000;
constexpr std::uint64_t MAX_RETURN_MS = 40;
/** A caller resumes a stream so often at most. */
constexpr int RESUMPTIONS = 2;

std::size_t count_bytes(const link_message &p_message) {
	return encode(p_message).size() + FRAME_BYTES;
}

} // namespace

stream_fleet::stream_fleet(std::size_t p_nodes, double p_broken_share, std::uint64_t p_seed) :
		_random(p_seed), _broken_share(p_broken_share) {
	for (std::size_t i = 0; i < p_nodes; i++) {
		node made;
		made.name = record_node{ "n" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)) };
		made.is_hub = i < HUBS_IN_ZONE * 3;
		_by_name[made.name.vm] = i;
		if (made.is_hub) {
			_hubs.push_back(i);
		}
		_nodes.push_back(std::move(made));
	}
}

void stream_fleet::_schedule(duration p_delay, std::function<void()> p_run) {
	_events.push(event{ _now + p_delay, _next_order++, std::move(p_run) });
}

bool stream_fleet::_is_cut(const node &p_left, const node &p_right) const {
	return !_cut_zone.empty() && p_left.name.zone != p_right.name.zone && (p_left.name.zone == _cut_zone || p_right.name.zone == _cut_zone);
}

std::vector<record_node> stream_fleet::_get_view(const node &p_viewer) const {
	std::vector<record_node> view;
	for (const std::size_t hub : _hubs) {
		const node &other = _nodes[hub];
		const bool is_noticed = _now - other.changed_at >= DETECTION_TIME;
		const bool is_cut_noticed = _is_cut(p_viewer, other) && _now - _cut_at >= DETECTION_TIME;
		if (other.is_running == is_noticed && !is_cut_noticed) {
			view.push_back(other.name);
		}
	}
	return view;
}

void stream_fleet::_send(std::size_t p_from, std::size_t p_to, std::size_t p_bytes, std::function<void()> p_on_received) {
	_nodes[p_from].bytes += p_bytes;
	const instant sent_at = _now;
	const duration latency = _nodes[p_from].name.zone == _nodes[p_to].name.zone ? LATENCY_IN_ZONE : LATENCY_BETWEEN_ZONES;
	_schedule(latency, [this, p_from, p_to, sent_at, on_received = std::move(p_on_received)] {
		const node &receiver = _nodes[p_to];
		// A message on a link to an earlier process is lost.
		if (receiver.is_running && receiver.changed_at <= sent_at && !_is_cut(_nodes[p_from], receiver)) {
			on_received();
		}
	});
}

std::optional<std::size_t> stream_fleet::_choose_node(const std::string &p_zone) {
	std::optional<std::size_t> of_other_zone;
	const std::size_t first = _random.get_bits() % _nodes.size();
	for (std::size_t i = 0; i < _nodes.size(); i++) {
		const std::size_t candidate = (first + i) % _nodes.size();
		if (!_nodes[candidate].is_running) {
			continue;
		}
		if (_nodes[candidate].name.zone == p_zone) {
			return candidate;
		}
		of_other_zone = of_other_zone ? of_other_zone : std::optional(candidate);
	}
	return of_other_zone;
}

std::string stream_fleet::_choose_version() {
	std::vector<std::string> versions;
	for (const auto &[version, count] : _endpoints) {
		versions.insert(versions.end(), count, version);
	}
	return versions[_random.get_bits() % versions.size()];
}

void stream_fleet::_publish(std::size_t p_node, const stream_key &p_key, const std::string &p_version) {
	node &writer = _nodes[p_node];
	const stream_record record{ p_key, 1, stream_origin{ "llm", p_version }, _now + STREAM_LIFETIME };
	writer.table->take(record, _now);
	const std::size_t bytes = count_bytes(report_streams_message{ { reported_stream{ p_key, 1, record.origin, STREAM_LIFETIME } } });
	for (const std::string &vm : choose_holders(p_key, _get_view(writer), writer.name.zone)) {
		const std::size_t holder = _by_name.at(vm);
		if (holder != p_node) {
			_send(p_node, holder, bytes, [this, holder, record] { _nodes[holder].table->take(record, _now); });
		}
	}
}

void stream_fleet::_begin_stream(const std::string &p_zone) {
	const std::optional<std::size_t> chosen = _choose_node(p_zone);
	if (!chosen) {
		return;
	}
	const std::string version = _choose_version();
	const stream_key key = make_stream_key("hearth", std::to_string(_next_stream++));
	_publish(*chosen, key, version);
	_schedule(milliseconds(1 + _random.get_bits() % MAX_STREAM_MS), [this, p_zone, key, version] { _resume(p_zone, key, version, RESUMPTIONS); });
}

void stream_fleet::_resume(const std::string &p_zone, const stream_key &p_key, const std::string &p_version, int p_resumptions) {
	if (p_resumptions == 0 || _random.get_unit() >= _broken_share) {
		return;
	}
	_schedule(milliseconds(1 + _random.get_bits() % MAX_RETURN_MS), [this, p_zone, p_key, p_version, p_resumptions] {
		const std::optional<std::size_t> chosen = _choose_node(p_zone);
		if (!chosen) {
			return;
		}
		const std::shared_ptr<lookup> made = std::make_shared<lookup>(lookup{ stream_lookup(_now, _now + LOOKUP_TIME), p_key, *chosen, p_version });
		_ask(made, lookup_round::FIRST_SOURCES);
		_advance(made, [this, p_zone, p_key, p_version, p_resumptions, node = *chosen] {
			_publish(node, p_key, p_version);
			_schedule(milliseconds(1 + _random.get_bits() % MAX_STREAM_MS), [this, p_zone, p_key, p_version, p_resumptions] { _resume(p_zone, p_key, p_version, p_resumptions - 1); });
		});
	});
}

void stream_fleet::_ask(const std::shared_ptr<lookup> &p_lookup, lookup_round p_round) {
	const node &asker = _nodes[p_lookup->node];
	const std::vector<record_node> view = _get_view(asker);
	std::vector<std::string> nodes = choose_sources(p_lookup->key, view, asker.name.zone);
	std::erase(nodes, asker.name.vm);
	const std::size_t first = std::min(nodes.size(), FIRST_SOURCE_COUNT);
	if (p_round == lookup_round::FIRST_SOURCES) {
		nodes.resize(first);
	} else if (p_round == lookup_round::ALL_SOURCES) {
		nodes.erase(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(first));
	} else {
		nodes.clear();
		for (const record_node &other : view) {
			if (other.vm != asker.name.vm) {
				nodes.push_back(other.vm);
			}
		}
	}
	p_lookup->state.on_asked(nodes);
	const std::size_t asked_bytes = count_bytes(request_stream_message{ 1, p_lookup->key });
	for (const std::string &vm : nodes) {
		const std::size_t source = _by_name.at(vm);
		_send(p_lookup->node, source, asked_bytes, [this, p_lookup, source, vm] {
			lookup_answer answer;
			stream_answer_message message;
			if (const stream_record *record = _nodes[source].table->find(p_lookup->key, _now)) {
				answer.origin = record->origin;
				message.record = reported_stream{ record->key, 1, record->origin, STREAM_LIFETIME };
			}
			_send(source, p_lookup->node, count_bytes(message), [p_lookup, vm, answer] { p_lookup->state.on_answer(vm, answer); });
		});
	}
}

void stream_fleet::_advance(const std::shared_ptr<lookup> &p_lookup, const std::function<void()> &p_on_continued) {
	const node &asker = _nodes[p_lookup->node];
	if (!asker.is_running) {
		return;
	}
	if (const std::optional<lookup_round> next = p_lookup->state.take_round(_now)) {
		_ask(p_lookup, *next);
	}
	const stream_record *own = asker.table->find(p_lookup->key, _now);
	const lookup_state state = own != nullptr ? lookup_state::FOUND : p_lookup->state.get_state(_now);
	if (state == lookup_state::OPEN) {
		_schedule(milliseconds(2), [this, p_lookup, p_on_continued] { _advance(p_lookup, p_on_continued); });
		return;
	}
	const std::size_t serving = _endpoints[p_lookup->version];
	if (state != lookup_state::FOUND) {
		_counts.refused += serving >= 2 ? 1 : 0;
		return;
	}
	const std::string found = own != nullptr ? own->origin.version : p_lookup->state.get_origin()->version;
	_counts.mixed += found != p_lookup->version ? 1 : 0;
	_counts.gone += serving == 0 ? 1 : 0;
	if (serving > 0) {
		_counts.continued++;
		p_on_continued();
	}
}

void stream_fleet::run(double p_streams_per_second, duration p_time) {
	const instant end = _now + p_time;
	const duration pause = from_seconds(1.0 / p_streams_per_second);
	instant next_stream = _now;
	while (true) {
		if (next_stream < end && (_events.empty() || next_stream <= _events.top().at)) {
			_now = std::max(_now, next_stream);
			next_stream += pause;
			_begin_stream(std::string(1, static_cast<char>('a' + _random.get_bits() % 3)));
			continue;
		}
		if (_events.empty() || _events.top().at > end) {
			break;
		}
		const event next = _events.top();
		_events.pop();
		_now = next.at;
		next.run();
	}
	_now = end;
	for (node &entry : _nodes) {
		entry.table->expire(_now);
	}
}

void stream_fleet::kill(double p_share, duration p_down_time) {
	const std::size_t count = static_cast<std::size_t>(p_share * static_cast<double>(_nodes.size()));
	const std::size_t first = _random.get_bits() % _nodes.size();
	// Every other node from a random one on, so that the nodes of a zone fail in equal parts and hubs as well as others.
	const std::size_t stride = count * 2 <= _nodes.size() ? 2 : 1;
	for (std::size_t k = 0; k < count; k++) {
		const std::size_t i = (first + k * stride) % _nodes.size();
		if (!_nodes[i].is_running) {
			continue;
		}
		_nodes[i].is_running = false;
		_nodes[i].changed_at = _now;
		_nodes[i].table = std::make_unique<stream_table>();
		_schedule(p_down_time, [this, i] {
			_nodes[i].is_running = true;
			_nodes[i].changed_at = _now;
		});
	}
}

void stream_fleet::cut(const std::string &p_zone) {
	_cut_zone = p_zone;
	_cut_at = _now;
}

resumption_counts stream_fleet::take_counts() {
	const resumption_counts counts = _counts;
	_counts = resumption_counts();
	return counts;
}

std::size_t stream_fleet::get_most_bytes() const {
	return std::max_element(_nodes.begin(), _nodes.end(), [](const node &p_left, const node &p_right) { return p_left.bytes < p_right.bytes; })->bytes;
}

std::size_t stream_fleet::get_most_records() const {
	return std::max_element(_nodes.begin(), _nodes.end(), [](const node &p_left, const node &p_right) { return p_left.table->get_size() < p_right.table->get_size(); })->table->get_size();
}

} // namespace calicoscale
