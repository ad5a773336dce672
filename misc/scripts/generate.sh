#!/usr/bin/env bash
# Writes drivers/generated from misc/schema/node_link.fbs; commit the result.
set -euo pipefail
cd "$(dirname "$0")/../.."
flatc --cpp -o drivers/generated misc/schema/node_link.fbs
