/*
 * calicoscale: ticket_registry.cpp
 * Tickets that this node issued, and the outcomes of their requests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/once/ticket_registry.h"

#include "core/digest.h"
#include "core/ids.h"

namespace calicoscale {

namespace {

constexpr std::size_t CODE_LENGTH = 32;

once_answer refuse(verdict p_verdict, reason p_reason) {
	once_answer answer;
	answer.step = once_step::REFUSE;
	answer.refusal = outcome{ p_verdict, p_reason };
	return answer;
}

} // namespace

ticket_registry::ticket_registry(std::string p_vm, std::uint64_t p_incarnation, std::string p_secret, std::size_t p_capacity) :
		_vm(std::move(p_vm)), _incarnation(p_incarnation), _secret(std::move(p_secret)), _capacity(p_capacity) {
}

std::string ticket_registry::_make_code(const std::string &p_customer, const ticket_key &p_ticket) const {
	std::string text = p_customer + "\n" + to_hex(p_ticket.incarnation);
	text += "\n" + std::to_string(p_ticket.sequence) + "\n" + std::to_string(p_ticket.expires_at);
	return hmac_hex(_secret, text).substr(0, CODE_LENGTH);
}

std::string ticket_registry::issue(const std::string &p_customer, unix_milliseconds p_expires_at) {
	ticket_key ticket{ _vm, _incarnation, _next_sequence++, p_expires_at, "" };
	ticket.code = _make_code(p_customer, ticket);
	return to_string(ticket);
}

once_answer ticket_registry::submit(const std::string &p_customer, const ticket_key &p_ticket, unix_milliseconds p_wall) {
	once_answer answer;
	if (p_ticket.vm != _vm) {
		answer.step = once_step::PASS_ON;
		answer.owner_vm = p_ticket.vm;
		answer.owner_incarnation = p_ticket.incarnation;
		return answer;
	}
	if (p_ticket.incarnation != _incarnation) {
		// An earlier incarnation issued the ticket, and its outcomes are lost, so the request may have run.
		return refuse(verdict::MAY_HAVE_RUN, reason::ISSUER_GONE);
	}
	if (!equal_in_constant_time(p_ticket.code, _make_code(p_customer, p_ticket))) {
		return refuse(verdict::NOT_RUN, reason::NOT_FOUND);
	}
	const auto found = _used.find(p_ticket.sequence);
	if (found != _used.end()) {
		answer.step = found->second.current == state::RUNNING ? once_step::WAIT : once_step::REPLAY;
		answer.kept = found->second.outcome;
		return answer;
	}
	if (p_wall >= p_ticket.expires_at) {
		// The request may have run and its outcome been removed since.
		return refuse(verdict::MAY_HAVE_RUN, reason::KEY_EXPIRED);
	}
	if (_used.size() >= _capacity) {
		return refuse(verdict::NOT_RUN, reason::CLAIM_UNAVAILABLE);
	}
	_used.emplace(p_ticket.sequence, ticket_entry{ p_customer, p_ticket.expires_at, state::RUNNING, {} });
	answer.step = once_step::RUN;
	return answer;
}

void ticket_registry::on_done(const ticket_key &p_ticket, kept_outcome p_outcome) {
	const auto found = _used.find(p_ticket.sequence);
	if (found == _used.end()) {
		return;
	}
	found->second.current = state::DONE;
	found->second.outcome = std::move(p_outcome);
}

void ticket_registry::on_not_run(const ticket_key &p_ticket) {
	_used.erase(p_ticket.sequence);
}

void ticket_registry::expire(unix_milliseconds p_wall) {
	std::erase_if(_used, [p_wall](const auto &p_entry) {
		return p_entry.second.current == state::DONE && p_wall >= p_entry.second.expires_at;
	});
}

} // namespace calicoscale
