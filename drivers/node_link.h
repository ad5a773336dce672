/*
 * calicoscale: node_link.h
 * Links between entry nodes: framed TCP that carries FlatBuffers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_LINK_H
#define NODE_LINK_H

#include "core/hybrid_clock.h"
#include "drivers/event_loop.h"
#include "drivers/exchange_messages.h"
#include "servers/configuration/configuration_fold.h"
#include "servers/gateway/commitment_table.h"
#include "servers/gateway/crash_memory.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/evacuation_table.h"
#include "servers/gateway/prompt_record.h"
#include "servers/membership/member_table.h"
#include "servers/rollout/rollout.h"
#include "servers/streams/stream_record.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace calicoscale {

/** Leaving mark of a VM, as nodes report it to each other. */
struct leaving_mark {
	std::string vm;
	std::uint64_t incarnation = 0;
};

/** State that a node sends to its peers with each heartbeat. */
struct heartbeat_message {
	hybrid_time at;
	std::vector<member_digest> digests;
	std::vector<leaving_mark> marks;
	std::vector<pool_commitment> commitments; ///< Stage work that this node has admitted and not finished.
	std::vector<pool_capacity> capacities; ///< Of the pools this node dispatches.
	std::vector<endpoint_identity> gone; ///< Endpoints whose entry this node saw removed while it read the topic without gaps.
	bool follows = false; ///< The sender follows the configuration in the store, and the store answered it recently.
	duration next_in = duration::zero(); ///< Time until the next heartbeat to the same peer; zero when the sender does not report it.
	bool wants_link = false; ///< The sender needs this link, so the receiver must send heartbeats back.
	bool relies_on_you = false; ///< The receiver is the hub that the sender follows, i.e. through which it knows the fleet.
	bool is_total = false; ///< The commitments are those of the whole fleet, for nodes that follow the sender.
	std::uint32_t zone_nodes = 0; ///< Number of nodes of the sender's zone that the sender considers live; reported by hubs.
	std::uint32_t fleet_nodes = 0; ///< Number of live nodes of all zones; reported by hubs.
	std::uint32_t known_nodes = 0; ///< Number of nodes of all zones including silent ones; reported by hubs, 0 if unknown.
	std::vector<std::string> dispatchers; ///< Nodes that may dispatch pools; reported by hubs.
	std::vector<std::string> unreached_zones; ///< Zones that the sender cannot reach; reported by hubs.
	evacuation_state evacuations; ///< Evacuations known to the sender; position zero when the sender's version does not support them.
	std::vector<rollout_update> rollouts; ///< All roll-out updates that the sender knows.
	std::vector<std::string> unreached_services; ///< Services to whose endpoints the sender cannot connect.
};

/** A submission that is forwarded to the owner of its key. */
struct pass_request_message {
	std::uint64_t id = 0;
	std::string customer;
	std::string pipeline;
	std::string key;
	duration remaining = duration::zero();
	std::string input;
};

/** Answer to a forwarded submission. */
struct pass_answer_message {
	std::uint64_t id = 0;
	int status = 0;
	std::string body;
};

/** Work for a stage pool that the receiver dispatches. Times are what remains when the message is sent. */
struct assign_work_message {
	std::uint64_t id = 0; ///< Assigned by the sender.
	std::string pool;
	std::string attempt;
	std::uint32_t stage = 0;
	std::uint32_t pieces = 0;
	std::string caller_key;
	std::vector<std::string> inputs;
	duration give_up_in = duration::zero();
	duration due_in = duration::zero();
	int priority = 0;
	std::string zone;
	std::uint64_t result_bytes = 0;
	std::uint64_t transfer_bytes = 0;
	request_fingerprint run;
	bool is_alone = false; ///< See stage_work.
	std::vector<std::string> homes; ///< Regions to which the work is restricted; empty for no restriction.
};

/** Reports that assigned work has ended, with its result handles. */
struct work_ended_message {
	std::uint64_t id = 0; ///< Assigned by the owner of the work.
	std::uint8_t end = 0; ///< A work_end.
	std::vector<std::string> handles;
	std::vector<std::uint64_t> incarnations; ///< Of the replicas that produced the results; empty when the sender does not know them.
	std::string attempt; ///< Attempt of the work, for the owner to check; empty when the sender does not report it.
	std::uint32_t stage = 0; ///< Stage of the work; valid if there is an attempt.
};

/** Cancels assigned work whose result is no longer awaited. */
struct cancel_work_message {
	std::uint64_t id = 0;
	std::string pool;
};

/** Releases results that are no longer needed. */
struct release_results_message {
	std::string pool;
	std::vector<std::string> handles;
};

/** Results that the sender stores, reported to the current dispatcher of their pool. */
struct report_results_message {
	std::string pool;
	std::vector<std::string> handles;
	std::vector<std::uint64_t> result_bytes; ///< Of each handle.
	std::vector<std::uint64_t> incarnations; ///< Of the replicas that produced the results; empty when the sender does not know them.
};

/** Reports prompts that nodes have sent to engines. */
struct report_prompts_message {
	std::vector<prompt_record> prompts;
};

/** All endpoints that the sender knows, for a node that cannot read their topic itself. */
struct report_endpoints_message {
	std::vector<endpoint_listing> endpoints;
	log_position known; ///< Position up to which the sender has read the topic; offset zero when it has not read it, or does not know the starts of the endpoints.
};

/** Changes found by one read of the endpoints' topic, for nodes that do not read it themselves. */
struct report_delta_message {
	endpoint_delta reading;
};

/** Event of a request that was running at endpoints when they crashed. */
struct reported_crash {
	crash_event news = crash_event::CRASHED_ENDPOINT;
	request_fingerprint run;
	std::uint64_t subject = 0; ///< See crash_record.
	duration age = duration::zero(); ///< Age of the event when the message is sent.
};

/** Events of requests that were running at endpoints when they crashed, as known to the sender. */
struct report_crashes_message {
	std::vector<reported_crash> news;
	bool is_whole = false; ///< The message holds all events that the sender knows.
};

/** Limit that an endpoint advertised in an answer. */
struct reported_limit {
	endpoint_identity endpoint;
	std::optional<double> rate; ///< Requests per second; empty when the limit no longer applies.
	duration age = duration::zero(); ///< Age of the answer when the message is sent.
};

/** Limits advertised by endpoints, as known to the sender. */
struct report_limits_message {
	std::vector<reported_limit> limits;
};

/** Record of a stream as nodes exchange it. */
struct reported_stream {
	stream_key key;
	std::uint32_t customer = 0; ///< See stream_record.
	stream_origin origin;
	duration left = duration::zero(); ///< Remaining lifetime when the message is sent.
};

/** Reports streams that have begun, for the nodes that store their records. */
struct report_streams_message {
	std::vector<reported_stream> streams;
};

/** Requests the record of a stream. */
struct request_stream_message {
	std::uint64_t id = 0; ///< Assigned by the requesting node.
	stream_key key;
};

/** Answers request_stream_message. */
struct stream_answer_message {
	std::uint64_t id = 0;
	std::optional<reported_stream> record;
};

/** Identity that this node presents on its links, and the shared secret of the fleet. */
struct link_identity {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string fleet_key; ///< When empty, every peer is admitted.
	duration longest_back_off = std::chrono::seconds(8); ///< Upper bound of the back-off between attempts to connect, which starts at 250 ms and doubles.
	bool asks_lists = false; ///< This node requests the endpoints, so that peers need not send them unrequested.
	std::size_t max_links = 1024; ///< Connections beyond this number of links are refused. Each link uses one file descriptor.
};

/**
 * All links of this node. A frame is a 4-byte big-endian length and a FlatBuffer; each frame is verified before it is read.
 * Both ends send a hello message with a nonce, then prove that they know the fleet key; no other message is accepted
 * before that.
 */
class node_link {
	class link;

	event_loop &_loop;
	link_identity _identity;
	network_address _address;
	evconnlistener *_listener = nullptr;
	std::vector<std::shared_ptr<link>> _links;
	std::unordered_map<std::string, std::vector<link *>> _proven; ///< Authenticated links by VM, oldest first.
	std::unordered_map<std::string, std::uint64_t> _incarnations; ///< Incarnation of the process that was authenticated last, by VM.
	std::map<std::string, instant> _dial_after; ///< Earliest time of the next attempt, by VM, or by address where the VM is not known.
	std::map<std::string, duration> _back_off;
	std::vector<std::string> _cut_off; ///< VMs with which links are refused, for failure tests.
	std::uint64_t _rejected_frames = 0;
	std::uint64_t _refused_connections = 0;
	std::uint64_t _bytes_sent = 0;
	std::map<std::string_view, std::uint64_t> _bytes_by_kind; ///< _bytes_sent by kind of message.
	std::uint64_t _bytes_received = 0;

	sigc::signal<void(const std::string &)> _link_up;
	sigc::signal<void(const std::string &)> _link_down;
	sigc::signal<void(const std::string &)> _peer_replaced;
	sigc::signal<void()> _connection_refused;
	sigc::signal<void(const std::string &, const heartbeat_message &)> _heartbeat_received;
	sigc::signal<void(const std::string &, std::uint64_t)> _configuration_requested;
	sigc::signal<void(const std::string &)> _endpoints_requested;
	sigc::signal<void(const std::string &)> _endpoints_declined;
	sigc::signal<void(const std::string &, const configuration_snapshot &)> _configuration_reported;
	sigc::signal<void(const std::string &, const pass_request_message &)> _request_passed;
	sigc::signal<void(const std::string &, const pass_answer_message &)> _answer_passed;

	sigc::signal<void(const std::string &, const assign_work_message &)> _work_handed;
	sigc::signal<void(const std::string &, const work_ended_message &)> _work_ended;
	sigc::signal<void(const std::string &, const cancel_work_message &)> _work_cancelled;
	sigc::signal<void(const std::string &, const release_results_message &)> _results_released;
	sigc::signal<void(const std::string &, const report_results_message &)> _results_reported;
	sigc::signal<void(const std::string &, const report_prompts_message &)> _prompts_reported;
	sigc::signal<void(const std::string &, const report_endpoints_message &)> _endpoints_reported;
	sigc::signal<void(const std::string &, const report_delta_message &)> _delta_reported;
	sigc::signal<void(const std::string &, const report_crashes_message &)> _crashes_reported;
	sigc::signal<void(const std::string &, const report_limits_message &)> _limits_reported;
	sigc::signal<void(const std::string &, const report_streams_message &)> _streams_reported;
	sigc::signal<void(const std::string &, const request_stream_message &)> _stream_requested;
	sigc::signal<void(const std::string &, const stream_answer_message &)> _stream_answered;
	sigc::signal<void(const std::string &, const open_exchange_message &)> _exchange_opened;
	sigc::signal<void(const std::string &, const control_exchange_message &)> _exchange_controlled;
	sigc::signal<void(const std::string &, const exchange_progress_message &)> _exchange_progressed;

	static void _on_accept(evconnlistener *p_listener, int p_socket, sockaddr *p_from, int p_size, void *p_self);
	void _adopt(bufferevent *p_stream, const std::string &p_expected_vm, const std::string &p_dial_key);
	bool _dial(const std::string &p_vm, const std::string &p_dial_key, const network_address &p_address);
	void _remove(link *p_link);
	std::shared_ptr<link> _get_shared(link *p_link) const;
	void _on_proven(link *p_link);
	/** Closes the links of the earlier process if an authenticated link belongs to another process of its VM. */
	void _replace_process(const link &p_link);
	bool _send_if_linked(const std::string &p_vm, const std::function<bool(link &)> &p_send);
	std::uint32_t _get_features() const;
	link *_find(const std::string &p_vm) const;
	bool _is_cut_off(const std::string &p_vm) const;

public:
	/**
	 * Starts to listen immediately.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	node_link(event_loop &p_loop, const network_address &p_address, link_identity p_identity);
	~node_link();
	node_link(const node_link &) = delete;
	node_link &operator=(const node_link &) = delete;

	/** Connects to a node unless a link exists or its back-off has not expired. */
	void dial(const std::string &p_vm, const network_address &p_address);

	/** Connects to an address whose VM is not known. @return false when a connection is pending or the back-off has not expired. */
	bool dial_unnamed(const network_address &p_address);

	/** Returns the VMs with an authenticated link. */
	std::vector<std::string> get_linked() const;
	bool is_linked(const std::string &p_vm) const;

	/** Refuses links with these VMs and closes existing ones; an empty list ends the partition. For failure tests. */
	void set_cut_off(std::vector<std::string> p_vms);

	void send(const std::string &p_vm, const heartbeat_message &p_message);
	void ask_configuration(const std::string &p_vm, std::uint64_t p_have);
	/** Requests all endpoints from a peer. Returns whether the request was queued on a link; false for a peer whose version does not support it. */
	bool ask_endpoints(const std::string &p_vm);
	void decline_endpoints(const std::string &p_vm);
	/** Returns whether a linked peer requests the endpoints when it knows none. */
	bool asks_lists(const std::string &p_vm) const;
	void send(const std::string &p_vm, const configuration_snapshot &p_message);
	/** Returns whether the message was queued on a link. */
	bool send(const std::string &p_vm, const pass_request_message &p_message);
	bool send(const std::string &p_vm, const pass_answer_message &p_message);

	bool send(const std::string &p_vm, const assign_work_message &p_message);
	bool send(const std::string &p_vm, const work_ended_message &p_message);
	bool send(const std::string &p_vm, const cancel_work_message &p_message);
	bool send(const std::string &p_vm, const release_results_message &p_message);
	bool send(const std::string &p_vm, const report_results_message &p_message);
	bool send(const std::string &p_vm, const report_prompts_message &p_message);
	bool send(const std::string &p_vm, const report_endpoints_message &p_message);
	bool send(const std::string &p_vm, const report_delta_message &p_message);
	/** Not sent to a peer whose version does not support this message. */
	bool send(const std::string &p_vm, const report_crashes_message &p_message);
	bool send(const std::string &p_vm, const report_limits_message &p_message);
	bool send(const std::string &p_vm, const report_streams_message &p_message);
	bool send(const std::string &p_vm, const request_stream_message &p_message);
	bool send(const std::string &p_vm, const stream_answer_message &p_message);
	bool send(const std::string &p_vm, const open_exchange_message &p_message);
	bool send(const std::string &p_vm, const control_exchange_message &p_message);
	bool send(const std::string &p_vm, const exchange_progress_message &p_message);

	/** Returns whether a linked peer carries out exchanges for others. */
	bool forwards_exchanges(const std::string &p_vm) const;

	/** Closes the links of an unresponsive VM, so that they are dialled again. */
	void drop(const std::string &p_vm);

	sigc::signal<void(const std::string &)> &link_up() { return _link_up; }
	sigc::signal<void(const std::string &)> &link_down() { return _link_down; }

	/**
	 * Emitted when a VM is linked whose last linked process was another one, before link_up(). The links of the earlier process have
	 * been closed, so that no message of it arrives any more. What it held is lost, and what is held for it has no owner.
	 */
	sigc::signal<void(const std::string &)> &peer_replaced() { return _peer_replaced; }
	/** Emitted when a connection is closed because there are as many links as allowed. */
	sigc::signal<void()> &connection_refused() { return _connection_refused; }
	sigc::signal<void(const std::string &, const heartbeat_message &)> &heartbeat_received() { return _heartbeat_received; }
	sigc::signal<void(const std::string &)> &endpoints_requested() { return _endpoints_requested; }
	sigc::signal<void(const std::string &)> &endpoints_declined() { return _endpoints_declined; }
	sigc::signal<void(const std::string &, std::uint64_t)> &configuration_requested() { return _configuration_requested; }
	sigc::signal<void(const std::string &, const configuration_snapshot &)> &configuration_reported() { return _configuration_reported; }
	sigc::signal<void(const std::string &, const pass_request_message &)> &request_passed() { return _request_passed; }
	sigc::signal<void(const std::string &, const pass_answer_message &)> &answer_passed() { return _answer_passed; }

	sigc::signal<void(const std::string &, const assign_work_message &)> &work_handed() { return _work_handed; }
	sigc::signal<void(const std::string &, const work_ended_message &)> &work_ended() { return _work_ended; }
	sigc::signal<void(const std::string &, const cancel_work_message &)> &work_cancelled() { return _work_cancelled; }
	sigc::signal<void(const std::string &, const release_results_message &)> &results_released() { return _results_released; }
	sigc::signal<void(const std::string &, const report_results_message &)> &results_reported() { return _results_reported; }
	sigc::signal<void(const std::string &, const report_prompts_message &)> &prompts_reported() { return _prompts_reported; }
	sigc::signal<void(const std::string &, const report_endpoints_message &)> &endpoints_reported() { return _endpoints_reported; }
	sigc::signal<void(const std::string &, const report_delta_message &)> &delta_reported() { return _delta_reported; }
	sigc::signal<void(const std::string &, const report_crashes_message &)> &crashes_reported() { return _crashes_reported; }
	sigc::signal<void(const std::string &, const report_limits_message &)> &limits_reported() { return _limits_reported; }
	sigc::signal<void(const std::string &, const report_streams_message &)> &streams_reported() { return _streams_reported; }
	sigc::signal<void(const std::string &, const request_stream_message &)> &stream_requested() { return _stream_requested; }
	sigc::signal<void(const std::string &, const stream_answer_message &)> &stream_answered() { return _stream_answered; }
	sigc::signal<void(const std::string &, const open_exchange_message &)> &exchange_opened() { return _exchange_opened; }
	sigc::signal<void(const std::string &, const control_exchange_message &)> &exchange_controlled() { return _exchange_controlled; }
	sigc::signal<void(const std::string &, const exchange_progress_message &)> &exchange_progressed() { return _exchange_progressed; }

	const network_address &get_address() const { return _address; }
	std::uint64_t get_rejected_frames() const { return _rejected_frames; }
	/** Returns how many connections were closed because there were as many links as allowed. */
	std::uint64_t get_refused_connections() const { return _refused_connections; }
	/** Whether a further connection would be refused. Counts links that are not authenticated yet. */
	bool is_full() const { return _links.size() >= _identity.max_links; }
	std::uint64_t get_bytes_sent() const { return _bytes_sent; }

	/** Returns the bytes sent by name of the kind of message; kinds that were never sent are absent. */
	const std::map<std::string_view, std::uint64_t> &get_bytes_by_kind() const { return _bytes_by_kind; }
	std::uint64_t get_bytes_received() const { return _bytes_received; }
};

} // namespace calicoscale

#endif // NODE_LINK_H
