/*
 * calicoscale: mutation.h
 * Damages valid documents and messages, for property tests of what reads them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef MUTATION_H
#define MUTATION_H

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace calicoscale {

/** Changes, removes or inserts some bytes, or cuts the end off. */
inline std::string mutate(std::string p_bytes) {
	const int changes = *rc::gen::inRange(0, 6);
	for (int i = 0; i < changes; i++) {
		const std::size_t place = *rc::gen::inRange<std::size_t>(0, p_bytes.size() + 1);
		switch (*rc::gen::inRange(0, 5)) {
			case 0:
				p_bytes.insert(place, 1, *rc::gen::arbitrary<char>());
				break;
			case 1:
				p_bytes.erase(place, *rc::gen::inRange<std::size_t>(0, 9));
				break;
			case 2:
				p_bytes.resize(place);
				break;
			default:
				if (place < p_bytes.size()) {
					p_bytes[place] = *rc::gen::arbitrary<char>();
				}
		}
	}
	return p_bytes;
}

/** A value of any type, out of the usual range included. */
inline nlohmann::json make_odd_value() {
	static const std::vector<std::string> VALUES{ "null", "true", "-1", "0", "1.5", "1e300", "-1e300", "18446744073709551615", "-9223372036854775808", "\"\"", "\"x\"", "\"1.2.3.4:5\"", "[]", "{}", "[[[[[]]]]]", "[1,\"a\",null]", R"({"a":{"b":[{}]}})" };
	return nlohmann::json::parse(*rc::gen::elementOf(VALUES));
}

/** Removes a field or gives it a value of any type, at any depth. */
inline void mutate_field(nlohmann::json &r_document) {
	nlohmann::json *place = &r_document;
	while (place->is_structured() && !place->empty()) {
		auto child = place->begin();
		std::advance(child, *rc::gen::inRange<std::size_t>(0, place->size()));
		if (*rc::gen::inRange(0, 8) == 0) {
			place->erase(child);
			return;
		}
		place = &*child;
	}
	*place = make_odd_value();
}

/** A document with some fields removed or of another type, and in one case of four some bytes damaged as well. */
inline std::string mutate_document(const std::string &p_text) {
	nlohmann::json document = nlohmann::json::parse(p_text);
	const int changes = *rc::gen::inRange(0, 4);
	for (int i = 0; i < changes; i++) {
		mutate_field(document);
	}
	const std::string text = document.dump();
	return *rc::gen::inRange(0, 4) == 0 ? mutate(text) : text;
}

} // namespace calicoscale

#endif // MUTATION_H
