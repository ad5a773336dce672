/*
 * calicoscale: once_answer.h
 * What the at-most-once books answer, and the outcome they keep.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ONCE_ANSWER_H
#define ONCE_ANSWER_H

#include "core/verdict.h"

#include <optional>
#include <string>

namespace calicoscale {

/** The outcome of a request that ran under a key, kept for a caller that submits it again. */
struct kept_outcome {
	int http_status = 0;
	std::string body;
};

/** What is to be done with a submission. */
enum class once_step {
	RUN, ///< This submission alone may run the request.
	WAIT, ///< Another submission runs it here; its outcome will serve both.
	REPLAY, ///< The outcome is known.
	PASS_ON, ///< Another node owns the key; only it may decide.
	CLAIM, ///< The key has to be claimed on the log first.
	REFUSE, ///< Not now or not ever; see the reason.
};

/** Answer to a submission. */
struct once_answer {
	once_step step = once_step::REFUSE;
	outcome refusal; ///< For REFUSE.
	std::string owner_vm; ///< For PASS_ON.
	std::uint64_t owner_incarnation = 0; ///< For PASS_ON.
	std::optional<kept_outcome> kept; ///< For REPLAY.
};

} // namespace calicoscale

#endif // ONCE_ANSWER_H
