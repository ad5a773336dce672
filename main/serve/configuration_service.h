/*
 * calicoscale: configuration_service.h
 * Keeps this node's configuration current: reads the log, publishes, writes checkpoints.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CONFIGURATION_SERVICE_H
#define CONFIGURATION_SERVICE_H

#include "main/serve/node_context.h"
#include "servers/configuration/change_publisher.h"
#include "servers/configuration/configuration_fold.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <vector>

namespace calicoscale {

/** Outcome of a publication, reported to the operator. */
struct publication {
	publish_result result = publish_result::PENDING;
	history_entry fate;
	std::string change_id;
	std::uint64_t version_in_force = 0;
};

/**
 * Runs configuration_fold: polls the log, publishes changes, writes checkpoints and signals new versions.
 * The poll interval grows with the number of nodes that share the polling.
 */
class configuration_service {
	struct open_publication {
		change_record record;
		change_publisher publisher;
		std::function<void(const publication &)> hook;
	};

	node_context &_context;
	configuration_fold _fold;
	timer _poll_timer;
	timer _checkpoint_timer;
	std::vector<std::unique_ptr<open_publication>> _publications;
	std::size_t _fleet_size = 1;
	bool _is_reading = false;
	bool _log_answers = false;
	bool _platform_cut = false;
	std::uint64_t _reported_invalid_count = 0;
	std::uint64_t _published = 0;
	random_source _random;
	sigc::signal<void()> _version_in_force;

	void _read();
	void _on_read(const std::optional<log_read> &p_read);
	duration _get_poll_interval();
	void _advance(open_publication &r_publication);
	void _append(open_publication &r_publication);
	void _advance_publications();
	void _note_change(bool p_version_increased, const std::string &p_source);
	void _maybe_checkpoint();

public:
	explicit configuration_service(node_context &p_context);

	/** Starts polling the log and checking whether a checkpoint is due. */
	void start();

	/** Sets the number of nodes that share the polling. */
	void set_fleet_size(std::size_t p_size) { _fleet_size = p_size; }

	/** Applies a snapshot received from a peer. */
	void apply_snapshot(const configuration_snapshot &p_snapshot, const std::string &p_peer);

	/** Publishes a document based on version `p_base`. The hook is called once; the publication gives up after `p_within`. */
	void publish(const std::string &p_document, std::uint64_t p_base, const std::string &p_author, duration p_within, std::function<void(const publication &)> p_hook);

	/** Simulates loss of the platform's log for failure tests: while set, the log is neither read nor appended to. */
	void set_platform_cut(bool p_cut) { _platform_cut = p_cut; }

	/** Emitted when the version in force has increased. */
	sigc::signal<void()> &version_in_force() { return _version_in_force; }

	const configuration_fold &get_fold() const { return _fold; }
	bool is_log_answering() const { return _log_answers; }
};

} // namespace calicoscale

#endif // CONFIGURATION_SERVICE_H
