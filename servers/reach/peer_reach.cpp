/*
 * calicoscale: peer_reach.cpp
 * Which nodes can carry out exchanges with the endpoints of a service for this node.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/reach/peer_reach.h"

#include <algorithm>
#include <tuple>

namespace calicoscale {

void peer_reach::set_unreached(const std::string &p_peer, const std::vector<std::string> &p_services, instant p_now) {
	peer_state &peer = _peers[p_peer];
	peer.unreached = std::set<std::string>(p_services.begin(), p_services.end());
	peer.reported_at = p_now;
}

void peer_reach::on_ended(const std::string &p_peer) {
	const auto found = _peers.find(p_peer);
	if (found != _peers.end() && found->second.open > 0) {
		found->second.open--;
	}
}

void peer_reach::on_declined(const std::string &p_peer, instant p_now) {
	_peers[p_peer].declined_until = p_now + DECLINED_TIME;
}

bool peer_reach::_reaches(const std::string &p_peer, const std::string &p_service) const {
	const auto found = _peers.find(p_peer);
	return found == _peers.end() || !found->second.unreached.contains(p_service);
}

std::size_t peer_reach::_get_open(const std::string &p_peer) const {
	const auto found = _peers.find(p_peer);
	return found == _peers.end() ? 0 : found->second.open;
}

bool peer_reach::is_reached_by_any(const std::string &p_service, const std::vector<forwarding_peer> &p_peers) const {
	return std::any_of(p_peers.begin(), p_peers.end(), [this, &p_service](const forwarding_peer &p_peer) { return _reaches(p_peer.vm, p_service); });
}

bool peer_reach::can_choose(const std::string &p_service, const std::vector<forwarding_peer> &p_peers, instant p_now) const {
	return std::any_of(p_peers.begin(), p_peers.end(), [this, &p_service, p_now](const forwarding_peer &p_peer) {
		const auto found = _peers.find(p_peer.vm);
		return _reaches(p_peer.vm, p_service) && (found == _peers.end() || p_now >= found->second.declined_until);
	});
}

std::optional<std::string> peer_reach::choose(const std::string &p_service, const std::vector<forwarding_peer> &p_peers, random_source &r_random, instant p_now) const {
	using rank = std::tuple<std::size_t, bool, double>;
	std::optional<std::string> chosen;
	rank best;
	for (const forwarding_peer &peer : p_peers) {
		if (!can_choose(p_service, { peer }, p_now)) {
			continue;
		}
		const rank candidate{ _get_open(peer.vm), !peer.is_own_zone, r_random.get_unit() };
		if (!chosen || candidate < best) {
			chosen = peer.vm;
			best = candidate;
		}
	}
	return chosen;
}

std::optional<duration> peer_reach::get_newest_report_age(instant p_now) const {
	std::optional<duration> age;
	for (const auto &[vm, peer] : _peers) {
		if (peer.reported_at != instant{}) {
			age = std::min(age.value_or(p_now - peer.reported_at), p_now - peer.reported_at);
		}
	}
	return age;
}

} // namespace calicoscale
