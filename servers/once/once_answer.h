/*
 * calicoscale: once_answer.h
 * Answers of the at-most-once registries, and the outcome that they store.
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

/** Outcome of a request that ran under a key, stored for a caller that submits the request again. */
struct kept_outcome {
	int http_status = 0;
	std::string body;
};

/** What the caller does with a submission. */
enum class once_step {
	RUN, ///< This submission alone may run the request.
	WAIT, ///< Another submission runs it, or claims its key, at this node; its outcome answers both.
	REPLAY, ///< The request has run; its stored outcome is the answer.
	PASS_ON, ///< Another node owns the key; the request is forwarded to it.
	CLAIM, ///< The caller first claims the key by a record on the log.
	REFUSE, ///< The request isn't run; the refusal says why.
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
