#!/usr/bin/env bash
# Build the stand-ins of the cases: they are plain Python on the standard library, so
# this only checks that each can be read by the Python that will run it.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/case.py <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed."
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK
