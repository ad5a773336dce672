#!/usr/bin/env bash
# Checks that lower layers know nothing of higher ones, that decisions touch nothing outside, and that no name of a class stands twice.
set -euo pipefail
cd "$(dirname "$0")/../.."

status=0
# forbid FOLDERS PATTERN MESSAGE
forbid() {
	local found
	# shellcheck disable=SC2086
	if found=$(grep -rnE "$2" $1 --include='*.h' --include='*.cpp'); then
		echo "$3:"
		echo "$found"
		status=1
	fi
}

forbid "core" '#include "(servers|drivers|platform|main|tests)/' "core includes a higher layer"
forbid "servers" '#include "(drivers|platform|main|tests)/' "servers includes a higher layer"
forbid "drivers" '#include "(platform|main|tests)/' "drivers includes a higher layer"
forbid "platform" '#include "(main|tests)/' "platform includes a higher layer"
forbid "core servers drivers main" 'since_rev|X-Replica|X-Attempt-Id|route_kind|slo_ms|itl_target|stage-run|stage-free|log-newest|log-read|log-append|X-Segment|X-Token-Usage|X-Prefix-Hash|kv_capacity|X-Not-Executed|X-Expect' "a name of the platform outside platform/"
forbid "main" '#include "tests/' "main includes tests"
forbid "core servers" '#include <event2|(steady|system)_clock::now|\bLOG\(|std::random_device|\brand\(' "a decision touches the outside"
# The linker keeps one destructor for two classes of one name, without a word.
if twice=$(grep -rhE '^(class|struct) [a-z_]+( :| \{)' core servers drivers platform main --include='*.h' --exclude-dir=generated | sed -E 's/^(class|struct) ([a-z_]+).*/\2/' | sort | uniq -d | grep .); then
	echo "classes of one name in two headers: $twice"
	status=1
fi
exit "$status"
