#!/usr/bin/env bash
# Plays seeds of the fault soak (Tests/Soak) one after the other and prints one line a seed. The
# output of all processes of a seed that fails is kept under --logs.
set -euo pipefail
cd "$(dirname "$0")/.."

usage="usage: Utilities/soak.sh --seeds N [--first S] [--logs FOLDER] [--build FOLDER]"
seeds= first=1 logs=soak-logs build=build/release
while [ $# -gt 0 ]; do
    [ $# -ge 2 ] || { echo "$usage" >&2; exit 2; }
    case $1 in
    --seeds) seeds=$2 ;;
    --first) first=$2 ;;
    --logs) logs=$2 ;;
    --build) build=$2 ;;
    *) echo "$usage" >&2; exit 2 ;;
    esac
    shift 2
done
[ -n "$seeds" ] || { echo "$usage" >&2; exit 2; }
[ -f "$build/build.ninja" ] || cmake --preset release >/dev/null
# Two builds at once in one folder would replace programs that the other soak runs.
flock "$build" cmake --build "$build" --target soak >/dev/null

mkdir -p "$logs"
failed=0
for ((seed = first; seed < first + seeds; ++seed)); do
    folder=$logs/seed-$seed
    rm -rf "$folder"
    if "$build/Tests/Soak/soak" "$seed" "$folder" 2>"$logs/seed-$seed.txt"; then
        rm -rf "$folder" "$logs/seed-$seed.txt"
    else
        failed=$((failed + 1))
        [ -d "$folder" ] && mv "$logs/seed-$seed.txt" "$folder/messages"
        echo "  kept: $folder"
    fi
done
echo "$seeds seeds, $failed failed"
[ "$failed" -eq 0 ]
