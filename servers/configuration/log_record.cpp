/*
 * calicoscale: log_record.cpp
 * Records of the configuration stream, and their encoding on the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "servers/configuration/log_record.h"

#include "servers/configuration/configuration_parser.h"

#include <nlohmann/json.hpp>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t MAX_ENVELOPE_BYTES = 4096;
constexpr std::string_view CHANGE_KIND = "change";
constexpr std::string_view CHECKPOINT_KIND = "checkpoint";

std::string read_document(const json &p_record) {
	const json &document = p_record.at("document");
	return document.is_null() ? std::string() : document.dump();
}

json write_document(const std::string &p_document) {
	return p_document.empty() ? json(nullptr) : json::parse(p_document);
}

change_record read_change(const json &p_record) {
	change_record change;
	change.change_id = p_record.at("change_id").get<std::string>();
	change.base = p_record.at("base").get<std::uint64_t>();
	change.author = p_record.value("author", "");
	change.written_at = p_record.value("written_at", unix_milliseconds(0));
	change.document = read_document(p_record);
	return change;
}

checkpoint_record read_checkpoint(const json &p_record) {
	checkpoint_record checkpoint;
	checkpoint.version = p_record.at("version").get<std::uint64_t>();
	checkpoint.position = p_record.at("position").get<std::uint64_t>();
	checkpoint.change_id = p_record.value("change_id", "");
	checkpoint.written_at = p_record.value("written_at", unix_milliseconds(0));
	checkpoint.document = read_document(p_record);
	return checkpoint;
}

} // namespace

std::string encode(const change_record &p_record) {
	json record;
	record["kind"] = CHANGE_KIND;
	record["change_id"] = p_record.change_id;
	record["base"] = p_record.base;
	record["author"] = p_record.author;
	record["written_at"] = p_record.written_at;
	record["document"] = write_document(p_record.document);
	return record.dump();
}

std::string encode(const checkpoint_record &p_record) {
	json record;
	record["kind"] = CHECKPOINT_KIND;
	record["version"] = p_record.version;
	record["position"] = p_record.position;
	record["change_id"] = p_record.change_id;
	record["written_at"] = p_record.written_at;
	record["document"] = write_document(p_record.document);
	return record.dump();
}

std::optional<configuration_record> decode_configuration_record(std::string_view p_bytes) {
	if (p_bytes.size() > MAX_CONFIGURATION_BYTES + MAX_ENVELOPE_BYTES) {
		return std::nullopt;
	}
	const json record = json::parse(p_bytes, nullptr, false);
	if (!record.is_object()) {
		return std::nullopt;
	}
	try {
		const std::string kind = record.at("kind").get<std::string>();
		if (kind == CHANGE_KIND) {
			return read_change(record);
		}
		if (kind == CHECKPOINT_KIND) {
			return read_checkpoint(record);
		}
	} catch (const json::exception &) {
		return std::nullopt;
	}
	return std::nullopt;
}

} // namespace calicoscale
