#!/usr/bin/env bash
# Runs policies against baselines on the same arrivals and seeds, interleaved, on real processes with stand-ins.
# Prints one JSON line a comparison. Usage: bench.sh [CASE ...]; without a case all are run.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
build=${CALICOSCALE_BUILD:-$root/build}
rounds=${CALICOSCALE_BENCH_ROUNDS:-2}
seconds=${CALICOSCALE_BENCH_SECONDS:-6}
command -v jq >/dev/null || { echo "bench.sh needs jq" >&2; exit 2; }
cli=$build/calicoscale
deployment=$root/misc/deployments/aspen-hearth
results=$(mktemp -d)

# Round robin with plain retries: every failure is tried again, nothing is hedged, ejected or kept near its prefix.
baseline='.pools |= map(.prefix_affinity=false) | .policy.routing="round_robin" | .policy.retry_share=1 | .policy.hedge_share=0 | .policy.max_ejected_share=0'
candidate='.'

# one_run OUT SEED CONFIGURATION_FILTER STANDIN_FILTER MIX_FILTER MIX RATE [FAULTS]: one fleet, one load, one report.
one_run() {
	(
		# shellcheck source=misc/scripts/fleet.sh
		. "$root/misc/scripts/fleet.sh"
		trap stop_all EXIT
		jq "$4" "$deployment/standins.json" >"$work/spec.json"
		jq "$3" "$deployment/configuration.json" >"$work/configuration.json"
		jq "$5" "$root/misc/mixes/$6.json" >"$work/mix.json"
		start_standins "$work/spec.json"
		start_node entry-a sk-a
		start_node entry-b sk-b
		start_node entry-c sk-c
		register_nodes
		"$cli" config publish "$work/configuration.json" --node "${node_admin[entry-a]}" --base 0 --wait >/dev/null 2>&1
		wait_ready entry-a entry-b entry-c
		sleep 1.2
		if [ -n "${8:-}" ]; then
			# A while without faults first, so that usual times are learnt as in service.
			"$cli" load --targets "$(all_callers)" --mix "$work/mix.json" --rate "$7" --seconds 2 --seed 99 --quiet --format json >/dev/null || true
			while read -r target name amount share; do
				[ -z "$target" ] || fault "$target" "$name" "${amount:-0}" "${share:-1}"
			done <<<"$8"
		fi
		curl -sS "http://$control/truth" >"$1.before"
		"$cli" load --targets "$(all_callers)" --mix "$work/mix.json" --rate "$7" --seconds "$seconds" --seed "$2" --quiet --format json >"$1.load" || true
		curl -sS "http://$control/truth" >"$1.truth"
		# What ran before the load is taken off.
		jq -s 'def less($a; $b): if ($a | type) == "object" then ($a | with_entries(.key as $k | .value = less(.value; ($b // {})[$k]))) elif ($a | type) == "number" then $a - ($b // 0) else $a end;
			.[0] + {truth: less(.[2]; .[1])}' "$1.load" "$1.before" "$1.truth" >"$1.json"
	)
}

# figure FILES FILTER: median over the runs.
figure() {
	local filter=$1
	shift
	jq -s "[.[] | $filter] | sort | .[(length / 2 | floor)]" "$@"
}

# report CASE METRIC BASELINE CANDIDATE: ratio is candidate over baseline.
report() {
	jq -cn --arg case "$1" --arg metric "$2" --argjson baseline "$3" --argjson candidate "$4" \
		'{case: $case, metric: $metric, baseline: $baseline, candidate: $candidate, ratio: (if $baseline == 0 then null else ($candidate / $baseline) end)}'
}

# compare CASE BASELINE_FILTER CANDIDATE_FILTER STANDIN_FILTER MIX_FILTER MIX RATE FAULTS METRIC=FILTER ...
compare() {
	local name=$1 base=$2 cand=$3 spec=$4 mix_filter=$5 mix=$6 rate=$7 faults=$8 round
	shift 8
	for round in $(seq "$rounds"); do
		one_run "$results/$name.base.$round" "$round" "$base" "$spec" "$mix_filter" "$mix" "$rate" "$faults"
		one_run "$results/$name.cand.$round" "$round" "$cand" "$spec" "$mix_filter" "$mix" "$rate" "$faults"
	done
	local metric
	for metric in "$@" 'wrong answers=.wrong_answers'; do
		report "$name" "${metric%%=*}" "$(figure "${metric#*=}" "$results/$name".base.*.json)" "$(figure "${metric#*=}" "$results/$name".cand.*.json)"
	done
}

missed='(.requests - .in_time)'
attained='.attainment'
deadline_1s='.requests |= map(.deadline_ms = 1000)'
tight='.requests |= [.[] | select(.pipeline=="quick-reply") | .deadline_ms = 350]'

case_slow_replica() {
	compare "one slow replica" "$baseline" "$candidate" . "$tight" aspen-short-replies 120 "assistant-0 slow 4" "late or failed=$missed" "attainment=$attained" "p99 ms=.latency_ms.p99"
}

case_failing_replica() {
	compare "one replica failing half its calls, unrepeatable stage" "$baseline" "$candidate" . '.requests |= map(select(.once))' aspen-short-replies 60 "messaging-0 error_after 0 0.5" "late or failed=$missed" "attainment=$attained"
	compare "one replica failing half its calls, repeatable stage" "$baseline" "$candidate" . . aspen-short-replies 120 "retrievers-0 error_after 0 0.5" "late or failed=$missed" "runs of the stage a request=(.truth.pools.retrievers.runs / .requests)"
}

case_old_reports() {
	compare "load reports two seconds old" '.policy.routing="least_reported" | .policy.hedge_share=0' "$candidate" '.pools |= map(.report_lag_ms=2000)' "$deadline_1s" aspen-short-replies 150 "" "late or failed=$missed" "p95 ms=.latency_ms.p95"
}

case_encoder_burst() {
	local mix='.burst={"every_seconds":3,"length_seconds":1,"factor":4}'
	compare "burst of encoder-heavy requests" "$baseline" "$candidate" '.pools |= map(if .pool=="encoders" then .base_ms=40 else . end)' "$mix" aspen-summaries 40 "" "late or failed=$missed" "attainment=$attained"
}

case_overload() {
	# Three engines of two places: some 70 requests a second with the wait that the deadline allows.
	local spec='.pools |= map(if .pool=="assistant" then .count=3 | .slots=2 | .queue=4 else . end)'
	local mix='.requests |= [.[] | select(.pipeline=="quick-reply") | .deadline_ms=1500]'
	local round
	for round in $(seq "$rounds"); do
		one_run "$results/capacity.$round" "$round" "$candidate" "$spec" "$mix" aspen-short-replies 70 ""
		one_run "$results/overload.base.$round" "$round" "$baseline" "$spec" "$mix" aspen-short-replies 150 ""
		one_run "$results/overload.cand.$round" "$round" "$candidate" "$spec" "$mix" aspen-short-replies 150 ""
	done
	local capacity
	capacity=$(figure .goodput_per_second "$results"/capacity.*.json)
	report "offered load 2x capacity" "goodput/s against round robin" "$(figure .goodput_per_second "$results"/overload.base.*.json)" "$(figure .goodput_per_second "$results"/overload.cand.*.json)"
	report "offered load 2x capacity" "goodput/s against goodput at capacity" "$capacity" "$(figure .goodput_per_second "$results"/overload.cand.*.json)"
	report "offered load 2x capacity" "wrong answers" "$(figure .wrong_answers "$results"/overload.base.*.json)" "$(figure .wrong_answers "$results"/overload.cand.*.json)"
}

case_flood() {
	local spec='.pools |= map(if .pool=="assistant" then .count=3 | .slots=2 | .queue=4 else . end)'
	local alone='.customers |= map(select(.name=="lakeside-club" or .name=="prairie-friends")) | .requests |= [.[] | select(.pipeline=="quick-reply") | .deadline_ms=1500]'
	local flood='.customers |= map(if .name=="members-east" then .weight=25 elif (.name=="lakeside-club" or .name=="prairie-friends") then .weight=1 else .weight=0 end) | .requests |= [.[] | select(.pipeline=="quick-reply") | .deadline_ms=1500]'
	local small='([.by_customer["lakeside-club"], .by_customer["prairie-friends"]] | (map(.in_time) | add) / (map(.sent) | add))'
	local round
	for round in $(seq "$rounds"); do
		one_run "$results/alone.$round" "$round" "$candidate" "$spec" "$alone" aspen-short-replies 8 ""
		one_run "$results/flood.base.$round" "$round" "$baseline" "$spec" "$flood" aspen-short-replies 150 ""
		one_run "$results/flood.cand.$round" "$round" "$candidate" "$spec" "$flood" aspen-short-replies 150 ""
	done
	report "one customer floods" "small customers' attainment against alone" "$(figure "$small" "$results"/alone.*.json)" "$(figure "$small" "$results"/flood.cand.*.json)"
	report "one customer floods" "small customers' attainment against round robin" "$(figure "$small" "$results"/flood.base.*.json)" "$(figure "$small" "$results"/flood.cand.*.json)"
}

case_leaving() {
	local faults="" i
	for i in 0 3 6 9 12 15; do
		faults+="assistant-$i leaving"$'\n'
	done
	compare "a third of a pool leaving" "$baseline" "$candidate" . . aspen-short-replies 120 "$faults" "late or failed=$missed" "refusals met=.truth.pools.assistant.refused"
}

case_brown_out() {
	local faults="encoders-0 error_after 0 0.5"$'\n'"encoders-1 error_after 0 0.5"$'\n'"encoders-2 error_after 0 0.5"
	local runs='runs of the stage a request=(.truth.pools.encoders.runs / .requests)'
	compare "brown-out: retries off" '.policy.retry_share=0 | .policy.hedge_share=0' "$candidate" . . aspen-short-replies 120 "$faults" "late or failed=$missed" "$runs"
	compare "brown-out: plain retries" '.policy.retry_share=1 | .policy.hedge_share=0' "$candidate" . . aspen-short-replies 120 "$faults" "late or failed=$missed" "$runs"
}

case_affinity() {
	local none='.pools |= map(if .name=="assistant" then .prefix_affinity=false else . end)'
	local mix='.requests |= [.[] | .input_bytes=4000 | .shared_prefix_bytes=3800]'
	compare "prefix affinity against none" "$none" "$candidate" '.pools |= map(if .pool=="assistant" then .cached_prefixes=2 else . end)' "$mix" aspen-summaries 60 "" "hit rate=(.truth.pools.assistant | .prefix_hits / (.prefix_hits + .prefix_misses))" "engine units a request=(([.truth.units.assistant[]] | add) / .requests)" "first token p50 ms=.first_token_ms.p50"
}

case_weights() {
	compare "cost-weighted against attainment-weighted setting" '.policy.attainment_weight=0' '.policy.attainment_weight=1' . "$tight" aspen-short-replies 120 "assistant-0 slow 4" "late or failed=$missed" "engine runs a request=(.truth.pools.assistant.runs / .requests)"
}

case_extra_work() {
	compare "no fault: added work" '.policy.hedge_share=0 | .policy.retry_share=0' "$candidate" . . aspen-short-replies 120 "" "engine runs a request=(.truth.pools.assistant.runs / .requests)" "attainment=$attained"
}

cases=("$@")
if [ "${#cases[@]}" -eq 0 ]; then
	cases=(slow_replica failing_replica old_reports encoder_burst overload flood leaving brown_out affinity weights extra_work)
fi
for entry in "${cases[@]}"; do
	"case_$entry"
done
rm -rf "$results"
