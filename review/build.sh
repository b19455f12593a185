#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library (review/standin.py): nothing is compiled.
# Checks that they can be loaded, and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"; import standin'
[ -x ../target/monsoonstage ] || { echo "target/monsoonstage is missing: run the build of deploy/system.toml first" >&2; exit 1; }
