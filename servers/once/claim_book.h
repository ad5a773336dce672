/*
 * calicoscale: claim_book.h
 * Claims of callers' keys on the log: the lowest offset wins.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CLAIM_BOOK_H
#define CLAIM_BOOK_H

#include "core/ids.h"
#include "servers/configuration/change_publisher.h"
#include "servers/once/idempotency_key.h"
#include "servers/once/once_answer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** One claim as it stands on the log. */
struct claim_entry {
	std::string customer;
	std::string key_hash; ///< The key itself stays off the log.
	unix_milliseconds made_at = 0;
	std::uint64_t claim = 0; ///< Unique within the owner's incarnation.
};

/** One record of the claims stream: the claims of one node since its last append. */
struct claim_batch {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::vector<claim_entry> claims;
};

/** A claim whose fate became known. */
struct settled_claim {
	std::uint64_t claim = 0;
	once_answer answer; ///< RUN, PASS_ON or REFUSE.
};

/**
 * Every node folds the whole claims stream, as the first claim of a key may be any node's. A key may be claimed only
 * while young; claims are kept for twice that age, so the fold always knows a competitor. A claim whose append has no
 * answer waits until it is read back or given up; a claim given up never runs, even if it appears later. A node that
 * has not read the stream for as far back as keys live refuses.
 */
class claim_book {
	enum class state {
		CLAIMING,
		RUNNING,
		DONE,
	};

	struct own_claim {
		std::string place;
		claim_entry entry;
		state now = state::CLAIMING;
		bool sent = false;
	};

	struct known_claim {
		std::string vm;
		std::uint64_t incarnation = 0;
		std::uint64_t claim = 0;
		unix_milliseconds made_at = 0;
		bool done = false;
		kept_outcome outcome;
	};

	std::string _vm;
	std::uint64_t _incarnation;
	duration _key_age;
	std::size_t _capacity;
	std::uint64_t _next_claim = 1;
	std::map<std::uint64_t, own_claim> _own; ///< Claims that are not done.
	std::map<std::string, std::uint64_t> _claiming; ///< Place to own claim, while CLAIMING.
	std::map<std::string, known_claim> _known; ///< Winner of each place.
	std::vector<std::uint64_t> _unsent;
	std::uint64_t _position = 0;
	unix_milliseconds _complete_from = -1; ///< All claims of keys made after this are known.
	bool _has_read = false;

	static std::string _make_place(const std::string &p_customer, const std::string &p_key_hash);
	void _refuse_claiming(std::vector<settled_claim> &r_settled);
	void _take_claim(const claim_batch &p_batch, const claim_entry &p_entry, std::vector<settled_claim> &r_settled);

public:
	/** @param p_key_age oldest key that is claimed. @param p_capacity most keys known at once. */
	claim_book(std::string p_vm, std::uint64_t p_incarnation, duration p_key_age, std::size_t p_capacity);

	/**
	 * A customer submits a request under a key. For CLAIM, r_claim names the new claim; its fate comes from take_read
	 * or is ended by give_up. A RUN answer has to be ended by on_done.
	 */
	once_answer submit(const std::string &p_customer, const std::string &p_key, unix_milliseconds p_wall, std::uint64_t &r_claim);

	/** Claims not yet on their way; they now count as sent. */
	std::optional<claim_batch> take_batch();

	/**
	 * The append of a batch ended. Only NOT_DONE takes claims back, and they are refused; UNKNOWN waits for the read.
	 */
	std::vector<settled_claim> on_append_ended(const claim_batch &p_batch, append_result p_result);

	/**
	 * Takes in one read of the stream.
	 * @param p_earliest first offset that the log has. @param p_batches from get_position() on; empty for a malformed record.
	 * @param p_next offset after the last one read. @param p_at_end whether nothing more is there now.
	 */
	std::vector<settled_claim> take_read(std::uint64_t p_earliest, const std::vector<std::optional<claim_batch>> &p_batches, std::uint64_t p_next, bool p_at_end, unix_milliseconds p_wall);

	/** The submission gave up waiting for its claim; the claim never runs. */
	void give_up(std::uint64_t p_claim);

	/** The claim a submission was told to run ended. A request that did not run frees the key for this node's next submission. */
	void on_done(std::uint64_t p_claim, bool p_may_have_run, kept_outcome p_outcome);

	/** Forgets claims that no key in use can meet. */
	void expire(unix_milliseconds p_wall);

	/** Whether some claim waits for its fate. */
	bool is_waiting() const { return !_claiming.empty(); }

	std::uint64_t get_position() const { return _position; }
	std::size_t get_known_count() const { return _known.size(); }
};

/** Form of a batch on the log. */
std::string encode(const claim_batch &p_batch);
/** Reads a batch; empty when malformed. */
std::optional<claim_batch> decode_claim_batch(std::string_view p_bytes);

} // namespace calicoscale

#endif // CLAIM_BOOK_H
