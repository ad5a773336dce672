/*
 * calicoscale: sample_configuration.h
 * A small configuration for tests.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef SAMPLE_CONFIGURATION_H
#define SAMPLE_CONFIGURATION_H

#include <string_view>

namespace calicoscale {

/** Two customers, four pools, and pipelines with and without a stage that may not be repeated. Keys: key-large, key-small. */
constexpr std::string_view SAMPLE_CONFIGURATION = R"({
	"customers": [
		{ "name": "large", "key_sha256": "c085ad197b4bcb90807e1f3724ef0844623166782591cbb3e60d122d4323f74c", "limits": { "requests_per_second": 1000, "concurrency": 500 }, "weight": 4 },
		{ "name": "small", "key_sha256": "cd8853d62ce9c808bb89ee501633705a6723a0b2bd6f5c734a36ea46ad7f1f64", "limits": { "requests_per_second": 1000, "concurrency": 500 } }
	],
	"pools": [
		{ "name": "encoders", "kind": "encode", "unit_cost": 1000 },
		{ "name": "retrievers", "kind": "retrieve", "unit_cost": 2000 },
		{ "name": "engines", "kind": "generate", "unit_cost": 3000 },
		{ "name": "services", "kind": "call", "unit_cost": 4000 }
	],
	"pipelines": [
		{ "name": "answer", "default_deadline_ms": 2000, "stages": [
			{ "name": "encode", "pool": "encoders" },
			{ "name": "retrieve", "pool": "retrievers" },
			{ "name": "generate", "pool": "engines", "max_tokens": 6 } ] },
		{ "name": "send", "default_deadline_ms": 2000, "stages": [
			{ "name": "encode", "pool": "encoders" },
			{ "name": "retrieve", "pool": "retrievers" },
			{ "name": "deliver", "pool": "services", "repeatable": false } ] },
		{ "name": "plain", "default_deadline_ms": 2000, "stages": [
			{ "name": "encode", "pool": "encoders" },
			{ "name": "retrieve", "pool": "retrievers" },
			{ "name": "call", "pool": "services" } ] }
	],
	"rules": [
		{ "name": "large-first", "requests": { "customer": "large", "pipeline": { "in": ["answer"] } }, "steer": { "priority": "high" } }
	],
	"policy": { "routing": "predicted_finish" }
})";

} // namespace calicoscale

#endif // SAMPLE_CONFIGURATION_H
