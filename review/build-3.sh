#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/13 into target/review-3. Run it after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
compile=(g++ -std=c++20 -O1 -Wall -Wextra -pthread)
"${compile[@]}" -c -o target/review-3/deployment.o review/standins-3/deployment.cpp
for source in resets crashloop foreign; do
    "${compile[@]}" -o "target/review-3/$source" "review/standins-3/$source.cpp" \
        target/review-3/deployment.o
done
