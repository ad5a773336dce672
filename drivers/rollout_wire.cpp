/*
 * calicoscale: rollout_wire.cpp
 * FlatBuffers form of what nodes tell each other of roll-outs.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/rollout_wire.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Longer times are none, and would overflow when added to the clock. */
constexpr std::int64_t LONGEST_MS = 30LL * 24 * 3600 * 1000;
constexpr std::size_t MOST_CELLS = version_tally::MAX_ROUTES * (version_tally::TARGET_GROUPS + 1U) * 2;

std::string read(const flatbuffers::String *p_text) {
	return p_text == nullptr ? std::string() : p_text->str();
}

duration read_ms(std::int64_t p_ms) {
	return std::chrono::milliseconds(std::clamp<std::int64_t>(p_ms, 0, LONGEST_MS));
}

std::int64_t write_ms(duration p_time) {
	return std::chrono::duration_cast<std::chrono::milliseconds>(p_time).count();
}

using cell_vector = flatbuffers::Vector<const wire::rollout_cell *>;

version_tally read_tally(const cell_vector *p_cells) {
	std::vector<answer_counts> cells;
	if (p_cells != nullptr) {
		for (const wire::rollout_cell *cell : *p_cells) {
			if (cell->group() <= version_tally::TARGET_GROUPS && cells.size() < MOST_CELLS) {
				cells.push_back(answer_counts{ cell->route(), static_cast<std::uint8_t>(cell->group()), cell->answers(), cell->bad() });
			}
		}
	}
	version_tally tally;
	tally.add(cells);
	return tally;
}

flatbuffers::Offset<cell_vector> write_tally(flatbuffers::FlatBufferBuilder &r_builder, const version_tally &p_tally) {
	std::vector<wire::rollout_cell> cells;
	for (const answer_counts &cell : p_tally.get_cells()) {
		cells.emplace_back(cell.route, cell.group, cell.answers, cell.bad);
	}
	return cells.empty() ? flatbuffers::Offset<cell_vector>() : r_builder.CreateVectorOfStructs(cells);
}

rollout_report read_report(const wire::rollout_entry &p_entry) {
	rollout_report report;
	report.order = log_position{ p_entry.era(), p_entry.offset() };
	report.nodes = p_entry.nodes();
	report.moved = p_entry.moved();
	report.open_at_present = p_entry.open_at_present();
	report.answers = version_windows(p_entry.window(), read_tally(p_entry.cells()), read_tally(p_entry.previous_cells()));
	return report;
}

} // namespace

flatbuffers::Offset<rollout_offsets> write_rollouts(flatbuffers::FlatBufferBuilder &r_builder, const std::vector<rollout_update> &p_rollouts) {
	if (p_rollouts.empty()) {
		return 0;
	}
	std::vector<flatbuffers::Offset<wire::rollout_entry>> entries;
	for (const rollout_update &told : p_rollouts) {
		const auto service = r_builder.CreateString(told.order.service);
		const auto version = r_builder.CreateString(told.order.target_version);
		const auto barred = r_builder.CreateVectorOfStrings(told.barred);
		const version_windows &answers = told.report.answers;
		const auto current = write_tally(r_builder, answers.get_current());
		const auto previous = write_tally(r_builder, answers.get_previous());
		const auto past = write_tally(r_builder, told.past);
		entries.push_back(wire::Createrollout_entry(r_builder, service, version, write_ms(told.order.time), told.order.at.era, told.order.at.offset, told.order.is_withdrawn, write_ms(told.age), static_cast<std::uint8_t>(told.state), told.is_confirmed, told.is_written, told.is_moving, barred, told.report.nodes, told.report.moved, told.report.open_at_present, current, told.is_age_estimated, answers.get_index(), previous, past));
	}
	return r_builder.CreateVector(entries);
}

std::vector<rollout_update> read_rollouts(const rollout_offsets *p_entries) {
	std::vector<rollout_update> rollouts;
	if (p_entries == nullptr) {
		return rollouts;
	}
	for (const wire::rollout_entry *entry : *p_entries) {
		rollout_update told;
		told.order.service = read(entry->service());
		if (told.order.service.empty() || entry->state() >= static_cast<std::uint8_t>(rollout_state::COUNT)) {
			continue;
		}
		told.order.target_version = read(entry->target_version());
		told.order.time = read_ms(entry->time_ms());
		told.order.at = log_position{ entry->era(), entry->offset() };
		told.order.is_withdrawn = entry->is_withdrawn();
		told.age = read_ms(entry->age_ms());
		told.is_age_estimated = entry->is_age_estimated();
		told.state = static_cast<rollout_state>(entry->state());
		told.is_confirmed = entry->is_confirmed();
		told.is_written = entry->is_written();
		told.is_moving = entry->is_moving();
		if (entry->barred() != nullptr) {
			for (const flatbuffers::String *version : *entry->barred()) {
				told.barred.push_back(read(version));
			}
		}
		told.report = read_report(*entry);
		told.past = read_tally(entry->past_cells());
		rollouts.push_back(std::move(told));
	}
	return rollouts;
}

} // namespace calicoscale
