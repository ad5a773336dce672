/*
 * calicoscale: endpoint_identity.cpp
 * Identity of one incarnation of an endpoint.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/endpoint_identity.h"

#include "core/digest.h"

namespace calicoscale {

std::string to_string(const endpoint_identity &p_identity) {
	return p_identity.vm + "@" + std::to_string(p_identity.incarnation);
}

bool is_replaced_by(const endpoint_identity &p_identity, const endpoint_identity &p_newer) {
	return p_identity.vm == p_newer.vm && p_identity.incarnation > 0 && p_identity.incarnation < p_newer.incarnation;
}

std::size_t endpoint_identity_hash::operator()(const endpoint_identity &p_identity) const {
	return static_cast<std::size_t>(hash_bytes(p_identity.vm, p_identity.incarnation));
}

} // namespace calicoscale
