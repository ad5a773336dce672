#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md and rewrites its measured tables: decisions by benchmark, the fleet's cost by
# small processes on loopback. Usage: capacity.sh [NODES ...]; default 3 9 27 81.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
build=${CALICOSCALE_BUILD:-$root/build}
seconds=${CALICOSCALE_CAPACITY_SECONDS:-10}
command -v jq >/dev/null || { echo "capacity.sh needs jq" >&2; exit 2; }
cli=$build/calicoscale
sizes=("$@")
if [ "${#sizes[@]}" -eq 0 ]; then
	sizes=(3 9 27 81)
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

"$build/tests/decision_benchmark" --benchmark_format=json --benchmark_min_time=0.3 --benchmark_repetitions=3 --benchmark_report_aggregates_only=true >"$out/bench.json" 2>/dev/null

# sample VM: CPU seconds, resident kilobytes, bytes on links and towards platform and endpoints, both ways.
sample() {
	curl -sS "http://${node_admin[$1]}/admin/status" | jq -c '[.process.cpu_seconds, .process.peak_kilobytes, (.links.bytes_sent + .links.bytes_received), (.client.bytes_sent + .client.bytes_received)]'
}

# fleet SIZE: an idle fleet with its control traffic; one table row.
fleet() { (
	# shellcheck source=misc/scripts/fleet.sh
	. "$root/misc/scripts/fleet.sh"
	trap stop_all EXIT
	start_standins "$root/misc/deployments/aspen-hearth/standins.json"
	local i zones=(sk-a sk-b sk-c)
	for i in $(seq 0 $(($1 - 1))); do
		start_node "entry-$i" "${zones[$((i % 3))]}"
	done
	register_nodes
	"$cli" config publish "$root/misc/deployments/aspen-hearth/configuration.json" --node "${node_admin[entry-0]}" --base 0 >/dev/null
	for i in $(seq 0 $(($1 - 1))); do
		wait_ready "entry-$i"
	done
	sleep 6
	for i in $(seq 0 $(($1 - 1))); do sample "entry-$i"; done >"$out/before"
	sleep "$seconds"
	for i in $(seq 0 $(($1 - 1))); do sample "entry-$i"; done >"$out/after"
	jq -rs --argjson n "$1" --argjson s "$seconds" '[.[0:$n], .[$n:]] | transpose | map({cpu: ((.[1][0] - .[0][0]) / $s * 100), mb: (.[1][1] / 1024), link: ((.[1][2] - .[0][2]) / $s / 1024), client: ((.[1][3] - .[0][3]) / $s / 1024)}) as $rows
		| def mid(f): ($rows | map(f) | sort | .[length / 2 | floor]); def top(f): ($rows | map(f) | max);
		def r2: . * 100 | round / 100;
		"| \($n) | \(mid(.cpu) | r2) (\(top(.cpu) | r2)) | \(mid(.mb) | r2) (\(top(.mb) | r2)) | \(mid(.link) | r2) (\(top(.link) | r2)) | \(mid(.client) | r2) (\(top(.client) | r2)) |"' "$out/before" "$out/after"
); }

# requests RATE: one node under load; CPU of the node for each request and token, its own control cost taken off.
requests() { (
	# shellcheck source=misc/scripts/fleet.sh
	. "$root/misc/scripts/fleet.sh"
	trap stop_all EXIT
	start_standins "$root/misc/deployments/aspen-hearth/standins.json"
	start_node entry-0 sk-a
	register_nodes
	"$cli" config publish "$root/misc/deployments/aspen-hearth/configuration.json" --node "${node_admin[entry-0]}" --base 0 >/dev/null
	wait_ready entry-0
	sleep 2
	local before middle after
	before=$(sample entry-0)
	sleep 5
	middle=$(sample entry-0)
	"$cli" load --targets "$(all_callers)" --mix "$root/misc/mixes/aspen-summaries.json" --rate "$1" --seconds 10 --quiet --format json >"$out/load.json"
	after=$(sample entry-0)
	jq -r --argjson b "$before" --argjson m "$middle" --argjson a "$after" --argjson rate "$1" '
		(($m[0] - $b[0]) / 5) as $idle | (($a[0] - $m[0]) - $idle * (.latency_ms.p99 / 1000 + 10)) as $cpu
		| (.token_gap_ms.count + .first_token_ms.count) as $tokens
		| "| \($rate) | \(.requests) | \($tokens) | \($cpu * 100 | round / 100) | \($cpu / .requests * 1000 * 100 | round / 100) | \($cpu / $tokens * 1000000 * 10 | round / 10) | \($a[1] / 1024 | round) | \(.attainment) |"' "$out/load.json"
); }

{
	echo "| requests/s offered | requests | tokens streamed | CPU s | CPU ms a request, its tokens included | CPU µs a token, its request included | memory, MB | attainment |"
	echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
	for rate in 10 20 40 80; do
		requests "$rate"
	done
} >"$out/requests.md"

{
	echo "| nodes | CPU, % of a core | memory, MB | links, KB/s | platform and load reports, KB/s |"
	echo "| --- | --- | --- | --- | --- |"
	for size in "${sizes[@]}"; do
		fleet "$size"
	done
} >"$out/fleet.md"

{
	echo "| decision | time | counters |"
	echo "| --- | --- | --- |"
	jq -r '.benchmarks[] | select(.aggregate_name == "median") | "| \(.run_name) | \(.cpu_time / 1000 * 1000 | round / 1000) µs | \([to_entries[] | select(.key | test("bytes")) | "\(.key) \(.value | round)"] | join(", ")) |"' "$out/bench.json"
} >"$out/decisions.md"

page=$root/docs/CAPACITY.md
for part in decisions requests fleet; do
	{
		sed "/<!-- $part begins -->/q" "$page"
		cat "$out/$part.md"
		sed -n "/<!-- $part ends -->/,\$p" "$page"
	} >"$out/page"
	cp "$out/page" "$page"
done
cat "$out/decisions.md" "$out/requests.md" "$out/fleet.md"
