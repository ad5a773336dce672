/*
 * calicoscale: endpoint_directory.h
 * Endpoints as they keep themselves in a keyed log, folded by name.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_DIRECTORY_H
#define ENDPOINT_DIRECTORY_H

#include "core/time.h"
#include "servers/routing/endpoint_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/** One record of the endpoints' log. */
struct endpoint_record {
	std::string name;
	std::optional<endpoint_listing> listing; ///< Empty when the entry went.
};

/** What a part of the endpoints' log says, in the fewest words: what it changes for one who knows what came before. */
struct endpoint_reading {
	std::uint64_t from = 0; ///< Offset of the first record.
	std::uint64_t to = 0; ///< Offset behind the last one.
	std::vector<endpoint_listing> written;
	std::vector<std::string> dropped;
	std::uint64_t listed = 0; ///< Digest of the endpoints that the reader knows afterwards; others that differ read for themselves.
};

/**
 * Folds entries into the list of endpoints. An endpoint that said it leaves never comes back under its name. Entries
 * that went while the log was away may have lapsed only because nobody could renew them: these endpoints stay in use
 * until a short time after the log's return.
 */
class endpoint_directory {
	struct known_endpoint {
		endpoint_listing listing;
		std::optional<instant> dropped_at; ///< Went with an outage of the log; kept for a while.
	};

	std::map<std::string, known_endpoint> _endpoints;
	std::set<std::string> _left; ///< Names that said they leave.
	std::vector<std::string> _news; ///< Names that were found to leave since the last call.
	std::vector<std::string> _gone; ///< Names whose entry went for good since the last call.
	std::map<std::string, instant> _told_gone; ///< Entries that peers saw go and this node not yet, by when they told.
	instant _read_at{};
	instant _returned_at{}; ///< End of the last outage seen.
	bool _loaded = false;
	bool _changed = false;

	/** An endpoint whose entry is there; empty for one that went with an outage and is only kept for a while. */
	std::optional<endpoint_listing> _find_kept(const std::string &p_name) const;
	bool _is_after_outage(instant p_now) const;
	bool _is_reading(instant p_now) const;
	bool _knows_less_than_peers(const known_endpoint &p_endpoint, instant p_now) const;
	void _erase(const std::string &p_name);

public:
	/** The log answered. Call it before the records of that answer are taken in. */
	void on_read(instant p_now);

	/** An endpoint's entry was written. */
	void put(const endpoint_listing &p_listing);

	/** An endpoint's entry went. */
	void drop(const std::string &p_name, instant p_now);

	/**
	 * Takes records of the log in their order.
	 * @param p_from offset of the first one. @param p_to offset behind the last one.
	 * @return what they change, for nodes that knew the same before.
	 */
	endpoint_reading take_records(const std::vector<endpoint_record> &p_records, std::uint64_t p_from, std::uint64_t p_to, instant p_now);

	/** Takes what a peer read, when this node knows all that came before it. */
	void take_reading(const endpoint_reading &p_reading, instant p_now);

	/** Digest of the names of all endpoints and which of them leave. */
	std::uint64_t get_listed() const;

	/** Takes a whole reading of all entries. */
	void replace(const std::vector<endpoint_listing> &p_listings, instant p_now);

	/** Takes a peer's list while nothing was read from the log yet; ignored afterwards. Returns whether it was taken. */
	bool adopt(const std::vector<endpoint_listing> &p_listings);

	/** A peer knows that an endpoint leaves. Returns whether that was news. */
	bool mark_leaving(const std::string &p_name);

	/**
	 * A peer that reads the log without a break saw an entry go. Counts while this node's own reading has stopped, or has
	 * begun again and cannot tell what went because the log was away from what went while only this node was cut off.
	 * Returns whether the entry was dropped. Peers tell once, so it is remembered until a later read shows the entry.
	 */
	bool mark_gone(const std::string &p_name, instant p_now);

	/** Drops what peers told of and what counts by now, and returns its names. To be called often. */
	std::vector<std::string> drop_told(instant p_now);

	/** Lets time pass. */
	void tick(instant p_now);

	/** When entries that went with an outage are dropped; empty when none waits for that. */
	std::optional<instant> get_drop_time() const;

	/** All endpoints, those that leave included. */
	std::vector<endpoint_listing> get_listings() const;

	/** Zone of the endpoint at an address; empty when there is none. */
	std::string find_zone(const network_address &p_address) const;

	/** Whether get_listings() would tell something new since the last call. */
	bool take_changed();

	/** Endpoints found to leave since the last call, to tell peers. */
	std::vector<std::string> take_news();

	/** Endpoints whose entry went for good since the last call, to tell peers. */
	std::vector<std::string> take_gone();

	/** Whether an endpoint's entry is there. */
	bool contains(const std::string &p_name) const { return _endpoints.contains(p_name); }

	bool is_loaded() const { return _loaded; }
	std::size_t get_size() const { return _endpoints.size(); }
};

} // namespace calicoscale

#endif // ENDPOINT_DIRECTORY_H
