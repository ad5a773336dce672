/*
 * calicoscale: rollout_wire.cpp
 * FlatBuffers form of the roll-out updates between nodes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "drivers/rollout_wire.h"

#include <algorithm>

namespace calicoscale {

namespace {

/** Longer times are invalid and would overflow when added to the clock. */
constexpr std::int64_t MAX_TIME_MS = 30LL * 24 * 3600 * 1000;
constexpr std::size_t MAX_CELLS = version_tally::MAX_ROUTES * (version_tally::TARGET_GROUPS + 1U) * 2;

std::string read(const flatbuffers::String *p_text) {
	return p_text == nullptr ? std::string() : p_text->str();
}

duration read_ms(std::int64_t p_ms) {
	return std::chrono::milliseconds(std::clamp<std::int64_t>(p_ms, 0, MAX_TIME_MS));
}

std::int64_t write_ms(duration p_time) {
	return std::chrono::duration_cast<std::chrono::milliseconds>(p_time).count();
}

using cell_vector = flatbuffers::Vector<const wire::rollout_cell *>;

version_tally read_tally(const cell_vector *p_cells) {
	std::vector<answer_counts> cells;
	if (p_cells != nullptr) {
		for (const wire::rollout_cell *cell : *p_cells) {
			if (cell->group() <= version_tally::TARGET_GROUPS && cells.size() < MAX_CELLS) {
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
	for (const rollout_update &update : p_rollouts) {
		const auto service = r_builder.CreateString(update.order.service);
		const auto version = r_builder.CreateString(update.order.target_version);
		const auto barred = r_builder.CreateVectorOfStrings(update.barred);
		const version_windows &answers = update.report.answers;
		const auto current = write_tally(r_builder, answers.get_current());
		const auto previous = write_tally(r_builder, answers.get_previous());
		const auto past = write_tally(r_builder, update.past);
		entries.push_back(wire::Createrollout_entry(r_builder, service, version, write_ms(update.order.time), update.order.at.era, update.order.at.offset, update.order.is_withdrawn, write_ms(update.age), static_cast<std::uint8_t>(update.state), update.is_confirmed, update.is_written, update.is_moving, barred, update.report.nodes, update.report.moved, update.report.open_at_present, current, update.is_age_estimated, answers.get_index(), previous, past));
	}
	return r_builder.CreateVector(entries);
}

std::vector<rollout_update> read_rollouts(const rollout_offsets *p_entries) {
	std::vector<rollout_update> rollouts;
	if (p_entries == nullptr) {
		return rollouts;
	}
	for (const wire::rollout_entry *entry : *p_entries) {
		rollout_update update;
		update.order.service = read(entry->service());
		if (update.order.service.empty() || entry->state() >= static_cast<std::uint8_t>(rollout_state::COUNT)) {
			continue;
		}
		update.order.target_version = read(entry->target_version());
		update.order.time = read_ms(entry->time_ms());
		update.order.at = log_position{ entry->era(), entry->offset() };
		update.order.is_withdrawn = entry->is_withdrawn();
		update.age = read_ms(entry->age_ms());
		update.is_age_estimated = entry->is_age_estimated();
		update.state = static_cast<rollout_state>(entry->state());
		update.is_confirmed = entry->is_confirmed();
		update.is_written = entry->is_written();
		update.is_moving = entry->is_moving();
		if (entry->barred() != nullptr) {
			for (const flatbuffers::String *version : *entry->barred()) {
				update.barred.push_back(read(version));
			}
		}
		update.report = read_report(*entry);
		update.past = read_tally(entry->past_cells());
		rollouts.push_back(std::move(update));
	}
	return rollouts;
}

} // namespace calicoscale
