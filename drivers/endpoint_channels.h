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
#include "servers/routing/endpoint_identity.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;

namespace calicoscale {

/** How an exchange with an endpoint ended. */
enum class channel_end {
	COMPLETE, ///< The whole answer came.
	CONNECT_FAILED, ///< Not one byte was sent.
	BROKEN, ///< The connection ended first; the request may have run.
	MALFORMED, ///< What came is no answer to this request; it may have run.
};

/** Name of an end, e.g. "connect_failed". */
std::string_view get_name(channel_end p_end);

/** One request to an endpoint. */
struct channel_request {
	endpoint_identity endpoint; ///< Connections are kept by it, as an address may pass to another endpoint.
	network_address to;
	std::string zone; ///< Of the endpoint; empty when it is not known.
	std::string bytes; ///< The whole request.
	std::string echo_header; ///< Header by which the answer names its request; empty when answers do not.
	std::string echo_value;
	bool is_head = false; ///< The answer has no body.
	bool use_kept = true; ///< Whether a kept connection will do.
	duration connect_timeout = std::chrono::milliseconds(250); ///< Many round trips within a region; a lost packet costs an attempt elsewhere, which is less than waiting for its repeat.
	duration longest_idle = std::chrono::seconds(2); ///< Older kept connections are not used, as the endpoint may close them meanwhile.
};

/** What an exchange reports. on_end comes exactly once unless it is cancelled. */
struct channel_hooks {
	std::function<void(const http_head &)> on_head;
	std::function<void(std::string_view)> on_body;
	std::function<void(channel_end)> on_end;
};

/** Names an exchange. */
using exchange_id = std::uint64_t;

/**
 * Sends requests and reads answers. An answer that echoes another request is a late one of an earlier exchange and is
 * skipped. A connection with surplus bytes, an answer that came before the request was out, or a failure is not kept.
 */
class endpoint_channels {
	class channel;

	event_loop &_loop;
	std::map<exchange_id, std::unique_ptr<channel>> _busy;
	std::map<endpoint_identity, std::vector<std::unique_ptr<channel>>> _idle;
	timer _sweep_timer;
	exchange_id _next_id = 1;
	std::function<void(const std::string &)> _on_heard;
	std::uint64_t _opened = 0;
	std::uint64_t _skipped_answers = 0;

	/** The kept connection used last, if it is fresh enough and nothing came on it since; null when there is none. */
	std::unique_ptr<channel> _take_kept(const channel_request &p_request);
	void _free(std::unique_ptr<channel> p_channel);
	void _on_idle_event(channel *p_channel);
	void _finish(channel &p_channel, channel_end p_end, bool p_keep);
	void _sweep();

public:
	explicit endpoint_channels(event_loop &p_loop);
	~endpoint_channels();
	endpoint_channels(const endpoint_channels &) = delete;
	endpoint_channels &operator=(const endpoint_channels &) = delete;

	/** Starts an exchange. Its hooks are called from the loop, never before this returns. */
	exchange_id start(channel_request p_request, channel_hooks p_hooks);

	/** Ends an exchange by closing its connection; its hooks are not called any more. */
	void cancel(exchange_id p_id);

	/** Stops reading an answer, or goes on; what arrives meanwhile holds its endpoint up. */
	void set_reading(exchange_id p_id, bool p_reads);

	/** Whether bytes of an answer have arrived that were not read yet. */
	bool has_unread(exchange_id p_id) const;

	/** Sets what is told the zone of an endpoint of which bytes or a new connection came. */
	void set_on_contact(std::function<void(const std::string &)> p_hook) { _on_heard = std::move(p_hook); }

	/** Closes what is kept to an endpoint that is gone. */
	void drop_idle(const endpoint_identity &p_endpoint);

	/**
	 * An endpoint started again. Closes what is kept to the start before, and ends the exchanges with it as broken, or as not
	 * connected. An exchange whose connection may be one with the later start goes on.
	 * @param p_started_ago how long ago the later start was, as far as the time of day tells.
	 * @return exchanges that were ended.
	 */
	std::size_t end_replaced(const endpoint_identity &p_endpoint, duration p_started_ago);

	std::uint64_t get_opened() const { return _opened; }
	std::uint64_t get_skipped_answers() const { return _skipped_answers; }
};

} // namespace calicoscale

#endif // ENDPOINT_CHANNELS_H
