#!/usr/bin/env bash
# Builds the project, runs the programs of Tests/Bench one after another, and prints one line for
# each figure in a fixed order: figure NAME VALUE UNIT target BOUND. The value of a figure that no
# program printed is not-run. With arguments, only the programs bench-ARGUMENT run.
set -euo pipefail
cd "$(dirname "$0")/.."

figures=(
    "request.added_p50 ms <=0.5"
    "request.added_p99 ms <=2"
    "request.throughput_ratio ratio >=0.5"
    "request.goodput_ratio ratio >=0.9"
    "placement.p99_ratio ratio <=0.6"
    "placement.evictions_ratio ratio <=1"
    "placement.decision us <=40"
    "control.starts_rate 1/s >=2300"
    "control.failover s <=1.6"
    "config.in_force s <=4"
    "control.restart s <=1"
    "agent.memory MiB <=32"
    "agent.network KiB/s <=2"
    "agent.processor % <=1.6"
)

Utilities/packages.sh
build=build/release
log=$(mktemp)
measured=$(mktemp)
trap 'rm -f "$log" "$measured"' EXIT
if ! { cmake --preset release && cmake --build --preset release; } >"$log" 2>&1; then
    tail -n 50 "$log" >&2
    exit 1
fi

failed=0
for program in "$build"/Tests/Bench/bench-*; do
    [ -x "$program" ] || continue
    name=${program##*/bench-}
    if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
        continue
    fi
    echo "# bench-$name" >&2
    # Standard output holds only figures; the programs write everything else to standard error.
    if ! "$program" >>"$measured"; then
        echo "bench-$name failed" >&2
        failed=1
    fi
done

for figure in "${figures[@]}"; do
    read -r name unit bound <<<"$figure"
    line=$(grep "^figure $name " "$measured" | tail -n 1 || true)
    echo "${line:-figure $name not-run $unit target $bound}"
done
exit "$failed"
