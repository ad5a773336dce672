/*
 * calicoscale: endpoint_channels.h
 * Kept connections to endpoints, one request at a time on each.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ENDPOINT_CHANNELS_H
#define ENDPOINT_CHANNELS_H

#include "drivers/event_loop.h"
#include "drivers/http_reader.h"
#include "drivers/path_faults.h"
#include "servers/routing/connection_history.h"
#include "servers/routing/endpoint_identity.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;

namespace calicoscale {

/** How an exchange with an endpoint ended. */
enum class channel_end {
	COMPLETE, ///< The complete answer was received.
	CONNECT_FAILED, ///< No byte of the request was sent.
	BROKEN, ///< The connection closed before the answer was complete; the request may have run.
	MALFORMED, ///< The data received is not a valid answer to this request, which may have run.
};

/** Returns the name of an end, e.g. "connect_failed". */
std::string_view get_name(channel_end p_end);

/** One request to an endpoint. */
struct channel_request {
	endpoint_identity endpoint; ///< Idle connections are stored by identity, as an address may be reassigned to another endpoint.
	network_address to;
	std::string zone; ///< Of the endpoint; empty when it is not known.
	std::string service; ///< Of the endpoint; empty when the request is not to an endpoint.
	std::string bytes; ///< The whole request.
	std::string echo_header; ///< Header by which the answer identifies its request; empty when answers carry none.
	std::string echo_value;
	bool is_head = false; ///< The answer has no body.
	bool use_kept = true; ///< Whether a kept connection may be used.
	duration connect_timeout = std::chrono::milliseconds(250); ///< Many round trips within a region. After a lost packet an attempt elsewhere takes less time than waiting for the retransmission.
	duration longest_idle = std::chrono::seconds(2); ///< Connections that were idle for longer are not used, as the endpoint may be closing them.
};

/** Callbacks of an exchange. on_end is called exactly once unless the exchange is cancelled. */
struct channel_hooks {
	/** Called for the answer; once more for the next one if the answer turns out to be a copy of an earlier one. */
	std::function<void(const http_head &)> on_head;
	std::function<void(std::string_view)> on_body;
	std::function<void(channel_end)> on_end;
	/**
	 * Called for a complete answer that carries no id. Returns a digest of content that no other answer has, by which copies are
	 * recognized; empty if there is none, and then the connection is not kept. Unset if copies do no harm.
	 */
	std::function<std::optional<std::uint64_t>()> get_answer_digest = {};
};

/** Identifies an exchange, i.e. one request and its answer. */
using exchange_id = std::uint64_t;

/** Where an exchange takes place. Both numbers start at 1; 0 means that this node has no connection for the exchange. */
struct channel_position {
	std::uint64_t connection = 0; ///< Number of the connection within this process.
	std::uint64_t place = 0; ///< Number of the exchange on its connection.
};

/**
 * Decides to which exchange of its connection an answer belongs, by the id in its headers.
 * @param p_request the request of the exchange in progress.
 */
answer_owner find_answer_owner(const connection_history &p_history, const channel_request &p_request, const http_head &p_head);

/** Where bytes arrived that belong to no request. */
enum class surplus_kind {
	OTHER_ANSWER, ///< An answer to another request, in the place of the expected one.
	WITHOUT_ID, ///< An answer that lacks the id of its request, on a connection that carried earlier requests.
	SEVERAL_IDS, ///< An answer with ids of several requests.
	COPY, ///< A copy of an earlier answer on the connection, where answers carry no id.
	BEHIND_ANSWER, ///< Bytes behind a complete answer.
	WHILE_IDLE, ///< Bytes on an idle connection.
};

/** Returns the name of a kind, e.g. "other_answer". */
std::string_view get_name(surplus_kind p_kind);

/** Bytes from an endpoint that belong to no request. */
struct surplus_report {
	surplus_kind kind = surplus_kind::OTHER_ANSWER;
	endpoint_identity endpoint;
	std::string service; ///< Of the endpoint; empty when it is not known.
	channel_position position; ///< Of the exchange in progress, or of the latest one.
	std::string expected_echo; ///< Identifies the request in progress.
	std::string received_echo; ///< As the surplus answer states.
	int status = 0; ///< Of the surplus answer.
};

/**
 * Sends requests and reads answers. An answer that echoes another request is a late answer to an earlier exchange and is
 * skipped. A request is never sent over a connection that carried its id before, so that a late copy of an earlier answer to it is
 * not taken for the answer to this send. A connection is not kept after surplus bytes, an answer that arrived before the request
 * was sent, or a failure.
 */
class endpoint_channels {
	class channel;

	event_loop &_loop;
	std::map<exchange_id, std::unique_ptr<channel>> _busy;
	std::map<endpoint_identity, std::vector<std::unique_ptr<channel>>> _idle;
	timer _sweep_timer;
	exchange_id _next_id = 1;
	std::function<void(const channel_request &)> _on_contact;
	std::function<void(const surplus_report &)> _on_surplus;
	path_faults _faults;
	std::uint64_t _opened = 0;
	std::uint64_t _skipped_answers = 0;

	/** Removes and returns the most recently used kept connection that is fresh enough, received nothing since and may carry the request; null when there is none. */
	std::unique_ptr<channel> _take_kept(const channel_request &p_request);
	void _free(std::unique_ptr<channel> p_channel);
	void _on_idle_event(channel *p_channel);
	void _finish(channel &p_channel, channel_end p_end, bool p_keep);
	/** Ends an exchange whose simulated path has failed. */
	void _fail_path(exchange_id p_id);
	void _sweep();

public:
	explicit endpoint_channels(event_loop &p_loop);
	~endpoint_channels();
	endpoint_channels(const endpoint_channels &) = delete;
	endpoint_channels &operator=(const endpoint_channels &) = delete;

	/** Starts an exchange. Its hooks are called from the loop, never before this returns. */
	exchange_id start(channel_request p_request, channel_hooks p_hooks);

	/** Cancels an exchange by closing its connection; its hooks are not called afterwards. */
	void cancel(exchange_id p_id);

	/** Pauses or resumes reading an answer; while paused, flow control blocks the endpoint once the buffers are full. */
	void set_reading(exchange_id p_id, bool p_reads);

	/** Returns whether bytes of an answer have arrived that are not read yet. */
	bool has_unread(exchange_id p_id) const;

	/** Sets the hook that receives a request when bytes arrive from its endpoint or a connection is established for it. */
	void set_on_contact(std::function<void(const channel_request &)> p_hook) { _on_contact = std::move(p_hook); }

	/** Simulates failed paths to endpoints from now on, and applies them to established connections; for failure tests. */
	void set_path_faults(std::function<path_fault(const network_address &)> p_find);

	/** Sets the hook that is called with a report of bytes that belong to no request. */
	void set_on_surplus(std::function<void(const surplus_report &)> p_hook) { _on_surplus = std::move(p_hook); }

	/** Returns where an exchange in progress takes place. */
	channel_position get_position(exchange_id p_id) const;

	const path_faults &get_path_faults() const { return _faults; }

	/** Closes the idle connections to an endpoint that is no longer listed. */
	void drop_idle(const endpoint_identity &p_endpoint);

	/**
	 * Handles the restart of an endpoint. Closes the idle connections to the previous start and ends the exchanges with it as
	 * BROKEN or CONNECT_FAILED. An exchange whose connection may belong to the later start continues.
	 * @param p_started_ago time since the later start, according to the wall clock.
	 * @return number of exchanges that were ended.
	 */
	std::size_t end_replaced(const endpoint_identity &p_endpoint, duration p_started_ago);

	std::uint64_t get_opened() const { return _opened; }
	std::uint64_t get_skipped_answers() const { return _skipped_answers; }
};

} // namespace calicoscale

#endif // ENDPOINT_CHANNELS_H
