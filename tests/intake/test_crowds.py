"""Guard against clients outside the limits ending a host's process.

Each test runs one host as a process. A crowd of clients sends more than the host may
hold and reads nothing. The checks depend on no time: the process lives, its memory and
open descriptors stay under a bound, it answers an ordinary request and the readiness
check, and a planned stop ends it with status 0.
"""

import asyncio
import contextlib
import fcntl
import os

import pytest

from tests.gateway.fleet import KEY, fleet
from tests.gateway.test_planned_stop import RunningHost

from .crowd import CHUNKED, PIPELINED, READINESS, TRAILERS, Client, Holder

CROWD = 8
MEMORY_MB = 64
#: Part of the memory that a calm host leaves free which a crowd may take.
MAX_SHARE = 0.5
MAX_DESCRIPTORS = 160
#: Connections that are held open; more than the descriptors of the host.
HELD_CONNECTIONS = 220
FRONTEND, READINESS_PORT, METRICS_PORT = 0, 1, 3


#: Guards against a host that hangs; no bound of what is tested.
HANG_TIME = 30.0


@pytest.fixture(autouse=True)
def alone(tmp_path_factory):
    """Run one of these tests at a time, also where several workers run tests."""
    root = tmp_path_factory.getbasetemp()
    shared = root.parent if "PYTEST_XDIST_WORKER" in os.environ else root
    with (shared / "crowds.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def watch(process, bound, peaks):
    """Record the memory and the descriptors; return if the memory exceeds the bound."""
    while True:
        peaks.append((process.memory(), process.descriptors()))
        if peaks[-1][0] > bound:
            return
        await asyncio.sleep(0.01)


async def send_until_answered(caller):
    async with asyncio.timeout(HANG_TIME):
        while (await caller.send("GET", "/look/x"))[1] != 200:
            await asyncio.sleep(0.1)


async def until_ready(process):
    async with asyncio.timeout(HANG_TIME):
        while not await process.is_ready():
            await asyncio.sleep(0.1)


async def press_and_check(folder, crowd_of):
    """Have a crowd press on a host until it gives up, then check the host."""
    async with (
        fleet(engines=0, hosts=0) as (system, caller),
        RunningHost(
            system, folder, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
        ) as host,
    ):
        system.urls.append(host.url)
        await asyncio.sleep(0.5)
        process, peaks = host.process, []
        calm = process.memory()
        bound = calm + MAX_SHARE * (MEMORY_MB * 1_000_000 - calm)
        crowd = crowd_of(process.addresses)
        watching = asyncio.create_task(watch(process, bound, peaks))
        pressing = asyncio.gather(*(client.run() for client in crowd))
        try:
            await asyncio.wait(
                [watching, pressing], return_when=asyncio.FIRST_COMPLETED
            )
            if not watching.done():
                await send_until_answered(caller)
                await until_ready(process)
            print("calm", calm, "most", max(peaks), max(c for _, c in peaks))
            assert process.memory() > 0
            assert max(memory for memory, _ in peaks) <= bound
            assert max(count for _, count in peaks) <= MAX_DESCRIPTORS
            watching.cancel()
            await host.stop()
        finally:
            watching.cancel()
            pressing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await pressing
            for client in crowd:
                client.close()


async def test_trailers_without_end_end_no_process(tmp_path):
    begin = CHUNKED % KEY.encode()
    await press_and_check(
        tmp_path,
        lambda addresses: [
            Client(addresses[FRONTEND], TRAILERS, begin=begin) for _ in range(CROWD)
        ],
    )


@pytest.mark.parametrize(
    ("port", "request_bytes"),
    [
        pytest.param(FRONTEND, PIPELINED, id="service"),
        pytest.param(FRONTEND, READINESS, id="readiness-path"),
        pytest.param(READINESS_PORT, READINESS, id="readiness-port"),
        pytest.param(METRICS_PORT, READINESS, id="metrics-port"),
    ],
)
async def test_unread_pipelined_requests_end_no_process(tmp_path, port, request_bytes):
    await press_and_check(
        tmp_path,
        lambda addresses: [
            Client(addresses[port], request_bytes) for _ in range(CROWD)
        ],
    )


@pytest.mark.parametrize("port", [FRONTEND, READINESS_PORT, METRICS_PORT])
@pytest.mark.parametrize(
    "begin",
    [
        pytest.param(b"", id="silent"),
        pytest.param(b"\r\n", id="blank-line"),
        pytest.param(b"GET / HTTP/1.1\r\nA: ", id="half-head"),
    ],
)
async def test_held_connections_leave_descriptors_for_others(tmp_path, port, begin):
    await press_and_check(
        tmp_path,
        lambda addresses: [Holder(addresses[port], HELD_CONNECTIONS, begin=begin)],
    )
