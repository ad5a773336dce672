#!/usr/bin/env bash
# Installs what is missing, builds, checks format and linter, runs all tests plainly and with sanitizers.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root"
build=${CALICOSCALE_BUILD:-$root/build}
jobs=$(nproc)
export RC_PARAMS="seed=20261202 max_success=${CALICOSCALE_PROPERTY_RUNS:-200}"

misc/scripts/install.sh

echo "== format"
mapfile -t sources < <(git ls-files 'core/*.h' 'core/*.cpp' 'servers/*.h' 'servers/*.cpp' 'drivers/*.h' 'drivers/*.cpp' 'main/*.h' 'main/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"

echo "== layers"
misc/scripts/check_layers.sh

echo "== build"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "$jobs"

echo "== linter"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^tests/' | xargs -P "$jobs" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null

echo "== tests with sanitizers"
cmake -S . -B "$build-sanitize" -G Ninja -DCALICOSCALE_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$build-sanitize" -j "$jobs"
ctest --test-dir "$build-sanitize" --output-on-failure -j "$jobs"

echo "== tests"
echo "property tests: $RC_PARAMS"
exec ctest --test-dir "$build" --output-on-failure -j "$jobs"
