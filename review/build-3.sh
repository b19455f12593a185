#!/usr/bin/env bash
# The stand-ins of review/11 and later are review/kit3/platform3.py: Python's standard library only, nothing to compile.
cd "$(dirname "$0")" || exit 2
python3 - <<'PY'
import ast, sys
sys.exit("Python 3.8 or later is needed") if sys.version_info < (3, 8) else ast.parse(open("kit3/platform3.py").read())
PY
