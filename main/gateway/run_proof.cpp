/*
 * calicoscale: run_proof.cpp
 * What shows that an endpoint did not run what was sent to it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/run_proof.h"

#include "core/enum_names.h"

#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<run_proof>, 4> PROOF_NAMES{ {
		{ run_proof::NONE, "none" },
		{ run_proof::NOT_SENT, "not_sent" },
		{ run_proof::REJECTED, "rejected" },
		{ run_proof::OTHER_ENDPOINT, "other_endpoint" },
} };

} // namespace

std::string_view get_name(run_proof p_proof) {
	return find_name(PROOF_NAMES, p_proof);
}

run_proof find_run_proof(answer_end p_end, const endpoint_answer &p_answer) {
	if (p_end == answer_end::NOT_SENT) {
		return run_proof::NOT_SENT;
	}
	if (p_end != answer_end::COMPLETE) {
		return run_proof::NONE;
	}
	if (p_answer.is_other_endpoint) {
		return run_proof::OTHER_ENDPOINT;
	}
	return p_answer.did_not_run ? run_proof::REJECTED : run_proof::NONE;
}

} // namespace calicoscale
