/*
 * calicoscale: promise_book.h
 * Knows every request of a soak and checks what became of it.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef PROMISE_BOOK_H
#define PROMISE_BOOK_H

#include "drivers/http_reader.h"
#include "tests/soak/disturbance_log.h"
#include "tests/soak/soak_message.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace calicoscale {

/** One request, as its caller and the endpoints see it. */
struct soak_attempt {
	std::string id;
	request_kind kind = request_kind::SAFE;
	std::size_t node = 0;
	std::size_t node_life = 0;
	bool is_proxied = false;
	std::uint64_t probed_version = 0;
	std::string target;
	std::string body;
	instant begun_at{};
	instant sent_at{}; ///< Its last byte was handed to the kernel; zero until then.
	instant give_up_at{};
	std::vector<std::size_t> run_by; ///< Endpoints that began to work on it.
	instant run_at{}; ///< When the last of them did.
	int status = 0; ///< Of its answer.
	bool has_ended = false;
	instant ended_at{};
	std::string stream; ///< The attempt that brought the first event of the stream that it resumes; empty if it begins anew.
	int resumed_after = 0; ///< Number of the last event that its caller had before.
	std::string version; ///< That the stream's events name.
	int events = 0; ///< Whole events that came in its answer.
	bool is_version_serving = true; ///< Two endpoints of the stream's version served from its begin to its end.
	bool is_dropped = false; ///< Its caller left it to resume the stream at another node.

	bool is_sent() const { return sent_at != instant(); }
};

/** How a connection ended under a request. */
enum class unanswered_end {
	ORDERLY, ///< Closed, and no reset told that the request was not read.
	RESET,
	NONE, ///< It still stood when the caller gave the request up.
};

/** A promise that was broken. */
struct broken_promise {
	promise what = promise::COUNT;
	std::string detail;
};

/** Judges by what callers, endpoints and the operator of the soak see, and by nothing that the nodes tell of themselves. */
class promise_book {
	struct endpoint_state {
		std::optional<instant> leaving_since;
		std::size_t runs = 0;
	};

	struct version_seen {
		std::uint64_t version = 0;
		instant at{};
	};

	disturbance_log &_disturbances;
	std::string _prefix;
	std::unordered_map<std::string, std::shared_ptr<soak_attempt>> _attempts;
	std::vector<std::string> _order; ///< Ids as they came.
	std::map<std::size_t, endpoint_state> _endpoints;
	std::map<std::pair<std::size_t, std::size_t>, version_seen> _seen; ///< By node and life.
	std::map<std::size_t, std::string> _serving; ///< Version of each endpoint that takes requests.
	std::uint64_t _version = 0;
	instant _confirmed_at{};
	std::vector<broken_promise> _broken;
	std::map<std::string, std::size_t> _excused;
	std::map<std::string, std::size_t> _ends;

	std::vector<const soak_attempt *> _find_calm(instant p_from, instant p_to) const;
	check_scope _make_scope(const soak_attempt &p_attempt, instant p_now) const;
	void _check_probe(const soak_attempt &p_attempt, bool p_is_unknown, std::size_t p_life, instant p_now);
	bool _is_serving(const std::string &p_version) const;
	/** Counts the events of an answer and checks their versions. */
	void _read_events(soak_attempt &r_attempt, std::string_view p_body);
	void _end(soak_attempt &r_attempt, instant p_now);
	bool _is_in_touch(const soak_attempt &p_attempt) const;
	void _check_success(const soak_attempt &p_attempt, const http_head &p_head, const std::string &p_body);

public:
	promise_book(disturbance_log &p_disturbances, std::string p_prefix);

	std::shared_ptr<soak_attempt> open(request_kind p_kind, std::size_t p_node, std::size_t p_life, bool p_is_proxied, instant p_now);
	/** A request of the newest version's route, or of the one before. */
	std::shared_ptr<soak_attempt> open_probe(std::uint64_t p_version, std::size_t p_node, std::size_t p_life, instant p_now);

	/** A request that resumes the stream of a broken or dropped one. */
	std::shared_ptr<soak_attempt> open_resumption(const soak_attempt &p_broken, std::size_t p_node, std::size_t p_life, bool p_is_proxied, instant p_now);

	/** An endpoint begins to work on a request. */
	void on_run(std::size_t p_endpoint, const http_head &p_head, const std::string &p_body, instant p_now);
	/** A request came to an address that a spoilt record names. */
	void on_trapped(const std::string &p_id);

	/** @param p_life The node's life as the answer came. */
	void on_answer(soak_attempt &r_attempt, const http_head &p_head, const std::string &p_body, std::size_t p_life, instant p_now);
	/** @param p_body What came of the body. */
	void on_no_answer(soak_attempt &r_attempt, unanswered_end p_end, bool p_has_begun, const std::string &p_body, instant p_now);
	/** The caller left before the answer, or before its end. */
	void on_left(soak_attempt &r_attempt, const std::string &p_body, instant p_now);
	/** Bytes came where no answer was due. */
	void on_surplus(std::size_t p_node, std::string_view p_bytes);

	void on_configured(std::uint64_t p_version, instant p_now);
	void on_leaving(std::size_t p_endpoint, instant p_now);
	void on_started_again(std::size_t p_endpoint);
	/** Sets the version of an endpoint that takes requests; empty if it takes none. */
	void set_serving(std::size_t p_endpoint, const std::string &p_version) { _serving[p_endpoint] = p_version; }
	/** Checks an endpoint that came back at a time, from the nodes of its zone. */
	void check_returned(std::size_t p_endpoint, const std::vector<std::size_t> &p_nodes, instant p_since, instant p_now);

	/**
	 * Whether enough requests were begun from a moment on, and not while the soak was slow, to check that they were served. Counts
	 * those whose deadline is over, as a slow turn may still meet the others.
	 * @param p_known_to Up to when slow turns are noted.
	 */
	bool can_check_served(instant p_from, instant p_known_to) const;
	/** Checks that requests begun in a span without trouble were served; those met by a slow soak say nothing. */
	void check_served(instant p_from, instant p_to);

	/** Checks how many of the streams that callers resumed went on. */
	void check_resumptions();

	/** Notes a broken promise, unless the record shows an excuse from the table. */
	void judge(promise p_promise, const check_scope &p_scope, const std::string &p_detail);

	std::uint64_t get_version() const { return _version; }
	const std::vector<broken_promise> &get_broken() const { return _broken; }
	const std::map<std::string, std::size_t> &get_excused() const { return _excused; }
	/** How many requests ended in what. */
	const std::map<std::string, std::size_t> &get_ends() const { return _ends; }
	std::size_t get_count() const { return _order.size(); }
	std::shared_ptr<soak_attempt> find(const std::string &p_id) const;
	/** The id of an earlier request, for an endpoint that mistakes one for another; empty if there is none. */
	std::string find_other(const std::string &p_id) const;
};

} // namespace calicoscale

#endif // PROMISE_BOOK_H
