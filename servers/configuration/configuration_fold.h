/*
 * calicoscale: configuration_fold.h
 * The fold over the log that every node computes alike.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_FOLD_H
#define CONFIGURATION_FOLD_H

#include "servers/configuration/configuration.h"
#include "servers/configuration/log_record.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace calicoscale {

/** One record as read from the log. */
struct log_entry {
	std::uint64_t offset = 0;
	std::string bytes;
};

/** What became of a record. */
enum class change_status {
	ACCEPTED,
	OVERTAKEN, ///< Its base was not the version in force.
	INVALID, ///< Malformed, oversized or failing the checks.
	UNDECIDED, ///< Read while the versions before it are unknown here.
};

/** Name of a status, e.g. "overtaken". */
std::string_view get_name(change_status p_status);

/** One line of the history. */
struct history_entry {
	std::uint64_t offset = 0;
	change_status status = change_status::UNDECIDED;
	std::string change_id;
	std::string author;
	unix_milliseconds written_at = 0;
	std::uint64_t base = 0;
	std::uint64_t version_after = 0; ///< Version in force after this record.
	std::string detail; ///< For INVALID: every mistake with its place.
};

/** What a node tells another about its configuration. */
struct configuration_snapshot {
	std::uint64_t version = 0;
	std::uint64_t position = 0; ///< Log offsets below are folded in; only meaningful when certain.
	bool certain = false; ///< Whether the version is the fold's result as of the position.
	std::string change_id;
	std::string document;
};

/**
 * Folds the configuration stream in offset order. A change is accepted if it parses, passes the checks and its base
 * is the folded version; then the version is its offset plus one. Since all inputs come from the log, all nodes that
 * are certain of a position agree on the version there. The version in force only rises.
 *
 * A node is *certain* when it has seen every record since the first, or continues from a checkpoint or a peer's
 * snapshot whose position lies inside what it has read. While uncertain it keeps what it has in force, judges no
 * change, and keeps the changes it reads until a checkpoint or snapshot lets it judge them.
 */
class configuration_fold {
public:
	/** Checks a document; throws document_error. Injected so that tests may use tiny documents. */
	using document_check = std::function<configuration(std::string_view p_text)>;

private:
	struct version_state {
		std::uint64_t version = 0;
		std::string change_id;
		std::string document;
	};

	struct pending_change {
		std::uint64_t offset = 0;
		std::optional<change_record> change; ///< Empty for a malformed record.
	};

	document_check _check;
	version_state _folded;
	version_state _in_force;
	std::unique_ptr<const configuration> _parsed;
	std::uint64_t _position = 0;
	std::uint64_t _window_start = 0; ///< First offset read without a gap since uncertainty began.
	bool _certain = false;
	bool _started = false;
	std::vector<pending_change> _pending;
	std::deque<history_entry> _history;
	std::uint64_t _invalid_count = 0;
	unix_milliseconds _newest_copy_at = 0;

	void _begin_uncertain(std::uint64_t p_first_offset);
	void _fold_bytes(const log_entry &p_entry, unix_milliseconds p_wall);
	void _judge(std::uint64_t p_offset, const std::optional<change_record> &p_change);
	void _keep_pending(pending_change p_pending);
	void _use_checkpoint(std::uint64_t p_offset, const checkpoint_record &p_checkpoint, unix_milliseconds p_wall);
	void _settle(const version_state &p_state, std::uint64_t p_position);
	void _put_in_force(const version_state &p_state);
	void _note_copy(std::uint64_t p_version, unix_milliseconds p_written_at, unix_milliseconds p_wall);
	void _record(history_entry p_entry);

public:
	explicit configuration_fold(document_check p_check);

	/**
	 * Takes in one read from the log.
	 * @param p_earliest first offset the log still has.
	 * @param p_entries consecutive records, from the larger of get_position() and p_earliest on.
	 * @return whether the version in force rose.
	 */
	bool take_read(std::uint64_t p_earliest, const std::vector<log_entry> &p_entries, unix_milliseconds p_wall);

	/**
	 * Takes in a peer's snapshot.
	 * @return whether the version in force rose. A snapshot that fails the checks is ignored.
	 */
	bool take_snapshot(const configuration_snapshot &p_snapshot);

	/** Offset to read from next. */
	std::uint64_t get_position() const { return _position; }

	/** Whether the folded version is known to be the log's. */
	bool is_certain() const { return _certain; }

	/** Version in force; 0 when none is. */
	std::uint64_t get_version() const { return _in_force.version; }

	/** Document in force as JSON text; empty when none is. */
	const std::string &get_document() const { return _in_force.document; }

	/** Configuration in force; nullptr when none is. Valid until the version rises. */
	const configuration *get_configuration() const { return _parsed.get(); }

	/** What to tell peers. */
	configuration_snapshot get_snapshot() const;

	/**
	 * The checkpoint to append, if one is due: the log's newest copy of the version in force is older than the wait.
	 * @param p_wait a jittered part of the log's retention.
	 */
	std::optional<checkpoint_record> make_checkpoint(unix_milliseconds p_wall, duration p_wait) const;

	/** Newest records, oldest first; bounded. */
	const std::deque<history_entry> &get_history() const { return _history; }

	/** Finds the first record with a change id; nullptr when it was not read or is forgotten. */
	const history_entry *find_change(std::string_view p_change_id) const;

	/** Records skipped as malformed, oversized or failing the checks. */
	std::uint64_t get_invalid_count() const { return _invalid_count; }
};

} // namespace calicoscale

#endif // CONFIGURATION_FOLD_H
