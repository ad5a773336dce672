/*
 * calicoscale: gateway_fleet.cpp
 * This gateway among the others: links, heartbeats, configuration and leaving endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway_fleet.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** A cut-off zone is noticed within this after its silence is long enough. */
constexpr duration WATCH_INTERVAL = std::chrono::milliseconds(50);
/** A node that restarts is back in about a second; others should not wait much longer to reach it. */
constexpr duration LONGEST_BACK_OFF = std::chrono::milliseconds(1000);
constexpr duration NAMES_INTERVAL = std::chrono::seconds(2);
constexpr duration NAME_RETRY = std::chrono::seconds(3);
constexpr duration ASK_INTERVAL = std::chrono::milliseconds(300);
/** A node that starts asks nothing; it is told what it may lack until it is ready. */
constexpr duration TELL_INTERVAL = std::chrono::milliseconds(1000);
/** Each node is linked to every other, so what one knows of others is told each so many beats only, for those that start. */
constexpr int BEATS_PER_RUMOUR = 5;
/** A pool's dispatcher handles the work of all nodes; nodes with less than this part of the largest one's processor do not. */
constexpr double LEAST_PART_TO_DISPATCH = 0.6;

} // namespace

gateway_fleet::gateway_fleet(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, commitment_table &p_commitments) :
		_context(p_context),
		_configuration(p_configuration),
		_endpoints(p_endpoints),
		_commitments(p_commitments),
		_link(p_context.loop, p_context.settings.link_address, link_identity{ p_context.settings.vm, p_context.incarnation, p_context.settings.fleet_key, LONGEST_BACK_OFF }),
		_members(member_digest{ p_context.settings.vm, p_context.incarnation, 0, p_context.settings.zone, p_context.settings.region, _link.get_address(), network_address(), false, false, 0, {}, p_context.settings.cores }),
		_beat_timer(p_context.loop, [this] { _beat(); }),
		_watch_timer(p_context.loop, [this] { _watch(); }) {
	_link.heartbeat_received().connect([this](const std::string &p_vm, const heartbeat_message &p_message) { _on_heartbeat(p_vm, p_message); });
	_link.configuration_asked().connect([this](const std::string &p_vm, std::uint64_t p_have) { _on_configuration_asked(p_vm, p_have); });
	_link.configuration_told().connect([this](const std::string &p_vm, const configuration_snapshot &p_snapshot) { _configuration.offer(p_snapshot.document, "peer/" + p_vm); });
	_link.link_up().connect([this](const std::string &p_vm) {
		_contacts.on_linked(p_vm);
		_send_heartbeat(p_vm, _make_heartbeat(true), true);
	});
	_link.link_down().connect([this](const std::string &p_vm) { _set_live(p_vm, false); });
	_link.endpoints_told().connect([this](const std::string &p_vm, const tell_endpoints_message &p_message) { _endpoints.offer(p_message.endpoints, p_vm); });
	_link.reading_told().connect([this](const std::string &p_vm, const tell_reading_message &p_message) { _on_reading_told(p_vm, p_message.reading); });
	_endpoints.reading_taken().connect([this](const endpoint_reading &p_reading) { _tell_reading(p_reading); });
	_configuration.changed().connect([this] { _send_heartbeats(true); });
}

void gateway_fleet::start() {
	_beat();
	_watch();
}

void gateway_fleet::_watch() {
	if (!_context.settings.without.has(mechanism::ZONE_SILENCE)) {
		return;
	}
	const std::vector<zone_reach::change> changes = _context.zones.check(event_loop::now());
	for (const zone_reach::change &change : changes) {
		_context.log.write(log_line(change.is_reached ? "zone_reached" : "zone_cut_off").add("zone", change.zone));
		if (change.is_reached) {
			_unreached_zones.erase(change.zone);
		} else {
			_unreached_zones.insert(change.zone);
		}
	}
	if (!changes.empty()) {
		_note_changes();
		_reach_changed.emit(_unreached_zones);
	}
	_watch_timer.set(WATCH_INTERVAL);
}

bool gateway_fleet::_is_heard(const std::string &p_vm, instant p_now) const {
	if (!_contacts.is_heard(p_vm, p_now) || !_link.is_linked(p_vm)) {
		return false;
	}
	const member *peer = _members.find(p_vm);
	return peer == nullptr || !_context.settings.without.has(mechanism::ZONE_SILENCE) || _context.zones.is_reached(peer->digest.zone, p_now);
}

std::vector<std::string> gateway_fleet::get_live_nodes() const {
	const instant now = event_loop::now();
	std::vector<std::string> nodes;
	if (!_leaving) {
		nodes.push_back(get_vm());
	}
	for (const auto &[vm, entry] : _members.get_members()) {
		if (!entry.digest.leaving && _is_heard(vm, now)) {
			nodes.push_back(vm);
		}
	}
	if (nodes.empty()) {
		nodes.push_back(get_vm());
	}
	std::sort(nodes.begin(), nodes.end());
	return nodes;
}

void gateway_fleet::set_ready(bool p_ready) {
	if (p_ready != _ready) {
		_ready = p_ready;
		_send_heartbeats(true);
	}
}

std::vector<std::string> gateway_fleet::get_ready_nodes() const {
	std::vector<std::string> nodes;
	for (const std::string &vm : get_live_nodes()) {
		const member *peer = _members.find(vm);
		const bool is_ready = peer == nullptr ? _ready : peer->digest.ready;
		if (is_ready) {
			nodes.push_back(vm);
		}
	}
	return nodes;
}

std::vector<std::string> gateway_fleet::_keep_larger(std::vector<std::string> p_nodes) const {
	const auto get_cores = [this](const std::string &p_vm) {
		const member *peer = _members.find(p_vm);
		return peer == nullptr ? _context.settings.cores : peer->digest.cores;
	};
	double most = 0.0;
	for (const std::string &vm : p_nodes) {
		most = std::max(most, get_cores(vm));
	}
	std::erase_if(p_nodes, [&get_cores, most](const std::string &p_vm) { return get_cores(p_vm) < most * LEAST_PART_TO_DISPATCH; });
	return p_nodes;
}

std::vector<std::string> gateway_fleet::get_dispatch_nodes() const {
	const bool by_size = _context.settings.without.has(mechanism::DISPATCH_BY_SIZE);
	return by_size ? _keep_larger(get_ready_nodes()) : get_ready_nodes();
}

void gateway_fleet::_help_unready(const member_digest &p_peer, instant p_now) {
	if (p_peer.ready || p_peer.leaving || !_endpoints.is_loaded()) {
		return;
	}
	instant &told = _told_endpoints_at[p_peer.vm];
	if (told == instant{} || p_now - told > TELL_INTERVAL) {
		told = p_now;
		_link.send(p_peer.vm, tell_endpoints_message{ _endpoints.get_directory().get_listings() });
	}
}

void gateway_fleet::_beat() {
	const instant now = event_loop::now();
	_members.tick(now);
	_dial();
	_use_store();
	_share_reading();
	_endpoints.drop_told();
	_collect_news();
	_send_heartbeats(false);
	_note_changes();
	_beat_timer.set(peer_contacts::get_interval(true));
}

void gateway_fleet::_dial() {
	const std::vector<std::string> linked = _link.get_linked();
	if (linked.empty()) {
		for (const network_address &peer : _context.settings.peers) {
			if (!(peer == _link.get_address())) {
				_link.dial_unnamed(peer);
			}
		}
	}
	for (const auto &[vm, entry] : _members.get_members()) {
		if (entry.state == member_state::GONE || entry.digest.link.port == 0) {
			continue;
		}
		if (!_link.is_linked(vm)) {
			_link.dial(vm, entry.digest.link);
		}
	}
}

void gateway_fleet::_use_store() {
	const instant now = event_loop::now();
	if (!_named_in_store && now - _named_at > NAME_RETRY) {
		_named_at = now;
		const std::string value = to_string(_link.get_address()) + " " + _context.settings.zone;
		_context.store.put(std::string(get_node_topic()), get_vm(), value, [this](bool p_written) { _named_in_store = _named_in_store || p_written; });
	}
	// Seeds may all be stale, and a zone that was cut off may know nobody: then the names in the store help.
	if (_link.get_linked().empty() && now - _read_names_at > NAMES_INTERVAL) {
		_read_names_at = now;
		_context.store.read_newest(std::string(get_node_topic()), true, [this](const store_answer &p_answer) {
			for (const store_record &record : p_answer.records) {
				const network_address address = record.value ? parse_network_address(record.value->substr(0, record.value->find(' '))) : network_address();
				if (record.key != get_vm() && address.port != 0) {
					_link.dial(record.key, address);
				}
			}
		});
	}
}

bool gateway_fleet::_is_in_own_zone(const std::string &p_vm) const {
	const member *peer = _members.find(p_vm);
	return peer == nullptr ? p_vm == get_vm() : peer->digest.zone == _context.settings.zone;
}

void gateway_fleet::_share_reading() {
	if (!_context.settings.without.has(mechanism::STORE_READERS)) {
		return;
	}
	std::vector<std::string> candidates = get_live_nodes();
	std::erase_if(candidates, [this](const std::string &p_vm) { return !_is_in_own_zone(p_vm); });
	candidates = _keep_larger(std::move(candidates));
	const bool is_reader = choose_reader(_context.settings.zone, candidates) == get_vm();
	if (is_reader != _is_reader) {
		_is_reader = is_reader;
		_context.log.write(log_line("store_reader").add("zone", _context.settings.zone).add("reads", is_reader ? "yes" : "no").add("candidates", static_cast<long long>(candidates.size())));
	}
	const instant now = event_loop::now();
	const bool is_covered = _cover.is_covered(
			_configuration.get_version(), [this, now](const std::string &p_vm) { return _is_heard(p_vm, now); }, now);
	_configuration.set_covered(!_is_reader && is_covered && _configuration.get_current() != nullptr);
}

void gateway_fleet::_tell_reading(const endpoint_reading &p_reading) {
	if (!_is_reader) {
		return;
	}
	for (const std::string &vm : _link.get_linked()) {
		if (_is_in_own_zone(vm)) {
			_link.send(vm, tell_reading_message{ p_reading });
		}
	}
}

void gateway_fleet::_on_reading_told(const std::string &p_vm, const endpoint_reading &p_reading) {
	if (!_context.settings.without.has(mechanism::STORE_READERS)) {
		return;
	}
	_collect_news();
	_endpoints.take_reading(p_reading, p_vm);
	// The reader tells all nodes what it saw; that need not be told again by each node of its zone.
	_endpoints.get_directory().take_news();
	_endpoints.get_directory().take_gone();
}

void gateway_fleet::_collect_news() {
	const instant now = event_loop::now();
	for (const std::string &endpoint : _endpoints.get_directory().take_news()) {
		_contacts.add_news(endpoint_news{ endpoint, false }, now);
	}
	for (const std::string &endpoint : _endpoints.get_directory().take_gone()) {
		_contacts.add_news(endpoint_news{ endpoint, true }, now);
	}
	const auto is_back = [this](const endpoint_news &p_news) { return p_news.is_gone && _endpoints.get_directory().contains(p_news.endpoint); };
	_contacts.forget_news(is_back, now);
}

heartbeat_message gateway_fleet::_make_heartbeat(bool p_with_rumours) {
	_members.update_self(_ready, _leaving, _configuration.get_version(), {});
	heartbeat_message message;
	message.digests = p_with_rumours ? _members.make_heartbeat() : _members.make_own_heartbeat();
	message.commitments = _commitments.get_own();
	message.follows = _configuration.is_following();
	if (_get_capacities) {
		message.capacities = _get_capacities();
	}
	return message;
}

void gateway_fleet::_send_heartbeat(const std::string &p_vm, heartbeat_message p_message, bool p_is_close) {
	p_message.next_in = peer_contacts::get_interval(p_is_close);
	for (const endpoint_news &news : _contacts.on_sent(p_vm, event_loop::now())) {
		if (news.is_gone) {
			p_message.gone.push_back(news.endpoint);
		} else {
			p_message.marks.push_back(leaving_mark{ news.endpoint, 0 });
		}
	}
	_context.metrics.count("heartbeats_sent");
	_context.metrics.count("endpoint_news_sent", static_cast<double>(p_message.gone.size() + p_message.marks.size()));
	_link.send(p_vm, p_message);
}

void gateway_fleet::_send_heartbeats(bool p_to_all) {
	const instant now = event_loop::now();
	const std::vector<std::string> dispatching = get_dispatch_nodes();
	const auto is_dispatching = [&dispatching](const std::string &p_vm) { return std::binary_search(dispatching.begin(), dispatching.end(), p_vm); };
	const bool am_dispatching = is_dispatching(get_vm());
	const bool has_rumours = _beats++ % BEATS_PER_RUMOUR == 0;
	const heartbeat_message full = _make_heartbeat(has_rumours);
	heartbeat_message brief = full;
	brief.digests.resize(1);
	for (const std::string &vm : _link.get_linked()) {
		// Nobody dispatches until a node is ready; then all must learn soon of who is there.
		const bool is_close = am_dispatching || is_dispatching(vm) || dispatching.empty() || (_is_reader && _is_in_own_zone(vm));
		if (p_to_all || _contacts.is_due(vm, is_close, now)) {
			_send_heartbeat(vm, is_close ? full : brief, is_close);
		}
	}
}

void gateway_fleet::_set_live(const std::string &p_vm, bool p_live) {
	bool &was_live = _was_live[p_vm];
	if (p_live == was_live) {
		return;
	}
	was_live = p_live;
	const member *peer = _members.find(p_vm);
	const bool is_leaving = peer != nullptr && peer->digest.leaving;
	_context.log.write(log_line(p_live ? "peer_live" : "peer_lost").add("vm", p_vm).add("leaving", is_leaving ? "yes" : "no"));
	if (!p_live) {
		_commitments.forget_peer(p_vm);
		_peer_lost.emit(p_vm);
	}
}

void gateway_fleet::_note_changes() {
	const instant now = event_loop::now();
	for (const auto &[vm, entry] : _members.get_members()) {
		// A node that stops still ends what was handed to it, and waits for what it handed over: it is lost when it is silent.
		_set_live(vm, _is_heard(vm, now));
	}
	for (const std::string &vm : _contacts.get_dead(now)) {
		if (_link.is_linked(vm)) {
			_link.drop(vm);
		}
	}
	_members.take_changes();
}

void gateway_fleet::_on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message) {
	const instant now = event_loop::now();
	_contacts.on_heard(p_vm, p_message.next_in, now);
	const std::size_t known = _members.get_members().size();
	_members.take_digests(p_message.digests, now);
	if (_members.get_members().size() > known) {
		_dial();
	}
	for (const leaving_mark &mark : p_message.marks) {
		_endpoints.mark_leaving(mark.vm);
	}
	for (const std::string &endpoint : p_message.gone) {
		_endpoints.mark_gone(endpoint, p_vm);
	}
	_commitments.take_peer(p_vm, p_message.commitments);
	const member *peer = _members.find(p_vm);
	if (_cover.on_heartbeat(p_vm, p_message.follows, p_message.next_in, peer == nullptr ? 0 : peer->digest.configuration_version)) {
		_share_reading();
	}
	for (const pool_capacity &entry : p_message.capacities) {
		_commitments.set_capacity(entry.pool, entry.replicas);
	}
	if (peer != nullptr) {
		_context.zones.on_node_heard(peer->digest.zone, now);
		_help_unready(peer->digest, now);
	}
	if (peer == nullptr || peer->digest.configuration_version <= _configuration.get_version()) {
		return;
	}
	instant &asked = _asked_at[peer->digest.configuration_version];
	if (asked == instant{} || now - asked > ASK_INTERVAL) {
		asked = now;
		_link.ask_configuration(p_vm, _configuration.get_version());
	}
	while (_asked_at.size() > 4) {
		_asked_at.erase(_asked_at.begin());
	}
}

void gateway_fleet::_on_configuration_asked(const std::string &p_vm, std::uint64_t p_have) {
	if (_configuration.get_version() > p_have) {
		_link.send(p_vm, configuration_snapshot{ _configuration.get_version(), 0, true, "", _configuration.get_document() });
	}
}

void gateway_fleet::announce_leaving() {
	_leaving = true;
	_send_heartbeats(true);
}

} // namespace calicoscale
