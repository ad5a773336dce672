/*
 * calicoscale: origin_record.h
 * The software versions at which streams may have begun, as the store keeps them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef ORIGIN_RECORD_H
#define ORIGIN_RECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace calicoscale {

/** Versions by service. */
using service_versions = std::map<std::string, std::set<std::string>>;

/**
 * For each service, all versions at which a stream may have begun that a caller can still resume. A service without versions had no
 * stream. The record is written before the first stream of a version begins, so that it shows the origin of streams whose own
 * records are lost.
 */
class origin_record {
	std::uint64_t _era = 0;
	service_versions _versions;

public:
	origin_record() = default;
	/** @param p_era era of the store in which the record is written; after a restore from an older copy it is incomplete. */
	origin_record(std::uint64_t p_era, service_versions p_versions) :
			_era(p_era), _versions(std::move(p_versions)) {}

	std::uint64_t get_era() const { return _era; }
	const service_versions &get_versions() const { return _versions; }

	bool contains(const std::string &p_service, const std::string &p_version) const;

	/** Returns the only version at which streams of a service may have begun; empty if there are several, or none. */
	std::optional<std::string> find_only(const std::string &p_service) const;

	void add(const service_versions &p_versions);

	/** Removes the versions of a service that are not among these. */
	void keep(const std::string &p_service, const std::set<std::string> &p_versions);

	bool operator==(const origin_record &p_other) const = default;
};

/** Serialises a record for the store. */
std::string write_origin_record(const origin_record &p_record);

/** Parses a record; empty if it is malformed. */
std::optional<origin_record> read_origin_record(std::string_view p_text);

} // namespace calicoscale

#endif // ORIGIN_RECORD_H
