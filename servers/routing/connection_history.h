/*
 * calicoscale: connection_history.h
 * Decides which answers on a kept connection belong to the exchange in progress.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONNECTION_HISTORY_H
#define CONNECTION_HISTORY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** To which exchange of its connection an answer belongs. */
enum class answer_owner {
	THIS_EXCHANGE,
	OTHER_EXCHANGE, ///< The answer is surplus and is skipped.
	UNKNOWN, ///< Nothing in the answer shows it.
};

/**
 * Remembers the exchanges of one connection to an endpoint. An endpoint may send a copy of any earlier answer in the place where the
 * next one is due, so an id identifies an answer only if the connection has not carried that id before. Answers without ids are
 * distinguished from copies by their content.
 */
class connection_history {
	std::vector<std::uint64_t> _carried; ///< Hashes of the ids of all exchanges.
	std::vector<std::uint64_t> _answers; ///< Digests of the answers that carry no id.
	std::size_t _exchanges = 0;
	bool _has_surplus = false;

public:
	/** Bounds the memory of a connection; it is not used for more exchanges than this. */
	static constexpr std::size_t MAX_EXCHANGES = 1000;

	/** Whether the connection may carry an exchange. @param p_id by which the answer identifies its request; empty if answers carry none. */
	bool may_carry(std::string_view p_id) const;

	/** Records that an exchange starts. */
	void on_started(std::string_view p_id);

	/** Records bytes that belong to no exchange. The connection must not carry another one. */
	void on_surplus() { _has_surplus = true; }

	/**
	 * Judges an answer to the exchange in progress.
	 * @param p_id as in on_started().
	 * @param p_echo the id that the answer carries; null if it carries none.
	 */
	answer_owner judge(std::string_view p_id, const std::string *p_echo) const;

	/** Records the answer to the exchange in progress by its digest. @return false if it is a copy of an earlier answer. */
	bool take_answer(std::uint64_t p_digest);

	/** Whether the connection may carry further exchanges at all. */
	bool is_reusable() const { return !_has_surplus && _exchanges < MAX_EXCHANGES; }

	/** Number of the exchange in progress, or of the latest one, starting at 1. */
	std::size_t get_place() const { return _exchanges; }
};

} // namespace calicoscale

#endif // CONNECTION_HISTORY_H
