/*
 * calicoscale: connection_history.cpp
 * Decides which answers on a kept connection belong to the exchange in progress.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/routing/connection_history.h"

#include "core/digest.h"

#include <algorithm>

namespace calicoscale {

bool connection_history::may_carry(std::string_view p_id) const {
	if (!is_reusable()) {
		return false;
	}
	return p_id.empty() || std::find(_carried.begin(), _carried.end(), hash_bytes(p_id)) == _carried.end();
}

void connection_history::on_started(std::string_view p_id) {
	_exchanges++;
	if (!p_id.empty()) {
		_carried.push_back(hash_bytes(p_id));
	}
}

answer_owner connection_history::judge(std::string_view p_id, const std::string *p_echo) const {
	if (p_id.empty()) {
		return answer_owner::THIS_EXCHANGE;
	}
	if (p_echo != nullptr) {
		return *p_echo == p_id ? answer_owner::THIS_EXCHANGE : answer_owner::OTHER_EXCHANGE;
	}
	// The first answer on a connection cannot be a copy of an earlier one.
	return _exchanges == 1 ? answer_owner::THIS_EXCHANGE : answer_owner::UNKNOWN;
}

bool connection_history::take_answer(std::uint64_t p_digest) {
	if (std::find(_answers.begin(), _answers.end(), p_digest) != _answers.end()) {
		return false;
	}
	_answers.push_back(p_digest);
	return true;
}

} // namespace calicoscale
