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
#include "servers/configuration/configuration_fold.h"
#include "servers/gateway/commitment_table.h"
#include "servers/gateway/crash_memory.h"
#include "servers/gateway/endpoint_directory.h"
#include "servers/gateway/evacuation_table.h"
#include "servers/gateway/prompt_record.h"
#include "servers/membership/member_table.h"
#include "servers/rollout/rollout.h"

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

/** A VM's leaving mark as nodes tell each other. */
struct leaving_mark {
	std::string vm;
	std::uint64_t incarnation = 0;
};

/** What a node tells its neighbours at each beat. */
struct heartbeat_message {
	hybrid_time at;
	std::vector<member_digest> digests;
	std::vector<leaving_mark> marks;
	std::vector<pool_commitment> commitments; ///< Stage work this node has admitted and not finished.
	std::vector<pool_capacity> capacities; ///< Of the pools this node dispatches.
	std::vector<endpoint_identity> gone; ///< Endpoints whose entry this node saw go, reading without a break.
	bool follows = false; ///< This node follows the configuration in the store and was answered just now.
	duration next_in = duration::zero(); ///< Until the next heartbeat to the same peer; zero when it is not told.
	bool wants_link = false; ///< The sender needs this link, so the receiver is to beat back.
	bool relies_on_you = false; ///< The receiver is the hub through which the sender knows the fleet.
	bool is_total = false; ///< Commitments are those of the whole fleet, for nodes that rely on the sender.
	std::uint32_t zone_nodes = 0; ///< Live nodes of the sender's zone, as it hears them; told by hubs.
	std::uint32_t fleet_nodes = 0; ///< Live nodes of all zones; told by hubs.
	std::vector<std::string> dispatchers; ///< Nodes that may dispatch pools; told by hubs.
	std::vector<std::string> unreached_zones; ///< Zones that are cut off from the sender; told by hubs.
	evacuation_state evacuations; ///< As the sender knows them; position zero from a version that does not.
	std::vector<rollout_update> rollouts; ///< All that the sender knows.
};

/** A submission under a key that the receiver owns. */
struct pass_request_message {
	std::uint64_t id = 0;
	std::string customer;
	std::string pipeline;
	std::string key;
	duration remaining = duration::zero();
	std::string input;
};

/** The answer to a submission passed on. */
struct pass_answer_message {
	std::uint64_t id = 0;
	int status = 0;
	std::string body;
};

/** Work for a stage pool that the receiver dispatches. Times are what is left when it is sent. */
struct assign_work_message {
	std::uint64_t id = 0; ///< The sender's.
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
	std::vector<std::string> homes; ///< Regions that the work does not leave; empty for all.
};

/** Work handed over ended. */
struct work_ended_message {
	std::uint64_t id = 0; ///< As the owner of the work gave it.
	std::uint8_t end = 0; ///< A work_end.
	std::vector<std::string> handles;
	std::vector<std::uint64_t> incarnations; ///< Of the replicas that made them; empty from a node that does not know them.
};

/** Nobody waits for work handed over any more. */
struct cancel_work_message {
	std::uint64_t id = 0;
	std::string pool;
};

/** Results that nothing needs any more. */
struct release_results_message {
	std::string pool;
	std::vector<std::string> handles;
};

/** Results a node holds, for the node that dispatches their pool now. */
struct report_results_message {
	std::string pool;
	std::vector<std::string> handles;
	std::vector<std::uint64_t> result_bytes; ///< Of each handle.
	std::vector<std::uint64_t> incarnations; ///< Of the replicas that made them; empty from a node that does not know them.
};

/** Prompts that nodes sent to engines. */
struct report_prompts_message {
	std::vector<prompt_record> prompts;
};

/** All endpoints the sender knows, for a node that cannot read them. */
struct report_endpoints_message {
	std::vector<endpoint_listing> endpoints;
	log_position known; ///< Up to which the topic was read; offset zero when the sender has not read it, or knows no starts.
};

/** What one read of the endpoints' topic brought, for nodes that do not read it themselves. */
struct report_delta_message {
	endpoint_delta reading;
};

/** News of a request that was at work at endpoints that ended. */
struct reported_crash {
	crash_event news = crash_event::CRASHED_ENDPOINT;
	request_fingerprint run;
	std::uint64_t subject = 0; ///< See crash_record.
	duration age = duration::zero(); ///< How long ago it happened when it is sent.
};

/** What the sender knows of requests that were at work at endpoints that ended. */
struct report_crashes_message {
	std::vector<reported_crash> news;
	bool is_whole = false; ///< All that the sender knows.
};

/** What an answer said of its endpoint's limit. */
struct reported_limit {
	endpoint_identity endpoint;
	std::optional<double> rate; ///< Requests a second; empty when the limit is over.
	duration age = duration::zero(); ///< Of the answer when the message is sent.
};

/** What the sender knows of limits that endpoints named. */
struct report_limits_message {
	std::vector<reported_limit> limits;
};

/** Who a link is made as, and the secret of the fleet. */
struct link_identity {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::string fleet_key; ///< Empty admits every peer.
	duration longest_back_off = std::chrono::seconds(8); ///< Between attempts to make a link; they begin at a quarter of a second.
	bool asks_lists = false; ///< It asks for the endpoints, so that peers need not tell them unasked.
};

/**
 * All links of this node. A frame is a 4-byte big-endian length and a FlatBuffer; each is verified before it is read.
 * Both ends send hello with a nonce, then prove that they know the fleet key; nothing else is accepted before that.
 */
class node_link {
	class link;

	event_loop &_loop;
	link_identity _identity;
	network_address _address;
	evconnlistener *_listener = nullptr;
	std::vector<std::shared_ptr<link>> _links;
	std::unordered_map<std::string, std::vector<link *>> _proven; ///< By VM, oldest first.
	std::map<std::string, instant> _dial_after; ///< By VM, or by address where the VM is not known; back-off.
	std::map<std::string, duration> _back_off;
	std::vector<std::string> _cut_off; ///< VMs no link is held with, for failure tests.
	std::uint64_t _rejected_frames = 0;
	std::uint64_t _bytes_sent = 0;
	std::map<std::string_view, std::uint64_t> _bytes_by_kind; ///< Part of _bytes_sent by kind of message.
	std::uint64_t _bytes_received = 0;

	sigc::signal<void(const std::string &)> _link_up;
	sigc::signal<void(const std::string &)> _link_down;
	sigc::signal<void(const std::string &, const heartbeat_message &)> _heartbeat_received;
	sigc::signal<void(const std::string &, std::uint64_t)> _configuration_asked;
	sigc::signal<void(const std::string &)> _endpoints_asked;
	sigc::signal<void(const std::string &)> _endpoints_declined;
	sigc::signal<void(const std::string &, const configuration_snapshot &)> _configuration_told;
	sigc::signal<void(const std::string &, const pass_request_message &)> _request_passed;
	sigc::signal<void(const std::string &, const pass_answer_message &)> _answer_passed;

	sigc::signal<void(const std::string &, const assign_work_message &)> _work_handed;
	sigc::signal<void(const std::string &, const work_ended_message &)> _work_ended;
	sigc::signal<void(const std::string &, const cancel_work_message &)> _work_cancelled;
	sigc::signal<void(const std::string &, const release_results_message &)> _results_released;
	sigc::signal<void(const std::string &, const report_results_message &)> _results_told;
	sigc::signal<void(const std::string &, const report_prompts_message &)> _prompts_told;
	sigc::signal<void(const std::string &, const report_endpoints_message &)> _endpoints_told;
	sigc::signal<void(const std::string &, const report_delta_message &)> _reading_told;
	sigc::signal<void(const std::string &, const report_crashes_message &)> _crashes_told;
	sigc::signal<void(const std::string &, const report_limits_message &)> _limits_told;

	static void _on_accept(evconnlistener *p_listener, int p_socket, sockaddr *p_from, int p_size, void *p_self);
	void _adopt(bufferevent *p_stream, const std::string &p_expected_vm, const std::string &p_dial_key);
	bool _dial(const std::string &p_vm, const std::string &p_dial_key, const network_address &p_address);
	void _remove(link *p_link);
	std::shared_ptr<link> _hold(link *p_link) const;
	void _on_proven(link *p_link);
	bool _send_if_linked(const std::string &p_vm, const std::function<bool(link &)> &p_send);
	std::uint32_t _get_features() const;
	link *_find(const std::string &p_vm) const;
	bool _is_cut_off(const std::string &p_vm) const;

public:
	/**
	 * Listens at once.
	 * @throws std::runtime_error when the address cannot be bound.
	 */
	node_link(event_loop &p_loop, const network_address &p_address, link_identity p_identity);
	~node_link();
	node_link(const node_link &) = delete;
	node_link &operator=(const node_link &) = delete;

	/** Makes a link to a node unless there is one or its back-off lasts. */
	void dial(const std::string &p_vm, const network_address &p_address);

	/** Makes a link to whoever answers at an address. @return false when a link is being made or the back-off lasts. */
	bool dial_unnamed(const network_address &p_address);

	/** VMs with a proven link. */
	std::vector<std::string> get_linked() const;
	bool is_linked(const std::string &p_vm) const;

	/** Refuses links with these VMs and closes those there are; empty heals. For failure tests. */
	void set_cut_off(std::vector<std::string> p_vms);

	void send(const std::string &p_vm, const heartbeat_message &p_message);
	void ask_configuration(const std::string &p_vm, std::uint64_t p_have);
	/** Asks a peer for all endpoints. Returns whether the question was put on a link; not to one that would not understand it. */
	bool ask_endpoints(const std::string &p_vm);
	void decline_endpoints(const std::string &p_vm);
	/** Whether a linked peer asks for the endpoints when it knows none. */
	bool asks_lists(const std::string &p_vm) const;
	void send(const std::string &p_vm, const configuration_snapshot &p_message);
	/** Returns whether the message was put on a link. */
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
	/** Not sent to a peer of a version that does not know it. */
	bool send(const std::string &p_vm, const report_crashes_message &p_message);
	bool send(const std::string &p_vm, const report_limits_message &p_message);

	/** Closes the links of a VM that has fallen silent; they are dialled anew. */
	void drop(const std::string &p_vm);

	sigc::signal<void(const std::string &)> &link_up() { return _link_up; }
	sigc::signal<void(const std::string &)> &link_down() { return _link_down; }
	sigc::signal<void(const std::string &, const heartbeat_message &)> &heartbeat_received() { return _heartbeat_received; }
	sigc::signal<void(const std::string &)> &endpoints_requested() { return _endpoints_asked; }
	sigc::signal<void(const std::string &)> &endpoints_declined() { return _endpoints_declined; }
	sigc::signal<void(const std::string &, std::uint64_t)> &configuration_requested() { return _configuration_asked; }
	sigc::signal<void(const std::string &, const configuration_snapshot &)> &configuration_reported() { return _configuration_told; }
	sigc::signal<void(const std::string &, const pass_request_message &)> &request_passed() { return _request_passed; }
	sigc::signal<void(const std::string &, const pass_answer_message &)> &answer_passed() { return _answer_passed; }

	sigc::signal<void(const std::string &, const assign_work_message &)> &work_handed() { return _work_handed; }
	sigc::signal<void(const std::string &, const work_ended_message &)> &work_ended() { return _work_ended; }
	sigc::signal<void(const std::string &, const cancel_work_message &)> &work_cancelled() { return _work_cancelled; }
	sigc::signal<void(const std::string &, const release_results_message &)> &results_released() { return _results_released; }
	sigc::signal<void(const std::string &, const report_results_message &)> &results_reported() { return _results_told; }
	sigc::signal<void(const std::string &, const report_prompts_message &)> &prompts_reported() { return _prompts_told; }
	sigc::signal<void(const std::string &, const report_endpoints_message &)> &endpoints_reported() { return _endpoints_told; }
	sigc::signal<void(const std::string &, const report_delta_message &)> &delta_reported() { return _reading_told; }
	sigc::signal<void(const std::string &, const report_crashes_message &)> &crashes_reported() { return _crashes_told; }
	sigc::signal<void(const std::string &, const report_limits_message &)> &limits_reported() { return _limits_told; }

	const network_address &get_address() const { return _address; }
	std::uint64_t get_rejected_frames() const { return _rejected_frames; }
	std::uint64_t get_bytes_sent() const { return _bytes_sent; }

	/** Bytes sent by the name of the kind of message, for those that were sent at all. */
	const std::map<std::string_view, std::uint64_t> &get_bytes_by_kind() const { return _bytes_by_kind; }
	std::uint64_t get_bytes_received() const { return _bytes_received; }
};

} // namespace calicoscale

#endif // NODE_LINK_H
