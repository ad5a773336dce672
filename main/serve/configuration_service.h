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

/** How a publication ended, for the operator. */
struct publication {
	publish_result result = publish_result::PENDING;
	history_entry fate;
	std::string change_id;
	std::uint64_t version_in_force = 0;
};

/** Carries configuration_fold: polls the log, less often the more nodes share the polling, and relays by signal. */
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
	std::uint64_t _invalid_seen = 0;
	std::uint64_t _published = 0;
	random_source _random;
	sigc::signal<void()> _version_in_force;

	void _read();
	void _on_read(const std::optional<log_read> &p_read);
	duration _get_poll_interval();
	void _advance(open_publication &r_publication);
	void _append(open_publication &r_publication);
	void _advance_publications();
	void _note_change(bool p_rose, const std::string &p_source);
	void _maybe_checkpoint();

public:
	explicit configuration_service(node_context &p_context);

	/** Begins to read. */
	void start();

	/** Tells how many nodes share the polling. */
	void set_fleet_size(std::size_t p_size) { _fleet_size = p_size; }

	/** Takes in what a peer told. */
	void apply_snapshot(const configuration_snapshot &p_snapshot, const std::string &p_peer);

	/** Publishes a document built on a version; the hook is called once, within the time given. */
	void publish(const std::string &p_document, std::uint64_t p_base, const std::string &p_author, duration p_within, std::function<void(const publication &)> p_hook);

	/** Cuts this node off from the platform, for failure tests. */
	void set_platform_cut(bool p_cut) { _platform_cut = p_cut; }

	/** Emitted when the version in force rose. */
	sigc::signal<void()> &version_in_force() { return _version_in_force; }

	const configuration_fold &get_fold() const { return _fold; }
	bool is_log_answering() const { return _log_answers; }
};

} // namespace calicoscale

#endif // CONFIGURATION_SERVICE_H
