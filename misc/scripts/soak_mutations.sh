#!/usr/bin/env bash
# Breaks one mechanism at a time in a scratch copy and checks that the soak of real processes notices, by a promise that the
# unbroken program keeps on the same seeds. Prints a table for docs/FAULTS.md.
# With an argument, a regular expression, only the mutations of mechanisms that match it are tried.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
only=${1:-.}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export TMPDIR=$scratch/runs
mkdir "$TMPDIR"

# Two bursts each; the seeds together have every action and every misbehaviour of endpoints.
seeds=(101 102 103 104 105 106)
seconds=29
jobs=${CALICOSCALE_JOBS:-4}

git -C "$root" ls-files | grep -v '^journal/' | (cd "$root" && cpio -pdm --quiet "$scratch/tree")
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja >/dev/null
cmake --build "$scratch/build" -j "$jobs" --target soak calicoscale >"$scratch/log" 2>&1
status=0

# play [OPTION]: the promises that the program breaks on the seeds, each once.
play() {
	printf '%s\n' "${seeds[@]}" | xargs -P "${#seeds[@]}" -I{} "$scratch/build/tests/soak" --program "$scratch/build/calicoscale" --seeds {} 1 --seconds "$seconds" "$@" >"$scratch/log" 2>&1 || true
	sed -n 's/^  \([a-z_]*\) broken [0-9]* times$/\1/p' "$scratch/log" | sort -u
}

for option in "" --copies --silences --ends --versions --malformed; do
	play ${option:+"$option"} >"$scratch/unbroken$option"
	echo "broken without any mutation${option:+, $option}: $(paste -sd ' ' "$scratch/unbroken$option")"
done
echo
echo "| mechanism | how it was broken | noticed by |"
echo "| --- | --- | --- |"

# mutate MECHANISM WHAT FILE FROM TO [OPTION]: the option of the soak adds the trouble that reaches the mechanism.
mutate() {
	local file=$scratch/tree/$3 option=${6:-} noticed
	[[ $1 =~ $only ]] || return 0
	cp "$file" "$scratch/original"
	FROM=$4 TO=$5 perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
	if cmp -s "$file" "$scratch/original"; then
		noticed="NOT APPLIED"
		status=1
	elif ! cmake --build "$scratch/build" -j "$jobs" --target calicoscale >"$scratch/log" 2>&1; then
		noticed="does not compile"
		status=1
	else
		noticed=$(play ${option:+"$option"} | comm -23 - "$scratch/unbroken$option" | paste -sd, | sed 's/,/, /g')
		if [ -z "$noticed" ]; then
			noticed="NOT NOTICED"
			status=1
		fi
	fi
	echo "| $1 | $2${option:+ (\`$option\`)} | $noticed |"
	cp "$scratch/original" "$file"
}

request=main/gateway/gateway_request.cpp
mutate "rested connections" "what crosses their end is read and thrown away" drivers/caller_connection.cpp "void caller_connection::close_without_reading(connection_end p_end) {
" "void caller_connection::close_without_reading(connection_end p_end) {
	_linger(p_end);
	if (_phase == phase::LINGERING) {
		return;
	}
"
mutate "at most once" "every request may be repeated" $request "const bool is_safe = route.repeats" "const bool is_safe = true || route.repeats"
mutate "planned stop" "the process ends at once" main/gateway/gateway.cpp '_enter(stop_phase::LISTENING, "listening");' "_has_stopped = true;
	_context.loop.stop();"
mutate "configuration" "a new one is not taken once there is one" platform/configuration_reader.cpp "if (_current && parsed->version <= _current->version)" "if (_current)"
mutate "configuration" "an older one replaces a newer one" platform/configuration_reader.cpp "if (_current && parsed->version <= _current->version)" "if (false)" --copies
mutate "silent store" "a read without an answer is never repeated" main/gateway/topic_reader.cpp "	_send(*repeated_read);" "" --silences
mutate "leaving" "the state of an endpoint is ignored" platform/endpoint_codec.cpp "	return r_listing.leaving || *state == SERVING_STATE" "	const bool was_leaving = r_listing.leaving;
	r_listing.leaving = false;
	return was_leaving || *state == SERVING_STATE"
mutate "echo" "an answer with another request's id is taken" drivers/endpoint_channels.cpp "_skipping = echo != nullptr && *echo != _request.echo_value;" "_skipping = false;"
mutate "seal" "a success without one is passed on" $request "if (!_answer.get_notes().has_seal) {
			_on_failure" "if (false) {
			_on_failure"
mutate "not run" "a refusal is given though something may have run" $request "if (_tally.get_verdict() != verdict::NOT_RUN || _stages.may_have_run() || _answer_started)" "if (_answer_started)"
mutate "whole answers" "one that was broken off is passed on as whole" $request "if (p_end != answer_end::COMPLETE) {
		_on_failure" "if (false) {
		_on_failure"
mutate "streams" "half an event stays before another endpoint goes on" main/gateway/received_answer.cpp "	_events.restart();" ""
mutate "streams" "one that ends inside an event is passed on as whole" main/gateway/received_answer.cpp "return _events.is_inside_event() || lacks_events" "return lacks_events" --ends
mutate "deadline" "a request is never given up" $request "_give_up_timer.set_at(_give_up_at);" ""
mutate "stream versions" "a stream goes on at any version" main/gateway/admitted_request.cpp " && (!version || p_listing.version == *version)" "" --versions
mutate "stream records" "they are forgotten" servers/streams/stream_table.cpp "	_insert(record);
" "" --versions
mutate "syntax of messages" "any byte follows a carriage return" drivers/http_syntax_checker.cpp "return p_byte == '\n' ? _part_behind_line : part::FAILED;" "return _part_behind_line;" --malformed
exit "$status"
