#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "target/review/$name.o" &
done
wait
for source in review/standins/*.cpp; do
    name="$(basename "$source" .cpp)"
    if [ "$name" != harness ]; then
        g++ -pthread "target/review/$name.o" target/review/harness.o -o "target/review/$name"
    fi
done
