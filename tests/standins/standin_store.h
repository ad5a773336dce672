/*
 * calicoscale: standin_store.h
 * Stand-in for the platform's store: keyed topics over HTTP.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "drivers/caller_server.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace calicoscale {

/** Keeps keyed topics of one partition. It can be away, it can have forgotten its history, and it can have a rate. */
class standin_store {
	struct record {
		std::string key;
		std::string value; ///< Empty drops the key.
		std::optional<std::string> raw; ///< Bytes that another writer left instead; no key is known.
	};

	struct topic {
		std::vector<record> records;
		std::size_t first_kept = 0;
	};

	struct waiting_read {
		std::string topic_name;
		std::size_t offset = 0;
		std::shared_ptr<caller_exchange> exchange;
		instant ends_at{}; ///< Then it is answered without a record.
	};

	/** An answer that leaves once the answers before it and its own bytes have been sent at the rate. */
	struct queued_answer {
		std::shared_ptr<caller_exchange> exchange;
		int status = 0;
		std::vector<http_header> headers;
		std::string body;
		instant leaves_at{};
	};

	std::map<std::string, topic> _topics;
	std::map<std::string, topic> _copy;
	std::uint64_t _era = 0; ///< Told in all answers once it is not 0.
	std::list<waiting_read> _waiting;
	timer _wait_timer;
	double _rate = 0.0; ///< Bytes per second; 0 for no limit.
	duration _longest_queue{};
	std::deque<queued_answer> _queue; ///< In order of arrival.
	timer _queue_timer;
	std::uint64_t _bytes_given = 0;
	std::size_t _refusals = 0;
	bool _away = false;
	bool _mute = false;
	std::vector<std::shared_ptr<caller_exchange>> _unanswered; ///< Came while it was mute.
	std::size_t _calls = 0;
	std::map<std::string, std::size_t> _newest_reads; ///< By topic.
	std::size_t _page_size = 3;
	std::vector<std::string> _next_pages; ///< Answers to the next reads of the newest records of endpoints.
	std::unique_ptr<caller_server> _server;

	std::vector<http_header> _get_headers() const;
	void _on_exchange(const std::shared_ptr<caller_exchange> &p_exchange);
	void _answer_newest(const std::shared_ptr<caller_exchange> &p_exchange, const std::map<std::string, std::string> &p_query);
	bool _answer_read(const std::shared_ptr<caller_exchange> &p_exchange, const std::string &p_topic, std::size_t p_offset);
	void _append(const std::shared_ptr<caller_exchange> &p_exchange, const std::map<std::string, std::string> &p_query);
	void _answer_without_records(const std::shared_ptr<caller_exchange> &p_exchange, std::size_t p_offset);
	/** Refuses a call whose answer would wait too long. Returns whether it did. */
	bool _refuse_if_overloaded(caller_exchange &p_exchange);
	/** Answers at once, or in turn if there is a rate. */
	void _give(const std::shared_ptr<caller_exchange> &p_exchange, int p_status, const std::vector<http_header> &p_headers, std::string p_body);
	void _send_queued();
	void _wake();
	void _end_waits();

public:
	explicit standin_store(event_loop &p_loop);

	void put(const std::string &p_topic, const std::string &p_key, const std::string &p_value);
	void drop(const std::string &p_topic, const std::string &p_key) { put(p_topic, p_key, ""); }

	/** Leaves bytes in a topic that need not be a key and a value. */
	void put_raw(const std::string &p_topic, const std::string &p_bytes);

	/** The next read of the newest records of endpoints is answered so; called again, the one after it. */
	void answer_newest_once(const std::string &p_body) { _next_pages.push_back(p_body); }

	/**
	 * Sends the bodies of answers in order of arrival at this rate. A read that waits for a record takes its turn when there is one.
	 * A call whose answer would wait longer than p_longest_queue for those before it gets 503 at once, which takes no time.
	 * @param p_bytes_per_second 0 for no limit.
	 */
	void set_rate(double p_bytes_per_second, duration p_longest_queue);

	/** While away every call gets 503; waiting reads end so too. */
	void set_away(bool p_away);

	/** While mute, calls are taken and never answered, also afterwards; nor are the reads that wait when it begins. */
	void set_mute(bool p_mute);

	/** The reads that wait are never answered, as if each one's connection had gone silent. Later calls are answered. */
	void lose_waiting_reads();

	/** Calls that were never answered and whose callers still wait. */
	std::size_t count_unanswered() const;

	/** Drops the records before the newest; reads from there on get 410. */
	void forget_history();

	/** Entries that a page of a whole reading has. */
	void set_page_size(std::size_t p_size) { _page_size = p_size; }

	/** Copies all it holds. */
	void take_copy() { _copy = _topics; }

	/** Comes back from the copy: what was written since is gone, offsets are given out again, and the era is told and rises. */
	void come_back_from_copy();

	std::uint64_t get_end(const std::string &p_topic) const;

	std::optional<std::string> find(const std::string &p_topic, const std::string &p_key) const;
	std::size_t get_calls() const { return _calls; }

	/** Size in bytes of the bodies of all answers that were sent to callers which still waited. */
	std::uint64_t get_bytes_given() const { return _bytes_given; }

	/** Calls refused because their answers would have waited too long. */
	std::size_t get_refusals() const { return _refusals; }

	/** Reads of the newest records of a topic. */
	std::size_t count_reads_of(const std::string &p_topic) const;
	const network_address &get_address() const { return _server->get_address(); }
};

} // namespace calicoscale

#endif // STANDIN_STORE_H
