/*
 * calicoscale: ticket_registry.h
 * Tickets that this node issued, and the outcomes of their requests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TICKET_REGISTRY_H
#define TICKET_REGISTRY_H

#include "servers/once/idempotency_key.h"
#include "servers/once/once_answer.h"

#include <map>
#include <string>

namespace calicoscale {

/**
 * Issues tickets and decides on the requests submitted under them. Only the issuing node runs such a request, so that
 * running it at most once needs neither the log nor another node. A ticket contains the node's incarnation and is
 * authenticated with a secret known only to this incarnation: after a restart no node can run it.
 */
class ticket_registry {
	enum class state {
		RUNNING,
		DONE,
	};

	struct ticket_entry {
		std::string customer;
		unix_milliseconds expires_at = 0;
		state current = state::RUNNING;
		kept_outcome outcome;
	};

	std::string _vm;
	std::uint64_t _incarnation;
	std::string _secret;
	std::uint64_t _next_sequence = 1;
	std::map<std::uint64_t, ticket_entry> _used; ///< Used tickets, by sequence number.
	std::size_t _capacity;

	std::string _make_code(const std::string &p_customer, const ticket_key &p_ticket) const;

public:
	/** @param p_secret known to this incarnation only. @param p_capacity maximum number of used tickets stored; further ones are refused. */
	ticket_registry(std::string p_vm, std::uint64_t p_incarnation, std::string p_secret, std::size_t p_capacity);

	std::string issue(const std::string &p_customer, unix_milliseconds p_expires_at);

	/** Decides on a request submitted under a ticket. After RUN, the caller must call on_done() or on_not_run(). */
	once_answer submit(const std::string &p_customer, const ticket_key &p_ticket, unix_milliseconds p_wall);

	/** Stores the outcome of a request that ran or may have run until the ticket expires. */
	void on_done(const ticket_key &p_ticket, kept_outcome p_outcome);

	/** Releases the ticket of a request that certainly did not run; it may be used again. */
	void on_not_run(const ticket_key &p_ticket);

	/** Removes the outcomes of expired tickets. */
	void expire(unix_milliseconds p_wall);

	std::size_t get_size() const { return _used.size(); }
};

} // namespace calicoscale

#endif // TICKET_REGISTRY_H
