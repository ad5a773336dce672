#!/usr/bin/env bash
# Installs the packages that building and testing need, if any is missing. Takes no arguments.
set -euo pipefail

packages=(
	g++ cmake ninja-build pkg-config clang-format clang-tidy ccache curl jq cpio
	libsigc++-3.0-dev libevent-dev libhttp-parser-dev libflatbuffers-dev flatbuffers-compiler
	prometheus-cpp-dev libboost-program-options-dev libgoogle-glog-dev
	librapidcheck-dev libgtest-dev libbenchmark-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
	if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
		missing+=("$package")
	fi
done
if [ "${#missing[@]}" -eq 0 ]; then
	exit 0
fi
echo "installing: ${missing[*]}"
as_root=()
if [ "$(id -u)" -ne 0 ]; then
	as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
