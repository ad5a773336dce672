/*
 * calicoscale: forwarded_answer.cpp
 * Checks the parts of an answer that a peer forwards.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/forwarded_answer.h"

#include "drivers/http_status.h"

namespace calicoscale {

forwarded_answer::forwarded_answer(const channel_request &p_request) {
	_request.echo_header = p_request.echo_header;
	_request.echo_value = p_request.echo_value;
	_request.is_head = p_request.is_head;
	_history.on_started(_request.echo_value);
}

bool forwarded_answer::take_head(const http_head &p_head) {
	if (_has_head || !is_valid_answer(p_head) || http_status::is_interim(p_head.status)) {
		return false;
	}
	_has_head = true;
	_may_have_body = !_request.is_head && !http_status::has_no_body(p_head.status);
	return find_answer_owner(_history, _request, p_head) == answer_owner::THIS_EXCHANGE;
}

} // namespace calicoscale
