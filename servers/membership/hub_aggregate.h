/*
 * calicoscale: hub_aggregate.h
 * Sums of per-node values over the fleet, aggregated by hubs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef HUB_AGGREGATE_H
#define HUB_AGGREGATE_H

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace calicoscale {

/**
 * A follower reports its own value to its hub. A hub reports the sum of its own value and those of its followers to the other hubs,
 * and the sum over the fleet to its followers. The value of a failed node is removed as soon as its failure is known.
 */
template <typename VALUE>
class hub_aggregate {
	using add_hook = std::function<void(VALUE &, const VALUE &)>;

	add_hook _add;
	VALUE _own;
	std::map<std::string, VALUE> _peers; ///< Other hubs.
	std::map<std::string, VALUE> _followers;
	std::optional<VALUE> _total; ///< As reported by the hub that this node follows; empty on a hub.

public:
	explicit hub_aggregate(add_hook p_add) :
			_add(std::move(p_add)) {}

	/** Sets the value of this node. */
	void set_own(VALUE p_own) { _own = std::move(p_own); }

	/** Sets the value that a follower of this node reported. */
	void set_follower(const std::string &p_node, VALUE p_value) {
		_peers.erase(p_node);
		_followers[p_node] = std::move(p_value);
	}

	/** Sets the sum that another hub reported. */
	void set_peer(const std::string &p_node, VALUE p_value) {
		_followers.erase(p_node);
		_peers[p_node] = std::move(p_value);
	}

	/** Sets the sum over the fleet that the hub of this node reported. */
	void set_total(VALUE p_value) { _total = std::move(p_value); }

	/** Clears the reported sum, so that get_total() adds up the values known here; for a node that becomes a hub. */
	void clear_total() { _total.reset(); }

	/** Removes the value of a node that failed or reports to another hub. */
	void forget(const std::string &p_node) {
		_peers.erase(p_node);
		_followers.erase(p_node);
	}

	const VALUE &get_own() const { return _own; }

	/** Sum of the values of this node and its followers, for other hubs. */
	VALUE get_subtree() const {
		VALUE sum = _own;
		for (const auto &[node, value] : _followers) {
			_add(sum, value);
		}
		return sum;
	}

	/** Sum over the fleet, as far as it is known. */
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

#endif // HUB_AGGREGATE_H
