#!/usr/bin/env bash
# Runs the case. Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/monsoonstage ] || { echo "target/monsoonstage is missing: build it as deploy/system.toml says"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout 119 python3 case.py
code=$?
[ $code -le 1 ] || exit 2
exit $code
