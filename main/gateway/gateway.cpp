/*
 * calicoscale: gateway.cpp
 * One gateway node on a platform with a keyed store: creates its services and connects them.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/gateway/gateway.h"

#include "drivers/activity_scope.h"
#include "drivers/http_status.h"
#include "servers/gateway/lookup_refusal.h"

#include <algorithm>

namespace calicoscale {

namespace {

constexpr duration TICK = std::chrono::milliseconds(100);
/**
 * After a process stall of at least this fraction (one divided by the constant) of the time in which a change must take effect, a
 * node requests what changed before it serves, as its data is older by the length of the stall.
 */
constexpr int APPLY_TIME_DIVISOR = 2;
/** Maximum wait for changes after a stall. Calls to the store take some milliseconds, or 0.2 s when it is slow. If the store is
 * unavailable, the node continues without it. */
constexpr duration MAX_CATCH_UP_TIME = std::chrono::milliseconds(300);
/** Time for the balancer to notice a stop: it checks readiness once a second and needs two failures. */
constexpr duration STOP_NOTICE_TIME = std::chrono::milliseconds(2600);
/** Time that a connection just opened by the balancer has to send its request. */
constexpr duration FIRST_REQUEST_TIME = std::chrono::milliseconds(300);
/** Part of the grace period reserved for the requests accepted last. Most requests take less. */
constexpr duration FINISH_TIME = std::chrono::milliseconds(3500);
/** Part of the grace period reserved for an orderly exit. */
constexpr duration STOP_MARGIN = std::chrono::milliseconds(300);
/** Time before STOP_MARGIN in which final answers reach their callers. */
constexpr duration FINAL_ANSWER_TIME = std::chrono::milliseconds(250);
constexpr duration SETTLE_INTERVAL = std::chrono::milliseconds(20);
/** Maximum time to learn of the fleet after a start. All nodes may start within a third of a second of each other, and a failed link is
 * retried after a quarter of a second. */
constexpr duration SETTLE_TIME = std::chrono::milliseconds(700);
/** Fraction of the VM's memory for data that callers have not read yet. */
constexpr double SLOW_READER_MEMORY_FRACTION = 0.25;
/** Fraction of the VM's memory for answers of endpoints that are not complete yet. */
constexpr double ANSWER_MEMORY_FRACTION = 0.25;
constexpr duration RETRY_AFTER = std::chrono::milliseconds(500);
/** By then the balancer knows that this node is stopping, so a caller that retries reaches another one. */
constexpr duration STOP_RETRY_AFTER = std::chrono::milliseconds(100);

caller_server_limits get_limits(const gateway_limits &p_limits) {
	return caller_server_limits{ p_limits.header_bytes, p_limits.body_bytes, p_limits.header_timeout, p_limits.idle_timeout };
}

std::string_view get_path(const http_head &p_head) {
	const std::string_view target(p_head.target);
	return target.substr(0, target.find_first_of("?#"));
}

} // namespace

gateway::gateway(event_loop &p_loop, const gateway_settings &p_settings) :
		_context(p_loop, p_settings),
		_configuration(_context),
		_endpoints(_context),
		_evacuations(_context, _configuration),
		_commitment_sync(_commitments),
		_fleet(_context, _configuration, _endpoints, _evacuations),
		_exchanges(_context, _fleet),
		_rollouts(_context, _configuration, _endpoints, _fleet),
		_guard(_context, _configuration, _fleet, _endpoints, _rollouts),
		_dispatcher(_context, _configuration, _fleet, _exchanges, _commitments, _guard),
		_services(p_settings.zone, _context.random.get_bits()),
		_engines("", _context.random.get_bits()),
		_engine_caches(p_settings.mechanisms),
		_prompts(_context, _fleet, _engine_caches),
		_crashes(_context, _fleet, _endpoints, _exchanges),
		_streams(_context, _fleet),
		_origins(_context, _configuration, _endpoints, _fleet),
		_resolver(_context, _streams, _origins),
		_repeats(p_settings.retries),
		_buffers(static_cast<std::size_t>(p_settings.memory_bytes * ANSWER_MEMORY_FRACTION)),
		_shared{ _context, _fleet, _endpoints, _exchanges, _dispatcher, _services, _engines, _repeats, _typical_times, _commitments, _engine_caches, _prompts, _crashes, _streams, _origins, _first_event_times, _guard, _buffers },
		_admission(_context, _shared, _evacuations),
		_callers(p_loop, p_settings.caller_address, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_exchange(p_exchange); }),
		_readiness(p_loop, p_settings.readiness_address, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_readiness(*p_exchange); }),
		_activities(_context),
		_store_report(_context),
		_tick_timer(p_loop, [this] { _tick(); }),
		_settle_timer(p_loop, [this] { _settle(); }) {
	if (p_settings.metrics_address) {
		_metrics_server = std::make_unique<caller_server>(p_loop, *p_settings.metrics_address, caller_server_limits(), [this](const std::shared_ptr<caller_exchange> &p_exchange) { _on_metrics(*p_exchange); });
	}
	_fleet.add_part(_commitment_sync.make_part());
	_fleet.add_part(_exchanges.make_section());
	_commitment_sync.set_capacity_source([this] { return _dispatcher.get_capacities(); });
	_callers.set_write_budget(static_cast<std::size_t>(p_settings.memory_bytes * SLOW_READER_MEMORY_FRACTION));
	_callers.set_on_slow_reader([this](const slow_reader &p_reader) { _on_slow_reader(p_reader); });
	if (p_settings.mechanisms.has(mechanism::CONNECTION_SHEDDING)) {
		_callers.accept_last([this](duration p_waited) { return _should_shed(p_waited); });
	}
	_callers.set_on_post_close_input([this](const post_close_input &p_crossed) { _on_post_close_input(p_crossed); });
	_dispatcher.set_on_run_interrupted([this](const interrupted_run &p_run) { _crashes.on_run_interrupted(p_run); });
	_stall_connection = _context.loop.stalled().connect([this](const process_stall &p_hold_up) { _on_stall(p_hold_up); });
	_fleet.reachability_changed().connect([this](const std::set<std::string> &p_zones) { _on_reach_changed(p_zones); });
	_configuration.changed().connect([this] { _on_configuration(); });
	_endpoints.changed().connect([this] { _on_endpoints(); });
	_evacuations.changed().connect([this](const evacuation_change &p_change) { _on_evacuation(p_change); });
	for (router *choices : { &_services, &_engines }) {
		choices->set_limit([this](const endpoint_identity &p_endpoint, instant p_now) { return _guard.may_send(p_endpoint, sender_share::SHARE, p_now); });
	}
	router_settings routing;
	routing.connect_failures_to_eject = 1;
	if (!p_settings.mechanisms.has(mechanism::EJECTION)) {
		routing.max_ejected_share = 0.0;
	}
	_engines.set_settings(routing);
	_services.set_settings(routing);
}

gateway::~gateway() {
	_stall_connection.disconnect();
}

void gateway::start() {
	_context.log.write(log_line("started").add("vm", _context.settings.vm).add("zone", _context.settings.zone).add("callers", to_string(_callers.get_address())).add("link", to_string(get_link_address())).add("incarnation", static_cast<long long>(_context.incarnation)).add("wall_ms", static_cast<long long>(event_loop::wall())));
	for (std::size_t i = 0; i < static_cast<std::size_t>(mechanism::COUNT); i++) {
		if (!_context.settings.mechanisms.has(static_cast<mechanism>(i))) {
			_context.log.write(log_line("switched_off").add("mechanism", get_name(static_cast<mechanism>(i))));
		}
	}
	_configuration.start();
	_endpoints.start();
	_fleet.start();
	_repeats.set_part(_fleet.get_own_part(), event_loop::now());
	_dispatcher.start();
	_crashes.start();
	_activities.start();
	_store_report.start();
	_tick_timer.set(TICK);
	_started_at = event_loop::now();
	_settle_timer.set(SETTLE_INTERVAL);
}

void gateway::_settle() {
	_update_readiness();
	if (!_settled) {
		// A node that starts without knowing the fleet would dispatch all pools itself and admit as much as all nodes together may.
		const bool knows_fleet = _fleet.knows_fleet();
		_settled = knows_fleet || !_context.settings.mechanisms.has(mechanism::HOLD_AT_START) || event_loop::now() - _started_at > SETTLE_TIME;
		if (_settled) {
			_context.log.write(log_line("settled").add("by", knows_fleet ? "knowledge" : "time").add("is_hub", _fleet.is_hub() ? "yes" : "no").add("live_nodes", static_cast<long long>(_fleet.get_live_count())).add("waiting", static_cast<long long>(_waiting.size())));
		}
	}
	_process_waiting();
	if (!_settled || !_waiting.empty()) {
		_settle_timer.set(SETTLE_INTERVAL);
	}
}

bool gateway::_must_wait(const gateway_route &p_route) const {
	// Without the other nodes' crash records, this node would send a request that crashes endpoints.
	if ((!_settled && !p_route.stages.empty()) || !_crashes.is_synchronized()) {
		return true;
	}
	return p_route.is_resumable && std::any_of(p_route.services.begin(), p_route.services.end(), [this](const service_share &p_share) { return _origins.must_wait(p_share.service); });
}

void gateway::_defer(const std::shared_ptr<caller_exchange> &p_exchange) {
	if (_waiting.empty()) {
		_settle_timer.set(SETTLE_INTERVAL);
	}
	_waiting.push_back(p_exchange);
}

void gateway::_process_waiting() {
	std::vector<std::shared_ptr<caller_exchange>> waiting;
	waiting.swap(_waiting);
	for (const std::shared_ptr<caller_exchange> &exchange : waiting) {
		if (!exchange->is_gone()) {
			_on_exchange(exchange);
		}
	}
}

bool gateway::_is_ready() const {
	return _phase == stop_phase::NONE && _configuration.get_current() != nullptr && _endpoints.is_loaded();
}

duration gateway::_get_idle_limit() const {
	return _configuration.get_current() ? _configuration.get_current()->limits.idle_timeout : caller_server_limits().idle_timeout;
}

void gateway::_on_configuration() {
	_callers.set_limits(get_limits(_configuration.get_current()->limits));
	_on_endpoints();
}

void gateway::_on_endpoints() {
	const std::vector<endpoint_listing> listings = _endpoints.get_directory().get_listings();
	const std::shared_ptr<const gateway_configuration> &configuration = _configuration.get_current();
	if (!configuration) {
		return;
	}
	std::vector<endpoint_listing> engines;
	std::vector<endpoint_listing> others;
	for (const endpoint_listing &listing : listings) {
		const gateway_service *service = configuration->find_service(listing.pool);
		const bool is_engine = service != nullptr && service->is_engine;
		(is_engine ? engines : others).push_back(listing);
		if (is_engine) {
			_engine_caches.set_start(listing.get_identity());
		}
	}
	_rollouts.set_endpoints(listings);
	_origins.set_listings(_endpoints.get_directory().get_entries());
	_guard.get_limits().set_listings(listings, *configuration, event_loop::now());
	_guard.tick(_settled);
	_engines.set_listings(engines);
	_services.set_listings(others);
	_dispatcher.set_endpoints(listings);
	_exchanges.set_endpoints(listings);
	const std::vector<endpoint_identity> engines_replaced = _apply_changes(_engines);
	const std::vector<endpoint_identity> others_replaced = _apply_changes(_services);
	// Runs that are ended here are continued at other endpoints, so all lists must be set before.
	_end_replaced(engines_replaced, _engines);
	_end_replaced(others_replaced, _services);
	_end_superseded();
}

void gateway::_on_evacuation(const evacuation_change &p_change) {
	const std::set<std::string> zones = _evacuations.get_zones();
	_engines.set_evacuated_zones(zones);
	_services.set_evacuated_zones(zones);
	_dispatcher.set_evacuated_zones(zones);
	if (!p_change.is_evacuated && _configuration.get_current()) {
		_guard.get_limits().on_zone_restored(p_change.zone, _endpoints.get_directory().get_listings(), *_configuration.get_current(), event_loop::now());
	}
	_on_endpoints();
}

void gateway::_end_superseded() {
	for (const endpoint_identity &earlier : _endpoints.get_directory().take_superseded()) {
		const std::size_t ended = _context.channels.end_replaced(earlier, duration::zero());
		_context.metrics.count("endpoints_superseded");
		_context.log.write(log_line("endpoint_superseded").add("endpoint", earlier.vm).add("incarnation", static_cast<long long>(earlier.incarnation)).add("ended_exchanges", static_cast<long long>(ended)));
	}
}

std::vector<endpoint_identity> gateway::_apply_changes(router &r_choices) {
	std::vector<endpoint_identity> replaced;
	for (const endpoint_change &change : r_choices.take_changes()) {
		const bool is_replaced = change.what == endpoint_change::kind::REPLACED;
		if (is_replaced) {
			replaced.push_back(change.endpoint);
		}
		if (is_replaced || change.what == endpoint_change::kind::REMOVED) {
			_context.channels.drop_idle(change.endpoint);
			_engine_caches.forget_engine(change.endpoint);
		}
		_context.log.write(log_line("endpoint_changed").add("endpoint", change.endpoint.vm).add("incarnation", static_cast<long long>(change.endpoint.incarnation)).add("service", change.pool).add("change", get_name(change.what)));
	}
	return replaced;
}

void gateway::_end_replaced(const std::vector<endpoint_identity> &p_replaced, const router &p_choices) {
	for (const endpoint_identity &earlier : p_replaced) {
		const endpoint_state *later = p_choices.find_vm(earlier.vm);
		if (later == nullptr) {
			continue;
		}
		const unix_milliseconds start = static_cast<unix_milliseconds>(later->listing.incarnation);
		const duration started_ago = std::chrono::milliseconds(event_loop::wall() - start);
		const std::size_t ended = _context.channels.end_replaced(earlier, started_ago);
		_context.log.write(log_line("endpoint_restarted").add("endpoint", earlier.vm).add("earlier", static_cast<long long>(earlier.incarnation)).add("incarnation", static_cast<long long>(start)).add("started_ago_ms", started_ago).add("ended_exchanges", static_cast<long long>(ended)));
	}
}

void gateway::_on_reach_changed(const std::set<std::string> &p_zones) {
	_engines.set_unreachable_zones(p_zones);
	_services.set_unreachable_zones(p_zones);
	_for_each_request([&p_zones](gateway_request &p_request) { p_request.on_reachability_changed(p_zones); });
}

void gateway::_refuse(caller_exchange &p_exchange, reason p_reason) {
	const int status = get_http_status(p_reason);
	std::vector<http_header> headers;
	if (status == http_status::UNAVAILABLE) {
		headers.push_back(make_retry_after(p_reason == reason::DRAINING ? STOP_RETRY_AFTER : RETRY_AFTER));
	}
	_context.metrics.on_request("", outcome{ verdict::NOT_RUN, p_reason }, event_loop::now() - p_exchange.received_at);
	_context.log.write_request(log_line("request_refused").add("request", read_caller_request(p_exchange.head).attempt).add("reason", get_name(p_reason)).add("status", static_cast<long long>(status)).add("version", static_cast<long long>(_configuration.get_version())).add("unconfirmed_ms", _configuration.get_unconfirmed_time(event_loop::now())));
	// The body names this refusal, so that callers can tell it from those for lack of capacity.
	p_exchange.reply(status, headers, p_reason == reason::CONFIGURATION_UNCONFIRMED ? std::string(get_name(p_reason)) : "");
}

void gateway::_refuse_unknown(caller_exchange &p_exchange, reason p_reason) {
	const duration unconfirmed = _configuration.get_unconfirmed_time(event_loop::now());
	_refuse(p_exchange, get_lookup_refusal(p_reason, unconfirmed, _context.settings.configuration_apply));
}

void gateway::_on_exchange(const std::shared_ptr<caller_exchange> &p_exchange) {
	const activity_scope scope(_context.loop, activity::CALLERS);
	if (_is_catching_up()) {
		_defer(p_exchange);
		return;
	}
	admitted_request request;
	request.exchange = p_exchange;
	request.configuration = _configuration.get_current();
	if (!request.configuration) {
		_refuse(*p_exchange, reason::NOT_READY);
		return;
	}
	const std::string *host = p_exchange->head.find("Host");
	request.route = request.configuration->find_route(host == nullptr ? "" : *host, get_path(p_exchange->head));
	if (request.route == nullptr) {
		_refuse_unknown(*p_exchange, reason::NOT_FOUND);
		return;
	}
	request.facts = read_caller_request(p_exchange->head);
	if (request.facts.attempt.empty() || request.facts.is_contradictory) {
		_refuse(*p_exchange, reason::BAD_REQUEST);
		return;
	}
	if (request.facts.key) {
		request.customer = request.configuration->find_customer(*request.facts.key);
	}
	if (request.customer == nullptr && request.configuration->has_customers() && !request.route->is_public) {
		_refuse_unknown(*p_exchange, reason::UNAUTHORIZED);
		return;
	}
	if (_must_wait(*request.route)) {
		_defer(p_exchange);
		return;
	}
	if (_refuse_if(_admission.judge_content(request), request)) {
		return;
	}
	request.service = choose_service(*request.route, _context.random.get_unit());
	request.stream_attempt = request.facts.attempt;
	request.homes = home_regions(request.route->homes, request.customer == nullptr ? std::vector<std::string>() : request.customer->homes);
	if (!stream_resolver::is_resumption(request)) {
		_admit(std::move(request));
	} else {
		_resume(std::move(request));
	}
}

void gateway::_resume(admitted_request p_request) {
	if (!p_request.facts.resumed_attempt.empty()) {
		p_request.stream_attempt = p_request.facts.resumed_attempt;
	}
	const std::shared_ptr<admitted_request> request = std::make_shared<admitted_request>(std::move(p_request));
	_resolver.resolve(*request, [this, request](const stream_resolution &p_resolution) {
		if (request->exchange->is_gone() || _refuse_if(_admission.judge_resumption(*request, p_resolution), *request)) {
			return;
		}
		_context.metrics.count("streams_resumed_by_callers");
		_context.log.write_request(log_line("stream_resumed").add("request", request->facts.attempt).add("stream", request->stream_attempt).add("service", request->service).add("stream_version", *request->stream_version).add("source", p_resolution.source).add("took_ms", p_resolution.took));
		_admit(std::move(*request));
	});
}

void gateway::_admit(admitted_request p_request) {
	if (!_refuse_if_stopping(p_request) && !_refuse_if(_admission.judge(p_request), p_request)) {
		_run(std::move(p_request));
	}
}

bool gateway::_refuse_if_stopping(const admitted_request &p_request) {
	if (_phase == stop_phase::NONE || _phase == stop_phase::LISTENING) {
		return false;
	}
	const duration timeout = p_request.route->timeout;
	const instant last_end = event_loop::now() + std::min(timeout, p_request.facts.remaining.value_or(timeout));
	if (last_end <= _stop_started + _context.settings.stop_grace - STOP_MARGIN - FINAL_ANSWER_TIME) {
		return false;
	}
	_refuse(*p_request.exchange, reason::DRAINING);
	return true;
}

bool gateway::_refuse_if(const std::optional<refusal> &p_refusal, const admitted_request &p_request) {
	if (!p_refusal) {
		return false;
	}
	const outcome result{ verdict::NOT_RUN, p_refusal->why };
	_context.metrics.on_request(p_request.route->name, result, event_loop::now() - p_request.exchange->received_at);
	if (stream_resolver::is_resumption(p_request)) {
		_context.metrics.count("streams_refused_" + std::string(get_name(result.why)));
	}
	log_line line("request_refused");
	line.add("request", p_request.facts.attempt).add("route", p_request.route->name).add("reason", get_name(result.why)).add("status", static_cast<long long>(http_status::UNAVAILABLE));
	p_refusal->describe(line);
	line.add("retry_after_ms", p_refusal->retry_after);
	_context.log.write_request(line);
	p_request.exchange->reply(http_status::UNAVAILABLE, { make_retry_after(p_refusal->retry_after) }, "");
	return true;
}

void gateway::_run(admitted_request p_request) {
	const std::uint64_t id = _next_request++;
	std::unique_ptr<gateway_request> made = std::make_unique<gateway_request>(_shared, std::move(p_request), [this, id] {
		const auto found = _requests.find(id);
		if (found == _requests.end()) {
			return;
		}
		// Destroyed later from the loop, as this hook is called by the request itself.
		std::shared_ptr<gateway_request> ended = std::move(found->second);
		_requests.erase(found);
		_context.loop.post([ended] {});
	});
	gateway_request &request = *made;
	_requests.emplace(id, std::move(made));
	request.start();
}

void gateway::_on_slow_reader(const slow_reader &p_reader) {
	_context.metrics.count("slow_readers_ended");
	_context.log.write(log_line("slow_reader_ended").add("untaken_bytes", static_cast<long long>(p_reader.untaken)).add("since_ms", p_reader.since).add("held_bytes", static_cast<long long>(p_reader.held)));
}

bool gateway::_should_shed(duration p_waited) {
	const instant now = event_loop::now();
	if (!_shedder.should_close(p_waited, now)) {
		return false;
	}
	_context.log.write_request(log_line("connection_shed").add("waited_ms", p_waited).add("late_for_ms", _shedder.get_late_time(now)).add("connections", static_cast<long long>(_callers.get_connection_count())).add("open", static_cast<long long>(_requests.size())));
	return true;
}

void gateway::_on_post_close_input(const post_close_input &p_crossed) {
	_context.metrics.count("bytes_crossed_end");
	_context.log.write_request(log_line("bytes_crossed_end").add("end", get_name(p_crossed.end)).add("since_end_ms", p_crossed.since_end).add("rested_ms", p_crossed.rested).add("bytes", static_cast<long long>(p_crossed.bytes)).add("read", p_crossed.was_read ? "yes" : "no").add("idle_limit_ms", _get_idle_limit()).add("version", static_cast<long long>(_configuration.get_version())));
}

void gateway::_on_readiness(caller_exchange &p_exchange) {
	p_exchange.reply(_is_ready() ? http_status::OK : http_status::UNAVAILABLE, {}, "");
}

void gateway::_on_metrics(caller_exchange &p_exchange) {
	_context.metrics.set_gauge("open_requests", static_cast<double>(_requests.size()));
	_context.metrics.set_gauge("bytes_held_for_callers", static_cast<double>(_callers.get_buffered_bytes()));
	_context.metrics.set_gauge("bytes_held_of_answers", static_cast<double>(_buffers.get_total()));
	_context.metrics.set_gauge("caller_connections", static_cast<double>(_callers.get_connection_count()));
	_context.metrics.set_gauge("rejected_requests", static_cast<double>(_callers.get_rejected()));
	for (const auto &[end, number] : _callers.get_ended()) {
		_context.metrics.set_gauge("caller_connections_ended_" + std::string(get_name(end)), static_cast<double>(number));
	}
	_context.metrics.set_gauge("opened_channels", static_cast<double>(_context.channels.get_opened()));
	_context.metrics.set_gauge("skipped_answers", static_cast<double>(_context.channels.get_skipped_answers()));
	_context.metrics.set_gauge("configuration_version", static_cast<double>(_configuration.get_version()));
	_context.metrics.set_gauge("configuration_unconfirmed_seconds", to_seconds(_configuration.get_unconfirmed_time(event_loop::now())));
	_guard.report();
	_rollouts.report();
	_streams.report();
	_origins.report();
	_exchanges.report();
	_context.metrics.set_gauge("stream_lookups_open", static_cast<double>(_resolver.get_open_count()));
	_context.metrics.set_gauge("evacuated_zones", static_cast<double>(_evacuations.get_zones().size()));
	const log_position evacuations_known = _evacuations.get_state().known;
	_context.metrics.set_gauge("evacuations_known_era", static_cast<double>(evacuations_known.era));
	_context.metrics.set_gauge("evacuations_known_offset", static_cast<double>(evacuations_known.offset));
	for (const auto &[zone, since] : _evacuations.get_since()) {
		_context.metrics.set_gauge("zone_evacuated_for_seconds_" + zone, to_seconds(event_loop::now() - since));
	}
	_context.metrics.set_gauge("store_calls", static_cast<double>(_context.store.get_call_count()));
	for (const auto &[kind, bytes] : _fleet.get_link().get_bytes_by_kind()) {
		_context.metrics.set_gauge("link_sent_bytes_" + std::string(kind), static_cast<double>(bytes));
	}
	_context.metrics.set_gauge("live_nodes", static_cast<double>(_fleet.get_live_count()));
	_context.metrics.set_gauge("dropped_log_lines", static_cast<double>(_context.log.get_dropped()));
	p_exchange.reply(http_status::OK, { http_header{ "Content-Type", "text/plain; version=0.0.4" } }, _context.metrics.write());
}

void gateway::_update_readiness() {
	const bool is_ready = _is_ready();
	if (is_ready != _was_ready) {
		_was_ready = is_ready;
		_context.log.write(log_line("readiness").add("ready", is_ready ? "yes" : "no").add("version", static_cast<long long>(_configuration.get_version())).add("endpoints", static_cast<long long>(_endpoints.get_directory().get_size())));
		_fleet.set_ready(is_ready);
	}
}

void gateway::_on_stall(const process_stall &p_hold_up) {
	_context.metrics.count("loop_held_up");
	_context.log.write(log_line("loop_held_up").add("late_ms", p_hold_up.late).add("by", get_name(p_hold_up.cause)).add("open", static_cast<long long>(_requests.size())).add("version", static_cast<long long>(_configuration.get_version())));
	_fleet.on_stall(p_hold_up.late);
	if (p_hold_up.late * APPLY_TIME_DIVISOR < _context.settings.configuration_apply || !_configuration.get_current()) {
		return;
	}
	_stalled_until = event_loop::now();
	_configuration.catch_up();
	_endpoints.catch_up();
}

bool gateway::_is_catching_up() const {
	if (_stalled_until == instant{} || event_loop::now() - _stalled_until > MAX_CATCH_UP_TIME) {
		return false;
	}
	return !_configuration.is_known_since(_stalled_until) || !_endpoints.is_known_since(_stalled_until);
}

void gateway::_tick() {
	_repeats.set_part(_fleet.get_own_part(), event_loop::now());
	_exchanges.tick(TICK);
	_update_readiness();
	_guard.tick(_settled);
	_streams.tick();
	_origins.tick();
	if (_phase != stop_phase::NONE) {
		_advance_stop();
	}
	_tick_timer.set(TICK);
}

void gateway::stop() {
	if (_phase != stop_phase::NONE) {
		return;
	}
	_stop_started = event_loop::now();
	_callers.announce_close();
	_exchanges.stop_accepting();
	_fleet.announce_leaving();
	_enter(stop_phase::LISTENING, "listening");
}

void gateway::_enter(stop_phase p_phase, const char *p_name) {
	_phase = p_phase;
	_context.log.write(log_line("stopping").add("phase", p_name).add("open", static_cast<long long>(_requests.size())).add("handed_work", static_cast<long long>(_dispatcher.get_accepted_count())));
}

void gateway::_advance_stop() {
	const duration since = event_loop::now() - _stop_started;
	const duration grace = _context.settings.stop_grace;
	if (_phase == stop_phase::LISTENING && since >= STOP_NOTICE_TIME) {
		_enter(stop_phase::ENDING, "ending");
	}
	const bool is_idle = _requests.empty() && _callers.get_open_requests() == 0 && _dispatcher.get_accepted_count() == 0 && _exchanges.get_carried_count() == 0;
	if (_phase == stop_phase::ENDING || _phase == stop_phase::FINISHING) {
		_callers.close_idle(FIRST_REQUEST_TIME);
	}
	if (_phase == stop_phase::ENDING) {
		if (is_idle || since >= grace - FINISH_TIME) {
			_callers.stop_listening();
			_enter(stop_phase::FINISHING, "finishing");
		}
	}
	if (_phase == stop_phase::FINISHING && since >= grace - STOP_MARGIN - FINAL_ANSWER_TIME) {
		_enter(stop_phase::ANSWERING, "answering");
		_answer_all();
	}
	const bool is_over = since >= grace - STOP_MARGIN;
	const bool may_end = _phase == stop_phase::FINISHING || _phase == stop_phase::ANSWERING;
	if (may_end && ((is_idle && _callers.get_connection_count() == 0) || is_over)) {
		_context.log.write(log_line("stopped").add("cut_off", static_cast<long long>(_requests.size())));
		_has_stopped = true;
		_context.loop.stop();
	}
}

void gateway::_for_each_request(const std::function<void(gateway_request &)> &p_hook) {
	// The hook may end a request, which removes it from the map.
	std::vector<std::uint64_t> ids;
	ids.reserve(_requests.size());
	for (const auto &[id, request] : _requests) {
		ids.push_back(id);
	}
	for (const std::uint64_t id : ids) {
		const auto found = _requests.find(id);
		if (found != _requests.end()) {
			p_hook(*found->second);
		}
	}
}

void gateway::_answer_all() {
	_for_each_request([](gateway_request &p_request) { p_request.end_for_stop(); });
}

void gateway::note_reload(const std::string &p_outcome) {
	_context.log.write(log_line("settings_reloaded").add("outcome", p_outcome));
}

} // namespace calicoscale
