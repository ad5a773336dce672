/*
 * calicoscale: origin_sync.h
 * Keeps the record of the versions at which streams may have begun in the store.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ORIGIN_SYNC_H
#define ORIGIN_SYNC_H

#include "main/gateway/configuration_follower.h"
#include "main/gateway/endpoint_follower.h"
#include "main/gateway/gateway_fleet.h"
#include "servers/streams/origin_record.h"
#include "servers/streams/stream_record.h"
#include "servers/streams/version_presence.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace calicoscale {

/**
 * A version enters the record as soon as it is listed, before streams begin there as long as a recorded version serves as well, and
 * leaves it once it has not been listed for as long as a stream can be resumed. Any node may write; a write succeeds only if the
 * record was read since its last change. The record outlasts all nodes. It is not believed after a restore of the store from an older
 * copy, nor begun by a node that has not run for as long as a stream can be resumed, unless the whole system starts for the first time.
 */
class origin_sync {
	gateway_context &_context;
	configuration_follower &_configuration;
	endpoint_follower &_endpoints;
	gateway_fleet &_fleet;
	version_presence _presence;
	service_versions _listed; ///< Versions of services whose streams callers may resume.
	service_versions _staying; ///< Those of endpoints that do not leave.
	std::set<std::string> _mixed; ///< Services with a recorded and an unrecorded version among the staying ones.
	std::optional<origin_record> _record; ///< As last read or written.
	/** Versions that were listed again since the last read, with the times. The record may no longer contain them. */
	std::map<stream_origin, instant> _returned;
	std::uint64_t _era = 0;
	std::uint64_t _end_offset = 0;
	bool _is_topic_empty = false;
	bool _has_era_changed = false; ///< The store was restored from an older copy since the start of this node.
	instant _era_since; ///< Since when this node has known the store's era.
	instant _read_began_at{}; ///< When the last successful read began.
	instant _wanted_since{}; ///< A read is wanted that began at this time or later.
	instant _paused_until{}; ///< No call to the store before.
	instant _write_due{}; ///< No read for a write before.
	duration _failure_pause = duration::zero();
	bool _is_busy = false; ///< A call to the store is in progress.
	bool _must_rewrite = false; ///< The outcome of a write is unknown; it must not take effect after the next one was decided.
	std::optional<instant> _write_needed_since;

	/** Returns the time over which reads of all nodes are spread. */
	duration _get_read_spread() const;
	bool _is_believed() const { return _record && _record->get_era() == _era; }
	/** Whether this node may begin a record: no stream can have begun that it does not know of. */
	bool _may_begin() const;
	/** Whether a version is known to be in the store's record at present. */
	bool _is_recorded(const std::string &p_service, const std::string &p_version) const;
	void _note_returned(const service_versions &p_listed_before);
	/** Returns the record that the store should have; empty if that is the one it has. */
	std::optional<origin_record> _plan() const;
	void _update_mixed();
	/** Notes since when the record must be read or written, and begins if that is due. */
	void _update_need();
	void _call_store_if_due();
	void _read();
	void _on_read(const store_answer &p_answer, instant p_began_at);
	/** Applies what a read has returned. */
	void _take_record(const store_answer &p_answer, instant p_began_at);
	void _enter_era(std::uint64_t p_era);
	void _write(const origin_record &p_record);
	void _on_written(const origin_record &p_record, put_end p_end);

public:
	origin_sync(gateway_context &p_context, configuration_follower &p_configuration, endpoint_follower &p_endpoints, gateway_fleet &p_fleet);

	/** Sets the list of endpoints, including those that are leaving. */
	void set_listings(const std::vector<endpoint_listing> &p_listings);

	/** Requests a read that begins at p_since or later. May be called repeatedly until is_read_since(). */
	void request_read(instant p_since);

	/** Whether the record was read by a call that began at p_since or later. */
	bool is_read_since(instant p_since) const { return _read_began_at >= p_since; }

	/** Returns the only version at which streams of a service may have begun until the last read; empty if that is unknown. */
	std::optional<std::string> find_only(const std::string &p_service) const;

	/** Whether streams may begin at a version: it is recorded, or no recorded version of the service serves. */
	bool may_begin_stream(const std::string &p_service, const std::string &p_version) const { return !_mixed.contains(p_service) || _is_recorded(p_service, p_version); }

	/** Whether new streams of a service must wait for a read, as it may show that some of its versions must not begin streams. */
	bool must_wait(const std::string &p_service) const;

	/** Whether some listed version of a service must not begin streams now. */
	bool is_restricted(const std::string &p_service) const { return _mixed.contains(p_service); }

	/** Reads or writes if that is due. Must be called often. */
	void tick();

	/** Sets the gauges in the metrics. */
	void report();
};

} // namespace calicoscale

#endif // ORIGIN_SYNC_H
