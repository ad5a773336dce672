/*
 * calicoscale: once_service.cpp
 * At-most-once submissions: tickets, claims on the log, forwarding to the owner of a key.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/once_service.h"

#include "core/digest.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr int SECRET_BYTES = 32;
constexpr std::size_t MAX_TICKETS = 100000;
constexpr std::size_t MAX_CLAIMS = 400000;
constexpr duration MAX_KEY_AGE = std::chrono::minutes(10);
/** Claims that arrive within this time share one append. */
constexpr duration APPEND_DELAY = std::chrono::milliseconds(10);
constexpr duration APPEND_TIMEOUT = std::chrono::seconds(2);
constexpr duration READ_INTERVAL_WHILE_WAITING = std::chrono::milliseconds(10);
constexpr duration READ_INTERVAL_IDLE = std::chrono::seconds(1);
constexpr std::size_t RECORDS_PER_READ = 500;
constexpr duration SWEEP_INTERVAL = std::chrono::milliseconds(25);
constexpr std::uint64_t SWEEPS_PER_EXPIRY = 400;
/** Time that a submission waits at most for a link to the owner of its key. */
constexpr duration MAX_WAIT_FOR_LINK = std::chrono::seconds(1);

std::string make_secret() {
	std::array<unsigned char, SECRET_BYTES> bytes{};
	RAND_bytes(bytes.data(), SECRET_BYTES);
	return std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

keyed_decision refuse(verdict p_verdict, reason p_reason) {
	keyed_decision decision;
	decision.refusal = outcome{ p_verdict, p_reason };
	return decision;
}

} // namespace

once_service::once_service(node_context &p_context, fleet_service &p_fleet) :
		_context(p_context),
		_fleet(p_fleet),
		_tickets(p_context.settings.vm, p_context.incarnation, make_secret(), MAX_TICKETS),
		_claims(p_context.settings.vm, p_context.incarnation, MAX_KEY_AGE, MAX_CLAIMS),
		_append_timer(p_context.loop, [this] { _append(); }),
		_read_timer(p_context.loop, [this] { _read(); }),
		_sweep_timer(p_context.loop, [this] { _sweep(); }) {
	_fleet.get_link().link_up().connect([this](const std::string &p_vm) { _on_link_up(p_vm); });
	_fleet.get_link().link_down().connect([this](const std::string &p_vm) { _on_link_down(p_vm); });
	_fleet.get_link().answer_passed().connect([this](const std::string &, const pass_answer_message &p_answer) { _on_answer(p_answer); });
}

void once_service::start() {
	_read();
	_sweep_timer.set(SWEEP_INTERVAL);
}

std::string once_service::_make_submission_key(const std::string &p_customer, const std::string &p_key) {
	return p_customer + "\n" + p_key;
}

std::string once_service::issue_ticket(const std::string &p_customer, duration p_lifetime) {
	const unix_milliseconds lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(p_lifetime).count();
	return _tickets.issue(p_customer, event_loop::wall() + lifetime);
}

void once_service::submit(const keyed_submission &p_submission, decision_hook p_hook) {
	const std::optional<ticket_key> ticket = parse_ticket(p_submission.key);
	std::uint64_t claim = 0;
	once_answer answer;
	if (ticket) {
		answer = _tickets.submit(p_submission.customer, *ticket, event_loop::wall());
	} else {
		answer = _claims.submit(p_submission.customer, p_submission.key, event_loop::wall(), claim);
	}
	_decide(p_submission, answer, claim, std::move(p_hook));
}

void once_service::_decide(const keyed_submission &p_submission, const once_answer &p_answer, std::uint64_t p_claim, decision_hook p_hook) {
	const std::string submission_key = _make_submission_key(p_submission.customer, p_submission.key);
	keyed_decision decision;
	switch (p_answer.step) {
		case once_step::RUN:
			if (p_claim != 0) {
				_running_claims[submission_key] = p_claim;
			}
			decision.run = true;
			p_hook(decision);
			return;
		case once_step::WAIT:
			_attached[submission_key].push_back(attached_submission{ p_submission, std::move(p_hook) });
			return;
		case once_step::REPLAY:
			decision.answer = p_answer.kept;
			p_hook(decision);
			return;
		case once_step::PASS_ON:
			_pass_on(p_submission, p_answer, std::move(p_hook));
			return;
		case once_step::CLAIM:
			_waiting.emplace(p_claim, waiting_claim{ p_submission, std::move(p_hook) });
			_append_timer.set(APPEND_DELAY);
			return;
		case once_step::REFUSE:
			decision.refusal = p_answer.refusal;
			p_hook(decision);
			return;
	}
}

void once_service::_append() {
	if (_is_appending) {
		_append_is_due = true;
		return;
	}
	const std::optional<claim_batch> batch = _claims.take_batch();
	if (!batch) {
		return;
	}
	if (_platform_cut) {
		_on_settled(_claims.on_append_ended(*batch, append_result::NOT_DONE));
		return;
	}
	_is_appending = true;
	_context.metrics.count("claim_append");
	_context.log.append(log_stream::CLAIMS, encode(*batch), APPEND_TIMEOUT, [this, sent = *batch](append_result p_result, std::uint64_t) {
		_is_appending = false;
		_on_settled(_claims.on_append_ended(sent, p_result));
		if (_append_is_due) {
			_append_is_due = false;
			_append();
		}
		_read_timer.set(duration::zero());
	});
}

void once_service::_read() {
	if (_is_reading) {
		return;
	}
	if (_platform_cut) {
		_read_timer.set(READ_INTERVAL_IDLE);
		return;
	}
	_is_reading = true;
	_context.log.read(log_stream::CLAIMS, _claims.get_position(), RECORDS_PER_READ, [this](const std::optional<log_read> &p_read) {
		_is_reading = false;
		bool has_more = false;
		if (p_read) {
			std::vector<std::optional<claim_batch>> batches;
			std::uint64_t next = std::max(p_read->earliest, _claims.get_position());
			for (const log_entry &entry : p_read->entries) {
				batches.push_back(decode_claim_batch(entry.bytes));
				next = entry.offset + 1;
			}
			has_more = next < p_read->next && !p_read->entries.empty();
			_on_settled(_claims.take_read(p_read->earliest, batches, next, !has_more, event_loop::wall()));
		}
		_read_timer.set(has_more ? duration::zero() : (_claims.is_waiting() ? READ_INTERVAL_WHILE_WAITING : READ_INTERVAL_IDLE));
	});
}

void once_service::_on_settled(const std::vector<settled_claim> &p_settled) {
	for (const settled_claim &settled : p_settled) {
		const auto found = _waiting.find(settled.claim);
		if (found == _waiting.end()) {
			continue;
		}
		const waiting_claim waiting = std::move(found->second);
		_waiting.erase(found);
		_context.timeline.add(event_kind::CLAIM_SETTLED, "", waiting.submission.customer, settled.answer.step == once_step::RUN ? "won" : "not won");
		_decide(waiting.submission, settled.answer, settled.claim, waiting.hook);
		if (settled.answer.step != once_step::RUN) {
			_submit_attached_again(_make_submission_key(waiting.submission.customer, waiting.submission.key));
		}
	}
}

std::vector<once_service::attached_submission> once_service::_take_attached(const std::string &p_submission_key) {
	const auto attached = _attached.find(p_submission_key);
	if (attached == _attached.end()) {
		return {};
	}
	std::vector<attached_submission> entries = std::move(attached->second);
	_attached.erase(attached);
	return entries;
}

void once_service::_submit_attached_again(const std::string &p_submission_key) {
	for (const attached_submission &entry : _take_attached(p_submission_key)) {
		submit(entry.submission, entry.hook);
	}
}

void once_service::_release_attached(const std::string &p_submission_key, const keyed_decision &p_decision) {
	for (const attached_submission &entry : _take_attached(p_submission_key)) {
		entry.hook(p_decision);
	}
}

void once_service::on_ended(const std::string &p_customer, const std::string &p_key, verdict p_verdict, const kept_outcome &p_outcome) {
	const bool may_have_run = p_verdict != verdict::NOT_RUN;
	const std::optional<ticket_key> ticket = parse_ticket(p_key);
	const std::string submission_key = _make_submission_key(p_customer, p_key);
	if (ticket && may_have_run) {
		_tickets.on_done(*ticket, p_outcome);
	} else if (ticket) {
		_tickets.on_not_run(*ticket);
	} else {
		const auto claim = _running_claims.find(submission_key);
		if (claim != _running_claims.end()) {
			_claims.on_done(claim->second, may_have_run, p_outcome);
			_running_claims.erase(claim);
		}
	}
	keyed_decision decision;
	decision.answer = p_outcome;
	_release_attached(submission_key, decision);
}

void once_service::_pass_on(const keyed_submission &p_submission, const once_answer &p_answer, decision_hook p_hook) {
	if (p_submission.passed) {
		p_hook(refuse(verdict::MAY_HAVE_RUN, reason::KEY_IN_USE));
		return;
	}
	passed_submission passed;
	passed.owner = p_answer.owner_vm;
	passed.owner_incarnation = p_answer.owner_incarnation;
	passed.message.id = _next_pass;
	passed.message.customer = p_submission.customer;
	passed.message.pipeline = p_submission.pipeline;
	passed.message.key = p_submission.key;
	passed.message.input = p_submission.input;
	passed.answer_by = p_submission.deadline;
	passed.link_by = std::min(p_submission.deadline, event_loop::now() + MAX_WAIT_FOR_LINK);
	passed.hook = std::move(p_hook);
	_passed.emplace(_next_pass, std::move(passed));
	_send_passed(_next_pass++);
}

void once_service::_send_passed(std::uint64_t p_id) {
	passed_submission &passed = _passed.at(p_id);
	const member *owner = _fleet.get_members().find(passed.owner);
	if (owner == nullptr) {
		// This node may have just started and not know the fleet yet; the sweep tries again.
		return;
	}
	const bool is_responsive = owner->digest.heartbeat > 0;
	if (is_responsive && owner->digest.incarnation != passed.owner_incarnation) {
		// An earlier submission may have run on the previous incarnation of the owner, so NOT_RUN cannot be guaranteed.
		_end_passed(p_id, refuse(verdict::MAY_HAVE_RUN, reason::ISSUER_GONE));
		return;
	}
	if (!_fleet.get_link().is_linked(passed.owner)) {
		_fleet.get_link().dial(passed.owner, owner->digest.link);
		return;
	}
	passed.message.remaining = passed.answer_by - event_loop::now();
	passed.sent = _fleet.get_link().send(passed.owner, passed.message);
	_context.timeline.add(event_kind::PASSED_ON, "", passed.owner, "key of " + passed.message.customer);
}

void once_service::_on_link_up(const std::string &p_vm) {
	std::vector<std::uint64_t> waiting;
	for (const auto &[id, passed] : _passed) {
		if (passed.owner == p_vm && !passed.sent) {
			waiting.push_back(id);
		}
	}
	for (const std::uint64_t id : waiting) {
		_send_passed(id);
	}
}

void once_service::_on_link_down(const std::string &p_vm) {
	std::vector<std::uint64_t> unanswered;
	for (const auto &[id, passed] : _passed) {
		if (passed.owner == p_vm && passed.sent) {
			unanswered.push_back(id);
		}
	}
	for (const std::uint64_t id : unanswered) {
		_end_passed(id, refuse(verdict::MAY_HAVE_RUN, reason::ISSUER_GONE));
	}
}

void once_service::_on_answer(const pass_answer_message &p_answer) {
	keyed_decision decision;
	decision.answer = kept_outcome{ p_answer.status, p_answer.body };
	_end_passed(p_answer.id, decision);
}

void once_service::_end_passed(std::uint64_t p_id, const keyed_decision &p_decision) {
	const auto found = _passed.find(p_id);
	if (found == _passed.end()) {
		return;
	}
	const decision_hook hook = std::move(found->second.hook);
	_passed.erase(found);
	hook(p_decision);
}

void once_service::_give_up_claims(instant p_now) {
	std::vector<std::uint64_t> late;
	for (const auto &[claim, waiting] : _waiting) {
		if (p_now >= waiting.submission.deadline) {
			late.push_back(claim);
		}
	}
	for (const std::uint64_t claim : late) {
		const waiting_claim waiting = std::move(_waiting.at(claim));
		_waiting.erase(claim);
		_claims.give_up(claim);
		const keyed_decision refusal = refuse(verdict::NOT_RUN, reason::CLAIM_UNAVAILABLE);
		waiting.hook(refusal);
		_release_attached(_make_submission_key(waiting.submission.customer, waiting.submission.key), refusal);
	}
}

void once_service::_advance_passed(instant p_now) {
	std::vector<std::uint64_t> late;
	std::vector<std::uint64_t> unsent;
	for (const auto &[id, passed] : _passed) {
		if (p_now >= (passed.sent ? passed.answer_by : passed.link_by)) {
			late.push_back(id);
		} else if (!passed.sent) {
			unsent.push_back(id);
		}
	}
	for (const std::uint64_t id : late) {
		_end_passed(id, refuse(verdict::MAY_HAVE_RUN, reason::ISSUER_GONE));
	}
	for (const std::uint64_t id : unsent) {
		_send_passed(id);
	}
}

void once_service::_give_up_attached(instant p_now) {
	for (auto &[submission_key, attached] : _attached) {
		for (const attached_submission &entry : attached) {
			if (p_now >= entry.submission.deadline) {
				entry.hook(refuse(verdict::MAY_HAVE_RUN, reason::KEY_IN_USE));
			}
		}
		std::erase_if(attached, [p_now](const attached_submission &p_entry) { return p_now >= p_entry.submission.deadline; });
	}
}

void once_service::_sweep() {
	const instant now = event_loop::now();
	_give_up_claims(now);
	_advance_passed(now);
	_give_up_attached(now);
	_sweeps++;
	if (_sweeps % SWEEPS_PER_EXPIRY == 0) {
		_tickets.expire(event_loop::wall());
		_claims.expire(event_loop::wall());
	}
	_sweep_timer.set(SWEEP_INTERVAL);
}

} // namespace calicoscale
