#!/usr/bin/env bash
# Builds what is needed, starts stand-ins and three entry nodes on loopback, sends requests through three pipelines,
# and shows answers, costs and a time line. With --keep everything stays up until interrupted.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
build=${CALICOSCALE_BUILD:-$root/build}
keep=no
if [ "${1:-}" = --keep ]; then
	keep=yes
elif [ $# -gt 0 ]; then
	echo "usage: demo.sh [--keep]" >&2
	exit 2
fi

"$root/misc/scripts/install.sh" >&2
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target calicoscale calicoscale_standins >&2

# shellcheck source=misc/scripts/fleet.sh
. "$root/misc/scripts/fleet.sh"
trap stop_all EXIT
trap 'exit 130' INT TERM HUP

deployment=$root/misc/deployments/aspen-hearth
cli=$build/calicoscale
key=demo-key-members-east

start_standins "$deployment/standins.json"
start_node entry-a sk-a
start_node entry-b sk-b
start_node entry-c sk-c
register_nodes
"$cli" config publish "$deployment/configuration.json" --node "${node_admin[entry-a]}" --base 0 --author demo --wait >&2 || fail "the configuration was not accepted"
wait_ready entry-a entry-b entry-c

if [ "$keep" = yes ]; then
	printf '{"callers":["%s","%s","%s"],"admin":["%s","%s","%s"],"customer":"members-east","key":"%s","faults":"http://%s/fault"}\n' \
		"${node_callers[entry-a]}" "${node_callers[entry-b]}" "${node_callers[entry-c]}" \
		"${node_admin[entry-a]}" "${node_admin[entry-b]}" "${node_admin[entry-c]}" "$key" "$control"
	while true; do sleep 1; done
fi

# ask NODE PIPELINE BODY [HEADER]: prints the answer, fails unless it is complete.
ask() {
	local answer
	echo
	echo "== $2 at $1"
	answer=$(curl -sS -N --max-time 10 -H "Authorization: Bearer $key" -H 'Request-Deadline-Ms: 4000' ${4:+-H "$4"} -d "$3" "http://${node_callers[$1]}/v1/pipelines/$2/requests") || fail "no answer for $2"
	echo "$answer"
	echo "$answer" | grep -q '"verdict":"completed"' || fail "$2 was not completed"
}

ask entry-a draft-letter '{"input":{"marker":"letter-1","text":"a first letter to Margaret"},"stream":true}'
ask entry-b quick-reply '{"input":{"marker":"reply-1","text":"thank you for Sunday"}}'
once="$(date +%s%3N)-demo"
ask entry-c send-letter '{"input":{"marker":"send-1","text":"Dear Margaret"}}' "Idempotency-Key: $once"
echo
echo "== send-letter again under the same key, at another node: the first outcome, no second run"
ask entry-a send-letter '{"input":{"marker":"send-1","text":"Dear Margaret"}}' "Idempotency-Key: $once"
runs=$(curl -sS "http://$control/most_runs?pool=messaging")
[ "$runs" = 1 ] || fail "the letter was sent $runs times"

sleep 2.5
echo
echo "== cost by stage and customer"
"$cli" costs --node "${node_admin[entry-b]}" --by stage,customer || fail "no costs"
echo
echo "== status of entry-a"
"$cli" status --node "${node_admin[entry-a]}" || fail "no status"
echo
echo "== time line over all nodes (newest 40 events)"
"$cli" timeline --node "${node_admin[entry-a]}" --most 400 >"$work/timeline" || fail "no time line"
head -n 1 "$work/timeline"
grep -v 'endpoint_changed' "$work/timeline" | tail -n 40

for vm in entry-a entry-b entry-c; do
	"$cli" drain --node "${node_admin[$vm]}" >/dev/null || fail "$vm does not drain"
done
for vm in entry-a entry-b entry-c; do
	wait "${node_pid[$vm]}" || fail "$vm did not stop cleanly"
done
echo
echo "demo complete"
