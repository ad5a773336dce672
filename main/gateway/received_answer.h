/*
 * calicoscale: received_answer.h
 * The answer of an endpoint to one send, as far as it has come.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef RECEIVED_ANSWER_H
#define RECEIVED_ANSWER_H

#include "core/bounded_body.h"
#include "drivers/endpoint_channels.h"
#include "platform/request_codec.h"
#include "servers/gateway/event_splitter.h"

#include <string>
#include <string_view>

namespace calicoscale {

/** What a success is expected to be. */
enum class expected_answer {
	PLAIN,
	STREAM, ///< Events, one at least.
	REST_OF_STREAM, ///< The events behind one that the caller has, if there are any.
};

/** What became of an answer. */
enum class answer_end {
	WHOLE,
	NOT_SENT, ///< No connection came up.
	LOST, ///< Its connection ended first.
	CUT, ///< It ended in good order and is not whole.
	MALFORMED, ///< What came is no answer.
};

/** Name of an end, e.g. "cut". */
std::string_view get_name(answer_end p_end);

/** Holds a plain answer until it is whole, hands a stream out event by event, and judges whether either is whole. */
class received_answer {
	static constexpr std::size_t LARGEST_BODY = 32UL * 1024 * 1024;

	expected_answer _expected;
	http_head _head;
	endpoint_answer _notes;
	bounded_body _body{ LARGEST_BODY };
	std::size_t _bytes = 0;
	event_splitter _events;

public:
	explicit received_answer(expected_answer p_expected) :
			_expected(p_expected) {}

	/** The request is sent anew. Of a stream only what went out stays known, so that another endpoint can go on behind it. */
	void restart();

	void take_head(const http_head &p_head);

	/** Takes part of the body and returns what may go to the caller at once. */
	std::string take_body(std::string_view p_bytes);

	/** Whether the answer is whole. Its framing alone does not tell: a stream that ends inside an event was broken off. */
	answer_end judge(channel_end p_end) const;

	/** Whether it is a success that is read event by event. */
	bool is_stream() const;

	/** Of the head; empty as long as none has come. */
	const http_head &get_head() const { return _head; }
	const endpoint_answer &get_notes() const { return _notes; }
	/** Of a plain answer. */
	const std::string &get_body() const { return _body.get(); }
	std::size_t get_byte_count() const { return _bytes; }
	const event_splitter &get_events() const { return _events; }

	/** What is left of a stream that is whole. */
	std::string take_rest() { return _events.take_rest(); }
};

} // namespace calicoscale

#endif // RECEIVED_ANSWER_H
