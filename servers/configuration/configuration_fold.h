/*
 * calicoscale: configuration_fold.h
 * Computes the configuration from the log; every node gets the same result.
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

/** Result of a change. */
enum class change_status {
	ACCEPTED,
	OVERTAKEN, ///< Its base wasn't the version of the configuration after the preceding records.
	INVALID, ///< Malformed, oversized or failing the checks.
	UNDECIDED, ///< Read while the preceding versions were unknown to this node.
};

/** Name of a status, e.g. "overtaken". */
std::string_view get_name(change_status p_status);

/** A record of the log as shown in the history of changes. */
struct history_entry {
	std::uint64_t offset = 0;
	change_status status = change_status::UNDECIDED;
	std::string change_id;
	std::string author;
	unix_milliseconds written_at = 0;
	std::uint64_t base = 0;
	std::uint64_t version_after = 0; ///< Version of the configuration after this record.
	std::string detail; ///< For INVALID: every mistake, with its position in the document.
};

/** Configuration that a node sends to another. */
struct configuration_snapshot {
	std::uint64_t version = 0;
	std::uint64_t position = 0; ///< All records below this log offset are applied; valid only if certain.
	bool certain = false; ///< Whether the version results from applying all records below the position in order.
	std::string change_id;
	std::string document;
};

/**
 * Folds the configuration stream. Folding means applying its records in the order of their offsets. A change is accepted if it
 * parses, passes the checks and its base is the version of the configuration after the preceding records; the new version is
 * the offset of the change plus one. All inputs come from the log, so all nodes that are certain at a position have the same version there. The
 * version in force never decreases.
 *
 * A node is *certain* if it has read every record since the first, or continues from a checkpoint or a peer's snapshot
 * whose position isn't before the records that it has read without a gap. While uncertain, it keeps its configuration in
 * force, decides on no change, and stores the changes that it reads until a checkpoint or a snapshot lets it decide.
 */
class configuration_fold {
public:
	/** Parses a document; throws document_error. A parameter, so that tests can use tiny documents. */
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
	version_state _folded; ///< Result of applying the records; may differ from _in_force while uncertain.
	version_state _in_force;
	std::unique_ptr<const configuration> _parsed; ///< Parsed document of _in_force.
	std::uint64_t _position = 0; ///< Next offset to read.
	std::uint64_t _window_start = 0; ///< While uncertain: first offset from which all records were read and stored.
	bool _certain = false;
	bool _has_read = false;
	std::vector<pending_change> _pending; ///< Changes read while uncertain.
	std::deque<history_entry> _history;
	std::uint64_t _invalid_count = 0;
	unix_milliseconds _newest_copy_at = 0; ///< When the log's newest record of the folded version was written.

	void _begin_uncertain(std::uint64_t p_first_offset);
	void _apply_entry(const log_entry &p_entry, unix_milliseconds p_wall);
	void _decide(std::uint64_t p_offset, const std::optional<change_record> &p_change);
	void _store_pending(pending_change p_pending);
	void _apply_checkpoint(std::uint64_t p_offset, const checkpoint_record &p_checkpoint, unix_milliseconds p_wall);
	void _become_certain(const version_state &p_state, std::uint64_t p_position);
	void _put_in_force(const version_state &p_state);
	void _update_newest_copy(std::uint64_t p_version, unix_milliseconds p_written_at, unix_milliseconds p_wall);
	void _add_history(history_entry p_entry);

public:
	explicit configuration_fold(document_check p_check);

	/**
	 * Applies one read from the log.
	 * @param p_earliest first offset that the log still has.
	 * @param p_entries consecutive records, from the larger of get_position() and p_earliest on.
	 * @return whether the version in force increased.
	 */
	bool take_read(std::uint64_t p_earliest, const std::vector<log_entry> &p_entries, unix_milliseconds p_wall);

	/**
	 * Applies a peer's snapshot. A snapshot that fails the checks is ignored and counted as invalid.
	 * @return whether the version in force increased.
	 */
	bool apply_snapshot(const configuration_snapshot &p_snapshot);

	/** Offset to read next. */
	std::uint64_t get_position() const { return _position; }

	/** Whether the version is known to be the result of all records below get_position(). */
	bool is_certain() const { return _certain; }

	/** Version in force; 0 if none is. */
	std::uint64_t get_version() const { return _in_force.version; }

	/** Document in force as JSON text; empty when none is. */
	const std::string &get_document() const { return _in_force.document; }

	/** Configuration in force; nullptr when none is. Valid until the version increases. */
	const configuration *get_configuration() const { return _parsed.get(); }

	/** Snapshot to send to peers. */
	configuration_snapshot get_snapshot() const;

	/**
	 * Returns the checkpoint to append if one is due: if the log's newest record of the version in force is older than
	 * p_wait.
	 * @param p_wait a jittered fraction of the log's retention.
	 */
	std::optional<checkpoint_record> make_checkpoint(unix_milliseconds p_wall, duration p_wait) const;

	/** Newest changes and malformed records, oldest first; bounded. */
	const std::deque<history_entry> &get_history() const { return _history; }

	/** Finds the first record with a change id; nullptr if it wasn't read or has left the bounded history. */
	const history_entry *find_change(std::string_view p_change_id) const;

	/** Number of records and snapshots skipped as malformed, oversized or failing the checks. */
	std::uint64_t get_invalid_count() const { return _invalid_count; }
};

} // namespace calicoscale

#endif // CONFIGURATION_FOLD_H
