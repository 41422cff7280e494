#!/bin/sh
# Build what the scripts of cases 6 to 10 start beside the project: stand-ins in Python
# that use its own library alone, so that they only have to compile.
cd "$(dirname "$0")" || exit 1
exec python3 - lib-2/*.py [6-9]/*.py 10/*.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(encoding="utf-8"), name, "exec")
PY
