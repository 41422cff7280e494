"""Compare the processor time that a request costs in the listener of two trees.

Run as `python -m benchmarks.bench_listener BASE_SRC`, with the `src` directory of the
other tree. Each pair of runs measures both, in alternating order, each in a process of its
own: a client sends the same small request again and again on one connection, or on a new
connection each time, and reads the response. The figures include the client.
"""

import statistics
import subprocess
import sys
from pathlib import Path

PAIRS = 9
REQUESTS = 5_000
CONNECTIONS = 1_000
OWN_SRC = Path(__file__).parent.parent / "src"
PROGRAM = f"""
import asyncio, time
from amaranthferry.embedded import free_address
from amaranthferry.gateway.listener import Listener

REQUEST = (
    b"GET /look/x HTTP/1.1\\r\\nHost: desk.example\\r\\nAccept: */*\\r\\n"
    b"X-Amaranthferry-Attempt-Id: attempt-1\\r\\nX-Amaranthferry-Deadline-Ms: 2000\\r\\n"
    b"X-Amaranthferry-Key: key-of-field\\r\\nUser-Agent: bench\\r\\n\\r\\n"
)
START = {{"type": "http.response.start", "status": 200,
         "headers": [(b"content-length", b"2")]}}

async def application(scope, receive, send):
    await send(START)
    await send({{"type": "http.response.body", "body": b"ok"}})

def listener(address):
    try:
        from amaranthferry.intake.accounting import Intake
        from amaranthferry.intake.state import IntakeLimits, Port
    except ImportError:
        return Listener(application, address)
    intake = Intake(IntakeLimits(10_000_000, {{Port.CALLERS: 1_000}}))
    return Listener(application, address, port=Port.CALLERS, intake=intake)

async def main():
    address = free_address()
    host = listener(address)
    host.set_idle_timeout(15.0)
    await host.start()
    ip, _, port = address.partition(":")
    async def ask(reader, writer):
        writer.write(REQUEST)
        await reader.readuntil(b"ok")
    reader, writer = await asyncio.open_connection(ip, int(port))
    for _ in range(500):
        await ask(reader, writer)
    began = time.process_time()
    for _ in range({REQUESTS}):
        await ask(reader, writer)
    kept = (time.process_time() - began) / {REQUESTS} * 1e6
    writer.close()
    began = time.process_time()
    for _ in range({CONNECTIONS}):
        reader, writer = await asyncio.open_connection(ip, int(port))
        await ask(reader, writer)
        writer.close()
        await writer.wait_closed()
    new = (time.process_time() - began) / {CONNECTIONS} * 1e6
    print(kept, new)

asyncio.run(main())
"""


def measure(source: Path) -> tuple[float, float]:
    """Return the microseconds for each request, on a kept and on new connections."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={"PYTHONPATH": str(source)},
        capture_output=True,
        text=True,
        check=True,
    )
    kept, new = done.stdout.split()
    return float(kept), float(new)


def main() -> None:
    """Measure both trees in pairs, and print medians and the spread of differences."""
    base = Path(sys.argv[1])
    pairs = []
    for number in range(PAIRS):
        if number % 2:
            own, other = measure(OWN_SRC), measure(base)
        else:
            other, own = measure(base), measure(OWN_SRC)
        pairs.append((other, own))
    for index, name in enumerate(("kept connection", "new connections")):
        before = [other[index] for other, _ in pairs]
        after = [own[index] for _, own in pairs]
        differences = sorted(b - a for a, b in zip(before, after, strict=True))
        print(
            f"{name}: {statistics.median(before):.1f} us before, "
            f"{statistics.median(after):.1f} us after; difference of the pairs: median "
            f"{statistics.median(differences):+.1f}, quartiles "
            f"{differences[len(differences) // 4]:+.1f} and "
            f"{differences[-1 - len(differences) // 4]:+.1f} us"
        )


if __name__ == "__main__":
    main()
