#!/usr/bin/env bash
# Breaks one mechanism at a time in a scratch copy and checks that a test notices. Prints a table for docs/FAULTS.md.
# With an argument, a regular expression, only the mutations of files that match it are tried.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
only=${1:-.}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export RC_PARAMS="seed=20261202 max_success=1000"

git -C "$root" ls-files | (cd "$root" && cpio -pdm --quiet "$scratch/tree")
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja >/dev/null
status=0

echo "| mechanism | how it was broken | test program | noticed by |"
echo "| --- | --- | --- | --- |"

# mutate MECHANISM WHAT FILE FROM TO TEST
mutate() {
	local file=$scratch/tree/$3 noticed
	[[ $3 =~ $only ]] || return 0
	cp "$file" "$scratch/original"
	FROM=$4 TO=$5 perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
	if cmp -s "$file" "$scratch/original"; then
		echo "| $1 | NOT APPLIED: $4 | $6 | - |"
		status=1
		return
	fi
	if ! cmake --build "$scratch/build" --target "$6" >"$scratch/log" 2>&1; then
		noticed="does not compile"
		status=1
	else
		timeout 120 "$scratch/build/tests/$6" >"$scratch/log" 2>&1 || true
		noticed=$(sed -n 's/^\[  FAILED  \] \([a-z_]*\.[a-z_]*\).*/\1/p' "$scratch/log" | sort -u | head -n 2 | paste -sd, | sed 's/,/, /')
		if [ -z "$noticed" ]; then
			noticed="NOT NOTICED"
			status=1
		fi
	fi
	echo "| $1 | $2 | $6 | $noticed |"
	cp "$scratch/original" "$file"
}

flow=servers/request/request_flow.cpp
mutate "verdict tally" "an attempt that may have run is not counted" core/verdict.cpp "_may_have_run = true;" "_may_have_run = false;" core_test
mutate "unrepeatable stages" "they are tried again like others" $flow "!_current().repeatable && _stage_may_have_run" "false && _stage_may_have_run" request_flow_test
mutate "one result a stage" "an answer is taken though its attempt is not open" $flow "const open_attempt *found = _find_open(p_id);
	if (found == nullptr)" "open_attempt stray;
	const open_attempt *found = _find_open(p_id) != nullptr ? _find_open(p_id) : &stray;
	if (found == nullptr)" request_flow_test
mutate "token order" "a gap is passed on" $flow "if (p_offset > _tokens.size())" "if (p_offset > _tokens.size() + 1000)" request_flow_test
mutate "token order" "a repeated token is passed on" $flow "if (p_offset < _tokens.size())" "if (p_offset + 1000 < _tokens.size())" request_flow_test
mutate "stream digest" "it is not compared" $flow "p_end.token_count == _tokens.size() && p_end.digest == _digest.to_string()" "true" request_flow_test
mutate "continuation" "another endpoint starts afresh behind the tokens sent" $flow "attempt.start = _tokens.empty() ? stream_start::FRESH : stream_start::CONTINUE;" "attempt.start = stream_start::FRESH;" request_flow_test
mutate "deadline before the first byte" "a place given late is used" $flow "_slot_granted_at = p_now;
	if (p_now >= _plan.deadline)" "_slot_granted_at = p_now;
	if (false)" request_flow_test
mutate "pool places" "a place is not given back on failure" $flow "r_actions.emplace_back(release_slot{ _stage, get_failed_slot_outcome(_last_failure)" "if (false) r_actions.emplace_back(release_slot{ _stage, get_failed_slot_outcome(_last_failure)" request_flow_test
mutate "cancellation" "open attempts are left running at the end" $flow "r_actions.emplace_back(cancel_attempt{ attempt.id, attempt.settle_id, use });" "" request_flow_test
mutate "leaving marks" "a list may bring an endpoint back" servers/routing/router.cpp "endpoint->leaving = p_listing.leaving || _is_marked_leaving(p_listing.vm, p_listing.incarnation);" "endpoint->leaving = p_listing.leaving;" routing_test
mutate "ejection cap" "there is none" servers/routing/router.cpp "return static_cast<double>(ejected + 1) <= _settings.max_ejected_share * static_cast<double>(pool_size);" "return pool_size + ejected > 0;" routing_test
mutate "affinity bound" "load does not matter" servers/routing/router.cpp "predict_finish(p_endpoint, p_now) <= AFFINITY_MAX_FINISH" "true" routing_test
mutate "fair queue" "weights do not matter" servers/limits/fair_queue.cpp "customer.virtual_start += 1.0 / customer.weight;" "customer.virtual_start += 1.0;" limits_test
mutate "queue bound" "there is none" servers/limits/fair_queue.cpp "if (_positions.size() < _capacity)" "if (true)" limits_test
mutate "retry budget" "it is not spent" servers/limits/share_budget.cpp "_balance -= 1.0;" "" limits_test
mutate "limit shares" "a cut-off zone's share is lent out" servers/limits/limit_share.cpp "if (!zone.has_valid_grant || p_rate <= 0.0)" "if (p_rate <= 0.0)" limits_test
mutate "claims" "the last claim wins" servers/once/claim_registry.cpp "const bool is_own = known.vm == _vm && known.incarnation == _incarnation;
	if (is_own) {" "const bool is_own = true;
	if (is_own) {" once_test
mutate "claims" "a lost answer counts as not done, and the claim is made again" servers/once/claim_registry.cpp "if (p_result != append_result::NOT_DONE)" "if (p_result == append_result::DONE)" once_test
mutate "claims" "records lost unread are ignored" servers/once/claim_registry.cpp "if (p_earliest > _position) {" "if (false) {" once_test
mutate "tickets" "used ones are forgotten at once" servers/once/ticket_registry.cpp "if (p_wall >= p_ticket.expires_at)" "if (false)" once_test
mutate "tickets" "the customer is not part of the code" servers/once/ticket_registry.cpp "std::string text = p_customer + " "std::string text = std::string() + " once_test
mutate "configuration fold" "the base is not compared" servers/configuration/configuration_fold.cpp "if (p_change->base != _folded.version)" "if (false)" configuration_test
mutate "configuration fold" "records lost unread are ignored" servers/configuration/configuration_fold.cpp "if (p_earliest > _position) {" "if (false) {" configuration_test
mutate "configuration fold" "changes around a checkpoint are forgotten" servers/configuration/configuration_fold.cpp "if (kept.offset >= p_position)" "if (false)" configuration_test
mutate "configuration fold" "a lower version may be put in force" servers/configuration/configuration_fold.cpp "if (p_state.version <= _in_force.version)" "if (p_state.version == _in_force.version)" configuration_test
mutate "membership" "an older rumour replaces a newer one" servers/membership/member_table.cpp "if (!is_newer(digest, known.digest))" "if (false)" shared_state_test
mutate "list guard" "any list is believed" servers/membership/list_guard.cpp "if (is_plausible)" "if (true)" shared_state_test
mutate "ledger" "an entry read twice counts twice" servers/ledger/ledger_fold.cpp "if (!_is_new(entry->incarnation, entry->sequence))" "if (false)" shared_state_test
mutate "ledger" "an unconfirmed entry gets a new number" servers/ledger/cost_ledger.cpp "if (p_result == append_result::DONE)" "if (p_result != append_result::DONE && _sending) { _sending->sequence = _next_sequence++; } else if (p_result == append_result::DONE)" shared_state_test

request=main/gateway/gateway_request.cpp
mutate "gateway: echo" "an answer with another request's id is taken" drivers/endpoint_channels.cpp "_skipping = echo != nullptr && *echo != _request.echo_value;" "_skipping = false;" http_exchange_test
mutate "gateway: seal" "a success without one is passed on" $request "if (!_answer.get_notes().has_seal) {
			_on_failure" "if (false) {
			_on_failure" gateway_test
mutate "gateway: whole streams" "one that ends inside an event is whole" main/gateway/received_answer.cpp "return _events.is_inside_event() || lacks_events" "return lacks_events" gateway_broken_answer_test
mutate "gateway: whole streams" "one without framing and without an event is whole" main/gateway/received_answer.cpp "return _events.is_inside_event() || lacks_events" "return _events.is_inside_event()" gateway_broken_answer_test
mutate "gateway: whole streams" "a carriage return ends no line" servers/gateway/event_splitter.cpp 'LINE_ENDS = "\r\n"' 'LINE_ENDS = "\n"' event_splitter_test
mutate "gateway: confirmed ends" "an orderly close is believed" $request "return is_success && is_to_stay &&" "return false && is_success && is_to_stay &&" gateway_broken_answer_test
mutate "gateway: large answers" "what was held passes for the whole" core/bounded_body.cpp "_is_whole = _is_whole && p_bytes.size() <= _max_bytes - _bytes.size();" "if (p_bytes.size() > _max_bytes - _bytes.size()) { return; }" gateway_broken_answer_test
mutate "gateway: at most once" "every request may be repeated" $request "const bool is_safe = route.repeats" "const bool is_safe = true || route.repeats" gateway_test
mutate "gateway: not run" "a refusal is given though something may have run" $request "if (_tally.get_verdict() != verdict::NOT_RUN || _stages.may_have_run() || _answer_started)" "if (_answer_started)" gateway_fleet_test
mutate "gateway: deadline" "an endpoint gets the route's time-out in place of what is left" $request "send.remaining = _give_up_at - now;" "send.remaining = _request.route->timeout;" gateway_test
mutate "gateway: cancellation" "a caller that goes leaves its request running" $request "if (_exchange != 0) {
		_services.context.channels.cancel(_exchange);
		_exchange = 0;
		_observe(outcome{ verdict::MAY_HAVE_RUN, reason::CALLER_DISCONNECTED });" "if (_exchange != 0) {
		_exchange = 0;
		_observe(outcome{ verdict::MAY_HAVE_RUN, reason::CALLER_DISCONNECTED });" gateway_test
mutate "gateway: leaving marks" "an older entry brings an endpoint back" servers/gateway/endpoint_directory.cpp "entry.listing.leaving = _has_left(entry.listing.get_identity());" "" gateway_state_test
mutate "gateway: entries that went" "peers' words are not heard" main/gateway/gateway_fleet.cpp "_endpoints.mark_removed(endpoint, p_vm);" "" gateway_fleet_test
mutate "gateway: outage of the store" "missing entries are dropped at once" servers/gateway/endpoint_directory.cpp "if (_is_after_outage(p_now) && !found->second.listing.leaving)" "if (false)" gateway_state_test
mutate "gateway: versions" "an older configuration replaces a newer one" platform/configuration_reader.cpp "if (_current && parsed->version <= _current->version)" "if (false)" gateway_test
mutate "gateway: retry budget" "it is not spent" servers/gateway/retry_window.cpp "_get_bucket(p_bounds, p_now).repeats += 1.0;" "" gateway_state_test
mutate "gateway: named endpoint" "a send does not say whom it is for" platform/request_codec.cpp "add_header(text, ENDPOINT, p_send.endpoint);" "" gateway_test
mutate "gateway: planned stop" "the loop ends while requests run" main/gateway/gateway.cpp "const bool is_over = since >= grace - STOP_MARGIN;" "const bool is_over = true;" gateway_fleet_test
mutate "gateway: pause" "a node that stood still goes on with what was handed to it" main/gateway/stage_dispatcher.cpp "_drop_work_after_stall();
	}
	_ticked_at" "}
	_ticked_at" gateway_pause_test
mutate "gateway: pause" "a node that stood still sends calls before it drops what was handed to it" main/gateway/stage_dispatcher.cpp "return event_loop::now() - _ticked_at <= STALL_THRESHOLD;" "return true;" gateway_pause_test
mutate "gateway: lost dispatcher" "its work is not handed to another" main/gateway/stage_dispatcher.cpp "_assign(id, p_vm);" "" gateway_fleet_test
memory=servers/gateway/crash_memory.cpp
mutate "requests that end endpoints" "they are never tried" $memory "verdict.crashes < CRASHES_TO_TRY" "verdict.crashes < 100" crash_memory_test
mutate "requests that end endpoints" "trials have no end" $memory "sent < MAX_TRIALS" "sent < 100" crash_memory_test
mutate "requests that end endpoints" "two trials at once" $memory "return p_entry.first != p_trial && (is_sent_and_open || comes_first);" "return false;" crash_memory_test
mutate "requests that end endpoints" "a connection that ends alone blames its run" servers/gateway/interrupted_runs.cpp "if (p_end == probe_end::REFUSED) {" "if (p_end != probe_end::SILENT) {" lost_runs_test
mutate "nodes that stood still" "peers are silent by one's own absence" servers/membership/peer_contacts.cpp "*last_time == instant{} ? duration::zero() : p_stall" "duration::zero()" gateway_suspension_test
mutate "nodes that stood still" "requests are decided on before what changed is known" main/gateway/gateway.cpp "return !_configuration.is_known_since(_stalled_until) || !_endpoints.is_known_since(_stalled_until);" "return false;" gateway_suspension_test
mutate "nodes that stood still" "silence is judged before what came is read" drivers/event_loop.cpp "	_is_reading_first = true;
" "" event_loop_test
mutate "one address, one endpoint" "the earlier entry stays" servers/gateway/endpoint_directory.cpp "		_supersede_at_address(p_listing.vm);
" "" endpoint_address_test
mutate "evacuations" "a peer's late news counts" servers/gateway/evacuation_table.cpp "if (p_state.known <= _known) {" "if (false) {" evacuation_table_test
mutate "evacuations" "what an older copy lacks is not kept" servers/gateway/evacuation_table.cpp "if (is_new_era) {" "if (false) {" evacuation_table_test
mutate "evacuations" "an own reading that lags behind counts" servers/gateway/evacuation_table.cpp "if (record.offset < _known.offset) {" "if (false) {" evacuation_table_test
mutate "evacuated zones" "they are chosen when nothing else is left" servers/routing/endpoint_state.h "!drained && !evacuated; }" "!drained; }" gateway_evacuation_test
mutate "evacuated zones" "stage calls go on" main/gateway/stage_dispatcher.cpp "return shard.has(p_listing.vm) && !_evacuated_zones.contains(p_listing.zone);" "return shard.has(p_listing.vm);" gateway_evacuation_test
mutate "work of a node that is not told" "it is done by itself at once" servers/gateway/dispatcher_selection.cpp "p_wait.untold < DISPATCHER_LIST_WAIT" "p_wait.untold < duration::zero()" dispatch_choice_test
mutate "work of a node that is not told" "it waits for good" servers/gateway/dispatcher_selection.cpp "&& p_wait.untold < DISPATCHER_LIST_WAIT" "" dispatch_choice_test
mutate "roll-out" "a report is of an earlier window than what is told beside it" servers/rollout/rollout.cpp "	report.answers.advance_to(_record.get_index());
" "" rollout_test
mutate "evacuated zones" "nothing is refused at once" main/gateway/admission.cpp "if (closed.empty()) {" "if (true) {" gateway_evacuation_test
mutate "cold endpoints" "each node has all that they bear" servers/gateway/sender_slots.cpp "return rank ? p_slots / nodes.size() + (*rank < p_slots % nodes.size() ? 1 : 0) : 0;" "return rank ? p_slots : 0;" endpoint_limits_test
mutate "cold endpoints" "a node that knows no others sends" servers/gateway/sender_slots.cpp "if (!_is_settled || !_is_own_zone(p_zone) || p_now - _first_view_at < SLOT_ACTIVATION_DELAY) {" "if (!_is_own_zone(p_zone) || p_now - _first_view_at < SLOT_ACTIVATION_DELAY) {" endpoint_limits_test
mutate "cold endpoints" "a place counts at once" servers/gateway/sender_slots.cpp "min_slots = counts ? std::min(min_slots, _count_in(view, p_endpoint, p_slots)) : min_slots;" "min_slots = counts ? _count_in(view, p_endpoint, p_slots) : min_slots;" endpoint_limits_test
mutate "named limits" "they are not asked for" servers/gateway/endpoint_limits.cpp "} else if (advertised) {" "} else if (false) {" named_limits_test
mutate "named limits" "an answer without one never ends it" servers/gateway/advertised_limits.cpp "p_is_signed && p_sent_at > known->second.at" "false" named_limits_test
mutate "named limits" "a late answer without one ends it" servers/gateway/advertised_limits.cpp "p_is_signed && p_sent_at > known->second.at" "p_is_signed" named_limits_test
mutate "named limits" "older news counts" servers/gateway/advertised_limits.cpp "if (p_record.at <= known->second.at +" "if (false && p_record.at <= known->second.at +" named_limits_test
mutate "named limits" "other nodes are not told" main/gateway/send_guard.cpp "_relay.add_own(record);" "" gateway_limits_test
mutate "named limits" "stage calls are not asked for" main/gateway/pool_caller.cpp " && _guard.may_send(p_replica, sender_share::FULL, p_now);" " && p_now > instant{};" gateway_limits_test
mutate "leaving by word" "it is not heeded" main/gateway/send_guard.cpp "_endpoints.mark_leaving(p_endpoint, \"answer\");" "" gateway_limits_test
mutate "rest" "it is not heeded" servers/gateway/endpoint_limits.cpp "if (_backoffs.get_left(p_endpoint, p_now) > duration::zero()) {" "if (false) {" endpoint_rests_test
mutate "rest" "callers are told another time" main/gateway/admission.cpp "const bool is_backing_off = !prospect.wait && prospect.backoff_left;" "const bool is_backing_off = false;" gateway_limits_test
mutate "home regions" "they bind only while something else is left" servers/routing/router.cpp "return p_endpoint.is_open() && is_admitted &&" "return p_endpoint.is_open() &&" gateway_places_test
mutate "log eras" "an answer of another era is read on from" main/gateway/topic_reader.cpp "(is_other_era && !p_is_whole)" "false" gateway_era_test
mutate "log eras" "what had gone comes back" servers/gateway/endpoint_directory.cpp "return is_recent && removed != _removed_at.end() && removed->second <= _era_at;" "return false;" gateway_era_test
mutate "lists told" "there is no budget" servers/membership/list_budget.cpp "if (_available_bytes <= 0.0) {" "if (false) {" list_budget_test
mutate "stage search" "all works are looked at again after a vain search" servers/gateway/stage_pool.cpp "_fruitless_since = _fruitless_since.value_or(p_now);" "" stage_pool_search_test
mutate "stage search" "a vain search holds for good" servers/gateway/stage_pool.cpp "p_now - *_fruitless_since >= FRUITLESS_SEARCH_LIFETIME" "false" stage_pool_search_test
mutate "stage search" "a call that ends leaves a vain search in force" servers/gateway/stage_pool.cpp $'\t_reset_search();\n\tconst running_call call' $'\tconst running_call call' stage_pool_search_test
mutate "stage search" "a busy replica counts as a free one" servers/gateway/stage_pool.cpp "const bool is_busy = replica.calls >= _spec.slots;" "const bool is_busy = false;" stage_pool_test
mutate "gateway: retry budget" "a new process has its whole part of the slack" servers/gateway/slack_share.cpp "age >= p_bounds.window ?" "true ?" retry_budget_test
mutate "gateway: retry budget" "a dispatcher that gets a pool back has its whole part of the slack" servers/gateway/slack_share.cpp "if (_part <= 0.0)" "if (_held_since == instant{})" retry_budget_test
mutate "links: next process of a VM" "the earlier process keeps its links and its work" drivers/node_link.cpp "	_replace_process(*p_link);" "" link_test
mutate "stage work: report of its end" "results of another request are taken" servers/gateway/work_report.cpp "p_report.attempt != p_assigned.attempt" "false" work_report_test
mutate "gateway: retry budget" "silent nodes lose their part of the slack" servers/membership/member_table.cpp "!p_entry.second.digest.leaving ||" "(!p_entry.second.digest.leaving && p_entry.second.state != member_state::GONE) ||" shared_state_test

mutate "stream versions" "a stream goes on at any version" main/gateway/admitted_request.cpp " && (!version || p_listing.version == *version)" "" gateway_stream_version_test
mutate "stream versions" "a stream is not bound to the endpoint that began it" main/gateway/gateway_request.cpp "			_request.stream_version = _run->version;
" "" gateway_stream_version_test
mutate "stream versions" "an entry with another version is taken for the same start" servers/routing/router.cpp " && (is_version_unknown || p_endpoint.listing.version == p_listing.version)" "" routing_test
mutate "stream records" "only the node that began a stream has its record" main/gateway/stream_sync.cpp "			_send(vm, { p_record });" "" gateway_stream_version_test
mutate "stream records" "customers share the records of their attempts" servers/streams/stream_record.cpp "	digest.add(p_customer);
" "" gateway_stream_version_test
mutate "stream records" "the record of a resumed stream is not kept for longer" servers/streams/stream_table.cpp "	_extend(found, record.expires_at);
" "" stream_records_test
mutate "stream records" "the first of two origins counts" servers/streams/stream_table.cpp "found.is_contradicted || !(found.record.origin == record.origin)" "false" stream_records_test
mutate "stream records" "all copies are in one zone" servers/streams/record_placement.cpp "constexpr std::size_t COPIES_IN_ZONE = 2;" "constexpr std::size_t COPIES_IN_ZONE = 3;" stream_records_test
mutate "stream lookups" "a record on its way is not waited for" servers/streams/stream_lookup.cpp "_round == lookup_round::ALL_REACHABLE && _awaited.empty()" "_awaited.empty()" stream_records_test
mutate "recorded versions" "a version that has gone is forgotten at once" servers/streams/version_presence.cpp "if (p_now - listed_at < p_age) {" "if (false) {" stream_records_test
mutate "recorded versions" "an old list proves what was there" servers/streams/version_presence.cpp "p_now - *_confirmed_at <= MAX_GAP && " "" stream_records_test
mutate "recorded versions" "streams begin at versions that are not recorded" main/gateway/origin_sync.cpp "if (recorded > 0 && recorded <" "if (false && recorded <" gateway_stream_version_test
mutate "recorded versions" "a record from before a restore is believed" main/gateway/origin_sync.h "return _record && _record->get_era() == _era;" "return _record.has_value();" gateway_stream_version_test
mutate "recorded versions" "a version never leaves the record" main/gateway/origin_sync.cpp "planned.keep(service, *recent);" ";" gateway_stream_version_test
mutate "recorded versions" "a record that was read before counts" main/gateway/origin_sync.h "return _read_began_at >= p_since;" "return p_since != instant{} && _read_began_at != instant{};" gateway_stream_version_test
mutate "memory" "answers are received whatever they take together" main/gateway/answer_buffers.cpp "_budget.find_excess(); excess; excess" "std::optional<buffer_id>(); excess; excess" gateway_broken_answer_test
mutate "memory" "answers of stage replicas are received without a bound" main/gateway/pool_caller.cpp "if (!answer->body.is_complete()) {" "if (false) {" gateway_broken_answer_test
mutate "membership" "seeds that left are not dialled again" main/gateway/gateway_fleet.cpp "if (_is_staying(entry) || _link.is_linked(vm)) {
			known" "if (true) {
			known" gateway_fleet_test
mutate "membership" "only a node without links seeks others by their names" main/gateway/node_names.cpp "p_use.seeks_parts && " "false && " gateway_fleet_test
mutate "membership" "every node reads the names" servers/membership/named_contacts.cpp "!_is_seeking || p_now < _read_at" "p_now < _read_at" named_contacts_test
mutate "membership" "a node that is gone is dialled as often for ever" servers/membership/named_contacts.cpp "std::min(entry.pause * 2, MAX_DIAL_PAUSE)" "MIN_DIAL_PAUSE" named_contacts_test
mutate "membership" "records of nodes that are gone are never removed" servers/membership/named_contacts.cpp "p_now - entry.found_at >= REMOVAL_TIME" "false" named_contacts_test
mutate "headers" "a Connection header removes any header" platform/request_codec.cpp "(is_named && !is_one_of(DECIDING_HEADERS, p_name))" "is_named" platform_codec_test
mutate "headers" "the first of two values counts" platform/request_codec.cpp "answer.is_contradictory = has_contradiction(p_head);" "" gateway_broken_answer_test
mutate "headers" "the first of two ids counts" drivers/endpoint_channels.cpp "!p_request.echo_header.empty() && is_contradictory(" "false && is_contradictory(" forwarded_answer_test
mutate "headers" "fields behind a body are headers" drivers/http_reader.cpp "if (self._has_head) {
			return self._count(p_size) ? 0 : 1;
		}
		if (self._in_value) {
			self._finish_header();
		}
		self._field.append(p_bytes, p_size);
		return self._count(p_size) ? 0 : 1;
	}

	static int on_value(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader &self = http_reader::_self(p_parser);
		if (self._has_head) {
			return self._count(p_size) ? 0 : 1;
		}" "if (self._in_value) {
			self._finish_header();
		}
		self._field.append(p_bytes, p_size);
		return self._count(p_size) ? 0 : 1;
	}

	static int on_value(http_parser *p_parser, const char *p_bytes, std::size_t p_size) {
		http_reader &self = http_reader::_self(p_parser);" http_exchange_test
syntax=drivers/http_syntax_checker.cpp
mutate "syntax of messages" "a status is any text" $syntax '"HTTP/1.# ###"' '"HTTP/1.#"' gateway_malformed_answer_test
mutate "syntax of messages" "a line begins with a blank" $syntax "if (is_token_byte(p_byte)) {" "if (is_token_byte(p_byte) || p_byte == ' ' || p_byte == '\t') {" gateway_malformed_answer_test
mutate "syntax of messages" "any byte follows a carriage return" $syntax "return p_byte == '\n' ? _part_behind_line : part::FAILED;" "return _part_behind_line;" gateway_malformed_answer_test
mutate "syntax of messages" "lines of a head end in two ways" $syntax "(_line_end != line_end::UNKNOWN && _line_end != found)" "false" gateway_malformed_answer_test
mutate "syntax of messages" "any byte may follow the data of a chunk" $syntax "return _end_line(p_byte, part::CHUNK_SIZE);" "_part_behind_line = part::CHUNK_SIZE;
			return part::LINE_FEED;" gateway_malformed_answer_test
mutate "syntax of messages" "any byte follows the size of a chunk" $syntax "return p_byte == ';' ? part::CHUNK_EXTENSION : _end_line(p_byte, _get_part_behind_size());" "return p_byte == '\r' || p_byte == '\n' ? _end_line(p_byte, _get_part_behind_size()) : part::CHUNK_EXTENSION;" gateway_malformed_answer_test
mutate "answers to calls of serve" "bytes that are no valid answer are used" drivers/http_client.cpp "if (self._checker.get_state() != http_reader::state::COMPLETE) {" "if (false) {" http_client_test
mutate "forwarded exchanges" "a peer's word is taken for a valid answer" main/gateway/forwarded_answer.cpp "!is_valid_answer(p_head) || " "" forwarded_answer_test
mutate "proofs of serve" "a refusal without a name counts on any connection" drivers/endpoint_client.cpp "if (echo.empty() && !p_result.is_first_on_connection) {" "if (false) {" endpoint_client_test
mutate "reach" "one failed endpoint stands for its service" servers/reach/service_reach.h "REQUIRED_ENDPOINTS = 2" "REQUIRED_ENDPOINTS = 1" service_reach_test
mutate "reach" "contact with one endpoint stands for all" servers/reach/service_reach.cpp "state.failed.erase(p_endpoint);" "state.failed.clear();" service_reach_test
mutate "forwarding" "lost paths are taken for failed endpoints" main/gateway/endpoint_exchanges.cpp "if (_reach.is_endpoint_reached(p_request.service, p_request.endpoint.vm) ||" "if (true ||" gateway_cut_off_test
mutate "forwarding" "a request at a node that is lost counts as not sent" main/gateway/forwarded_exchanges.cpp "for (const exchange_id id : lost) {
		_end(id, forwarding_end::BROKEN);" "for (const exchange_id id : lost) {
		_end(id, forwarding_end::CONNECT_FAILED);" gateway_cut_off_test
mutate "forwarding" "bytes are not confirmed" main/gateway/forwarded_exchanges.cpp "	_fleet.get_link().send(r_exchange.peer, control_exchange_message{ p_id, r_exchange.unconfirmed, false });" "" gateway_cut_off_test
mutate "forwarding" "the close of a crashed endpoint completes an answer" main/gateway/exchange_forwarder.cpp "if (p_end != channel_end::COMPLETE || !found->second.is_unframed) {" "if (true) {" gateway_cut_off_test
mutate "forwarding" "what cannot be sent is admitted" main/gateway/admission.cpp "if (_shared.exchanges.may_send(p_request.service)) {" "if (true) {" gateway_cut_off_test
mutate "new connections" "connections are accepted however late" main/gateway/gateway.cpp "if (!_shedder.should_close(p_waited, now)) {" "if (true) {" crowded_gateway_test
mutate "new connections" "connections are accepted before work in progress" drivers/caller_server.cpp "event_priority_set(_accept_event.get(), event_loop::LAST_PRIORITY);" "" caller_connection_end_test
mutate "new connections" "a single stall closes connections" servers/limits/connection_shedder.cpp "return p_now - _late_since >= MAX_WAIT;" "return true;" connection_shedder_test
mutate "parts that crash endpoints" "they are not blamed" main/gateway/crash_watch.cpp "for (const request_fingerprint &part : p_run.parts) {" "for (const request_fingerprint &part : std::vector<request_fingerprint>()) {" gateway_prompt_part_test
mutate "parts that crash endpoints" "complete answers do not clear them" main/gateway/crash_guard.cpp "if (p_is_success || !is_part(run)) {" "if (!is_part(run)) {" gateway_prompt_part_test
mutate "parts that crash endpoints" "trials beside other suspects block for good" servers/gateway/crash_memory.cpp " || (is_part(p_run) && p_is_sole && sent == MAX_TRIALS && !p_entry.has_sole_trial())" "" crash_memory_test
mutate "proof of a send" "a connection carries an id twice" servers/routing/connection_history.cpp "p_id.empty() || std::find(_carried.begin(), _carried.end(), hash_bytes(p_id)) == _carried.end()" "true" gateway_promise_test
mutate "proof of a send" "a connection carries an id twice for a peer" servers/routing/connection_history.cpp "p_id.empty() || std::find(_carried.begin(), _carried.end(), hash_bytes(p_id)) == _carried.end()" "true" gateway_cut_off_test
mutate "proof of a send" "a connection is kept behind surplus bytes" servers/routing/connection_history.h "!_has_surplus && " "" http_exchange_test
mutate "proof of a send" "an answer without an id counts anywhere" servers/routing/connection_history.cpp "_exchanges == 1 ? answer_owner::THIS_EXCHANGE : answer_owner::UNKNOWN" "answer_owner::THIS_EXCHANGE" http_exchange_test
mutate "proof of a send" "a copy of a stage answer is believed" servers/routing/connection_history.cpp "		return false;
	}
	_answers.push_back(p_digest);" "		return true;
	}
	_answers.push_back(p_digest);" gateway_stage_copy_test
mutate "proof of a send" "a connection is kept behind an answer without results" drivers/endpoint_channels.cpp " && !_has_ambiguous_answer" "" gateway_stage_copy_test
mutate "promises" "an endpoint's 503 is passed on" main/gateway/gateway_request.cpp "if (http_status::promises_not_run(_answer.get_head().status)) {" "if (false) {" gateway_promise_test
mutate "promises" "a success counts as a rejection" platform/request_codec.cpp " && !http_status::is_success(p_head.status);" ";" gateway_promise_test
mutate "lifetime of streams" "it is that of the route" main/gateway/stream_resolver.cpp "_context.settings.stream_lifetime + UNLISTED_SERVICE_TIME" "p_request.route->timeout + UNLISTED_SERVICE_TIME" gateway_stream_version_test
exit "$status"
