/*
 * calicoscale: run_proof.h
 * What shows that an endpoint did not run what was sent to it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RUN_PROOF_H
#define RUN_PROOF_H

#include "main/gateway/received_answer.h"

#include <string_view>

namespace calicoscale {

/** What shows that an endpoint has not run a request and never will. */
enum class run_proof {
	NONE, ///< The request may have run.
	NOT_SENT, ///< No connection was established. The request is written to a connection only afterwards.
	REJECTED, ///< The endpoint answered that it did not run the request.
	OTHER_ENDPOINT, ///< Another endpoint answered at the address, which runs nothing that is meant for this one.
};

/** Returns the name of a proof, e.g. "not_sent". */
std::string_view get_name(run_proof p_proof);

/**
 * Finds the proof that one send did not run, for requests and stage calls, sent directly or by a peer. Nothing else counts as one.
 * @param p_end how the exchange of this send ended.
 * @param p_answer the answer that its connection ascribed to this exchange (see connection_history); an answer to another send of
 * the same request proves nothing.
 */
run_proof find_run_proof(answer_end p_end, const endpoint_answer &p_answer);

} // namespace calicoscale

#endif // RUN_PROOF_H
