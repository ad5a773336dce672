/*
 * calicoscale: once_service.h
 * At-most-once submissions: tickets, claims on the log, forwarding to the owner of a key.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ONCE_SERVICE_H
#define ONCE_SERVICE_H

#include "main/serve/fleet_service.h"
#include "servers/once/claim_registry.h"
#include "servers/once/ticket_registry.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace calicoscale {

/** Submission with an idempotency key. */
struct keyed_submission {
	std::string customer;
	std::string pipeline;
	std::string key;
	std::string input;
	instant deadline{};
	bool passed = false; ///< Received from another node, so it is not passed on again.
};

/** Decision on a submission with a key: run it now, or answer the caller. */
struct keyed_decision {
	bool run = false;
	outcome refusal; ///< Set when `run` is false and there is no `answer`.
	std::optional<kept_outcome> answer; ///< Stored outcome of the first submission, from this node or from the owner of the key.
};

/** Connects ticket_registry and claim_registry to log and links. Each decision to run must be followed by on_ended(). */
class once_service {
	using decision_hook = std::function<void(const keyed_decision &)>;

	struct waiting_claim {
		keyed_submission submission;
		decision_hook hook;
	};

	struct passed_submission {
		std::string owner;
		std::uint64_t owner_incarnation = 0;
		pass_request_message message;
		instant link_by{}; ///< The submission is refused when it could not be sent by then.
		instant answer_by{};
		bool sent = false;
		decision_hook hook;
	};

	struct attached_submission {
		keyed_submission submission;
		decision_hook hook;
	};

	node_context &_context;
	fleet_service &_fleet;
	ticket_registry _tickets;
	claim_registry _claims;
	timer _append_timer;
	timer _read_timer;
	timer _sweep_timer;
	std::map<std::uint64_t, waiting_claim> _waiting; ///< By claim.
	std::map<std::string, std::uint64_t> _running_claims; ///< By customer and key: the claim whose submission runs.
	std::map<std::string, std::vector<attached_submission>> _attached; ///< By customer and key: submissions that wait for the outcome of the first one.
	std::map<std::uint64_t, passed_submission> _passed;
	std::uint64_t _next_pass = 1;
	std::uint64_t _sweeps = 0;
	bool _is_reading = false;
	bool _is_appending = false;
	bool _append_is_due = false;
	bool _platform_cut = false;

	static std::string _make_submission_key(const std::string &p_customer, const std::string &p_key);
	void _decide(const keyed_submission &p_submission, const once_answer &p_answer, std::uint64_t p_claim, decision_hook p_hook);
	void _append();
	void _read();
	void _on_settled(const std::vector<settled_claim> &p_settled);
	void _pass_on(const keyed_submission &p_submission, const once_answer &p_answer, decision_hook p_hook);
	void _send_passed(std::uint64_t p_id);
	void _on_link_up(const std::string &p_vm);
	void _on_link_down(const std::string &p_vm);
	void _on_answer(const pass_answer_message &p_answer);
	void _end_passed(std::uint64_t p_id, const keyed_decision &p_decision);
	std::vector<attached_submission> _take_attached(const std::string &p_submission_key);
	void _release_attached(const std::string &p_submission_key, const keyed_decision &p_decision);
	void _submit_attached_again(const std::string &p_submission_key);
	void _give_up_claims(instant p_now);
	void _advance_passed(instant p_now);
	void _give_up_attached(instant p_now);
	void _sweep();

public:
	once_service(node_context &p_context, fleet_service &p_fleet);

	/** Starts to read claims from the log. */
	void start();

	/** Issues a ticket. */
	std::string issue_ticket(const std::string &p_customer, duration p_lifetime);

	/** Decides on a submission. The hook is called once, at the first sweep after the deadline at the latest. */
	void submit(const keyed_submission &p_submission, decision_hook p_hook);

	/** Reports the end of a submission whose decision was to run. */
	void on_ended(const std::string &p_customer, const std::string &p_key, verdict p_verdict, const kept_outcome &p_outcome);

	/** Disconnects this node from the platform log, for failure tests. */
	void set_platform_cut(bool p_cut) { _platform_cut = p_cut; }

	std::size_t get_known_claims() const { return _claims.get_known_count(); }
};

} // namespace calicoscale

#endif // ONCE_SERVICE_H
