"""Test the start of the program of an entry host."""

import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"
#: Stops at the daemon's first step, which reads the settings.
SCRIPT = """
import gc, entry_host

def count():
    return sum(stats["collections"] for stats in gc.get_stats())

before = count()
try:
    entry_host.run()
except SystemExit:
    print(count() - before, gc.isenabled(), gc.get_freeze_count() > 10_000)
"""


def test_imports_are_not_interrupted_by_garbage_collections():
    process = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        env={"PYTHONPATH": str(SOURCE), "AMARANTHFERRY_SETTINGS": "/nowhere"},
        capture_output=True,
        text=True,
        check=True,
    )
    collections, enabled, frozen = process.stdout.split()
    assert int(collections) <= 1
    assert (enabled, frozen) == ("True", "True")
