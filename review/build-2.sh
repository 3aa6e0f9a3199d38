#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. They go to
# target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for program in minion director outage; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$program" \
        "review/standins-2/$program.cpp" -pthread
done
