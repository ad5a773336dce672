/*
 * calicoscale: ticket_book.h
 * Tickets this node issued, and what became of them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef TICKET_BOOK_H
#define TICKET_BOOK_H

#include "servers/once/idempotency_key.h"
#include "servers/once/once_answer.h"

#include <map>
#include <string>

namespace calicoscale {

/**
 * The issuing node alone runs a ticketed request, so at most one run needs neither the log nor another node. A ticket
 * names the node's incarnation and is authenticated with a secret that only this incarnation knows: after a restart
 * nobody can run it any more.
 */
class ticket_book {
	enum class state {
		RUNNING,
		DONE,
	};

	struct ticket_entry {
		std::string customer;
		unix_milliseconds expires_at = 0;
		state now = state::RUNNING;
		kept_outcome outcome;
	};

	std::string _vm;
	std::uint64_t _incarnation;
	std::string _secret;
	std::uint64_t _next_sequence = 1;
	std::map<std::uint64_t, ticket_entry> _used;
	std::size_t _capacity;

	std::string _make_code(const std::string &p_customer, const ticket_key &p_ticket) const;

public:
	/** @param p_secret known to this incarnation only. @param p_capacity most used tickets remembered; beyond it new ones are refused. */
	ticket_book(std::string p_vm, std::uint64_t p_incarnation, std::string p_secret, std::size_t p_capacity);

	/** Issues a ticket for a customer. */
	std::string issue(const std::string &p_customer, unix_milliseconds p_expires_at);

	/** A customer submits a request under a ticket. A RUN answer has to be ended by on_done or on_not_run. */
	once_answer submit(const std::string &p_customer, const ticket_key &p_ticket, unix_milliseconds p_wall);

	/** The request ran, completely or perhaps; the outcome is kept until the ticket expires. */
	void on_done(const ticket_key &p_ticket, kept_outcome p_outcome);

	/** The request certainly did not run; the ticket may be used again. */
	void on_not_run(const ticket_key &p_ticket);

	/** Forgets expired tickets. */
	void expire(unix_milliseconds p_wall);

	std::size_t get_size() const { return _used.size(); }
};

} // namespace calicoscale

#endif // TICKET_BOOK_H
