/*
 * calicoscale: labels.cpp
 * Matching of selectors against labels.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "core/labels.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace calicoscale {

namespace {

constexpr std::array<enum_name<match_operator>, 4> OPERATOR_NAMES{ {
		{ match_operator::EQUALS, "equals" },
		{ match_operator::IN, "in" },
		{ match_operator::NOT_IN, "not_in" },
		{ match_operator::EXISTS, "exists" },
} };

bool is_listed(const requirement &p_requirement, const std::string *p_value) {
	if (p_value == nullptr) {
		return false;
	}
	return std::find(p_requirement.values.begin(), p_requirement.values.end(), *p_value) != p_requirement.values.end();
}

bool is_satisfied(const requirement &p_requirement, const label_set &p_labels) {
	const std::string *value = p_labels.find(p_requirement.key);
	switch (p_requirement.op) {
		case match_operator::EXISTS:
			return value != nullptr;
		case match_operator::NOT_IN:
			return !is_listed(p_requirement, value);
		case match_operator::EQUALS:
		case match_operator::IN:
			return is_listed(p_requirement, value);
	}
	return false;
}

} // namespace

std::string_view get_name(match_operator p_operator) {
	return find_name(OPERATOR_NAMES, p_operator);
}

const std::string *label_set::find(std::string_view p_key) const {
	const auto found = values.find(p_key);
	return found == values.end() ? nullptr : &found->second;
}

bool selector::matches(const label_set &p_labels) const {
	return std::all_of(requirements.begin(), requirements.end(), [&p_labels](const requirement &p_requirement) {
		return is_satisfied(p_requirement, p_labels);
	});
}

selector selector::joined_with(const selector &p_other) const {
	selector joined = *this;
	joined.requirements.insert(joined.requirements.end(), p_other.requirements.begin(), p_other.requirements.end());
	return joined;
}

std::string selector::to_string() const {
	std::string text;
	for (const requirement &entry : requirements) {
		text += entry.key;
		text += ' ';
		text += get_name(entry.op);
		for (const std::string &value : entry.values) {
			text += ' ';
			text += value;
		}
		text += ';';
	}
	return text;
}

} // namespace calicoscale
