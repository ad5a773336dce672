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

	/** Counts a caller's request that has terminated and records its duration. */
	void on_request(const std::string &p_pipeline, const outcome &p_result, duration p_elapsed);

	/** Counts an attempt at an endpoint that has terminated. */
	void on_attempt(const std::string &p_pool, const outcome &p_result);

	/** Records the duration of a completed stage, queueing time included. */
	void on_stage(const std::string &p_pool, duration p_elapsed);

	/**
	 * Counts the bytes of a pool's results that another pool or service has read. Both zones are label values; the platform
	 * assigns them and has only a few, which bounds the number of time series.
	 */
	void on_results_read(const std::string &p_from_pool, const std::string &p_to, const std::string &p_from_zone, const std::string &p_to_zone, double p_bytes);

	/** Adds `p_number` to the counter of the named event; numbers that aren't positive are ignored. */
	void count(const std::string &p_event, double p_number = 1.0);

	/** Sets the gauge with this name. */
	void set_gauge(const std::string &p_name, double p_value);

	/** Returns all metrics in the Prometheus text format. */
	std::string write() const;
};

} // namespace calicoscale

#endif // NODE_METRICS_H
