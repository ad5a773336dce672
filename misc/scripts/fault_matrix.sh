#!/usr/bin/env bash
# Runs the fault matrix and rewrites its table in docs/FAULTS.md from the cells that passed.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
build=${CALICOSCALE_BUILD:-$root/build}
cells=$(mktemp)
trap 'rm -f "$cells" "$cells.page"' EXIT

# Each test appends its cell; one file and short lines, so parallel runs do not mix them.
CALICOSCALE_MATRIX_FILE=$cells ctest --test-dir "$build" -j "$(nproc)" -R 'fault_matrix' --output-on-failure >/dev/null || { echo "the fault matrix has failing cells" >&2; exit 1; }

page=$root/docs/FAULTS.md
{
	sed '/<!-- matrix begins -->/q' "$page"
	echo "| step | fault | what the caller is told | test |"
	echo "| --- | --- | --- | --- |"
	sort -u "$cells" | awk -F'|' '{ printf "| %s | %s | %s | `%s` |\n", $1, $2, $3, $4 }' | sed 's/fault_matrix_cell\/tells_the_truth\/\([^`]*\)/fault_matrix_cell: \1/'
	sed -n '/<!-- matrix ends -->/,$p' "$page"
} >"$cells.page"
cp "$cells.page" "$page"
echo "$(sort -u "$cells" | wc -l) cells written to docs/FAULTS.md"
