/*
 * calicoscale: labels.h
 * Labels and the selectors that operators write over them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef LABELS_H
#define LABELS_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace calicoscale {

/** Labels of a request or an endpoint: key to value. */
struct label_set {
	std::map<std::string, std::string, std::less<>> values;

	/** Value of a key; nullptr when the label is absent. */
	const std::string *find(std::string_view p_key) const;
	bool operator==(const label_set &p_other) const = default;
};

/** How one requirement of a selector compares. */
enum class match_operator {
	EQUALS,
	IN,
	NOT_IN,
	EXISTS,
};

/** Name as written in configurations, e.g. "not_in". */
std::string_view get_name(match_operator p_operator);

/** One requirement on one label. */
struct requirement {
	std::string key;
	match_operator op = match_operator::EXISTS;
	std::vector<std::string> values;
	bool operator==(const requirement &p_other) const = default;
};

/** Requirements that must all hold; an empty selector matches everything. */
struct selector {
	std::vector<requirement> requirements;

	/** Whether all requirements hold for the labels. NOT_IN also holds where the label is absent. */
	bool matches(const label_set &p_labels) const;

	/** Returns the conjunction of both selectors. */
	selector joined_with(const selector &p_other) const;

	/** Canonical text, usable as a cache key. */
	std::string to_string() const;
	bool operator==(const selector &p_other) const = default;
};

} // namespace calicoscale

#endif // LABELS_H
