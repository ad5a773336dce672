/*
 * calicoscale: node_metrics.cpp
 * Counters and histograms of a node, for /metrics.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace calicoscale {

namespace {

const prometheus::Histogram::BucketBoundaries &get_buckets() {
	static const prometheus::Histogram::BucketBoundaries buckets{ 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0 };
	return buckets;
}

} // namespace

node_metrics::node_metrics() :
		_registry(std::make_shared<prometheus::Registry>()),
		_requests(prometheus::BuildCounter().Name("calicoscale_requests_total").Help("Requests of callers by pipeline, verdict and reason.").Register(*_registry)),
		_attempts(prometheus::BuildCounter().Name("calicoscale_attempts_total").Help("Attempts at endpoints by pool, verdict and reason.").Register(*_registry)),
		_events(prometheus::BuildCounter().Name("calicoscale_events_total").Help("Other events by name.").Register(*_registry)),
		_request_seconds(prometheus::BuildHistogram().Name("calicoscale_request_seconds").Help("Time from accepting a request to its end, by pipeline.").Register(*_registry)),
		_stage_seconds(prometheus::BuildHistogram().Name("calicoscale_stage_seconds").Help("Time of completed stages, queueing included, by pool.").Register(*_registry)),
		_gauges(prometheus::BuildGauge().Name("calicoscale_state").Help("State of the node by name.").Register(*_registry)),
		_result_bytes(prometheus::BuildCounter().Name("calicoscale_result_bytes_total").Help("Bytes of stage results read, each piece counted with all its inputs, by pools and zones.").Register(*_registry)) {
}

void node_metrics::on_request(const std::string &p_pipeline, const outcome &p_result, duration p_elapsed) {
	const std::string verdict_name(get_name(p_result.what));
	const std::string reason_name(get_name(p_result.why));
	_requests.Add({ { "pipeline", p_pipeline }, { "verdict", verdict_name }, { "reason", reason_name } }).Increment();
	_request_seconds.Add({ { "pipeline", p_pipeline } }, get_buckets()).Observe(to_seconds(p_elapsed));
}

void node_metrics::on_attempt(const std::string &p_pool, const outcome &p_result) {
	const std::string verdict_name(get_name(p_result.what));
	const std::string reason_name(get_name(p_result.why));
	_attempts.Add({ { "pool", p_pool }, { "verdict", verdict_name }, { "reason", reason_name } }).Increment();
}

void node_metrics::on_stage(const std::string &p_pool, duration p_elapsed) {
	_stage_seconds.Add({ { "pool", p_pool } }, get_buckets()).Observe(to_seconds(p_elapsed));
}

void node_metrics::on_results_read(const std::string &p_from_pool, const std::string &p_to, const std::string &p_from_zone, const std::string &p_to_zone, double p_bytes) {
	_result_bytes.Add({ { "from", p_from_pool }, { "to", p_to }, { "from_zone", p_from_zone }, { "to_zone", p_to_zone } }).Increment(p_bytes);
}

void node_metrics::count(const std::string &p_event, double p_number) {
	if (p_number > 0.0) {
		_events.Add({ { "event", p_event } }).Increment(p_number);
	}
}

void node_metrics::set_gauge(const std::string &p_name, double p_value) {
	_gauges.Add({ { "name", p_name } }).Set(p_value);
}

std::string node_metrics::write() const {
	return prometheus::TextSerializer().Serialize(_registry->Collect());
}

} // namespace calicoscale
