/*
 * calicoscale: node_metrics.h
 * Counters and histograms of a node, for /metrics.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#ifndef NODE_METRICS_H
#define NODE_METRICS_H

#include "core/time.h"
#include "core/verdict.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace calicoscale {

/** All metrics of one node. */
class node_metrics {
	std::shared_ptr<prometheus::Registry> _registry;
	prometheus::Family<prometheus::Counter> &_requests;
	prometheus::Family<prometheus::Counter> &_attempts;
	prometheus::Family<prometheus::Counter> &_events;
	prometheus::Family<prometheus::Histogram> &_request_seconds;
	prometheus::Family<prometheus::Histogram> &_stage_seconds;
	prometheus::Family<prometheus::Gauge> &_gauges;
	prometheus::Family<prometheus::Counter> &_result_bytes;

public:
	node_metrics();

	/** A caller's request ended. */
	void on_request(const std::string &p_pipeline, const outcome &p_result, duration p_elapsed);

	/** An attempt ended. */
	void on_attempt(const std::string &p_pool, const outcome &p_result);

	/** A stage of a request was completed. */
	void on_stage(const std::string &p_pool, duration p_elapsed);

	/** Results of a pool were read by another pool or service; both zones are names of the platform's, and few. */
	void on_results_read(const std::string &p_from_pool, const std::string &p_to, const std::string &p_from_zone, const std::string &p_to_zone, double p_bytes);

	/** Counts something that happened, by name. */
	void count(const std::string &p_event, double p_number = 1.0);

	/** Sets a gauge, by name. */
	void set_gauge(const std::string &p_name, double p_value);

	/** Text form for scrapers. */
	std::string write() const;
};

} // namespace calicoscale

#endif // NODE_METRICS_H
