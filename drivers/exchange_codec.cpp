/*
 * calicoscale: exchange_codec.cpp
 * Serialisation of the messages about forwarded exchanges.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/exchange_codec.h"

#include <algorithm>

namespace calicoscale {

namespace {

using byte_vector = flatbuffers::Vector<std::uint8_t>;

/** Longest time that a message may set, as longer ones would overflow when added to the clock. */
constexpr std::uint32_t MAX_TIME_MS = 60 * 1000;

std::string read_text(const flatbuffers::String *p_text) {
	return p_text == nullptr ? std::string() : p_text->str();
}

std::string read_bytes(const byte_vector *p_bytes) {
	return p_bytes == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(p_bytes->data()), p_bytes->size());
}

flatbuffers::Offset<byte_vector> write_bytes(flatbuffers::FlatBufferBuilder &r_builder, const std::string &p_bytes) {
	return r_builder.CreateVector(reinterpret_cast<const std::uint8_t *>(p_bytes.data()), p_bytes.size());
}

duration read_ms(std::uint32_t p_ms) {
	return std::chrono::milliseconds(std::min(p_ms, MAX_TIME_MS));
}

std::uint32_t write_ms(duration p_time) {
	return static_cast<std::uint32_t>(std::clamp<std::int64_t>(p_time.count() / 1000, 0, MAX_TIME_MS));
}

flatbuffers::Offset<wire::answer_head> write_head(flatbuffers::FlatBufferBuilder &r_builder, const http_head &p_head) {
	std::vector<std::string> names;
	std::vector<std::string> values;
	for (const http_header &header : p_head.headers) {
		names.push_back(header.name);
		values.push_back(header.value);
	}
	const auto name_vector = r_builder.CreateVectorOfStrings(names);
	const auto value_vector = r_builder.CreateVectorOfStrings(values);
	return wire::Createanswer_head(r_builder, p_head.status, p_head.minor_version, p_head.keep_alive, static_cast<std::uint8_t>(p_head.framing), name_vector, value_vector);
}

std::optional<http_head> read_head(const wire::answer_head &p_head) {
	const auto *names = p_head.names();
	const auto *values = p_head.values();
	const std::size_t count = names == nullptr ? 0 : names->size();
	if ((values == nullptr ? 0 : values->size()) != count || p_head.framing() > static_cast<std::uint8_t>(body_framing::CONNECTION)) {
		return std::nullopt;
	}
	http_head head;
	head.status = p_head.status();
	head.minor_version = p_head.minor_version();
	head.keep_alive = p_head.keep_alive();
	head.framing = static_cast<body_framing>(p_head.framing());
	for (std::size_t i = 0; i < count; i++) {
		const auto index = static_cast<flatbuffers::uoffset_t>(i);
		head.headers.push_back(http_header{ read_text(names->Get(index)), read_text(values->Get(index)) });
	}
	return head;
}

} // namespace

flatbuffers::Offset<wire::open_exchange> write_message(flatbuffers::FlatBufferBuilder &r_builder, const open_exchange_message &p_message) {
	const channel_request &request = p_message.request;
	const auto endpoint = r_builder.CreateString(request.endpoint.vm);
	const auto address = r_builder.CreateString(to_string(request.to));
	const auto zone = r_builder.CreateString(request.zone);
	const auto service = r_builder.CreateString(request.service);
	const auto echo_header = r_builder.CreateString(request.echo_header);
	const auto echo_value = r_builder.CreateString(request.echo_value);
	const auto bytes = write_bytes(r_builder, request.bytes);
	return wire::Createopen_exchange(r_builder, p_message.id, endpoint, request.endpoint.incarnation, address, zone, service, echo_header, echo_value, request.is_head, write_ms(request.connect_timeout), write_ms(request.longest_idle), bytes);
}

flatbuffers::Offset<wire::control_exchange> write_message(flatbuffers::FlatBufferBuilder &r_builder, const control_exchange_message &p_message) {
	return wire::Createcontrol_exchange(r_builder, p_message.id, p_message.confirmed_bytes, p_message.is_cancelled);
}

flatbuffers::Offset<wire::exchange_progress> write_message(flatbuffers::FlatBufferBuilder &r_builder, const exchange_progress_message &p_message) {
	const flatbuffers::Offset<wire::answer_head> head = p_message.head ? write_head(r_builder, *p_message.head) : 0;
	const flatbuffers::Offset<byte_vector> body = p_message.body.empty() ? 0 : write_bytes(r_builder, p_message.body);
	return wire::Createexchange_progress(r_builder, p_message.id, p_message.number, head, body, static_cast<std::uint8_t>(p_message.end));
}

std::optional<open_exchange_message> read_message(const wire::open_exchange &p_message) {
	open_exchange_message message;
	message.id = p_message.id();
	channel_request &request = message.request;
	request.endpoint = endpoint_identity{ read_text(p_message.endpoint()), p_message.incarnation() };
	request.to = parse_network_address(read_text(p_message.address()));
	request.zone = read_text(p_message.zone());
	request.service = read_text(p_message.service());
	request.echo_header = read_text(p_message.echo_header());
	request.echo_value = read_text(p_message.echo_value());
	request.is_head = p_message.is_head();
	request.connect_timeout = read_ms(p_message.connect_timeout_ms());
	request.longest_idle = read_ms(p_message.longest_idle_ms());
	request.bytes = read_bytes(p_message.bytes());
	return request.to.port == 0 || request.bytes.empty() ? std::nullopt : std::optional<open_exchange_message>(std::move(message));
}

control_exchange_message read_message(const wire::control_exchange &p_message) {
	return control_exchange_message{ p_message.id(), p_message.confirmed_bytes(), p_message.is_cancelled() };
}

std::optional<exchange_progress_message> read_message(const wire::exchange_progress &p_message) {
	exchange_progress_message message;
	message.id = p_message.id();
	message.number = p_message.number();
	if (p_message.end() >= static_cast<std::uint8_t>(forwarding_end::COUNT)) {
		return std::nullopt;
	}
	message.end = static_cast<forwarding_end>(p_message.end());
	message.body = read_bytes(p_message.body());
	if (p_message.head() != nullptr) {
		message.head = read_head(*p_message.head());
		if (!message.head) {
			return std::nullopt;
		}
	}
	return message;
}

} // namespace calicoscale
