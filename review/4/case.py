"""The desired state changes again and again; all machines end for their memory."""

import asyncio
import itertools
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import HOSTNAME, LEDGER, Load, desired  # noqa: E402
from fleet import Fleet  # noqa: E402
from system import run_case  # noqa: E402

RATES = {"submit-budget": 60.0, "fetch-budget": 30.0}
#: As in the site file: `big_config` count 350; `config_storm` for_s 4.0, gap_s 0.33.
GROWTHS, ROUTES_MORE = 6, 350
STORMS, STORM_S, GAP_S, PAUSE_S = 12, 4.0, 0.33, 1.0


async def case(record, temporary, trouble):
    async with Fleet(record, temporary, work=0.08, events=12) as fleet:
        loads = [
            Load(host, name, rate, record)
            for host in fleet.hosts
            for name, rate in RATES.items()
        ]
        tasks = [asyncio.create_task(load.run(85.0)) for load in loads]
        await asyncio.sleep(2.0)
        changes = 0
        if trouble:
            changes = await change(record, fleet)
        else:
            await asyncio.sleep(40.0)
        for load in loads:
            load.stop()
        await asyncio.gather(*tasks)
        sent = [item for load in loads for item in load.sent]
        lost = fleet.lost(sent, fleet.runs())
        text = f"{fleet.describe(lost)}; changes: {changes}"
        return len(lost) > 3, text


async def change(record, fleet):
    """Let the desired state grow, then change it in storms, until processes end."""
    versions = itertools.count(8)
    more = []
    changes = 0
    for _ in range(GROWTHS):
        more += [route(len(more) + number) for number in range(ROUTES_MORE)]
        changes += write(record, fleet, desired(next(versions), more=more))
        await asyncio.sleep(1.0)
    for storm in range(STORMS):
        record(f"operator  storm {storm + 1}")
        for number in range(int(STORM_S / GAP_S) + 1):
            more[0]["timeoutMs"] = 2500 + number
            changes += write(record, fleet, desired(next(versions), more=more))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
        if all(host.ends for host in fleet.hosts):
            break
    return changes


def write(record, fleet, state):
    """Write a desired state as the operator does; it is acknowledged on return."""
    text = json.dumps(state)
    fleet.store.put("config", "main", json.loads(text))
    used = [round(host.memory()) for host in fleet.hosts]
    record(
        f"operator  version {state['version']}: {len(state['routes'])} routes,"
        f" {len(text)} bytes; memory of the machines {used} MB"
    )
    return 1


def route(number):
    return {
        "name": f"r-more{number}",
        "host": HOSTNAME,
        "pathPrefix": f"/more{number}/",
        "type": "safe",
        "timeoutMs": 2500,
        "goalMs": 150,
        "priority": 2,
        "service": LEDGER,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


run_case(FOLDER, case)
