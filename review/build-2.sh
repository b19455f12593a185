#!/usr/bin/env bash
# The stand-ins of this review are Python scripts that use the standard library only: nothing to
# compile. Checks that they can be read, and that the build of the deploy file has run.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin2.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
[ -x ../target/monsoonstage ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
