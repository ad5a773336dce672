/*
 * calicoscale: standin_faults.h
 * Faults that the stand-ins can be told to show.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <string>
#include <string_view>

namespace calicoscale {

/** What an endpoint does wrong. */
enum class endpoint_fault {
	NONE,
	REFUSE, ///< No one listens.
	HANG, ///< Takes the request and never answers.
	SLOW, ///< Works `amount` times slower.
	RESET, ///< Runs the request, then closes the connection.
	TRUNCATE, ///< Sends half an answer, then closes.
	LATE, ///< Answers `amount` milliseconds later than it could.
	SECOND_ANSWER, ///< Answers twice.
	WRONG_ECHO, ///< Echoes another attempt.
	BUSY, ///< Refuses before running.
	ERROR_AFTER, ///< Runs, then answers 500.
	LEAVING, ///< Refuses before running, as it leaves.
	MID_STREAM_RESET, ///< Closes after `amount` tokens, once for each stream.
	MID_STREAM_LOSS, ///< Closes after `amount` tokens and forgets the stream.
	TOKEN_GAP, ///< Leaves token `amount` out.
	TOKEN_REPEAT, ///< Sends token `amount` twice.
	WRONG_DIGEST, ///< Ends the stream with a digest of something else.
};

/** What the log does wrong. */
enum class log_fault {
	NONE,
	DOWN, ///< No one listens.
	SLOW, ///< Answers `amount` milliseconds late.
	LOSE_ANSWER, ///< Appends take effect, then the connection is closed.
	REFUSE, ///< Appends are refused without effect.
	ERROR, ///< Appends answer 500, with or without effect by turns.
	HANG, ///< Never answers.
};

/** What the list of VMs does wrong. */
enum class list_fault {
	NONE,
	DOWN,
	EMPTY,
	STALE, ///< Shows what it showed when the fault began.
	SHRUNKEN, ///< Shows only the first `amount` endpoints.
};

constexpr std::array<enum_name<endpoint_fault>, 17> ENDPOINT_FAULT_NAMES{ {
		{ endpoint_fault::NONE, "none" },
		{ endpoint_fault::REFUSE, "refuse" },
		{ endpoint_fault::HANG, "hang" },
		{ endpoint_fault::SLOW, "slow" },
		{ endpoint_fault::RESET, "reset" },
		{ endpoint_fault::TRUNCATE, "truncate" },
		{ endpoint_fault::LATE, "late" },
		{ endpoint_fault::SECOND_ANSWER, "second_answer" },
		{ endpoint_fault::WRONG_ECHO, "wrong_echo" },
		{ endpoint_fault::BUSY, "busy" },
		{ endpoint_fault::ERROR_AFTER, "error_after" },
		{ endpoint_fault::LEAVING, "leaving" },
		{ endpoint_fault::MID_STREAM_RESET, "mid_stream_reset" },
		{ endpoint_fault::MID_STREAM_LOSS, "mid_stream_loss" },
		{ endpoint_fault::TOKEN_GAP, "token_gap" },
		{ endpoint_fault::TOKEN_REPEAT, "token_repeat" },
		{ endpoint_fault::WRONG_DIGEST, "wrong_digest" },
} };

constexpr std::array<enum_name<log_fault>, 7> LOG_FAULT_NAMES{ {
		{ log_fault::NONE, "none" },
		{ log_fault::DOWN, "down" },
		{ log_fault::SLOW, "slow" },
		{ log_fault::LOSE_ANSWER, "lose_answer" },
		{ log_fault::REFUSE, "refuse" },
		{ log_fault::ERROR, "error" },
		{ log_fault::HANG, "hang" },
} };

constexpr std::array<enum_name<list_fault>, 5> LIST_FAULT_NAMES{ {
		{ list_fault::NONE, "none" },
		{ list_fault::DOWN, "down" },
		{ list_fault::EMPTY, "empty" },
		{ list_fault::STALE, "stale" },
		{ list_fault::SHRUNKEN, "shrunken" },
} };

/** A fault with its number and the share of requests it hits. */
template <typename fault_type>
struct fault_setting {
	fault_type fault = fault_type::NONE;
	double amount = 0.0;
	double share = 1.0;
};

} // namespace calicoscale

#endif // STANDIN_FAULTS_H
