# Functions to start and stop stand-ins and entry nodes on loopback; sourced by the other scripts.
# The caller sets root (the checkout) and build (the build folder). All files go to $work, all pids to $pids.

work=$(mktemp -d)
pids=()
declare -gA node_pid node_callers node_admin node_link node_zone node_args
fleet_key=fleet-key-for-loopback-only
log_retention=86400

fail() {
	echo "failed: $*" >&2
	exit 1
}

# Ends processes by pid: asks first, waits up to five seconds, then kills.
end_processes() {
	local pid
	for pid in "$@"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill "$pid" 2>/dev/null || true
	done
	for pid in "$@"; do
		for _ in $(seq 100); do
			kill -0 "$pid" 2>/dev/null || break
			sleep 0.05
		done
		kill -9 "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
}

# Stops everything this script started and removes its files. Nodes go before the log that they flush to.
stop_all() {
	local pid others=()
	for pid in "${pids[@]}"; do
		[ "$pid" = "${standins_pid:-}" ] || others+=("$pid")
	done
	end_processes "${others[@]}"
	end_processes ${standins_pid:+"$standins_pid"}
	rm -rf "$work"
}

# Value of a string member of the JSON line in a file.
json_string() {
	sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1
}

wait_for_line() {
	for _ in $(seq 200); do
		[ -s "$1" ] && grep -q '^{' "$1" && return 0
		sleep 0.05
	done
	return 1
}

# start_standins SPECIFICATION: sets log, vm_list and control.
start_standins() {
	"$build/tests/calicoscale_standins" "$1" >"$work/standins.json" 2>"$work/standins.err" &
	standins_pid=$!
	pids+=("$standins_pid")
	wait_for_line "$work/standins.json" || fail "the stand-ins did not start: $(cat "$work/standins.err")"
	log=$(json_string "$work/standins.json" log)
	vm_list=$(json_string "$work/standins.json" vm_list)
	control=$(json_string "$work/standins.json" control)
}

# start_node VM ZONE [ADDRESSES]: keeps the addresses of an earlier life when given "again".
start_node() {
	local vm=$1 zone=$2 again=${3:-}
	local callers=127.0.0.1:0 admin=127.0.0.1:0 link=127.0.0.1:0
	if [ "$again" = again ]; then
		callers=${node_callers[$vm]} admin=${node_admin[$vm]} link=${node_link[$vm]}
	fi
	cat >"$work/$vm.settings.json" <<JSON
{
	"vm": "$vm", "zone": "$zone", "region": "loopback",
	"caller_address": "$callers", "admin_address": "$admin", "link_address": "$link",
	"fleet_key": "$fleet_key",
	"platform": { "log": "$log", "vm_list": "$vm_list", "log_retention_seconds": $log_retention },
	"drain": { "listen_seconds": 0.3, "longest_seconds": 30 },
	"allow_fault_injection": true
}
JSON
	: >"$work/$vm.json"
	"$build/calicoscale" serve --settings "$work/$vm.settings.json" >"$work/$vm.json" 2>>"$work/$vm.log" &
	node_pid[$vm]=$!
	pids+=("${node_pid[$vm]}")
	wait_for_line "$work/$vm.json" || fail "node $vm did not start: $(tail -n 5 "$work/$vm.log")"
	node_callers[$vm]=$(json_string "$work/$vm.json" callers)
	node_admin[$vm]=$(json_string "$work/$vm.json" admin)
	node_link[$vm]=$(json_string "$work/$vm.json" link)
	node_zone[$vm]=$zone
}

# Tells the list of VMs about all nodes.
register_nodes() {
	local vm entries=""
	for vm in "${!node_link[@]}"; do
		entries+="${entries:+,}{\"vm\":\"$vm\",\"zone\":\"${node_zone[$vm]}\",\"address\":\"${node_link[$vm]}\"}"
	done
	curl -sS -o /dev/null -d "{\"entries\":[$entries]}" "http://$control/entries" || fail "the stand-ins do not answer"
}

# fault TARGET FAULT [AMOUNT] [SHARE]
fault() {
	curl -sS -o /dev/null -f -d "{\"target\":\"$1\",\"fault\":\"$2\",\"amount\":${3:-0},\"share\":${4:-1}}" "http://$control/fault" || fail "cannot set fault $2 at $1"
}

wait_ready() {
	local vm
	for vm in "$@"; do
		for _ in $(seq 200); do
			curl -sS -o /dev/null -f "http://${node_admin[$vm]}/readyz" 2>/dev/null && continue 2
			sleep 0.05
		done
		fail "node $vm is not ready: $(tail -n 5 "$work/$vm.log")"
	done
}

# All caller addresses, comma separated.
all_callers() {
	local vm list=""
	for vm in "${!node_callers[@]}"; do
		list+="${list:+,}${node_callers[$vm]}"
	done
	echo "$list"
}
