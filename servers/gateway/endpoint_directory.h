/*
 * calicoscale: endpoint_directory.h
 * List of endpoints, built from the keyed log in which endpoints register themselves.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_DIRECTORY_H
#define ENDPOINT_DIRECTORY_H

#include "core/log_position.h"
#include "core/time.h"
#include "servers/routing/endpoint_state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** One record of the endpoints' log. */
struct endpoint_record {
	std::string name;
	std::optional<endpoint_listing> listing; ///< Empty when the entry was removed.
};

/** Changes made by a range of the endpoints' log, for a node that knows all records before it. */
struct endpoint_delta {
	std::uint64_t from = 0; ///< Offset of the first record.
	std::uint64_t to = 0; ///< Offset after the last one.
	std::vector<endpoint_listing> written;
	std::vector<std::string> dropped;
	std::uint64_t listed = 0; ///< Digest of the reader's endpoints afterwards; a receiver whose digest differs reads the log itself.
	std::uint64_t listed_starts = 0; ///< Digest with the incarnations as well; 0 from a reader whose version does not support them.
	std::uint64_t era = 0; ///< Era of the log; offsets of different eras can't be compared.
	bool is_whole = false; ///< A snapshot: `written` has all entries, so earlier records need not be known.
};

/**
 * Folds log entries into the list of endpoints. A later start (incarnation) of an endpoint replaces an earlier one; a delayed
 * record of an earlier start is ignored. A start that has announced that it leaves stays leaving.
 * Entries removed while the log was unavailable may have expired only because they could not be renewed, so these endpoints
 * stay in use until a short time after the log is available again. Incarnation 0, from peers that do not support it, stands
 * for the start that is known here.
 *
 * An address belongs to the endpoint that started there last; that endpoint supersedes the others with this address. An entry
 * expires some seconds after its process exited; by then another process may have the address, and it would reject requests
 * meant for the first.
 */
class endpoint_directory {
	struct known_endpoint {
		endpoint_listing listing;
		std::optional<instant> dropped_at; ///< Set if the entry was removed around an outage of the log; it is kept until RECOVERY_TIME after the outage.
		std::uint64_t order = 0; ///< Order in which starts were received; equal for starts whose order is unknown.
		bool is_superseded = false; ///< Another endpoint has started at its address, so its process has exited.
	};

	std::map<std::string, known_endpoint> _endpoints;
	std::map<std::string, std::uint64_t> _left; ///< Newest incarnation of each name that announced that it leaves.
	std::vector<endpoint_identity> _new_leaving; ///< Found to be leaving since the last take_updates().
	std::vector<endpoint_identity> _new_removed; ///< Entries removed since the last take_removed().
	std::map<endpoint_identity, instant> _removed_at; ///< Entries removed within REMOVAL_MEMORY, with the time.
	std::map<endpoint_identity, instant> _reported_removed; ///< Removals reported by peers that this node hasn't read yet, with the time of the report.
	instant _read_at{};
	instant _returned_at{}; ///< End of the last outage seen.
	instant _era_at{}; ///< When the log was restored from an older copy.
	bool _loaded = false;
	bool _changed = false;
	std::uint64_t _order = 0;
	bool _is_order_known = true; ///< Whether put() gets entries in the order in which they were written.
	std::vector<endpoint_identity> _superseded; ///< Since the last take_superseded().

	/** Puts entries whose order of writing is unknown. */
	void _put_unordered(const std::vector<endpoint_listing> &p_listings);
	/** Marks the other endpoints at the address of an endpoint that started as superseded, or itself if one of them is newer. */
	void _supersede_at_address(const std::string &p_name);
	void _set_superseded(known_endpoint &r_endpoint);
	/** Returns the entry of an endpoint; empty if it was removed around an outage and is only kept for a while. */
	std::optional<endpoint_listing> _find_listed(const std::string &p_name) const;
	bool _is_after_outage(instant p_now) const;
	bool _is_read_recent(instant p_now) const;
	bool _was_removed_before_era(const endpoint_identity &p_identity, instant p_now) const;
	bool _knows_less_than_peers(const known_endpoint &p_endpoint, instant p_now) const;
	void _erase(const std::string &p_name, instant p_now);
	bool _has_left(const endpoint_identity &p_identity) const;
	bool _add_left(const endpoint_identity &p_identity);
	std::map<std::string, known_endpoint>::iterator _find_removed(const endpoint_identity &p_identity);

public:
	/** Records that the log answered a read. Call it before applying the records of that answer. */
	void on_read(instant p_now);

	/**
	 * Records that the log was restored from an older copy. Entries missing from the copy are kept as after an outage, and a
	 * snapshot doesn't add entries again that were removed before the restore: an endpoint that is alive writes its own again.
	 */
	void on_new_era(instant p_now);

	/** Applies a written entry. Ignores an entry of an earlier start than the known one. */
	void put(const endpoint_listing &p_listing);

	/** Applies the removal of an entry. */
	void drop(const std::string &p_name, instant p_now);

	/**
	 * Applies records of the log in their order.
	 * @param p_from offset of the first one. @param p_to offset after the last one.
	 * @return the changes, for nodes that knew the same before.
	 */
	endpoint_delta apply_records(const std::vector<endpoint_record> &p_records, std::uint64_t p_from, std::uint64_t p_to, instant p_now);

	/** Applies the changes that a peer read. The caller makes sure that this node knows all records before them. */
	void apply_delta(const endpoint_delta &p_delta, instant p_now);

	/** Returns all entries as a snapshot, for nodes that know nothing of this era of the log. */
	endpoint_delta make_snapshot_delta(const log_position &p_known) const;

	/** Returns a digest of the names of all endpoints and of which are leaving. */
	std::uint64_t get_listed() const;

	/** Returns a digest of the names, the leaving flags and the incarnations. */
	std::uint64_t get_listed_starts() const;

	/** Returns whether the reader knew the same endpoints and starts after its read as this node knows now. */
	bool is_like(const endpoint_delta &p_delta) const;

	/** Applies a snapshot of all entries. */
	void replace(const std::vector<endpoint_listing> &p_listings, instant p_now);

	/** Applies a peer's list unless the log has been read already. Returns whether it was applied. */
	bool adopt(const std::vector<endpoint_listing> &p_listings);

	/** Applies a peer's report that an endpoint is leaving. Returns whether it was new. */
	bool mark_leaving(const endpoint_identity &p_identity);

	/**
	 * Applies the report of a peer that reads the log without interruption that an entry was removed. It is applied only while
	 * this node's own reads fail, or have resumed and do not show whether an entry was removed because of an outage of the log
	 * or while only this node was disconnected. Otherwise the report is stored until a later read, because peers send it only
	 * once. Returns whether the entry was removed.
	 */
	bool mark_removed(const endpoint_identity &p_identity, instant p_now);

	/** Applies stored reports of mark_removed() that have become applicable, and returns their endpoints. Call it often. */
	std::vector<endpoint_identity> drop_reported_removals(instant p_now);

	/** Removes entries that were kept only for the time after an outage, and other expired state. */
	void tick(instant p_now);

	/** Returns when entries kept after an outage are removed; empty when there are none. */
	std::optional<instant> get_drop_time() const;

	/** Returns all entries, including superseded ones. */
	std::vector<endpoint_listing> get_entries() const;

	/** Returns all endpoints, including leaving ones but not superseded ones. */
	std::vector<endpoint_listing> get_listings() const;

	/** Returns the zone of the endpoint at an address; empty when there is none. */
	std::string find_zone(const network_address &p_address) const;

	/** Returns whether get_listings() may have changed since the last call of this function. */
	bool take_changed();

	/** Returns the endpoints found to be leaving since the last call, which are reported to peers. */
	std::vector<endpoint_identity> take_updates();

	/** Returns the endpoints whose entry was removed since the last call, which are reported to peers. */
	std::vector<endpoint_identity> take_removed();

	/** Returns whether there is an entry of any start of an endpoint. */
	bool contains(const std::string &p_name) const { return _endpoints.contains(p_name); }

	/** Returns whether there is an entry of this start of an endpoint. */
	bool contains_start(const endpoint_identity &p_identity) const;

	/** Returns whether there is an entry of this start of an endpoint that is neither leaving nor superseded. */
	bool is_staying(const endpoint_identity &p_identity) const;

	/** Returns whether another endpoint has started at the address of this one. */
	bool is_superseded(const endpoint_identity &p_identity) const;

	/** Returns the endpoints superseded since the last call. */
	std::vector<endpoint_identity> take_superseded();

	bool is_loaded() const { return _loaded; }
	std::size_t get_size() const { return _endpoints.size(); }
};

} // namespace calicoscale

#endif // ENDPOINT_DIRECTORY_H
