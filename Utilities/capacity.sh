#!/usr/bin/env bash
# Measures the costs listed in docs/CAPACITY.md at three sizes each, which shows how they grow, and
# prints one line per value: capacity NAME SIZE VALUE UNIT.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/packages.sh
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! { cmake --preset release && cmake --build --preset release; } >"$log" 2>&1; then
    tail -n 50 "$log" >&2
    exit 1
fi
programs=build/release/Tests/Capacity
for size in 1000 10000 42300; do
    "$programs/capacity-state" tasks "$size"
done
for size in 1000 4300 10000; do
    "$programs/capacity-state" changes "$size"
done
for size in 10 100 300; do
    "$programs/capacity-links" "$size"
done
for size in 100 700 2800; do
    "$programs/capacity-search" "$size"
done
