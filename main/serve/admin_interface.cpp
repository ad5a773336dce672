/*
 * calicoscale: admin_interface.cpp
 * HTTP interface for operators and metrics scrapers, with its own address and key.
 *
 * Copyright (c) 2026 calicoscale contributors.
 * SPDX-License-Identifier: MIT
 */

#include "main/serve/admin_interface.h"

#include "core/digest.h"
#include "servers/configuration/configuration_parser.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <charconv>

namespace calicoscale {

namespace {

using json = nlohmann::json;

constexpr std::size_t ADMIN_BODY_BYTES = 2 * 1024 * 1024;
constexpr int ADMIN_IDLE_SECONDS = 60;
constexpr duration PUBLISH_TIMEOUT = std::chrono::seconds(8);
constexpr std::size_t MAX_EVENTS = 20000;
constexpr std::string_view BEARER = "Bearer ";
constexpr double MICROSECONDS_PER_SECOND = 1e6;

void reply_json(http_exchange &r_exchange, int p_status, const json &p_document) {
	r_exchange.reply(p_status, "application/json", p_document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

std::uint64_t read_number(const std::optional<std::string> &p_text, std::uint64_t p_default) {
	if (!p_text) {
		return p_default;
	}
	std::uint64_t value = p_default;
	std::from_chars(p_text->data(), p_text->data() + p_text->size(), value);
	return value;
}

json write_history_entry(const history_entry &p_entry) {
	json entry;
	entry["offset"] = p_entry.offset;
	entry["status"] = get_name(p_entry.status);
	entry["change_id"] = p_entry.change_id;
	entry["author"] = p_entry.author;
	entry["written_at"] = p_entry.written_at;
	entry["base"] = p_entry.base;
	entry["version_after"] = p_entry.version_after;
	if (!p_entry.detail.empty()) {
		entry["detail"] = p_entry.detail;
	}
	return entry;
}

double to_cpu_seconds(const timeval &p_time) {
	return static_cast<double>(p_time.tv_sec) + static_cast<double>(p_time.tv_usec) / MICROSECONDS_PER_SECOND;
}

json write_process_use() {
	rusage use{};
	getrusage(RUSAGE_SELF, &use);
	return { { "cpu_seconds", to_cpu_seconds(use.ru_utime) + to_cpu_seconds(use.ru_stime) }, { "peak_kilobytes", use.ru_maxrss } };
}

} // namespace

admin_interface::admin_interface(node_context &p_context, configuration_service &p_configuration) :
		_context(p_context),
		_configuration(p_configuration),
		_server(p_context.loop, p_context.settings.admin_address, http_server_limits{ 16 * 1024, ADMIN_BODY_BYTES, ADMIN_IDLE_SECONDS }, [this](std::unique_ptr<http_exchange> p_exchange) { _on_exchange(std::move(p_exchange)); }) {
}

void admin_interface::connect(fleet_service &p_fleet, request_door &p_door, request_service &p_requests, ledger_service &p_ledger, once_service &p_once, router &p_router, std::function<void()> p_on_drain) {
	_fleet = &p_fleet;
	_door = &p_door;
	_requests = &p_requests;
	_ledger = &p_ledger;
	_once = &p_once;
	_router = &p_router;
	_on_drain = std::move(p_on_drain);
}

const std::vector<admin_interface::route> &admin_interface::_get_routes() {
	static const std::vector<route> routes{
		{ false, "/admin/status", &admin_interface::_show_status },
		{ false, "/admin/timeline", &admin_interface::_show_timeline },
		{ false, "/admin/costs", &admin_interface::_show_costs },
		{ false, "/admin/configuration", &admin_interface::_show_configuration },
		{ false, "/admin/history", &admin_interface::_show_history },
		{ true, "/admin/configuration", &admin_interface::_publish },
		{ true, "/admin/drain", &admin_interface::_drain },
		{ true, "/admin/cut", &admin_interface::_cut },
	};
	return routes;
}

bool admin_interface::_is_allowed(const http_exchange &p_exchange) const {
	const std::string &key = _context.settings.admin_key;
	if (key.empty()) {
		return true;
	}
	const std::optional<std::string> header = p_exchange.find_header("Authorization");
	return header && equal_in_constant_time(*header, std::string(BEARER) + key);
}

void admin_interface::_on_exchange(std::unique_ptr<http_exchange> p_exchange) {
	http_exchange &exchange = *p_exchange;
	const std::string path = exchange.get_path();
	if (path == "/healthz") {
		exchange.reply(200, "text/plain", "ok\n");
		return;
	}
	if (path == "/readyz") {
		const bool is_ready = _door->is_ready();
		exchange.reply(is_ready ? 200 : 503, "text/plain", is_ready ? "ready\n" : "not ready\n");
		return;
	}
	if (path == "/metrics") {
		_show_metrics(exchange);
		return;
	}
	if (!_is_allowed(exchange)) {
		reply_json(exchange, 401, { { "error", "the Authorization header lacks the admin key" } });
		return;
	}
	for (const route &entry : _get_routes()) {
		if (path == entry.path && entry.is_post == exchange.is_post()) {
			(this->*entry.handle)(std::move(p_exchange));
			return;
		}
	}
	reply_json(exchange, 404, { { "error", "there is nothing at this path for this method" } });
}

void admin_interface::_show_metrics(http_exchange &r_exchange) {
	node_metrics &metrics = _context.metrics;
	metrics.set_gauge("running_requests", static_cast<double>(_requests->get_running_count()));
	metrics.set_gauge("open_settlements", static_cast<double>(_requests->get_settlement_count()));
	metrics.set_gauge("unflushed_ledger_rows", static_cast<double>(_ledger->get_unflushed_rows()));
	metrics.set_gauge("members", static_cast<double>(_fleet->get_members().get_members().size() + 1));
	metrics.set_gauge("links", static_cast<double>(_fleet->get_link().get_linked().size()));
	metrics.set_gauge("link_bytes_sent", static_cast<double>(_fleet->get_link().get_bytes_sent()));
	metrics.set_gauge("link_bytes_received", static_cast<double>(_fleet->get_link().get_bytes_received()));
	metrics.set_gauge("link_frames_rejected", static_cast<double>(_fleet->get_link().get_rejected_frames()));
	metrics.set_gauge("wrong_echoes_prevented", static_cast<double>(_context.endpoints.get_wrong_echoes()));
	metrics.set_gauge("late_answers_dropped", static_cast<double>(_requests->get_drops().late_answers));
	metrics.set_gauge("repeated_tokens_dropped", static_cast<double>(_requests->get_drops().repeated_tokens));
	metrics.set_gauge("token_gaps", static_cast<double>(_requests->get_drops().token_gaps));
	metrics.set_gauge("known_claims", static_cast<double>(_once->get_known_claims()));
	r_exchange.reply(200, "text/plain; version=0.0.4", metrics.write());
}

void admin_interface::_show_status(std::unique_ptr<http_exchange> p_exchange) {
	const configuration_fold &fold = _configuration.get_fold();
	json status;
	status["vm"] = _context.settings.vm;
	status["incarnation"] = _context.incarnation;
	status["zone"] = _context.settings.zone;
	status["region"] = _context.settings.region;
	status["ready"] = _door->is_ready();
	status["configuration"] = { { "version", fold.get_version() }, { "certain", fold.is_certain() }, { "position", fold.get_position() }, { "invalid_records", fold.get_invalid_count() } };
	status["platform"] = { { "log_answers", _configuration.is_log_answering() }, { "list_known", _fleet->is_list_known() }, { "list_doubted", _fleet->is_doubting_list() } };
	status["requests"] = { { "open", _door->get_open_count() }, { "running", _requests->get_running_count() } };
	status["ledger"] = { { "unflushed_rows", _ledger->get_unflushed_rows() }, { "open_settlements", _requests->get_settlement_count() } };
	status["links"] = { { "to", _fleet->get_link().get_linked() }, { "bytes_sent", _fleet->get_link().get_bytes_sent() }, { "bytes_received", _fleet->get_link().get_bytes_received() } };
	status["client"] = { { "bytes_sent", _context.client.get_bytes_sent() }, { "bytes_received", _context.client.get_bytes_received() } };
	status["process"] = write_process_use();
	json members = json::array();
	for (const auto &[vm, entry] : _fleet->get_members().get_members()) {
		const double silent = to_seconds(event_loop::now() - entry.last_contact_at);
		members.push_back({ { "vm", vm }, { "zone", entry.digest.zone }, { "state", get_name(entry.state) }, { "ready", entry.digest.ready }, { "configuration_version", entry.digest.configuration_version }, { "admin", to_string(entry.digest.admin) }, { "silent_seconds", silent } });
	}
	status["members"] = std::move(members);
	json pools = json::object();
	_router->for_each([&pools](const endpoint_state &p_endpoint) {
		json &pool = pools.emplace(p_endpoint.listing.pool, json::object()).first.value();
		const char *state = p_endpoint.leaving ? "leaving" : (p_endpoint.drained ? "drained" : (p_endpoint.ejected ? "ejected" : (p_endpoint.listed ? "open" : "unlisted")));
		pool[state] = pool.value(state, 0) + 1;
	});
	for (const auto &[pool, gate] : _requests->get_gates()) {
		pools[pool]["limit"] = gate.get_limit();
		pools[pool]["in_flight"] = gate.get_in_flight();
		pools[pool]["waiting"] = gate.get_waiting();
	}
	status["pools"] = std::move(pools);
	reply_json(*p_exchange, 200, status);
}

void admin_interface::_show_timeline(std::unique_ptr<http_exchange> p_exchange) {
	const std::string request = p_exchange->find_parameter("request").value_or("");
	const std::size_t most = std::min<std::size_t>(MAX_EVENTS, read_number(p_exchange->find_parameter("most"), MAX_EVENTS));
	json events = json::array();
	for (const timeline_event &event : _context.timeline.get_ring().find(request, most)) {
		events.push_back({ event.at.wall, event.at.counter, static_cast<int>(event.kind), event.request, event.subject, event.detail, event.elapsed_microseconds });
	}
	reply_json(*p_exchange, 200, { { "vm", _context.settings.vm }, { "incarnation", _context.incarnation }, { "overwritten", _context.timeline.get_ring().get_overwritten() }, { "events", events } });
}

void admin_interface::_show_costs(std::unique_ptr<http_exchange> p_exchange) {
	const std::shared_ptr<http_exchange> exchange = std::move(p_exchange);
	_ledger->sum([this, exchange](bool p_complete) {
		json rows = json::array();
		for (const auto &[key, sum] : _ledger->get_fold().get_totals()) {
			rows.push_back({ { "customer", key.customer }, { "pipeline", key.pipeline }, { "stage", key.stage }, { "pool", key.pool }, { "use", get_name(key.use) }, { "micro_units", sum.micro_units }, { "micro_cost", sum.micro_cost }, { "attempts", sum.attempts } });
		}
		const ledger_fold &fold = _ledger->get_fold();
		reply_json(*exchange, 200, { { "complete", p_complete }, { "entries", fold.get_entry_count() }, { "repeated", fold.get_repeated_count() }, { "malformed", fold.get_malformed_count() }, { "forgotten_by_log", _ledger->get_lost_records() }, { "rows", rows } });
	});
}

void admin_interface::_show_configuration(std::unique_ptr<http_exchange> p_exchange) {
	const configuration_fold &fold = _configuration.get_fold();
	if (fold.get_version() == 0) {
		reply_json(*p_exchange, 404, { { "error", "no configuration is in force" } });
		return;
	}
	reply_json(*p_exchange, 200, { { "version", fold.get_version() }, { "document", json::parse(fold.get_document()) } });
}

void admin_interface::_show_history(std::unique_ptr<http_exchange> p_exchange) {
	json entries = json::array();
	for (const history_entry &entry : _configuration.get_fold().get_history()) {
		entries.push_back(write_history_entry(entry));
	}
	reply_json(*p_exchange, 200, { { "entries", entries } });
}

void admin_interface::_publish(std::unique_ptr<http_exchange> p_exchange) {
	const std::string text = p_exchange->take_body();
	const std::uint64_t base = read_number(p_exchange->find_parameter("base"), _configuration.get_fold().get_version());
	const std::string author = p_exchange->find_parameter("author").value_or("");
	try {
		parse_configuration(text);
	} catch (const document_error &error) {
		json problems = json::array();
		for (const document_problem &problem : error.get_problems()) {
			problems.push_back({ { "place", problem.place }, { "found", problem.found }, { "expected", problem.expected } });
		}
		reply_json(*p_exchange, 400, { { "result", "rejected" }, { "problems", problems } });
		return;
	}
	const std::shared_ptr<http_exchange> exchange = std::move(p_exchange);
	_configuration.publish(text, base, author, PUBLISH_TIMEOUT, [exchange](const publication &p_publication) {
		json answer;
		answer["result"] = get_name(p_publication.result);
		answer["change_id"] = p_publication.change_id;
		answer["version_in_force"] = p_publication.version_in_force;
		if (p_publication.result == publish_result::ACCEPTED || p_publication.result == publish_result::OVERTAKEN) {
			answer["version"] = p_publication.fate.version_after;
			answer["base"] = p_publication.fate.base;
		}
		if (!p_publication.fate.detail.empty()) {
			answer["detail"] = p_publication.fate.detail;
		}
		const bool is_accepted = p_publication.result == publish_result::ACCEPTED;
		const bool is_overtaken = p_publication.result == publish_result::OVERTAKEN;
		reply_json(*exchange, is_accepted ? 200 : (is_overtaken ? 409 : 503), answer);
	});
}

void admin_interface::_drain(std::unique_ptr<http_exchange> p_exchange) {
	reply_json(*p_exchange, 202, { { "draining", true } });
	_on_drain();
}

void admin_interface::_cut(std::unique_ptr<http_exchange> p_exchange) {
	if (!_context.settings.allow_fault_injection) {
		reply_json(*p_exchange, 403, { { "error", "the settings do not allow fault injection" } });
		return;
	}
	const json body = json::parse(p_exchange->take_body(), nullptr, false);
	if (!body.is_object()) {
		reply_json(*p_exchange, 400, { { "error", "the body must be {\"vms\": [...], \"platform\": bool}" } });
		return;
	}
	const bool platform = body.value("platform", false);
	_fleet->set_cut(body.value("vms", std::vector<std::string>()), platform);
	_ledger->set_platform_cut(platform);
	_once->set_platform_cut(platform);
	reply_json(*p_exchange, 200, { { "cut", true } });
}

} // namespace calicoscale
