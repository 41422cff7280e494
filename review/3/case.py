"""A server in trouble sends a body without end; the machines that read it are killed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import Load  # noqa: E402
from fleet import Fleet  # noqa: E402
from system import run_case  # noqa: E402

#: A server is in trouble for so long, in so many of each five of its answers; then
#: another one is.
TROUBLE_S = 6.0
TROUBLED_OF_FIVE = 2
TROUBLED_SERVERS = 3
RATES = {
    "full-proposal": 5.0,
    "cost-line": 4.0,
    "submit-budget": 75.0,
    "fetch-budget": 35.0,
}
#: One word at a time, each as a chunk of its own.
WORD = b"nan "
BLOCK = b"%x\r\n%b\r\n" % (len(WORD), WORD) * 4096


async def case(record, temporary, trouble):
    async with Fleet(record, temporary, work=0.08, events=12) as fleet:
        loads = [
            Load(host, name, rate, record)
            for host in fleet.hosts
            for name, rate in RATES.items()
        ]
        tasks = [asyncio.create_task(load.run(28.0)) for load in loads]
        await asyncio.sleep(5.0)
        endless = set()
        had_turn = []
        for _ in range(TROUBLED_SERVERS):
            # The one that has got the most so far, but for those that had their turn.
            bad = max(
                (server for server in fleet.engines if server not in had_turn),
                key=lambda server: len(server.runs),
            )
            had_turn.append(bad)
            if trouble:
                bad.had_trouble = True
                record(f"trouble   {bad.name} sends bodies without end")
                bad.trouble = troubled(endless)
            await asyncio.sleep(TROUBLE_S)
            bad.trouble = lambda request: None
            record(f"trouble   {bad.name} is sound again")
        await asyncio.gather(*tasks)
        sent = [item for load in loads for item in load.sent]
        lost = fleet.lost(sent, fleet.runs())
        text = f"{fleet.describe(lost)}; endless answers: {len(endless)}"
        return len(lost) > 3, text


def troubled(endless):
    """Return what spoils some of each five answers of a server."""
    count = 0

    def trouble(request):
        nonlocal count
        count += 1
        if (count - 1) % 5 >= TROUBLED_OF_FIVE:
            return None
        endless.add(request.fields["x-amaranthferry-attempt-id"])
        return send_without_end(request)

    return trouble


async def send_without_end(request):
    """Answer with a failure whose body goes on until the caller closes."""
    channel = request.channel
    await channel.start_chunks(500, [("Content-Type", "text/plain")])
    while True:
        channel.writer.write(BLOCK)
        await channel.writer.drain()
        await asyncio.sleep(0.002)


run_case(FOLDER, case)
