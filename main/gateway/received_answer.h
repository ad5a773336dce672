/*
 * calicoscale: received_answer.h
 * The answer of an endpoint to one send, as far as it has been received.
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

/** Expected form of a successful answer. */
enum class expected_answer {
	PLAIN,
	STREAM, ///< At least one event.
	STREAM_REMAINDER, ///< The events after one that the caller already has, if there are any.
};

/** How an answer ended. */
enum class answer_end {
	COMPLETE,
	NOT_SENT, ///< No connection was established.
	LOST, ///< The connection failed before the end of the answer.
	TRUNCATED, ///< The connection closed in an orderly way, but the answer is incomplete.
	MALFORMED, ///< The received data is not a valid answer.
};

/** Returns the name of an end, e.g. "cut". */
std::string_view get_name(answer_end p_end);

/** Returns how an answer ended according to its framing alone. */
answer_end get_answer_end(channel_end p_end);

/** Buffers a plain answer until it is complete, passes a stream on event by event, and judges whether either is complete. */
class received_answer {
	static constexpr std::size_t MAX_BODY_BYTES = 32UL * 1024 * 1024;

	expected_answer _expected;
	http_head _head;
	endpoint_answer _notes;
	bounded_body _body{ MAX_BODY_BYTES };
	std::size_t _bytes = 0;
	event_splitter _events;

public:
	explicit received_answer(expected_answer p_expected) :
			_expected(p_expected) {}

	/** Prepares for a new send. Of a stream, only what was passed to the caller stays known, so that another endpoint can resume after it. */
	void restart();

	void take_head(const http_head &p_head);

	/** Frees the memory of a body that will not be used. */
	void drop_body() { _body.clear(); }

	/** Adds a part of the body and returns the bytes that may be passed to the caller now. */
	std::string take_body(std::string_view p_bytes);

	/** Judges whether the answer is complete. Its framing is not sufficient: a stream that ends inside an event was truncated. */
	answer_end judge(channel_end p_end) const;

	/** Whether the answer can't be passed on whatever follows, as it is a success that no endpoint has sealed. */
	bool is_unsealed_success() const;

	/** Whether the body of a plain answer exceeds what is stored, so that the rest of it is of no use. */
	bool is_too_large() const { return !_body.is_complete(); }

	/** Whether the answer is a success that is read event by event. */
	bool is_stream() const;

	/** Head of the answer; empty until it is received. */
	const http_head &get_head() const { return _head; }
	const endpoint_answer &get_notes() const { return _notes; }
	/** Body of a plain answer. */
	const std::string &get_body() const { return _body.get(); }
	/** Memory that the body of a plain answer takes, in bytes. */
	std::size_t get_buffered_bytes() const { return _body.get().capacity(); }
	std::size_t get_byte_count() const { return _bytes; }
	const event_splitter &get_events() const { return _events; }

	/** Removes and returns the remaining bytes of a complete stream. */
	std::string take_remainder() { return _events.take_remainder(); }
};

} // namespace calicoscale

#endif // RECEIVED_ANSWER_H
