/*
 * calicoscale: gateway_fleet.cpp
 * This node's view of the other gateway nodes: links, heartbeats, configuration and leaving endpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway_fleet.h"

#include "drivers/activity_scope.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Interval of liveness checks. An unreachable zone is detected at most this long after its silence reaches the limit. */
constexpr duration WATCH_INTERVAL = std::chrono::milliseconds(50);
/** Maximum pause between attempts to connect. A node restarts in about a second, and peers should reach it soon afterwards. */
constexpr duration MAX_BACK_OFF = std::chrono::milliseconds(1000);
/** Heartbeats between two relays of digests by a hub. Without them, nodes that have no link to each other would forget each other. */
constexpr int HEARTBEATS_PER_RELAY = 5;
/** Time in which a new hub, which may be a node that has just started, learns of the other hubs and links to them. */
constexpr duration HUB_DISCOVERY_TIME = std::chrono::milliseconds(300);
/** Time for which a link is kept after stage work used it. Longer than the lifetime of results, as their release is sent over it. */
constexpr duration WORK_LINK_LIFETIME = std::chrono::seconds(15);
/** Maximum number of node names in a log line. */
constexpr std::size_t MAX_LOGGED_NODES = 24;

bool contains(const std::vector<std::string> &p_names, const std::string &p_name) {
	return std::find(p_names.begin(), p_names.end(), p_name) != p_names.end();
}

std::string join(const std::vector<std::string> &p_names) {
	std::string text;
	for (std::size_t i = 0; i < std::min(p_names.size(), MAX_LOGGED_NODES); i++) {
		text += (text.empty() ? "" : ",") + p_names[i];
	}
	return text;
}

} // namespace

gateway_fleet::gateway_fleet(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, evacuation_follower &p_evacuations) :
		_context(p_context),
		_configuration(p_configuration),
		_endpoints(p_endpoints),
		_evacuations(p_evacuations),
		_link(p_context.loop, p_context.settings.link_address, link_identity{ p_context.settings.vm, p_context.incarnation, p_context.settings.fleet_key, MAX_BACK_OFF, p_context.settings.mechanisms.has(mechanism::REQUESTED_LISTS), p_context.settings.get_max_links() }),
		_members(member_digest{ p_context.settings.vm, p_context.incarnation, 0, p_context.settings.zone, p_context.settings.region, _link.get_address(), network_address(), false, false, 0, {}, p_context.settings.cores }),
		_overlay(p_context.settings.vm, p_context.settings.zone),
		_store(p_context, p_configuration, p_endpoints, _link, store_sharing_hooks{ [this](const std::string &p_vm) { return is_responsive(p_vm); }, [this](const std::string &p_vm) { return _is_in_own_zone(p_vm); }, [this] { return get_followers(); }, [this] { _collect_updates(); } }),
		_names(p_context, p_endpoints, _link, [this](const named_node &p_node) { return _get_named_state(p_node); }),
		_bootstrap(p_configuration, p_endpoints, _link, p_context.settings.link_bytes, [this](const std::string &p_vm) { return _is_ready(p_vm); }),
		_heartbeat_timer(p_context.loop, [this] { _send_due_heartbeats(); }),
		_watch_timer(p_context.loop, [this] { _watch(); }),
		_seed_order(p_context.settings.vm) {
	_link.heartbeat_received().connect([this](const std::string &p_vm, const heartbeat_message &p_message) { _on_heartbeat(p_vm, p_message); });
	_link.link_up().connect([this](const std::string &p_vm) { _on_link_up(p_vm); });
	_link.link_down().connect([this](const std::string &p_vm) { _on_link_down(p_vm); });
	_link.peer_replaced().connect([this](const std::string &p_vm) { _on_peer_replaced(p_vm); });
	_link.connection_refused().connect([this] { _on_connection_refused(); });
	_link.endpoints_declined().connect([this](const std::string &) { _request_list(); });
	_configuration.changed().connect([this] { _send_heartbeats(heartbeat_scope::CLOSE); });
	_evacuations.changed().connect([this](const evacuation_change &) { _send_heartbeats(heartbeat_scope::CLOSE); });
}

void gateway_fleet::start() {
	_send_due_heartbeats();
	_watch();
}

void gateway_fleet::_log_dispatchers() {
	std::vector<std::string> nodes = get_dispatch_nodes();
	if (nodes == _dispatchers_logged) {
		return;
	}
	_dispatchers_logged = std::move(nodes);
	const std::size_t heard = get_live_nodes().size() - (_leaving ? 0 : 1);
	_context.log.write(log_line("dispatchers").add("count", static_cast<long long>(_dispatchers_logged.size())).add("self", contains(_dispatchers_logged, get_vm()) ? "yes" : "no").add("is_hub", _plan.is_hub ? "yes" : "no").add("known", static_cast<long long>(_members.get_members().size())).add("heard", static_cast<long long>(heard)).add("links", static_cast<long long>(_link.get_linked().size())).add("relies_on", get_followed_hub()).add("nodes", join(_dispatchers_logged)));
}

void gateway_fleet::_watch() {
	_watch_timer.set(WATCH_INTERVAL);
	_log_dispatchers();
	if (!_context.settings.mechanisms.has(mechanism::ZONE_SILENCE)) {
		return;
	}
	_context.zones.check(event_loop::now());
	if (_knows_hubs) {
		_set_unreachable_zones(_context.zones.get_unreachable());
	}
}

void gateway_fleet::_set_unreachable_zones(std::set<std::string> p_zones) {
	if (p_zones == _unreachable_zones) {
		return;
	}
	for (const std::string &zone : p_zones) {
		if (!_unreachable_zones.contains(zone)) {
			_context.log.write(log_line("zone_cut_off").add("zone", zone).add("source", _knows_hubs ? "this node" : "peer/" + _store.get_reader()));
		}
	}
	for (const std::string &zone : _unreachable_zones) {
		if (!p_zones.contains(zone)) {
			_context.log.write(log_line("zone_reached").add("zone", zone).add("source", _knows_hubs ? "this node" : "peer/" + _store.get_reader()));
		}
	}
	_unreachable_zones = std::move(p_zones);
	if (_plan.is_hub) {
		_send_heartbeats(heartbeat_scope::CLOSE);
	}
	_update_liveness();
	_reach_changed.emit(_unreachable_zones);
}

bool gateway_fleet::_is_responsive(const std::string &p_vm, instant p_now) const {
	if (!_contacts.is_responsive(p_vm, p_now) || !_link.is_linked(p_vm) || _reported.is_lost(p_vm)) {
		return false;
	}
	const member *peer = _members.find(p_vm);
	if (peer == nullptr || !_context.settings.mechanisms.has(mechanism::ZONE_SILENCE)) {
		return true;
	}
	// Only an established hub receives enough from other zones to judge their silence.
	return _knows_hubs ? _context.zones.is_reached(peer->digest.zone, p_now) : !_unreachable_zones.contains(peer->digest.zone);
}

std::vector<std::string> gateway_fleet::get_live_nodes() const {
	const instant now = event_loop::now();
	std::vector<std::string> nodes;
	if (!_leaving) {
		nodes.push_back(get_vm());
	}
	for (const auto &[vm, entry] : _members.get_members()) {
		if (!entry.digest.leaving && _is_responsive(vm, now)) {
			nodes.push_back(vm);
		}
	}
	return nodes;
}

void gateway_fleet::set_ready(bool p_ready) {
	if (p_ready != _ready) {
		_ready = p_ready;
		_send_heartbeats(heartbeat_scope::CLOSE);
	}
}

std::vector<std::string> gateway_fleet::_find_dispatchers() const {
	const instant now = event_loop::now();
	std::vector<overlay_node> nodes;
	for (const std::string &vm : _plan.hubs) {
		const member *peer = _members.find(vm);
		if (vm == get_vm()) {
			if (_ready && !_leaving) {
				nodes.push_back(overlay_node{ vm, _context.settings.zone, _context.settings.cores });
			}
		} else if (peer != nullptr && peer->digest.ready && !peer->digest.leaving && _is_responsive(vm, now)) {
			nodes.push_back(overlay_node{ vm, peer->digest.zone, peer->digest.cores });
		}
	}
	if (_context.settings.mechanisms.has(mechanism::DISPATCH_BY_SIZE)) {
		nodes = select_large_nodes(std::move(nodes));
	}
	std::vector<std::string> names;
	names.reserve(nodes.size());
	for (const overlay_node &node : nodes) {
		names.push_back(node.vm);
	}
	std::sort(names.begin(), names.end());
	return names;
}

std::vector<std::string> gateway_fleet::get_dispatch_nodes() const {
	if (_plan.is_hub) {
		return _find_dispatchers();
	}
	const instant now = event_loop::now();
	std::vector<std::string> nodes = _reported.get_dispatchers();
	std::erase_if(nodes, [this, now](const std::string &p_vm) {
		const member *peer = _members.find(p_vm);
		const bool is_silent = (_link.is_linked(p_vm) || _reported.is_down(p_vm, now)) && !_is_responsive(p_vm, now);
		return is_silent || _reported.is_lost(p_vm) || (peer != nullptr && peer->digest.leaving);
	});
	return nodes;
}

bool gateway_fleet::knows_fleet() const {
	if (!_plan.is_hub) {
		return !_reported.get_dispatchers().empty();
	}
	const instant now = event_loop::now();
	std::size_t heard = 0;
	for (const auto &[vm, entry] : _members.get_members()) {
		if (entry.digest.leaving || !_is_responsive(vm, now)) {
			continue;
		}
		if (!entry.digest.ready) {
			return false;
		}
		heard++;
	}
	return heard > 0 && _ready && _plan.is_settled;
}

std::uint32_t gateway_fleet::_count_zone() const {
	const instant now = event_loop::now();
	std::uint32_t count = _leaving ? 0 : 1;
	for (const auto &[vm, entry] : _members.get_members()) {
		count += entry.digest.zone == _context.settings.zone && !entry.digest.leaving && _is_responsive(vm, now) ? 1 : 0;
	}
	return count;
}

std::uint32_t gateway_fleet::_count_fleet() const {
	const instant now = event_loop::now();
	std::map<std::string, std::uint32_t> by_zone{ { _context.settings.zone, _count_zone() } };
	for (const auto &[vm, count] : _zone_nodes) {
		const member *hub = _members.find(vm);
		if (hub != nullptr && _is_responsive(vm, now)) {
			std::uint32_t &zone_count = by_zone[hub->digest.zone];
			zone_count = std::max(zone_count, count);
		}
	}
	std::uint32_t sum = 0;
	for (const auto &[zone, count] : by_zone) {
		sum += count;
	}
	return sum;
}

std::size_t gateway_fleet::get_live_count() const {
	const std::size_t reported = _plan.is_hub ? 0 : _reported.get_nodes();
	return std::max<std::size_t>({ 1, reported, _plan.is_hub ? _count_fleet() : get_live_nodes().size() });
}

bool gateway_fleet::_has_other_seeds() const {
	const std::vector<network_address> &seeds = _context.settings.peers;
	return std::any_of(seeds.begin(), seeds.end(), [this](const network_address &p_seed) { return !(p_seed == _link.get_address()); });
}

std::size_t gateway_fleet::_count_known(std::size_t p_live) const {
	if (_members.get_members().empty() && _has_other_seeds()) {
		return 0;
	}
	const std::size_t reported = _plan.is_hub ? 0 : _reported.get_known_nodes();
	return std::max({ reported, p_live, _members.count_senders(_context.settings.retries.window, event_loop::now()) });
}

void gateway_fleet::_update_parts() {
	const std::size_t live = get_live_count();
	_known_count = _count_known(live);
	_own_part = _known_count == 0 ? 0.0 : 1.0 / static_cast<double>(_known_count);
	_reached_part = _own_part * static_cast<double>(live);
}

std::vector<std::string> gateway_fleet::get_zone_nodes() const {
	std::vector<std::string> nodes;
	if (!_leaving) {
		nodes.push_back(get_vm());
	}
	for (const auto &[vm, entry] : _members.get_members()) {
		if (entry.state != member_state::GONE && !entry.digest.leaving && entry.digest.zone == _context.settings.zone) {
			nodes.push_back(vm);
		}
	}
	return nodes;
}

void gateway_fleet::keep_link(const std::string &p_vm) {
	_kept_until[p_vm] = event_loop::now() + WORK_LINK_LIFETIME;
	const member *peer = _members.find(p_vm);
	if (peer != nullptr && !_link.is_linked(p_vm)) {
		_link.dial(p_vm, peer->digest.link);
	}
}

std::vector<std::string> gateway_fleet::get_other_hubs() const {
	std::vector<std::string> hubs;
	for (const std::string &vm : _plan.is_hub ? _link.get_linked() : std::vector<std::string>()) {
		const member *peer = _members.find(vm);
		if (peer != nullptr && peer->digest.hub) {
			hubs.push_back(vm);
		}
	}
	return hubs;
}

void gateway_fleet::_send_due_heartbeats() {
	const activity_scope scope(_context.loop, activity::HEARTBEATS_SENT);
	const instant now = event_loop::now();
	_members.tick(now);
	_refuses_links = _refuses_links && _link.is_full();
	std::erase_if(_kept_until, [now](const auto &p_entry) { return p_entry.second < now; });
	_plan_links();
	_use_names();
	_endpoints.drop_reported_removals();
	_collect_updates();
	_update_parts();
	_send_heartbeats(heartbeat_scope::DUE);
	_update_liveness();
	_request_list();
	_heartbeat_timer.set(peer_contacts::get_interval(true));
}

void gateway_fleet::_plan_links() {
	const instant now = event_loop::now();
	// A stopping hub remains a hub until it exits, as other nodes still wait for its data.
	std::vector<overlay_node> nodes{ overlay_node{ get_vm(), _context.settings.zone, _context.settings.cores } };
	for (const auto &[vm, entry] : _members.get_members()) {
		if (entry.state != member_state::GONE && entry.digest.link.port != 0 && !entry.digest.leaving) {
			nodes.push_back(overlay_node{ vm, entry.digest.zone, entry.digest.cores });
		}
	}
	const bool was_hub = _plan.is_hub;
	const bool has_followers = !_contacts.get_followers(now).empty();
	_plan = _overlay.plan(
			nodes, [this, now](const std::string &p_vm) { return _is_responsive(p_vm, now); }, has_followers, now);
	if (_plan.is_hub != was_hub) {
		_hub_since = now;
		_knows_hubs = false;
		_members.set_hub(_plan.is_hub);
		_context.log.write(log_line("hub").add("zone", _context.settings.zone).add("is_hub", _plan.is_hub ? "yes" : "no").add("known", static_cast<long long>(nodes.size())).add("links", static_cast<long long>(_link.get_linked().size())));
	}
	if (_plan.is_hub && !_knows_hubs && _plan.is_settled && now - _hub_since >= HUB_DISCOVERY_TIME) {
		_knows_hubs = true;
		_context.log.write(log_line("hubs_known").add("zone", _context.settings.zone).add("known", static_cast<long long>(nodes.size())).add("links", static_cast<long long>(_link.get_linked().size())).add("hubs", join(_plan.hubs)));
		for (const heartbeat_section &part : _parts) {
			part.on_hubs_known();
		}
	}
	_is_starting = get_dispatch_nodes().empty();
	std::vector<std::string> zone_hubs = _plan.hubs;
	std::erase_if(zone_hubs, [this](const std::string &p_vm) { return !_is_in_own_zone(p_vm); });
	std::erase_if(nodes, [this](const overlay_node &p_node) { return p_node.zone != _context.settings.zone; });
	_store.set_zone_nodes(nodes, zone_hubs);
	_store.set_hubs(zone_hubs, _plan.is_settled);
	_dial();
}

bool gateway_fleet::_is_first_dispatcher() const {
	const std::vector<std::string> dispatchers = get_dispatch_nodes();
	return !dispatchers.empty() && dispatchers.front() == get_vm();
}

bool gateway_fleet::_is_staying(const member &p_member) {
	return p_member.state != member_state::GONE && !p_member.digest.leaving;
}

named_state gateway_fleet::_get_named_state(const named_node &p_node) const {
	const member *named = _members.find(p_node.vm);
	if (_link.is_linked(p_node.vm) || (named != nullptr && _is_staying(*named))) {
		return named_state::KNOWN;
	}
	const std::map<std::string, member> &members = _members.get_members();
	const bool has_known_address = std::any_of(members.begin(), members.end(), [&p_node](const auto &p_entry) { return _is_staying(p_entry.second) && p_entry.second.digest.link == p_node.address; });
	return has_known_address || p_node.address == _link.get_address() ? named_state::REPLACED : named_state::UNKNOWN;
}

void gateway_fleet::_use_names() {
	const std::map<std::string, member> &members = _members.get_members();
	const std::ptrdiff_t staying = std::count_if(members.begin(), members.end(), [](const auto &p_entry) { return _is_staying(p_entry.second); });
	_names.use(names_use{ _plan.is_hub, _is_first_dispatcher(), static_cast<std::size_t>(staying) });
}

bool gateway_fleet::_dials_all_seeds() const {
	const std::vector<network_address> &seeds = _context.settings.peers;
	return std::find(seeds.begin(), seeds.end(), _link.get_address()) != seeds.end() || _is_first_dispatcher();
}

void gateway_fleet::_dial_unknown_seeds() {
	if (!_dials_all_seeds()) {
		return;
	}
	// A seed that left or was lost may have started again, and then knows only the seeds that started with it.
	std::set<std::string> known;
	for (const auto &[vm, entry] : _members.get_members()) {
		if (_is_staying(entry) || _link.is_linked(vm)) {
			known.insert(to_string(entry.digest.link));
		}
	}
	for (const network_address &seed : _context.settings.peers) {
		if (!(seed == _link.get_address()) && !known.contains(to_string(seed)) && _link.dial_unnamed(seed)) {
			_context.log.write(log_line("seed_dialled").add("seed", to_string(seed)));
		}
	}
}

void gateway_fleet::_dial() {
	_dial_unknown_seeds();
	if (_link.get_linked().empty() && !_context.settings.peers.empty()) {
		// Dials one seed at a time, so that a starting fleet does not connect to all of its seeds at once.
		const network_address &seed = _context.settings.peers[_seed_order.take_next(_context.settings.peers.size())];
		if (!(seed == _link.get_address()) && _link.dial_unnamed(seed)) {
			_context.log.write(log_line("seed_dialled").add("seed", to_string(seed)));
		}
	}
	for (const std::string &vm : _plan.wanted) {
		if (!_link.is_linked(vm)) {
			_link.dial(vm, _members.find(vm)->digest.link);
		}
	}
}

void gateway_fleet::_request_list() {
	if (!_bootstrap.needs_list() || !_context.settings.mechanisms.has(mechanism::REQUESTED_LISTS)) {
		return;
	}
	std::vector<list_source> list_sources;
	for (const std::string &vm : _link.get_linked()) {
		const member *peer = _members.find(vm);
		if (peer != nullptr && peer->digest.ready && !peer->digest.leaving) {
			list_sources.push_back(list_source{ vm, peer->digest.zone == _context.settings.zone, peer->digest.cores });
		}
	}
	const std::string &known_source = _endpoints.get_list_source();
	const bool has_source = std::any_of(list_sources.begin(), list_sources.end(), [&known_source](const list_source &p_source) { return p_source.vm == known_source; });
	if (has_source) {
		std::erase_if(list_sources, [&known_source](const list_source &p_source) { return p_source.vm != known_source; });
	}
	_bootstrap.request_list(list_sources, _context.random.get_unit());
}

bool gateway_fleet::_is_ready(const std::string &p_vm) const {
	const member *peer = _members.find(p_vm);
	return peer != nullptr && peer->digest.ready;
}

bool gateway_fleet::_is_in_own_zone(const std::string &p_vm) const {
	const member *peer = _members.find(p_vm);
	return peer == nullptr ? p_vm == get_vm() : peer->digest.zone == _context.settings.zone;
}

void gateway_fleet::_collect_updates() {
	const instant now = event_loop::now();
	for (const endpoint_identity &endpoint : _endpoints.get_directory().take_updates()) {
		_contacts.add_update(endpoint_update{ endpoint, false }, now);
	}
	for (const endpoint_identity &endpoint : _endpoints.get_directory().take_removed()) {
		_contacts.add_update(endpoint_update{ endpoint, true }, now);
	}
	const auto is_back = [this](const endpoint_update &p_update) { return p_update.is_gone && _endpoints.get_directory().contains_start(p_update.endpoint); };
	_contacts.expire_updates(is_back, now);
}

gateway_fleet::peer_role gateway_fleet::_get_role(const std::string &p_vm, instant p_now) const {
	const member *peer = _members.find(p_vm);
	const bool is_hub_peer = peer != nullptr && peer->digest.hub;
	const bool is_own_zone = _is_in_own_zone(p_vm);
	const bool relies_on_me = _contacts.is_relied_on(p_vm, p_now);
	peer_role role;
	role.is_mesh = _plan.is_hub && is_hub_peer;
	role.is_follower = relies_on_me || (_plan.is_hub && is_own_zone && !is_hub_peer);
	role.is_relied_on = p_vm == get_followed_hub();
	const bool is_wanted = contains(_plan.wanted, p_vm) || _kept_until.contains(p_vm) || _contacts.is_wanted(p_vm, p_now);
	role.is_needed = role.is_mesh || role.is_follower || role.is_relied_on || is_wanted || _is_starting;
	role.is_close = role.is_mesh || relies_on_me || role.is_relied_on || _is_starting;
	role.receives_updates = role.is_mesh || is_own_zone;
	return role;
}

gateway_fleet::heartbeat_drafts gateway_fleet::_make_heartbeat_drafts(bool p_with_relayed_digests) {
	_members.update_self(_ready, _leaving, _configuration.get_version(), {});
	heartbeat_drafts texts;
	std::vector<member_digest> digests = p_with_relayed_digests ? _members.make_heartbeat() : _members.make_own_heartbeat();
	texts.plain.digests = { digests.front() };
	texts.relayed_digests.assign(digests.begin() + 1, digests.end());
	texts.plain.follows = _configuration.is_following();
	texts.plain.evacuations = _evacuations.get_state();
	const heartbeat_sender sender{ _plan.is_hub, _knows_hubs };
	for (const heartbeat_section &part : _parts) {
		part.write(heartbeat_peer::OTHER, sender, texts.plain);
	}
	texts.to_hub = texts.plain;
	texts.to_hub.zone_nodes = _plan.is_hub ? _count_zone() : 0;
	texts.to_follower = texts.plain;
	for (const heartbeat_section &part : _parts) {
		part.write(heartbeat_peer::HUB, sender, texts.to_hub);
		part.write(heartbeat_peer::FOLLOWER, sender, texts.to_follower);
	}
	// A hub that has just started has contact with only some of the others. If it reported just these, its followers would assume that
	// the others had failed.
	if (!_knows_hubs) {
		return texts;
	}
	texts.to_follower.is_total = true;
	texts.to_follower.fleet_nodes = _count_fleet();
	texts.to_follower.known_nodes = static_cast<std::uint32_t>(_known_count);
	texts.to_follower.dispatchers = _find_dispatchers();
	texts.to_follower.unreached_zones.assign(_unreachable_zones.begin(), _unreachable_zones.end());
	return texts;
}

void gateway_fleet::_add_members(const std::string &p_vm, const heartbeat_drafts &p_texts, heartbeat_message &r_message) {
	const member *peer = _members.find(p_vm);
	if (peer == nullptr) {
		return;
	}
	// A node needs to know the possible hubs of its own zone, and the hubs of other zones, whose dispatchers it works with.
	const auto is_of_use = [this, peer](const std::string &p_other) {
		const member *other = _members.find(p_other);
		return other != nullptr && (peer->digest.hub || other->digest.hub || other->digest.zone == peer->digest.zone);
	};
	for (const std::string &vm : _feed.take(p_vm, is_of_use)) {
		r_message.digests.push_back(_members.find(vm)->digest);
	}
	r_message.digests.insert(r_message.digests.end(), p_texts.relayed_digests.begin(), p_texts.relayed_digests.end());
}

void gateway_fleet::_send_heartbeat(const std::string &p_vm, const peer_role &p_role, const heartbeat_drafts &p_texts) {
	heartbeat_message message = p_texts.plain;
	if (p_role.is_mesh || p_role.is_relied_on) {
		message = p_texts.to_hub;
	} else if (p_role.is_follower) {
		message = p_texts.to_follower;
	}
	if (p_role.is_relied_on) {
		for (const heartbeat_section &part : _parts) {
			part.on_told_hub(message);
		}
	}
	message.relies_on_you = p_role.is_relied_on;
	// Until a hub is responsive, any link may be the one that reports it.
	message.wants_link = p_role.is_relied_on || contains(_plan.wanted, p_vm) || _kept_until.contains(p_vm) || _is_starting;
	message.next_in = peer_contacts::get_interval(p_role.is_close);
	_add_members(p_vm, p_texts, message);
	for (const endpoint_update &update : _contacts.on_sent(p_vm, p_role.is_close, p_role.receives_updates, event_loop::now())) {
		if (update.is_gone) {
			message.gone.push_back(update.endpoint);
		} else {
			message.marks.push_back(leaving_mark{ update.endpoint.vm, update.endpoint.incarnation });
		}
	}
	_context.metrics.count("heartbeats_sent");
	_context.metrics.count("endpoint_news_sent", static_cast<double>(message.gone.size() + message.marks.size()));
	_link.send(p_vm, message);
}

void gateway_fleet::_send_heartbeats(heartbeat_scope p_scope) {
	const instant now = event_loop::now();
	const bool has_rumours = p_scope == heartbeat_scope::DUE && _heartbeat_count++ % HEARTBEATS_PER_RELAY == 0;
	const heartbeat_drafts texts = _make_heartbeat_drafts(has_rumours);
	for (const std::string &vm : _link.get_linked()) {
		const peer_role role = _get_role(vm, now);
		const bool is_due = role.is_needed && _contacts.is_due(vm, role.is_close, role.receives_updates, now);
		if (p_scope == heartbeat_scope::ALL || (p_scope == heartbeat_scope::CLOSE && role.is_close) || (p_scope == heartbeat_scope::DUE && is_due)) {
			_send_heartbeat(vm, role, texts);
		}
	}
}

void gateway_fleet::_on_link_up(const std::string &p_vm) {
	_contacts.on_linked(p_vm);
	if (_link.get_linked().size() == 1) {
		_context.log.write(log_line("first_link").add("vm", p_vm));
	}
	_feed.restart(p_vm);
	_greeted.erase(p_vm);
	_reported.on_contact(p_vm);
	_send_heartbeat(p_vm, _get_role(p_vm, event_loop::now()), _make_heartbeat_drafts(false));
}

void gateway_fleet::_on_link_down(const std::string &p_vm) {
	_reported.on_link_down(p_vm, event_loop::now());
	_set_failed(p_vm, peer_loss::LINK_BROKEN);
	if (p_vm == get_followed_hub() || _plan.is_hub) {
		_plan_links();
	}
}

void gateway_fleet::_on_peer_replaced(const std::string &p_vm) {
	// The earlier process may have assigned work before this node considered it live.
	_was_live[p_vm] = true;
	_set_failed(p_vm, peer_loss::REPLACED);
}

void gateway_fleet::_on_connection_refused() {
	_context.metrics.count("links_refused");
	if (!_refuses_links) {
		_refuses_links = true;
		_context.log.write(log_line("links_full").add("max_links", static_cast<long long>(_context.settings.get_max_links())));
	}
}

void gateway_fleet::_set_live(const std::string &p_vm) {
	bool &was_live = _was_live[p_vm];
	if (!was_live) {
		was_live = true;
		_context.log.write(log_line("peer_live").add("vm", p_vm).add("leaving", _is_leaving(p_vm) ? "yes" : "no"));
	}
}

void gateway_fleet::_set_failed(const std::string &p_vm, peer_loss p_cause) {
	bool &was_live = _was_live[p_vm];
	if (!was_live) {
		return;
	}
	was_live = false;
	const bool is_needed = _get_role(p_vm, event_loop::now()).is_needed;
	_context.log.write(log_line("peer_lost").add("vm", p_vm).add("leaving", _is_leaving(p_vm) ? "yes" : "no").add("cause", get_name(p_cause)).add("needed", is_needed ? "yes" : "no"));
	for (const heartbeat_section &part : _parts) {
		part.on_lost(p_vm);
	}
	_zone_nodes.erase(p_vm);
	_peer_lost.emit(p_vm);
}

bool gateway_fleet::_is_leaving(const std::string &p_vm) const {
	const member *peer = _members.find(p_vm);
	return peer != nullptr && peer->digest.leaving;
}

void gateway_fleet::_update_liveness() {
	const instant now = event_loop::now();
	for (const auto &[vm, entry] : _members.get_members()) {
		// A stopping node still completes work assigned to it and waits for work that it assigned, so it counts as failed only once it
		// is silent.
		if (_is_responsive(vm, now)) {
			_set_live(vm);
		} else {
			_set_failed(vm, peer_loss::SILENT);
		}
	}
	for (const std::string &vm : _contacts.get_silent_peers(now)) {
		if (_link.is_linked(vm)) {
			_link.drop(vm);
		}
	}
	_members.take_changes();
}

void gateway_fleet::_merge_members(const heartbeat_message &p_message) {
	const std::size_t known = _members.get_members().size();
	std::map<std::string, bool> were_hubs;
	for (const member_digest &digest : p_message.digests) {
		const member *peer = _members.find(digest.vm);
		were_hubs[digest.vm] = peer != nullptr && peer->digest.hub;
	}
	_members.merge_digests(p_message.digests, event_loop::now());
	for (const auto &[vm, was_hub] : were_hubs) {
		const member *peer = _members.find(vm);
		if (peer == nullptr) {
			continue;
		}
		_feed.note(peer->digest);
		if (peer->digest.hub && !was_hub) {
			// A hub needs to know all nodes.
			_feed.restart(vm);
		}
	}
	if (_members.get_members().size() > known) {
		_plan_links();
	}
}

void gateway_fleet::_apply_endpoint_updates(const std::string &p_vm, const heartbeat_message &p_message) {
	for (const leaving_mark &mark : p_message.marks) {
		_endpoints.mark_leaving(endpoint_identity{ mark.vm, mark.incarnation }, "peer/" + p_vm);
	}
	for (const endpoint_identity &endpoint : p_message.gone) {
		_endpoints.mark_removed(endpoint, p_vm);
	}
}

void gateway_fleet::_apply_fleet_state(const std::string &p_vm, const heartbeat_message &p_message) {
	if (p_message.zone_nodes > 0) {
		_zone_nodes[p_vm] = p_message.zone_nodes;
	}
	if (!p_message.is_total || p_vm != get_followed_hub()) {
		return;
	}
	_reported.set_known_nodes(p_message.known_nodes);
	for (const std::string &vm : _reported.take(p_message.dispatchers, p_message.fleet_nodes)) {
		if (vm != get_vm() && !_is_leaving(vm) && !p_message.dispatchers.empty()) {
			_reported.set_lost(vm);
			_set_failed(vm, peer_loss::REPORTED_BY_HUB);
		}
	}
	_set_unreachable_zones(std::set<std::string>(p_message.unreached_zones.begin(), p_message.unreached_zones.end()));
}

void gateway_fleet::_on_heartbeat(const std::string &p_vm, const heartbeat_message &p_message) {
	const instant now = event_loop::now();
	_contacts.on_contact(p_vm, p_message.next_in, now);
	_contacts.on_needs_reported(p_vm, p_message.wants_link, p_message.relies_on_you, now);
	_reported.on_contact(p_vm);
	_merge_members(p_message);
	if (!_plan.is_hub && p_message.relies_on_you) {
		_plan_links();
	}
	_evacuations.offer(p_message.evacuations, p_vm);
	_apply_endpoint_updates(p_vm, p_message);
	const member *known = _members.find(p_vm);
	for (const heartbeat_section &part : _parts) {
		part.read(heartbeat_source{ p_vm, _plan.is_hub && known != nullptr && known->digest.hub, p_vm == get_followed_hub() }, p_message);
	}
	_apply_fleet_state(p_vm, p_message);
	const member *peer = _members.find(p_vm);
	_store.on_heartbeat(p_vm, p_message, peer == nullptr ? 0 : peer->digest.configuration_version);
	if (_greeted.insert(p_vm).second) {
		// The peer's zone, which decides what the peer needs to know, is known only now.
		_send_heartbeat(p_vm, _get_role(p_vm, now), _make_heartbeat_drafts(true));
	}
	_request_list();
	if (peer != nullptr) {
		_context.zones.on_node_contact(peer->digest.zone, now);
		if (_plan.is_hub || _is_starting) {
			_bootstrap.send_if_unready(peer->digest);
		}
		if (_plan.is_hub || _is_starting || _is_in_own_zone(p_vm)) {
			_bootstrap.request_if_newer(peer->digest);
		}
	}
}

void gateway_fleet::announce_leaving() {
	_leaving = true;
	_send_heartbeats(heartbeat_scope::ALL);
}

} // namespace calicoscale
