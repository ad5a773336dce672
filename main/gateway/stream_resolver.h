/*
 * calicoscale: stream_resolver.h
 * Finds out which version began a stream that a caller resumes.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STREAM_RESOLVER_H
#define STREAM_RESOLVER_H

#include "main/gateway/admitted_request.h"
#include "main/gateway/origin_sync.h"
#include "main/gateway/stream_sync.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace calicoscale {

/** What is known of a stream that a caller resumes. */
struct stream_resolution {
	std::optional<stream_origin> origin; ///< Empty if unknown; the stream must not be resumed then.
	lookup_state lookup = lookup_state::OPEN; ///< How the lookup ended. UNANSWERED if the store did not answer either.
	std::string source; ///< The node that had the record, or what else shows the origin.
	duration took = duration::zero();
};

/**
 * Looks up streams at this node, then at the nodes that store their records. Without a record, a stream's origin is known only if by the
 * store all streams of its service began at a single version; see origin_sync.
 */
class stream_resolver {
	using resolution_hook = std::function<void(const stream_resolution &)>;

	/** One stream to be resumed. */
	struct open_lookup {
		stream_key key;
		std::string service; ///< The only service of the route; empty if there are several.
		instant started_at;
		instant store_deadline; ///< Until when to wait for the store.
		stream_lookup lookup;
		resolution_hook on_resolved;
	};

	gateway_context &_context;
	stream_sync &_streams;
	origin_sync &_origins;
	std::map<std::uint64_t, open_lookup> _open;
	std::uint64_t _next_id = 1;
	timer _check_timer;

	void _ask(std::uint64_t p_id, open_lookup &r_lookup, lookup_round p_round);
	void _on_answered(const std::string &p_vm, const stream_answer_message &p_message);
	/** Ends a lookup if its resolution is known. */
	void _check(std::uint64_t p_id);
	void _check_all();
	/** Returns the resolution if it is certain now, or if there is no time left to find it. */
	std::optional<stream_resolution> _conclude(const open_lookup &p_lookup);
	/** The same for a stream of which no node has a record. */
	std::optional<stream_resolution> _conclude_without_record(const open_lookup &p_lookup, instant p_now);

public:
	stream_resolver(gateway_context &p_context, stream_sync &p_streams, origin_sync &p_origins);

	/** Bounds the memory and messages that callers who resume unknown streams can cause; further streams count as unknown. */
	static constexpr std::size_t MAX_LOOKUPS = 1024;

	/** Whether a request resumes a stream of an earlier attempt. */
	static bool is_resumption(const admitted_request &p_request);

	/** Finds the origin of the stream that a request resumes. The hook is called once, possibly before this function returns. */
	void resolve(const admitted_request &p_request, resolution_hook p_on_resolved);

	std::size_t get_open_count() const { return _open.size(); }
};

} // namespace calicoscale

#endif // STREAM_RESOLVER_H
