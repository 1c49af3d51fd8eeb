#!/bin/sh
# The stand-ins are Python programs that use the standard library only: nothing is built.
# This checks that the interpreter can load them.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in ("lib/standins.py", "lib/checks.py", "1/case.py", "2/case.py", "3/case.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print("stand-ins are ready")
PY
