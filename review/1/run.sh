#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it
# does the same without the foreign heartbeat.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/foreign_heartbeat ] || exit 2
exec target/review/foreign_heartbeat review/1 "${TROUBLE:-1}"
