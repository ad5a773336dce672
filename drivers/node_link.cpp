/*
 * calicoscale: node_link.cpp
 * Links between entry nodes: framed TCP that carries FlatBuffers.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/node_link.h"

#include "core/digest.h"
#include "core/ids.h"
#include "drivers/activity_scope.h"
#include "drivers/link_codec.h"
#include "drivers/socket_address.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace calicoscale {

namespace {

constexpr std::size_t LENGTH_BYTES = 4;
constexpr std::size_t MAX_FRAME_BYTES = 2 * 1024 * 1024;
/** An unauthenticated peer may send no more than a hello message. */
constexpr std::size_t MAX_UNAUTHENTICATED_FRAME_BYTES = 4 * 1024;
constexpr std::size_t MAX_UNSENT_BYTES = 8 * 1024 * 1024;
/**
 * Maximum number of connections that wait to be accepted. The nodes of a fleet that starts connect to a few seeds within less than a
 * second, while a seed is starting too; a connection that finds the queue full is tried again only after a second or more. The system
 * may impose a lower limit.
 */
constexpr int MAX_WAITING_CONNECTIONS = 4096;
constexpr duration FIRST_BACK_OFF = std::chrono::milliseconds(250);
constexpr int SILENCE_SECONDS = 10;
constexpr int NONCE_BYTES = 16;
/**
 * Heartbeats arrive over all links of a peer, at least once a second. A link whose last read is older by this much than
 * that of another link to the same peer is considered dead: messages sent over it are lost until it is closed after
 * SILENCE_SECONDS. In a fleet of six nodes none of 144 results sent between the nodes arrived in the seven seconds after
 * all connections became silent.
 */
constexpr duration STALE_AFTER = std::chrono::milliseconds(1500);

std::string make_nonce() {
	std::array<unsigned char, NONCE_BYTES> bytes{};
	RAND_bytes(bytes.data(), NONCE_BYTES);
	return sha256_hex(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

activity get_activity(const link_message &p_message) {
	if (std::holds_alternative<heartbeat_message>(p_message)) {
		return activity::HEARTBEATS_RECEIVED;
	}
	if (std::holds_alternative<assign_work_message>(p_message) || std::holds_alternative<work_ended_message>(p_message) || std::holds_alternative<cancel_work_message>(p_message)) {
		return activity::WORK_MESSAGES;
	}
	if (std::holds_alternative<release_results_message>(p_message) || std::holds_alternative<report_results_message>(p_message)) {
		return activity::RESULT_MESSAGES;
	}
	return std::holds_alternative<report_prompts_message>(p_message) ? activity::PROMPT_MESSAGES : activity::OTHER_MESSAGES;
}

} // namespace

/** One TCP connection to a peer. */
class node_link::link {
	node_link &_owner;
	bufferevent *_stream;
	std::string _expected_vm; ///< VM that this node dialled; empty for an accepted link.
	std::string _dial_key; ///< VM or address under which back-off is recorded; empty for an accepted link.
	std::string _vm; ///< VM of the peer, set once it is authenticated.
	hello_message _peer;
	std::string _nonce = make_nonce();
	instant _read_at = event_loop::now();
	bool _has_hello = false;
	bool _closed = false;
	bool _proven = false;

	static void _on_readable(bufferevent *, void *p_self) {
		static_cast<link *>(p_self)->_read();
	}

	static void _on_event(bufferevent *, short p_what, void *p_self) {
		link &self = *static_cast<link *>(p_self);
		if ((p_what & BEV_EVENT_CONNECTED) != 0) {
			self.begin();
			return;
		}
		self._owner._remove(&self);
	}

	std::string _make_code(const std::string &p_nonce, const std::string &p_vm, std::uint64_t p_incarnation) const {
		return hmac_hex(_owner._identity.fleet_key, p_nonce + "\n" + p_vm + "\n" + to_hex(p_incarnation));
	}

	void _reject() {
		_owner._rejected_frames++;
		_owner._remove(this);
	}

	/** Reads all complete frames that have arrived. */
	void _read() {
		const activity_scope scope(_owner._loop, activity::LINK_READ);
		// The owner may remove this link while a frame is handled; this reference keeps it alive until the function returns.
		const std::shared_ptr<link> keep = _owner._get_shared(this);
		_read_at = event_loop::now();
		evbuffer *input = bufferevent_get_input(_stream);
		while (!_closed && evbuffer_get_length(input) >= LENGTH_BYTES) {
			std::uint32_t length = 0;
			evbuffer_copyout(input, &length, LENGTH_BYTES);
			length = ntohl(length);
			const std::size_t largest = _proven ? MAX_FRAME_BYTES : MAX_UNAUTHENTICATED_FRAME_BYTES;
			if (length > largest) {
				_reject();
				return;
			}
			if (evbuffer_get_length(input) < LENGTH_BYTES + length) {
				return;
			}
			evbuffer_drain(input, LENGTH_BYTES);
			std::string bytes(length, '\0');
			evbuffer_remove(input, bytes.data(), length);
			_owner._bytes_received += LENGTH_BYTES + length;
			const std::optional<link_message> message = decode_link_message(bytes);
			if (!message) {
				_reject();
				return;
			}
			_handle(*message);
		}
	}

	void _handle(const link_message &p_message) {
		if (std::holds_alternative<hello_message>(p_message)) {
			_handle_hello(std::get<hello_message>(p_message));
			return;
		}
		if (std::holds_alternative<proof_message>(p_message)) {
			_handle_proof(std::get<proof_message>(p_message));
			return;
		}
		if (!_proven) {
			_reject();
			return;
		}
		_emit(p_message);
	}

	void _handle_hello(const hello_message &p_hello) {
		const bool is_wrong = _has_hello || p_hello.vm.empty() || p_hello.vm == _owner._identity.vm;
		const bool is_other = !_expected_vm.empty() && p_hello.vm != _expected_vm;
		if (is_wrong || is_other || _owner._is_cut_off(p_hello.vm)) {
			_reject();
			return;
		}
		_has_hello = true;
		_peer = p_hello;
		const link_identity &own = _owner._identity;
		send(proof_message{ _make_code(p_hello.nonce, own.vm, own.incarnation) });
	}

	void _handle_proof(const proof_message &p_proof) {
		if (!_has_hello || _proven || !equal_in_constant_time(p_proof.code, _make_code(_nonce, _peer.vm, _peer.incarnation))) {
			_reject();
			return;
		}
		_proven = true;
		_vm = _peer.vm;
		_owner._on_proven(this);
	}

	void _emit(const link_message &p_message) {
		const activity_scope scope(_owner._loop, get_activity(p_message));
		if (const auto *heartbeat = std::get_if<heartbeat_message>(&p_message)) {
			_owner._heartbeat_received.emit(_vm, *heartbeat);
		} else if (const auto *configuration_request = std::get_if<request_configuration_message>(&p_message)) {
			_owner._configuration_requested.emit(_vm, configuration_request->have);
		} else if (std::holds_alternative<request_endpoints_message>(p_message)) {
			_owner._endpoints_requested.emit(_vm);
		} else if (std::holds_alternative<decline_endpoints_message>(p_message)) {
			_owner._endpoints_declined.emit(_vm);
		} else if (const auto *snapshot = std::get_if<configuration_snapshot>(&p_message)) {
			_owner._configuration_reported.emit(_vm, *snapshot);
		} else if (const auto *request = std::get_if<pass_request_message>(&p_message)) {
			_owner._request_passed.emit(_vm, *request);
		} else if (const auto *answer = std::get_if<pass_answer_message>(&p_message)) {
			_owner._answer_passed.emit(_vm, *answer);
		} else if (const auto *work = std::get_if<assign_work_message>(&p_message)) {
			_owner._work_handed.emit(_vm, *work);
		} else if (const auto *ended = std::get_if<work_ended_message>(&p_message)) {
			_owner._work_ended.emit(_vm, *ended);
		} else if (const auto *cancelled = std::get_if<cancel_work_message>(&p_message)) {
			_owner._work_cancelled.emit(_vm, *cancelled);
		} else if (const auto *results = std::get_if<report_results_message>(&p_message)) {
			_owner._results_reported.emit(_vm, *results);
		} else if (const auto *released = std::get_if<release_results_message>(&p_message)) {
			_owner._results_released.emit(_vm, *released);
		} else if (const auto *prompts = std::get_if<report_prompts_message>(&p_message)) {
			_owner._prompts_reported.emit(_vm, *prompts);
		} else if (const auto *endpoints = std::get_if<report_endpoints_message>(&p_message)) {
			_owner._endpoints_reported.emit(_vm, *endpoints);
		} else if (const auto *delta = std::get_if<report_delta_message>(&p_message)) {
			_owner._delta_reported.emit(_vm, *delta);
		} else if (const auto *crashes = std::get_if<report_crashes_message>(&p_message)) {
			_owner._crashes_reported.emit(_vm, *crashes);
		} else if (const auto *limits = std::get_if<report_limits_message>(&p_message)) {
			_owner._limits_reported.emit(_vm, *limits);
		} else if (const auto *streams = std::get_if<report_streams_message>(&p_message)) {
			_owner._streams_reported.emit(_vm, *streams);
		} else if (const auto *stream_request = std::get_if<request_stream_message>(&p_message)) {
			_owner._stream_requested.emit(_vm, *stream_request);
		} else if (const auto *stream_answer = std::get_if<stream_answer_message>(&p_message)) {
			_owner._stream_answered.emit(_vm, *stream_answer);
		} else if (const auto *opened = std::get_if<open_exchange_message>(&p_message)) {
			_owner._exchange_opened.emit(_vm, *opened);
		} else if (const auto *controlled = std::get_if<control_exchange_message>(&p_message)) {
			_owner._exchange_controlled.emit(_vm, *controlled);
		} else if (const auto *progress = std::get_if<exchange_progress_message>(&p_message)) {
			_owner._exchange_progressed.emit(_vm, *progress);
		}
	}

public:
	link(node_link &p_owner, bufferevent *p_stream, std::string p_expected_vm, std::string p_dial_key) :
			_owner(p_owner), _stream(p_stream), _expected_vm(std::move(p_expected_vm)), _dial_key(std::move(p_dial_key)) {
		bufferevent_setcb(_stream, &link::_on_readable, nullptr, &link::_on_event, this);
		const timeval silence{ SILENCE_SECONDS, 0 };
		bufferevent_set_timeouts(_stream, &silence, &silence);
		bufferevent_setwatermark(_stream, EV_READ, 0, MAX_FRAME_BYTES + LENGTH_BYTES);
		bufferevent_enable(_stream, EV_READ | EV_WRITE);
	}

	~link() {
		bufferevent_free(_stream);
	}

	link(const link &) = delete;
	link &operator=(const link &) = delete;

	/** Sends the hello message over an established connection. */
	void begin() {
		const int on = 1;
		setsockopt(bufferevent_getfd(_stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		send(hello_message{ _owner._identity.vm, _owner._identity.incarnation, _nonce, _owner._get_features() });
	}

	/** @return whether the message was queued. It is dropped when the peer does not read, to bound the memory of the queue. */
	bool send(const link_message &p_message) {
		if (_closed || evbuffer_get_length(bufferevent_get_output(_stream)) > MAX_UNSENT_BYTES) {
			return false;
		}
		const std::string bytes = encode(p_message);
		const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
		bufferevent_write(_stream, &length, LENGTH_BYTES);
		bufferevent_write(_stream, bytes.data(), bytes.size());
		_owner._bytes_sent += LENGTH_BYTES + bytes.size();
		_owner._bytes_by_kind[get_kind_name(p_message.index())] += LENGTH_BYTES + bytes.size();
		return true;
	}

	/** Stops all callbacks; the object is freed later. */
	void close() {
		_closed = true;
		bufferevent_disable(_stream, EV_READ | EV_WRITE);
		bufferevent_setcb(_stream, nullptr, nullptr, nullptr, nullptr);
	}

	instant get_read_at() const { return _read_at; }
	bool is_proven() const { return _proven; }
	bool knows(link_feature p_feature) const { return (_peer.features & static_cast<std::uint32_t>(p_feature)) != 0; }
	const std::string &get_vm() const { return _vm; }
	/** Incarnation of the peer's process; 0 before its hello message. */
	std::uint64_t get_incarnation() const { return _peer.incarnation; }
	/** Whether the peer has announced itself as a VM. */
	bool is_of(const std::string &p_vm) const { return _has_hello && _peer.vm == p_vm; }
	const std::string &get_dial_key() const { return _dial_key; }
	const std::string &get_any_vm() const { return _vm.empty() ? _expected_vm : _vm; }
};

node_link::node_link(event_loop &p_loop, const network_address &p_address, link_identity p_identity) :
		_loop(p_loop), _identity(std::move(p_identity)) {
	const sockaddr_in address = make_socket_address(p_address);
	const unsigned int flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
	_listener = evconnlistener_new_bind(p_loop.get_base(), &node_link::_on_accept, this, flags, MAX_WAITING_CONNECTIONS, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
	if (_listener == nullptr) {
		throw std::runtime_error("cannot listen at " + to_string(p_address));
	}
	_address = get_bound_address(evconnlistener_get_fd(_listener), p_address.host);
}

node_link::~node_link() {
	if (_listener != nullptr) {
		evconnlistener_free(_listener);
	}
}

void node_link::_on_accept(evconnlistener *, int p_socket, sockaddr *, int, void *p_self) {
	node_link &self = *static_cast<node_link *>(p_self);
	if (self.is_full()) {
		evutil_closesocket(p_socket);
		self._refused_connections++;
		self._connection_refused.emit();
		return;
	}
	bufferevent *stream = bufferevent_socket_new(self._loop.get_base(), p_socket, BEV_OPT_CLOSE_ON_FREE);
	self._adopt(stream, "", "");
	self._links.back()->begin();
}

void node_link::_adopt(bufferevent *p_stream, const std::string &p_expected_vm, const std::string &p_dial_key) {
	_links.push_back(std::make_shared<link>(*this, p_stream, p_expected_vm, p_dial_key));
}

std::shared_ptr<node_link::link> node_link::_get_shared(link *p_link) const {
	const auto found = std::find_if(_links.begin(), _links.end(), [p_link](const std::shared_ptr<link> &p_entry) { return p_entry.get() == p_link; });
	return found == _links.end() ? nullptr : *found;
}

void node_link::dial(const std::string &p_vm, const network_address &p_address) {
	if (p_vm != _identity.vm && !_is_cut_off(p_vm)) {
		_dial(p_vm, p_vm, p_address);
	}
}

bool node_link::dial_unnamed(const network_address &p_address) {
	return _dial("", to_string(p_address), p_address);
}

bool node_link::_dial(const std::string &p_vm, const std::string &p_dial_key, const network_address &p_address) {
	const bool is_pending = std::any_of(_links.begin(), _links.end(), [&p_dial_key](const std::shared_ptr<link> &p_link) { return p_link->get_dial_key() == p_dial_key; });
	const instant now = event_loop::now();
	const auto wait = _dial_after.find(p_dial_key);
	const bool must_wait = wait != _dial_after.end() && now < wait->second;
	if (is_pending || must_wait || p_address.port == 0) {
		return false;
	}
	duration &back_off = _back_off[p_dial_key];
	back_off = back_off == duration::zero() ? FIRST_BACK_OFF : std::min(_identity.longest_back_off, back_off * 2);
	_dial_after[p_dial_key] = now + back_off;
	const sockaddr_in address = make_socket_address(p_address);
	bufferevent *stream = bufferevent_socket_new(_loop.get_base(), -1, BEV_OPT_CLOSE_ON_FREE);
	_adopt(stream, p_vm, p_dial_key);
	const std::shared_ptr<link> made = _links.back();
	if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
		_remove(made.get());
	}
	return true;
}

void node_link::_remove(link *p_link) {
	const std::shared_ptr<link> removed = _get_shared(p_link);
	if (!removed) {
		return;
	}
	removed->close();
	std::erase(_links, removed);
	const auto proven = _proven.find(removed->get_vm());
	if (proven != _proven.end()) {
		std::erase(proven->second, p_link);
		if (proven->second.empty()) {
			_proven.erase(proven);
		}
	}
	// The link is freed from the event loop, as this function may run inside one of the link's own callbacks.
	_loop.post([removed] {});
	const std::string vm = removed->get_vm();
	if (removed->is_proven() && _find(vm) == nullptr) {
		_link_down.emit(vm);
	}
}

void node_link::_on_proven(link *p_link) {
	_back_off.erase(p_link->get_dial_key());
	_dial_after.erase(p_link->get_dial_key());
	_replace_process(*p_link);
	if (_get_shared(p_link) == nullptr) {
		// A receiver of the signals closed the link.
		return;
	}
	_proven[p_link->get_vm()].push_back(p_link);
	_link_up.emit(p_link->get_vm());
}

void node_link::_replace_process(const link &p_link) {
	const std::string &vm = p_link.get_vm();
	const auto [known, is_first] = _incarnations.try_emplace(vm, p_link.get_incarnation());
	if (is_first || known->second == p_link.get_incarnation()) {
		return;
	}
	known->second = p_link.get_incarnation();
	const std::vector<std::shared_ptr<link>> links = _links;
	for (const std::shared_ptr<link> &entry : links) {
		if (entry->is_of(vm) && entry->get_incarnation() != p_link.get_incarnation()) {
			_remove(entry.get());
		}
	}
	_peer_replaced.emit(vm);
}

node_link::link *node_link::_find(const std::string &p_vm) const {
	const auto found = _proven.find(p_vm);
	if (found == _proven.end()) {
		return nullptr;
	}
	const std::vector<link *> &links = found->second;
	const auto newest = std::max_element(links.begin(), links.end(), [](const link *p_a, const link *p_b) { return p_a->get_read_at() < p_b->get_read_at(); });
	const auto live = std::find_if(links.begin(), links.end(), [&newest](const link *p_link) { return (*newest)->get_read_at() - p_link->get_read_at() <= STALE_AFTER; });
	return *live;
}

bool node_link::_is_cut_off(const std::string &p_vm) const {
	return std::find(_cut_off.begin(), _cut_off.end(), p_vm) != _cut_off.end();
}

void node_link::set_cut_off(std::vector<std::string> p_vms) {
	_cut_off = std::move(p_vms);
	const std::vector<std::shared_ptr<link>> links = _links;
	for (const std::shared_ptr<link> &entry : links) {
		if (_is_cut_off(entry->get_any_vm())) {
			_remove(entry.get());
		}
	}
}

std::vector<std::string> node_link::get_linked() const {
	std::vector<std::string> vms;
	vms.reserve(_proven.size());
	for (const auto &[vm, links] : _proven) {
		vms.push_back(vm);
	}
	return vms;
}

bool node_link::is_linked(const std::string &p_vm) const {
	return _find(p_vm) != nullptr;
}

void node_link::send(const std::string &p_vm, const heartbeat_message &p_message) {
	// Two nodes that dial each other at the same time have two links, and each end may send over a different one. Heartbeats
	// are sent over both, as a link without incoming data is closed.
	const auto found = _proven.find(p_vm);
	if (found == _proven.end()) {
		return;
	}
	for (link *entry : std::vector<link *>(found->second)) {
		entry->send(p_message);
	}
}

void node_link::ask_configuration(const std::string &p_vm, std::uint64_t p_have) {
	if (link *target = _find(p_vm)) {
		target->send(request_configuration_message{ p_have });
	}
}

void node_link::send(const std::string &p_vm, const configuration_snapshot &p_message) {
	if (link *target = _find(p_vm)) {
		target->send(p_message);
	}
}

std::uint32_t node_link::_get_features() const {
	const std::uint32_t lists = _identity.asks_lists ? static_cast<std::uint32_t>(link_feature::REQUESTED_LISTS) : 0;
	return static_cast<std::uint32_t>(link_feature::CRASHES) | static_cast<std::uint32_t>(link_feature::LIMITS) | static_cast<std::uint32_t>(link_feature::STREAMS) | static_cast<std::uint32_t>(link_feature::FORWARDING) | lists;
}

bool node_link::asks_lists(const std::string &p_vm) const {
	const link *target = _find(p_vm);
	return target != nullptr && target->knows(link_feature::REQUESTED_LISTS);
}

bool node_link::ask_endpoints(const std::string &p_vm) {
	return _send_if_linked(p_vm, [](link &r_link) { return r_link.knows(link_feature::REQUESTED_LISTS) && r_link.send(request_endpoints_message{}); });
}

void node_link::decline_endpoints(const std::string &p_vm) {
	_send_if_linked(p_vm, [](link &r_link) { return r_link.send(decline_endpoints_message{}); });
}

bool node_link::_send_if_linked(const std::string &p_vm, const std::function<bool(link &)> &p_send) {
	link *target = _find(p_vm);
	return target != nullptr && p_send(*target);
}

bool node_link::send(const std::string &p_vm, const pass_request_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const pass_answer_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const assign_work_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const work_ended_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const cancel_work_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const release_results_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_results_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_prompts_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_endpoints_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_delta_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_limits_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::LIMITS) && r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const report_streams_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::STREAMS) && r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const request_stream_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::STREAMS) && r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const stream_answer_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::STREAMS) && r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const open_exchange_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::FORWARDING) && r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const control_exchange_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::send(const std::string &p_vm, const exchange_progress_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.send(p_message); });
}

bool node_link::forwards_exchanges(const std::string &p_vm) const {
	const link *target = _find(p_vm);
	return target != nullptr && target->knows(link_feature::FORWARDING);
}

bool node_link::send(const std::string &p_vm, const report_crashes_message &p_message) {
	return _send_if_linked(p_vm, [&p_message](link &r_link) { return r_link.knows(link_feature::CRASHES) && r_link.send(p_message); });
}

void node_link::drop(const std::string &p_vm) {
	const std::vector<std::shared_ptr<link>> links = _links;
	for (const std::shared_ptr<link> &entry : links) {
		if (entry->is_proven() && entry->get_vm() == p_vm) {
			_remove(entry.get());
		}
	}
}

} // namespace calicoscale
