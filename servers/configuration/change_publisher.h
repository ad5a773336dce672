/*
 * calicoscale: change_publisher.h
 * Publishes one configuration change: appends it until its result is read back from the log.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CHANGE_PUBLISHER_H
#define CHANGE_PUBLISHER_H

#include "servers/configuration/configuration_fold.h"

namespace calicoscale {

/** Result of an append to the log. */
enum class append_result {
	DONE,
	NOT_DONE, ///< The log refused the record or was never reached.
	UNKNOWN, ///< The answer was lost; the append may have taken effect.
};

/** Next step of a publication. */
enum class publish_step {
	APPEND,
	READ,
	FINISHED,
};

/** Result of a publication. */
enum class publish_result {
	PENDING,
	ACCEPTED,
	OVERTAKEN,
	REJECTED,
	NOT_PUBLISHED, ///< No append took effect; the change isn't on the log.
	UNKNOWN, ///< The time limit passed while the change may still take effect.
};

/** Name of a result, e.g. "not_published". */
std::string_view get_name(publish_result p_result);

/**
 * Decides the steps of publishing one change. After a lost answer, reading the log shows whether the change was
 * appended. The append is repeated under the same change id only. No version number occurs twice, so at most one copy of
 * the change has the current version as its base and is accepted.
 */
class change_publisher {
	std::string _change_id;
	instant _give_up_at;
	bool _may_be_on_log = false;
	bool _is_appending = false;
	instant _next_append_at{};
	publish_result _result = publish_result::PENDING;
	history_entry _entry;

public:
	change_publisher(std::string p_change_id, instant p_give_up_at);

	/** Returns the next step; ends the publication once the time limit has passed. */
	publish_step get_step(instant p_now);

	/** Records that an append was sent to the log. */
	void on_append_started();

	void on_append_ended(append_result p_result, instant p_now);

	/** Looks for the change in p_fold's history; called after p_fold has applied records. */
	void on_fold_moved(const configuration_fold &p_fold);

	publish_result get_result() const { return _result; }

	/** History entry of the change; set once the change was read back from the log. */
	const history_entry &get_fate() const { return _entry; }

	const std::string &get_change_id() const { return _change_id; }
};

} // namespace calicoscale

#endif // CHANGE_PUBLISHER_H
