/*
 * calicoscale: link_codec.cpp
 * FlatBuffers form of the messages between nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/link_codec.h"

#include "drivers/exchange_codec.h"
#include "drivers/generated/node_link_generated.h"
#include "drivers/rollout_wire.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace calicoscale {

namespace {

using builder = flatbuffers::FlatBufferBuilder;
using text_offset = flatbuffers::Offset<flatbuffers::String>;

struct encoded_body {
	wire::message type = wire::message_NONE;
	flatbuffers::Offset<void> offset;
};

std::string read(const flatbuffers::String *p_text) {
	return p_text == nullptr ? std::string() : p_text->str();
}

/** Times sent by peers belong to requests; longer ones are invalid and would overflow when added to the clock. */
constexpr std::int64_t MAX_TIME_MS = 24LL * 3600 * 1000;
/** Bounds the work of a node, as the work of all nodes in a pool is summed; no fleet does as much in a day. */
constexpr std::uint64_t MAX_WORK_US = 1ULL << 53U;

duration read_ms(std::int64_t p_ms) {
	return std::chrono::milliseconds(std::clamp(p_ms, -MAX_TIME_MS, MAX_TIME_MS));
}

/** Reads an amount; returns 0 for one that is negative or not finite, as it would corrupt sums and comparisons. */
double read_amount(float p_amount) {
	return std::isfinite(p_amount) && p_amount > 0.0F ? static_cast<double>(p_amount) : 0.0;
}

flatbuffers::Offset<wire::digest> write_digest(builder &r_builder, const member_digest &p_digest) {
	std::vector<wire::customer_demand> demands;
	demands.reserve(p_digest.demand.size());
	for (const auto &[customer, rate] : p_digest.demand) {
		demands.emplace_back(customer, static_cast<float>(rate));
	}
	const text_offset vm = r_builder.CreateString(p_digest.vm);
	// While a fleet starts, each node receives the digests of many others, which share few zones and regions.
	const text_offset zone = r_builder.CreateSharedString(p_digest.zone);
	const text_offset region = r_builder.CreateSharedString(p_digest.region);
	const text_offset link = r_builder.CreateString(to_string(p_digest.link));
	const text_offset admin = r_builder.CreateSharedString(to_string(p_digest.admin));
	const auto demand = demands.empty() ? 0 : r_builder.CreateVectorOfStructs(demands);
	return wire::Createdigest(r_builder, vm, p_digest.incarnation, p_digest.heartbeat, zone, region, link, admin, p_digest.ready, p_digest.leaving, p_digest.configuration_version, demand, static_cast<float>(p_digest.cores), p_digest.hub);
}

member_digest read_digest(const wire::digest &p_digest) {
	member_digest digest;
	digest.vm = read(p_digest.vm());
	digest.incarnation = p_digest.incarnation();
	digest.heartbeat = p_digest.heartbeat();
	digest.zone = read(p_digest.zone());
	digest.region = read(p_digest.region());
	digest.link = parse_network_address(read(p_digest.link()));
	digest.admin = parse_network_address(read(p_digest.admin()));
	digest.ready = p_digest.ready();
	digest.leaving = p_digest.leaving();
	digest.configuration_version = p_digest.configuration_version();
	digest.cores = read_amount(p_digest.cores());
	digest.hub = p_digest.hub();
	if (p_digest.demands() != nullptr) {
		for (const wire::customer_demand *demand : *p_digest.demands()) {
			digest.demand[demand->code()] = read_amount(demand->rate());
		}
	}
	return digest;
}

std::vector<std::string> get_names(const std::vector<endpoint_identity> &p_identities) {
	std::vector<std::string> names;
	names.reserve(p_identities.size());
	for (const endpoint_identity &identity : p_identities) {
		names.push_back(identity.vm);
	}
	return names;
}

std::vector<std::uint64_t> get_incarnations(const std::vector<endpoint_identity> &p_identities) {
	std::vector<std::uint64_t> incarnations;
	incarnations.reserve(p_identities.size());
	for (const endpoint_identity &identity : p_identities) {
		incarnations.push_back(identity.incarnation);
	}
	return incarnations;
}

flatbuffers::Offset<wire::stream_entry> write_stream(builder &r_builder, const reported_stream &p_stream) {
	const text_offset service = r_builder.CreateSharedString(p_stream.origin.service);
	const text_offset version = r_builder.CreateSharedString(p_stream.origin.version);
	const std::uint32_t left_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(p_stream.left.count() / 1000, 0, MAX_TIME_MS));
	return wire::Createstream_entry(r_builder, p_stream.key.digest.high, p_stream.key.digest.low, p_stream.customer, service, version, left_ms);
}

reported_stream read_stream(const wire::stream_entry &p_entry) {
	const stream_key key{ half_digest{ p_entry.key_high(), p_entry.key_low() } };
	return reported_stream{ key, p_entry.customer(), stream_origin{ read(p_entry.service()), read(p_entry.version()) }, read_ms(p_entry.left_ms()) };
}

using listing_offsets = flatbuffers::Vector<flatbuffers::Offset<wire::endpoint_entry>>;

flatbuffers::Offset<listing_offsets> write_listings(builder &r_builder, const std::vector<endpoint_listing> &p_listings) {
	std::vector<flatbuffers::Offset<wire::endpoint_entry>> entries;
	entries.reserve(p_listings.size());
	for (const endpoint_listing &listing : p_listings) {
		const text_offset name = r_builder.CreateString(listing.vm);
		// Many listings share few pools and zones.
		const text_offset pool = r_builder.CreateSharedString(listing.pool);
		const text_offset zone = r_builder.CreateSharedString(listing.zone);
		const text_offset address = r_builder.CreateString(to_string(listing.address));
		const text_offset version = listing.version.empty() ? 0 : r_builder.CreateSharedString(listing.version);
		entries.push_back(wire::Createendpoint_entry(r_builder, name, pool, zone, address, listing.leaving, listing.incarnation, static_cast<std::uint32_t>(listing.cold_left.count() / 1000), version));
	}
	return r_builder.CreateVector(entries);
}

std::vector<endpoint_listing> read_listings(const listing_offsets *p_entries) {
	std::vector<endpoint_listing> listings;
	if (p_entries == nullptr) {
		return listings;
	}
	for (const wire::endpoint_entry *entry : *p_entries) {
		endpoint_listing listing;
		listing.vm = read(entry->name());
		listing.pool = read(entry->pool());
		listing.zone = read(entry->zone());
		listing.address = parse_network_address(read(entry->address()));
		listing.leaving = entry->leaving();
		listing.incarnation = entry->incarnation();
		listing.cold_left = read_ms(entry->cold_ms());
		listing.version = read(entry->version());
		listings.push_back(std::move(listing));
	}
	return listings;
}

/** Serialises each kind of message. */
struct body_writer {
	builder &target;

	encoded_body operator()(const hello_message &p_message) const {
		const text_offset vm = target.CreateString(p_message.vm);
		const text_offset nonce = target.CreateString(p_message.nonce);
		return { wire::message_hello, wire::Createhello(target, vm, p_message.incarnation, nonce, p_message.features).Union() };
	}

	encoded_body operator()(const proof_message &p_message) const {
		const text_offset code = target.CreateString(p_message.code);
		return { wire::message_proof, wire::Createproof(target, code).Union() };
	}

	encoded_body operator()(const heartbeat_message &p_message) const {
		std::vector<flatbuffers::Offset<wire::digest>> digests;
		for (const member_digest &digest : p_message.digests) {
			digests.push_back(write_digest(target, digest));
		}
		std::vector<flatbuffers::Offset<wire::leaving_mark>> marks;
		for (const leaving_mark &mark : p_message.marks) {
			const text_offset vm = target.CreateString(mark.vm);
			marks.push_back(wire::Createleaving_mark(target, vm, mark.incarnation));
		}
		const auto digest_vector = target.CreateVector(digests);
		const auto mark_vector = target.CreateVector(marks);
		std::vector<flatbuffers::Offset<wire::pool_commitment>> commitments;
		for (const pool_commitment &entry : p_message.commitments) {
			const text_offset pool = target.CreateString(entry.pool);
			commitments.push_back(wire::Createpool_commitment(target, pool, entry.priority, static_cast<std::uint64_t>(entry.work.count())));
		}
		std::vector<flatbuffers::Offset<wire::pool_capacity>> capacities;
		for (const pool_capacity &entry : p_message.capacities) {
			const text_offset pool = target.CreateString(entry.pool);
			capacities.push_back(wire::Createpool_capacity(target, pool, static_cast<float>(entry.replicas)));
		}
		const auto commitment_vector = target.CreateVector(commitments);
		const auto capacity_vector = target.CreateVector(capacities);
		const auto gone = target.CreateVectorOfStrings(get_names(p_message.gone));
		const auto gone_incarnations = target.CreateVector(get_incarnations(p_message.gone));
		const auto dispatchers = target.CreateVectorOfStrings(p_message.dispatchers);
		const auto unreached_zones = target.CreateVectorOfStrings(p_message.unreached_zones);
		const auto evacuated_zones = target.CreateVectorOfStrings(p_message.evacuations.zones);
		const auto unreached_services = p_message.unreached_services.empty() ? 0 : target.CreateVectorOfStrings(p_message.unreached_services);
		const std::uint32_t next_in = static_cast<std::uint32_t>(p_message.next_in.count() / 1000);
		return { wire::message_heartbeat, wire::Createheartbeat(target, p_message.at.wall, p_message.at.counter, digest_vector, mark_vector, commitment_vector, capacity_vector, gone, next_in, p_message.follows, p_message.wants_link, p_message.relies_on_you, p_message.is_total, p_message.zone_nodes, p_message.fleet_nodes, dispatchers, unreached_zones, gone_incarnations, p_message.evacuations.known.era, p_message.evacuations.known.offset, evacuated_zones, write_rollouts(target, p_message.rollouts), p_message.known_nodes, unreached_services).Union() };
	}

	encoded_body operator()(const request_configuration_message &p_message) const {
		return { wire::message_ask_configuration, wire::Createask_configuration(target, p_message.have).Union() };
	}

	encoded_body operator()(const request_endpoints_message &) const {
		return { wire::message_ask_endpoints, wire::Createask_endpoints(target).Union() };
	}

	encoded_body operator()(const decline_endpoints_message &) const {
		return { wire::message_decline_endpoints, wire::Createdecline_endpoints(target).Union() };
	}

	encoded_body operator()(const configuration_snapshot &p_message) const {
		const text_offset change_id = target.CreateString(p_message.change_id);
		const text_offset document = target.CreateString(p_message.document);
		return { wire::message_tell_configuration, wire::Createtell_configuration(target, p_message.version, p_message.position, p_message.certain, change_id, document).Union() };
	}

	encoded_body operator()(const pass_request_message &p_message) const {
		const text_offset customer = target.CreateString(p_message.customer);
		const text_offset pipeline = target.CreateString(p_message.pipeline);
		const text_offset key = target.CreateString(p_message.key);
		const text_offset input = target.CreateString(p_message.input);
		const std::int64_t remaining = p_message.remaining.count() / 1000;
		return { wire::message_pass_request, wire::Createpass_request(target, p_message.id, customer, pipeline, key, remaining, input).Union() };
	}

	encoded_body operator()(const pass_answer_message &p_message) const {
		const text_offset body = target.CreateString(p_message.body);
		return { wire::message_pass_answer, wire::Createpass_answer(target, p_message.id, p_message.status, body).Union() };
	}

	encoded_body operator()(const assign_work_message &p_message) const {
		const text_offset pool = target.CreateString(p_message.pool);
		const text_offset attempt = target.CreateString(p_message.attempt);
		const text_offset key = target.CreateString(p_message.caller_key);
		const auto inputs = target.CreateVectorOfStrings(p_message.inputs);
		const text_offset zone = target.CreateString(p_message.zone);
		const auto homes = target.CreateVectorOfStrings(p_message.homes);
		const std::int64_t give_up = p_message.give_up_in.count() / 1000;
		const std::int64_t due = p_message.due_in.count() / 1000;
		return { wire::message_hand_work, wire::Createhand_work(target, p_message.id, pool, attempt, p_message.stage, p_message.pieces, key, inputs, give_up, due, p_message.priority, zone, p_message.result_bytes, p_message.transfer_bytes, p_message.run.place, p_message.run.content.high, p_message.run.content.low, p_message.is_alone, homes).Union() };
	}

	encoded_body operator()(const work_ended_message &p_message) const {
		const auto handles = target.CreateVectorOfStrings(p_message.handles);
		const auto incarnations = target.CreateVector(p_message.incarnations);
		const text_offset attempt = target.CreateString(p_message.attempt);
		return { wire::message_work_ended, wire::Creatework_ended(target, p_message.id, p_message.end, handles, incarnations, attempt, p_message.stage).Union() };
	}

	encoded_body operator()(const report_endpoints_message &p_message) const {
		const auto endpoints = write_listings(target, p_message.endpoints);
		return { wire::message_tell_endpoints, wire::Createtell_endpoints(target, endpoints, p_message.known.offset, true, p_message.known.era).Union() };
	}

	encoded_body operator()(const report_delta_message &p_message) const {
		const endpoint_delta &reading = p_message.reading;
		const auto written = write_listings(target, reading.written);
		const auto dropped = target.CreateVectorOfStrings(reading.dropped);
		return { wire::message_tell_reading, wire::Createtell_reading(target, reading.from, reading.to, written, dropped, reading.listed, reading.listed_starts, reading.era, reading.is_whole).Union() };
	}

	encoded_body operator()(const cancel_work_message &p_message) const {
		const text_offset pool = target.CreateString(p_message.pool);
		return { wire::message_cancel_work, wire::Createcancel_work(target, p_message.id, pool).Union() };
	}

	encoded_body operator()(const release_results_message &p_message) const {
		const text_offset pool = target.CreateString(p_message.pool);
		const auto handles = target.CreateVectorOfStrings(p_message.handles);
		return { wire::message_release_results, wire::Createrelease_results(target, pool, handles).Union() };
	}

	encoded_body operator()(const report_results_message &p_message) const {
		const text_offset pool = target.CreateString(p_message.pool);
		const auto handles = target.CreateVectorOfStrings(p_message.handles);
		const auto sizes = target.CreateVector(p_message.result_bytes);
		return { wire::message_tell_results, wire::Createtell_results(target, pool, handles, sizes, target.CreateVector(p_message.incarnations)).Union() };
	}

	encoded_body operator()(const report_crashes_message &p_message) const {
		std::vector<wire::crash_entry> entries;
		entries.reserve(p_message.news.size());
		for (const reported_crash &crash : p_message.news) {
			const std::int64_t age_ms = std::clamp<std::int64_t>(crash.age.count() / 1000, 0, MAX_TIME_MS);
			entries.emplace_back(crash.run.place, crash.run.content.high, crash.run.content.low, crash.subject, static_cast<std::uint32_t>(age_ms), static_cast<std::uint8_t>(crash.news));
		}
		return { wire::message_tell_crashes, wire::Createtell_crashes(target, target.CreateVectorOfStructs(entries), p_message.is_whole).Union() };
	}

	encoded_body operator()(const report_limits_message &p_message) const {
		std::vector<flatbuffers::Offset<wire::limit_entry>> entries;
		entries.reserve(p_message.limits.size());
		for (const reported_limit &limit : p_message.limits) {
			const std::int64_t age_ms = std::clamp<std::int64_t>(limit.age.count() / 1000, 0, MAX_TIME_MS);
			const text_offset name = target.CreateString(limit.endpoint.vm);
			entries.push_back(wire::Createlimit_entry(target, name, limit.endpoint.incarnation, limit.rate.value_or(0.0), !limit.rate.has_value(), static_cast<std::uint32_t>(age_ms)));
		}
		return { wire::message_tell_limits, wire::Createtell_limits(target, target.CreateVector(entries)).Union() };
	}

	encoded_body operator()(const report_streams_message &p_message) const {
		std::vector<flatbuffers::Offset<wire::stream_entry>> entries;
		entries.reserve(p_message.streams.size());
		for (const reported_stream &stream : p_message.streams) {
			entries.push_back(write_stream(target, stream));
		}
		return { wire::message_tell_streams, wire::Createtell_streams(target, target.CreateVector(entries)).Union() };
	}

	encoded_body operator()(const request_stream_message &p_message) const {
		return { wire::message_ask_stream, wire::Createask_stream(target, p_message.id, p_message.key.digest.high, p_message.key.digest.low).Union() };
	}

	encoded_body operator()(const stream_answer_message &p_message) const {
		const auto record = p_message.record ? write_stream(target, *p_message.record) : 0;
		return { wire::message_answer_stream, wire::Createanswer_stream(target, p_message.id, record).Union() };
	}

	encoded_body operator()(const open_exchange_message &p_message) const {
		return { wire::message_open_exchange, write_message(target, p_message).Union() };
	}

	encoded_body operator()(const control_exchange_message &p_message) const {
		return { wire::message_control_exchange, write_message(target, p_message).Union() };
	}

	encoded_body operator()(const exchange_progress_message &p_message) const {
		return { wire::message_exchange_progress, write_message(target, p_message).Union() };
	}

	encoded_body operator()(const report_prompts_message &p_message) const {
		std::vector<endpoint_identity> engines;
		std::map<endpoint_identity, std::uint16_t> indices;
		std::vector<wire::prompt_entry> prompts;
		std::vector<std::uint64_t> chains;
		std::vector<std::uint32_t> tokens;
		for (const prompt_record &record : p_message.prompts) {
			const auto [index, is_new] = indices.try_emplace(record.engine, static_cast<std::uint16_t>(engines.size()));
			if (is_new) {
				engines.push_back(record.engine);
			}
			prompts.emplace_back(record.origin, index->second, static_cast<std::uint16_t>(record.prompt.size()));
			for (const prompt_link &link : record.prompt) {
				chains.push_back(link.chain);
				tokens.push_back(static_cast<std::uint32_t>(link.tokens));
			}
		}
		const auto engine_vector = target.CreateVectorOfStrings(get_names(engines));
		const auto incarnation_vector = target.CreateVector(get_incarnations(engines));
		const auto prompt_vector = target.CreateVectorOfStructs(prompts);
		const auto chain_vector = target.CreateVector(chains);
		const auto token_vector = target.CreateVector(tokens);
		return { wire::message_tell_prompts, wire::Createtell_prompts(target, engine_vector, prompt_vector, chain_vector, token_vector, incarnation_vector).Union() };
	}
};

std::vector<std::string> read_texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *p_texts) {
	std::vector<std::string> texts;
	if (p_texts == nullptr) {
		return texts;
	}
	texts.reserve(p_texts->size());
	for (const flatbuffers::String *text : *p_texts) {
		texts.push_back(read(text));
	}
	return texts;
}

std::vector<std::uint64_t> read_numbers(const flatbuffers::Vector<std::uint64_t> *p_numbers) {
	return p_numbers == nullptr ? std::vector<std::uint64_t>() : std::vector<std::uint64_t>(p_numbers->begin(), p_numbers->end());
}

/** A node whose version does not support incarnations sends none; each is then 0. */
std::vector<endpoint_identity> read_identities(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *p_names, const flatbuffers::Vector<std::uint64_t> *p_incarnations) {
	std::vector<endpoint_identity> identities;
	for (std::string &name : read_texts(p_names)) {
		const flatbuffers::uoffset_t index = static_cast<flatbuffers::uoffset_t>(identities.size());
		const bool has_incarnation = p_incarnations != nullptr && index < p_incarnations->size();
		identities.push_back(endpoint_identity{ std::move(name), has_incarnation ? p_incarnations->Get(index) : 0 });
	}
	return identities;
}

heartbeat_message read_heartbeat(const wire::heartbeat &p_message) {
	heartbeat_message message;
	message.at = hybrid_time{ p_message.wall(), p_message.counter() };
	if (p_message.digests() != nullptr) {
		for (const wire::digest *digest : *p_message.digests()) {
			message.digests.push_back(read_digest(*digest));
		}
	}
	if (p_message.marks() != nullptr) {
		for (const wire::leaving_mark *mark : *p_message.marks()) {
			message.marks.push_back(leaving_mark{ read(mark->vm()), mark->incarnation() });
		}
	}
	if (p_message.commitments() != nullptr) {
		for (const wire::pool_commitment *entry : *p_message.commitments()) {
			message.commitments.push_back(pool_commitment{ read(entry->pool()), entry->priority(), duration(static_cast<duration::rep>(std::min(entry->work_us(), MAX_WORK_US))) });
		}
	}
	if (p_message.capacities() != nullptr) {
		for (const wire::pool_capacity *entry : *p_message.capacities()) {
			message.capacities.push_back(pool_capacity{ read(entry->pool()), read_amount(entry->replicas()) });
		}
	}
	message.gone = read_identities(p_message.gone(), p_message.gone_incarnations());
	message.follows = p_message.follows();
	message.wants_link = p_message.wants_link();
	message.relies_on_you = p_message.relies_on_you();
	message.is_total = p_message.is_total();
	message.zone_nodes = p_message.zone_nodes();
	message.fleet_nodes = p_message.fleet_nodes();
	message.known_nodes = p_message.known_nodes();
	message.dispatchers = read_texts(p_message.dispatchers());
	message.unreached_zones = read_texts(p_message.unreached_zones());
	message.evacuations.known = log_position{ p_message.evacuation_era(), p_message.evacuation_offset() };
	message.evacuations.zones = read_texts(p_message.evacuated_zones());
	message.rollouts = read_rollouts(p_message.rollouts());
	message.unreached_services = read_texts(p_message.unreached_services());
	message.next_in = std::chrono::milliseconds(p_message.next_in_ms());
	return message;
}

configuration_snapshot read_snapshot(const wire::tell_configuration &p_message) {
	configuration_snapshot snapshot;
	snapshot.version = p_message.version();
	snapshot.position = p_message.position();
	snapshot.certain = p_message.certain();
	snapshot.change_id = read(p_message.change_id());
	snapshot.document = read(p_message.document());
	return snapshot;
}

pass_request_message read_pass_request(const wire::pass_request &p_message) {
	pass_request_message message;
	message.id = p_message.id();
	message.customer = read(p_message.customer());
	message.pipeline = read(p_message.pipeline());
	message.key = read(p_message.key());
	message.remaining = read_ms(p_message.remaining_ms());
	message.input = read(p_message.input());
	return message;
}

report_endpoints_message read_endpoints(const wire::tell_endpoints &p_message) {
	// From a non-zero offset the receiver would read only changes and never learn the starts; with 0 it reads them all.
	const std::uint64_t offset = p_message.knows_starts() ? p_message.offset() : 0;
	return report_endpoints_message{ read_listings(p_message.endpoints()), log_position{ p_message.era(), offset } };
}

endpoint_delta read_delta(const wire::tell_reading &p_message) {
	endpoint_delta delta;
	delta.from = p_message.from();
	delta.to = p_message.to();
	delta.written = read_listings(p_message.written());
	delta.dropped = read_texts(p_message.dropped());
	delta.listed = p_message.listed();
	delta.listed_starts = p_message.listed_starts();
	delta.era = p_message.era();
	delta.is_whole = p_message.is_whole();
	return delta;
}

/** Returns empty when an index or a count does not match the other fields. */
std::optional<report_prompts_message> read_prompts(const wire::tell_prompts &p_message) {
	report_prompts_message message;
	if (p_message.prompts() == nullptr) {
		return message;
	}
	const std::vector<endpoint_identity> engines = read_identities(p_message.engines(), p_message.engine_incarnations());
	const std::size_t links = p_message.chains() == nullptr ? 0 : p_message.chains()->size();
	if (links != (p_message.tokens() == nullptr ? 0 : p_message.tokens()->size())) {
		return std::nullopt;
	}
	std::size_t next = 0;
	for (const wire::prompt_entry *entry : *p_message.prompts()) {
		if (entry->engine() >= engines.size() || next + entry->links() > links) {
			return std::nullopt;
		}
		prompt_record record{ entry->origin(), engines[entry->engine()], {} };
		for (const std::size_t end = next + entry->links(); next < end; next++) {
			const flatbuffers::uoffset_t index = static_cast<flatbuffers::uoffset_t>(next);
			record.prompt.push_back(prompt_link{ p_message.chains()->Get(index), p_message.tokens()->Get(index) });
		}
		message.prompts.push_back(std::move(record));
	}
	return message;
}

/** Returns empty when an entry has an unknown kind of event. */
std::optional<report_crashes_message> read_crashes(const wire::tell_crashes &p_message) {
	report_crashes_message message;
	message.is_whole = p_message.is_whole();
	if (p_message.entries() == nullptr) {
		return message;
	}
	message.news.reserve(p_message.entries()->size());
	for (const wire::crash_entry *entry : *p_message.entries()) {
		if (entry->news() >= static_cast<std::uint8_t>(crash_event::COUNT)) {
			return std::nullopt;
		}
		const request_fingerprint run{ entry->place(), half_digest{ entry->content_high(), entry->content_low() } };
		message.news.push_back(reported_crash{ static_cast<crash_event>(entry->news()), run, entry->subject(), read_ms(entry->age_ms()) });
	}
	return message;
}

/** Returns empty when an entry has an invalid rate. */
std::optional<report_limits_message> read_limits(const wire::tell_limits &p_message) {
	report_limits_message message;
	if (p_message.entries() == nullptr) {
		return message;
	}
	message.limits.reserve(p_message.entries()->size());
	for (const wire::limit_entry *entry : *p_message.entries()) {
		const double rate = entry->rate();
		if (!std::isfinite(rate) || rate < 0.0) {
			return std::nullopt;
		}
		message.limits.push_back(reported_limit{ endpoint_identity{ read(entry->name()), entry->incarnation() }, entry->is_over() ? std::nullopt : std::optional(rate), read_ms(entry->age_ms()) });
	}
	return message;
}

report_streams_message read_streams(const wire::tell_streams &p_message) {
	report_streams_message message;
	if (p_message.entries() == nullptr) {
		return message;
	}
	message.streams.reserve(p_message.entries()->size());
	for (const wire::stream_entry *entry : *p_message.entries()) {
		message.streams.push_back(read_stream(*entry));
	}
	return message;
}

stream_answer_message read_stream_answer(const wire::answer_stream &p_message) {
	stream_answer_message message;
	message.id = p_message.id();
	if (p_message.record() != nullptr) {
		message.record = read_stream(*p_message.record());
	}
	return message;
}

assign_work_message read_hand_work(const wire::hand_work &p_message) {
	assign_work_message message;
	message.id = p_message.id();
	message.pool = read(p_message.pool());
	message.attempt = read(p_message.attempt());
	message.stage = p_message.stage();
	message.pieces = p_message.pieces();
	message.caller_key = read(p_message.caller_key());
	message.inputs = read_texts(p_message.inputs());
	message.give_up_in = read_ms(p_message.give_up_ms());
	message.due_in = read_ms(p_message.due_ms());
	message.priority = p_message.priority();
	message.zone = read(p_message.zone());
	message.result_bytes = p_message.result_bytes();
	message.transfer_bytes = p_message.transfer_bytes();
	message.run = request_fingerprint{ p_message.place(), half_digest{ p_message.content_high(), p_message.content_low() } };
	message.is_alone = p_message.is_alone();
	message.homes = read_texts(p_message.homes());
	return message;
}

} // namespace

std::string encode(const link_message &p_message) {
	builder target;
	const encoded_body body = std::visit(body_writer{ target }, p_message);
	target.Finish(wire::Createframe(target, body.type, body.offset));
	return std::string(reinterpret_cast<const char *>(target.GetBufferPointer()), target.GetSize());
}

std::string_view get_kind_name(std::size_t p_kind) {
	// The union of the schema lists the kinds in the same order, after an entry for none.
	return wire::EnumNamemessage(static_cast<wire::message>(p_kind + 1));
}

std::optional<link_message> decode_link_message(std::string_view p_bytes) {
	flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(p_bytes.data()), p_bytes.size());
	if (!wire::VerifyframeBuffer(verifier)) {
		return std::nullopt;
	}
	const wire::frame *frame = wire::Getframe(p_bytes.data());
	if (frame->body() == nullptr) {
		return std::nullopt;
	}
	switch (frame->body_type()) {
		case wire::message_hello: {
			const wire::hello *hello = frame->body_as_hello();
			return hello_message{ read(hello->vm()), hello->incarnation(), read(hello->nonce()), hello->features() };
		}
		case wire::message_proof:
			return proof_message{ read(frame->body_as_proof()->code()) };
		case wire::message_heartbeat:
			return read_heartbeat(*frame->body_as_heartbeat());
		case wire::message_ask_endpoints:
			return request_endpoints_message{};
		case wire::message_decline_endpoints:
			return decline_endpoints_message{};
		case wire::message_ask_configuration:
			return request_configuration_message{ frame->body_as_ask_configuration()->have() };
		case wire::message_tell_configuration:
			return read_snapshot(*frame->body_as_tell_configuration());
		case wire::message_pass_request:
			return read_pass_request(*frame->body_as_pass_request());
		case wire::message_pass_answer: {
			const wire::pass_answer *answer = frame->body_as_pass_answer();
			return pass_answer_message{ answer->id(), answer->status(), read(answer->body()) };
		}
		case wire::message_hand_work:
			return read_hand_work(*frame->body_as_hand_work());
		case wire::message_work_ended: {
			const wire::work_ended *ended = frame->body_as_work_ended();
			return work_ended_message{ ended->id(), ended->end(), read_texts(ended->handles()), read_numbers(ended->incarnations()), read(ended->attempt()), ended->stage() };
		}
		case wire::message_cancel_work: {
			const wire::cancel_work *cancelled = frame->body_as_cancel_work();
			return cancel_work_message{ cancelled->id(), read(cancelled->pool()) };
		}
		case wire::message_tell_endpoints:
			return read_endpoints(*frame->body_as_tell_endpoints());
		case wire::message_tell_reading:
			return report_delta_message{ read_delta(*frame->body_as_tell_reading()) };
		case wire::message_tell_crashes: {
			std::optional<report_crashes_message> decoded = read_crashes(*frame->body_as_tell_crashes());
			return decoded ? std::optional<link_message>(std::move(*decoded)) : std::nullopt;
		}
		case wire::message_tell_limits: {
			std::optional<report_limits_message> decoded = read_limits(*frame->body_as_tell_limits());
			return decoded ? std::optional<link_message>(std::move(*decoded)) : std::nullopt;
		}
		case wire::message_tell_streams:
			return read_streams(*frame->body_as_tell_streams());
		case wire::message_ask_stream: {
			const wire::ask_stream *asked = frame->body_as_ask_stream();
			return request_stream_message{ asked->id(), stream_key{ half_digest{ asked->key_high(), asked->key_low() } } };
		}
		case wire::message_answer_stream:
			return read_stream_answer(*frame->body_as_answer_stream());
		case wire::message_open_exchange: {
			std::optional<open_exchange_message> decoded = read_message(*frame->body_as_open_exchange());
			return decoded ? std::optional<link_message>(std::move(*decoded)) : std::nullopt;
		}
		case wire::message_control_exchange:
			return read_message(*frame->body_as_control_exchange());
		case wire::message_exchange_progress: {
			std::optional<exchange_progress_message> decoded = read_message(*frame->body_as_exchange_progress());
			return decoded ? std::optional<link_message>(std::move(*decoded)) : std::nullopt;
		}
		case wire::message_tell_prompts: {
			std::optional<report_prompts_message> decoded = read_prompts(*frame->body_as_tell_prompts());
			return decoded ? std::optional<link_message>(std::move(*decoded)) : std::nullopt;
		}
		case wire::message_tell_results: {
			const wire::tell_results *results = frame->body_as_tell_results();
			const report_results_message message{ read(results->pool()), read_texts(results->handles()), read_numbers(results->result_bytes()), read_numbers(results->incarnations()) };
			// Each handle has exactly one size; a message with different counts is malformed.
			if (message.handles.size() != message.result_bytes.size()) {
				return std::nullopt;
			}
			return message;
		}
		case wire::message_release_results: {
			const wire::release_results *released = frame->body_as_release_results();
			return release_results_message{ read(released->pool()), read_texts(released->handles()) };
		}
		default:
			return std::nullopt;
	}
}

} // namespace calicoscale
