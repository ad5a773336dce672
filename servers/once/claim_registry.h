/*
 * calicoscale: claim_registry.h
 * Claims of callers' idempotency keys on the log; the claim at the lowest offset wins.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CLAIM_REGISTRY_H
#define CLAIM_REGISTRY_H

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

/** One claim as it is stored on the log. */
struct claim_entry {
	std::string customer;
	std::string key_hash; ///< SHA-256 of the key; the key itself is not written to the log.
	unix_milliseconds made_at = 0; ///< Creation time that the key states.
	std::uint64_t claim = 0; ///< Claim id, unique within the owner's incarnation.
};

/** One record of the claims stream: the claims of one node since its last append. */
struct claim_batch {
	std::string vm;
	std::uint64_t incarnation = 0;
	std::vector<claim_entry> claims;
};

/** A claim of this node whose result became known. */
struct settled_claim {
	std::uint64_t claim = 0;
	once_answer answer; ///< RUN, PASS_ON or REFUSE.
};

/**
 * Decides which node runs a request that carries a caller's idempotency key. Every node reads the whole claims
 * stream, because the first claim of a key may come from any node. A key can be claimed only up to a maximum age, and
 * claims are kept for twice that age, so a competing claim is always known. A claim whose append has an unknown outcome
 * stays open until it is read back or abandoned; an abandoned claim never runs, even if it appears on the log later.
 * A node that has not read the stream back to the maximum age of keys refuses claims.
 */
class claim_registry {
	enum class state {
		CLAIMING,
		RUNNING,
		DONE,
	};

	struct own_claim {
		std::string key_id; ///< See _make_key_id().
		claim_entry entry;
		state current = state::CLAIMING;
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
	std::map<std::uint64_t, own_claim> _own; ///< Own claims that are not done, by claim id.
	std::map<std::string, std::uint64_t> _claiming; ///< Key id to the own claim that is CLAIMING.
	std::map<std::string, known_claim> _known; ///< Winning claim by key id.
	std::vector<std::uint64_t> _unsent; ///< Claims that take_batch() has not returned yet.
	std::uint64_t _position = 0; ///< Next offset of the stream to read.
	unix_milliseconds _complete_from = -1; ///< The claims of all keys created after this time are known.
	bool _has_read_to_end = false; ///< Whether the stream was read up to its end at least once.

	/** Key of the maps: the customer and the hash of the idempotency key. */
	static std::string _make_key_id(const std::string &p_customer, const std::string &p_key_hash);
	/** Refuses all open claims of this node, which may have lost to a removed record. */
	void _refuse_claiming(std::vector<settled_claim> &r_settled);
	void _apply_claim(const claim_batch &p_batch, const claim_entry &p_entry, std::vector<settled_claim> &r_settled);

public:
	/** @param p_key_age maximum age of a key that is claimed. @param p_capacity maximum number of keys known at once. */
	claim_registry(std::string p_vm, std::uint64_t p_incarnation, duration p_key_age, std::size_t p_capacity);

	/**
	 * Decides on a request that a customer submits under a key. For CLAIM, r_claim is set to the id of the new claim;
	 * take_read() returns its result, unless give_up() abandons it. For RUN, r_claim is set too, and the caller must
	 * call on_done() with it.
	 */
	once_answer submit(const std::string &p_customer, const std::string &p_key, unix_milliseconds p_wall, std::uint64_t &r_claim);

	/** Returns the claims that are still to be appended and marks them as sent; empty if there are none. */
	std::optional<claim_batch> take_batch();

	/**
	 * Records the result of a batch's append. After NOT_DONE the claims are withdrawn and returned as refused.
	 * After DONE or UNKNOWN they stay open until the stream is read.
	 */
	std::vector<settled_claim> on_append_ended(const claim_batch &p_batch, append_result p_result);

	/**
	 * Applies one read of the stream and returns the claims of this node that it settles.
	 * @param p_earliest first offset that the log still has.
	 * @param p_batches records from the larger of get_position() and p_earliest on; empty for a malformed record.
	 * @param p_next offset after the last one read.
	 * @param p_at_end whether the read reached the end of the stream.
	 */
	std::vector<settled_claim> take_read(std::uint64_t p_earliest, const std::vector<std::optional<claim_batch>> &p_batches, std::uint64_t p_next, bool p_at_end, unix_milliseconds p_wall);

	/** Abandons a claim because its submission stopped waiting; the claim never runs. */
	void give_up(std::uint64_t p_claim);

	/**
	 * Records the outcome of a claim that submit() or take_read() answered with RUN. If the request certainly
	 * did not run, the next submission of the key at this node may run it.
	 */
	void on_done(std::uint64_t p_claim, bool p_may_have_run, kept_outcome p_outcome);

	/** Removes claims whose keys are too old to be submitted again. */
	void expire(unix_milliseconds p_wall);

	/** Whether any claim is still open. */
	bool is_waiting() const { return !_claiming.empty(); }

	std::uint64_t get_position() const { return _position; }
	std::size_t get_known_count() const { return _known.size(); }
};

/** Encodes a batch as a record of the log. */
std::string encode(const claim_batch &p_batch);
/** Decodes a batch; empty when malformed or too large. */
std::optional<claim_batch> decode_claim_batch(std::string_view p_bytes);

} // namespace calicoscale

#endif // CLAIM_REGISTRY_H
