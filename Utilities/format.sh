#!/usr/bin/env bash
# Formats every source file in place; with --check, only checks the format.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
    mode=(--dry-run --Werror)
fi
find Source Tests platform -name '*.h' -o -name '*.cpp' | xargs --no-run-if-empty -P 8 -n 16 clang-format "${mode[@]}"
