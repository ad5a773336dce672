#!/usr/bin/env bash
# Failures of whole processes under load: nine nodes in three zones and stand-ins on loopback. Prints one JSON line a
# case, with attainment against a run without the fault. Usage: faults.sh [CASE ...]; without a case all are run.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
build=${CALICOSCALE_BUILD:-$root/build}
seconds=${CALICOSCALE_FAULT_SECONDS:-12}
outage=${CALICOSCALE_OUTAGE_SECONDS:-60}
rate=${CALICOSCALE_FAULT_RATE:-90}
command -v jq >/dev/null || { echo "faults.sh needs jq" >&2; exit 2; }
cli=$build/calicoscale
deployment=$root/misc/deployments/aspen-hearth
mix=$root/misc/mixes/aspen-short-replies.json
zones=(sk-a sk-b sk-c)

start_fleet() {
	# shellcheck source=misc/scripts/fleet.sh
	. "$root/misc/scripts/fleet.sh"
	trap stop_all EXIT
	start_standins "$deployment/standins.json"
	local i
	for i in $(seq 0 8); do
		start_node "entry-$i" "${zones[$((i % 3))]}"
	done
	register_nodes
	"$cli" config publish "$deployment/configuration.json" --node "${node_admin[entry-0]}" --base 0 --wait >/dev/null 2>&1
	for i in $(seq 0 8); do
		wait_ready "entry-$i"
	done
	sleep 3
}

load_in_background() {
	"$cli" load --targets "$(all_callers)" --mix "$mix" --rate "$rate" --seconds "$1" --seed 5 --quiet --format json >"$work/load.json" &
	load_pid=$!
}

# Difference between what endpoints charged and what the ledger says, in units, after everything was flushed.
ledger_difference() {
	local node=$1
	sleep 7
	"$cli" costs --node "${node_admin[$node]}" --by pool --format json >"$work/costs.json"
	curl -sS "http://$control/truth" >"$work/truth.json"
	jq -s '([.[0].units[][]] | add) - ([.[1].rows[].micro_units] | add / 1000000) | . * 1000 | round / 1000' "$work/truth.json" "$work/costs.json"
}

# finish CASE LEDGER_NODE [EXTRA]
finish() {
	wait "$load_pid" || true
	local difference most
	difference=$(ledger_difference "$2")
	most=$(curl -sS "http://$control/most_runs?pool=messaging")
	jq -c --arg case "$1" --argjson difference "$difference" --argjson most "$most" --argjson extra "${3:-null}" \
		'{case: $case, requests, attainment, verdicts, wrong_answers, ledger_difference_units: $difference, most_runs_of_an_unrepeatable_request: $most} + (if $extra == null then {} else $extra end)' "$work/load.json"
}

case_none() { (
	start_fleet
	load_in_background "$seconds"
	finish "no fault" entry-0
); }

case_kill() { (
	start_fleet
	load_in_background "$seconds"
	sleep $((seconds / 2))
	kill -9 "${node_pid[entry-4]}"
	finish "kill -9 one of nine; callers go on sending a ninth of their requests to it" entry-0
); }

case_pause() { (
	start_fleet
	load_in_background $((seconds + 12))
	sleep 3
	kill -STOP "${node_pid[entry-4]}"
	sleep 10
	kill -CONT "${node_pid[entry-4]}"
	finish "one of nine paused for 10 s; callers go on sending a ninth of their requests to it" entry-0
); }

# Versions in force, as JSON.
versions() {
	local i list=""
	for i in $(seq 0 8); do
		list+=$(curl -sS "http://${node_admin[entry-$i]}/admin/status" | jq .configuration.version)" "
	done
	echo "$list" | jq -sc .
}

case_cut() { (
	start_fleet
	load_in_background $((seconds + 8))
	local inside='["entry-0","entry-3","entry-6"]' outside='["entry-1","entry-2","entry-4","entry-5","entry-7","entry-8"]' i
	sleep 2
	for i in 0 3 6; do curl -sS -o /dev/null -d "{\"vms\":$outside,\"platform\":true}" "http://${node_admin[entry-$i]}/admin/cut"; done
	for i in 1 2 4 5 7 8; do curl -sS -o /dev/null -d "{\"vms\":$inside}" "http://${node_admin[entry-$i]}/admin/cut"; done
	jq '.policy.attainment_weight=0.8' "$deployment/configuration.json" >"$work/second.json"
	"$cli" config publish "$work/second.json" --node "${node_admin[entry-1]}" >/dev/null
	sleep 6
	local during
	during=$(versions)
	for i in $(seq 0 8); do curl -sS -o /dev/null -d '{"vms":[],"platform":false}' "http://${node_admin[entry-$i]}/admin/cut"; done
	local start
	start=$(date +%s%3N)
	until [ "$(versions | jq 'unique | length')" = 1 ]; do sleep 0.1; done
	finish "one zone cut off from zones and platform for 6 s, a change meanwhile" entry-1 "{\"versions_during\":$during,\"versions_after\":$(versions),\"ms_until_healed\":$(($(date +%s%3N) - start))}"
); }

case_rolling() { (
	start_fleet
	load_in_background $((seconds + 24))
	local i
	for i in $(seq 0 8); do
		kill -TERM "${node_pid[entry-$i]}"
		wait "${node_pid[entry-$i]}" || fail "entry-$i did not stop cleanly"
		start_node "entry-$i" "${zones[$((i % 3))]}" again
		wait_ready "entry-$i"
	done
	finish "all nine restarted in turn under load, callers not told" entry-0
); }

case_log_down() { (
	start_fleet
	jq '.policy.attainment_weight=0.8' "$deployment/configuration.json" >"$work/second.json"
	"$cli" config publish "$work/second.json" --node "${node_admin[entry-1]}" --wait >/dev/null 2>&1
	load_in_background $((outage + 8))
	sleep 2
	fault log down
	sleep "$outage"
	fault log none
	sleep 1
	"$cli" config publish "$deployment/configuration.json" --node "${node_admin[entry-2]}" --wait >/dev/null 2>&1 || true
	finish "log down for $outage s; requests under keys are refused as not run meanwhile" entry-0 "{\"versions\":$(versions)}"
); }

case_operators() { (
	start_fleet
	local i
	for i in 0 1; do
		(
			for change in $(seq 50); do
				jq ".policy.attainment_weight=(0.$((50 + change % 50)))" "$deployment/configuration.json" >"$work/operator-$i.json"
				"$cli" config publish "$work/operator-$i.json" --author "operator-$i" --node "${node_admin[entry-$i]}" --format json || true
			done >"$work/operator-$i.out"
		) &
		operators[i]=$!
	done
	wait "${operators[@]}"
	sleep 1
	cat "$work"/operator-*.out | jq -sc '{case: "two operators publish 50 changes each against each other", results: (group_by(.result) | map({(.[0].result): length}) | add), distinct_versions_accepted: ([.[] | select(.result=="accepted") | .version] | unique | length)}' |
		jq -c --argjson versions "$(versions)" '. + {versions: $versions}'
); }

case_in_force() { (
	start_fleet
	local i start now
	for i in $(seq 40); do
		jq ".policy.attainment_weight=(0.$((30 + i)))" "$deployment/configuration.json" >"$work/change.json"
		curl -sS "http://${node_admin[entry-$((i % 9))]}/admin/configuration?author=timer" -d @"$work/change.json" >"$work/answer.json"
		sleep 0.7
	done
	sleep 2
	# Each node's time line tells when each version came into force; the log's order and one clock make them comparable.
	for i in $(seq 0 8); do
		curl -sS "http://${node_admin[entry-$i]}/admin/timeline?most=20000" | jq -c '.events[] | select(.[2] == 7) | [.[4], .[0]]'
	done | jq -sc 'group_by(.[0]) | map(select(length == 9) | (map(.[1]) | max - min)) | sort | {case: "time from the first node to the last for a change", changes: length, p50_ms: .[length / 2 | floor], p99_ms: .[(length * 0.99) | floor], worst_ms: .[-1]}'
); }

cases=("$@")
if [ "${#cases[@]}" -eq 0 ]; then
	cases=(none kill pause cut rolling log_down operators in_force)
fi
declare -a operators
for entry in "${cases[@]}"; do
	"case_$entry"
done
