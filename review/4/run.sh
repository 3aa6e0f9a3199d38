#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it
# does the same without the unanswered orders.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/draining_starts ] || exit 2
exec target/review/draining_starts review/4 "${TROUBLE:-1}"
