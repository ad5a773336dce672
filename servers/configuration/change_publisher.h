/*
 * calicoscale: change_publisher.h
 * Publishing one change: append until its fate is read back.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef CHANGE_PUBLISHER_H
#define CHANGE_PUBLISHER_H

#include "servers/configuration/configuration_fold.h"

namespace calicoscale {

/** What an append to the log came to. */
enum class append_result {
	DONE,
	NOT_DONE, ///< The log refused, or was never reached.
	UNKNOWN, ///< It may have taken effect; its answer was lost.
};

/** What to do next about a change. */
enum class publish_step {
	APPEND,
	READ,
	FINISHED,
};

/** How a publication ended. */
enum class publish_result {
	PENDING,
	ACCEPTED,
	OVERTAKEN,
	REJECTED,
	NOT_PUBLISHED, ///< The log was never reached; nothing changed.
	UNKNOWN, ///< Time ran out while the append may still take effect.
};

/** Name of a result, e.g. "not_published". */
std::string_view get_name(publish_result p_result);

/**
 * Decides the steps of publishing one change. A lost answer is settled by reading; the append is repeated only under
 * the same change id, and as versions never recur at most one copy can be accepted.
 */
class change_publisher {
	std::string _change_id;
	instant _give_up_at;
	bool _may_be_on_log = false;
	bool _is_appending = false;
	instant _append_again_at{};
	publish_result _result = publish_result::PENDING;
	history_entry _fate;

public:
	change_publisher(std::string p_change_id, instant p_give_up_at);

	/** What to do now. */
	publish_step get_step(instant p_now);

	/** The append was handed to the log. */
	void on_append_started();

	/** An append ended. */
	void on_append_ended(append_result p_result, instant p_now);

	/** The fold has moved; looks for the change. */
	void on_fold_moved(const configuration_fold &p_fold);

	publish_result get_result() const { return _result; }

	/** The history line of the change, once its fate is known. */
	const history_entry &get_fate() const { return _fate; }

	const std::string &get_change_id() const { return _change_id; }
};

} // namespace calicoscale

#endif // CHANGE_PUBLISHER_H
