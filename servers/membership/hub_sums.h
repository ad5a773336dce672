/*
 * calicoscale: hub_sums.h
 * Sums over the fleet of what each node counts, by way of hubs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HUB_SUMS_H
#define HUB_SUMS_H

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace calicoscale {

/**
 * A node tells its own to the hub it relies on; a hub tells other hubs the sum of its own and of those that rely on it, and these
 * the sum of all. What a lost node told is left out as soon as it is known to be lost.
 */
template <typename VALUE>
class hub_sums {
	using add_hook = std::function<void(VALUE &, const VALUE &)>;

	add_hook _add;
	VALUE _own;
	std::map<std::string, VALUE> _peers; ///< Other hubs.
	std::map<std::string, VALUE> _followers;
	std::optional<VALUE> _total; ///< As the hub told it.

public:
	explicit hub_sums(add_hook p_add) :
			_add(std::move(p_add)) {}

	/** Sets what this node counts. */
	void set_own(VALUE p_own) { _own = std::move(p_own); }

	/** A node that relies on this one told its own. */
	void take_follower(const std::string &p_node, VALUE p_value) {
		_peers.erase(p_node);
		_followers[p_node] = std::move(p_value);
	}

	/** Another hub told its sum. */
	void take_peer(const std::string &p_node, VALUE p_value) {
		_followers.erase(p_node);
		_peers[p_node] = std::move(p_value);
	}

	/** The hub that this node relies on told the sum of all. */
	void take_total(VALUE p_value) { _total = std::move(p_value); }

	/** This node is a hub and adds up by itself. */
	void forget_total() { _total.reset(); }

	/** A node was lost, or tells its own to another hub. */
	void forget(const std::string &p_node) {
		_peers.erase(p_node);
		_followers.erase(p_node);
	}

	const VALUE &get_own() const { return _own; }

	/** This node's own and that of those that rely on it, for other hubs. */
	VALUE get_subtree() const {
		VALUE sum = _own;
		for (const auto &[node, value] : _followers) {
			_add(sum, value);
		}
		return sum;
	}

	/** Of the fleet, as far as it is known. */
	VALUE get_total() const {
		if (_total) {
			return *_total;
		}
		VALUE sum = get_subtree();
		for (const auto &[node, value] : _peers) {
			_add(sum, value);
		}
		return sum;
	}
};

} // namespace calicoscale

#endif // HUB_SUMS_H
