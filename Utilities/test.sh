#!/usr/bin/env bash
# Installs packages, checks the format, builds with the linter and warnings as errors, and runs
# every test program. Tests listed in KNOWN-RED.txt are printed and not run.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/packages.sh

echo "== format"
Utilities/format.sh --check

echo "== lint and build"
cmake --preset tidy >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build --preset tidy -- -k 0

echo "== tests"
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
exclude=()
if [ -n "$known_red" ]; then
    echo "Listed in KNOWN-RED.txt, not run:"
    printf '%s\n' "$known_red" | sed 's/^/  /'
    pattern=$(printf '%s\n' "$known_red" | sed 's/[][().*+?^$|\\{}]/\\&/g' | paste -sd'|')
    exclude=(--exclude-regex "^($pattern)\$")
fi
ctest --preset tidy --parallel 4 "${exclude[@]}"

echo "== quickstart"
# The loopback prefix depends on the process id to avoid a conflict with another quickstart run.
Utilities/quickstart.sh --build build/tidy --hosts "127.$((1 + $$ % 250))"
