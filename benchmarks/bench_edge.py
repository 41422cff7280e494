"""Measure the latency that an entry host adds, and its processor time per request.

Run as `python -m benchmarks.bench_edge`. The host runs in its own process; the
stand-ins and the callers share another one, so they limit the achieved rate as much
as the host does. The rate that one core allows is computed from the processor time.
"""

import asyncio
import os
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from datetime import UTC, datetime
from pathlib import Path
from uuid import uuid4

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from amaranthferry.embedded import (
    MODEL,
    PEER_KEY,
    api_key,
    build_deployment,
    free_address,
)
from amaranthferry.objects import HttpObjectStore
from amaranthferry.publish import Author, apply
from amaranthferry.standins.engine import EngineStandIn
from amaranthferry.standins.objects import ObjectStandIn
from amaranthferry.standins.serving import serve
from amaranthferry.types import WorkspaceId
from amaranthferry.workloads import KYKLOS

WARM_UP_CALLS = 200
SEQUENTIAL_CALLS = 1_000
CONCURRENT_CALLS = 4_000
CALLERS = 16
STREAMS = 20
STREAM_TOKENS = 500
MICROSECONDS_PER_SECOND = 1_000_000
HEADERS = {"Authorization": f"Bearer {api_key(WorkspaceId('field-officers'))}"}


class Quantiles(msgspec.Struct, frozen=True):
    """Represent latency quantiles in milliseconds."""

    p50: float
    p99: float


async def call(session: aiohttp.ClientSession, url: str, *, tokens: int = 1) -> None:
    """Send a completion request; stream it if it asks for more than one token."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "paid?"}],
        "max_tokens": tokens,
        "stream": tokens > 1,
    }
    path = f"{url}/v1/chat/completions"
    async with session.post(path, json=body, headers=HEADERS) as response:
        text = await response.text()
        if response.status != 200:
            raise RuntimeError(
                f"The call to {path} returned status {response.status}: {text}"
            )


async def time_calls(session: aiohttp.ClientSession, url: str, count: int) -> Quantiles:
    """Time sequential calls."""
    histogram = HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
    for _ in range(count):
        started = time.perf_counter()
        await call(session, url)
        histogram.record_value(
            int((time.perf_counter() - started) * MICROSECONDS_PER_SECOND)
        )
    return Quantiles(
        histogram.get_value_at_percentile(50) / 1_000,
        histogram.get_value_at_percentile(99) / 1_000,
    )


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mebibytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def start_host(stack: AsyncExitStack, platform: str) -> tuple[int, str]:
    """Start a daemon and return its process id and URL."""
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    http = free_address()
    path = Path(folder) / "host.ini"
    path.write_text(
        f"[host]\nhost = host-1\nzone = zone-a\nhttp_address = {http}\n"
        f"peer_address = {free_address()}\nplatform_url = {platform}\n"
        f"peer_key = {PEER_KEY}\nlog_level = error\n"
    )
    code = "from amaranthferry.daemon import main; main()"
    command = (sys.executable, "-c", code, "--config", str(path))
    daemon = await asyncio.create_subprocess_exec(*command)
    stack.push_async_callback(daemon.wait)
    stack.callback(daemon.terminate)
    return daemon.pid, f"http://{http}"


async def wait_ready(session: aiohttp.ClientSession, url: str) -> None:
    """Wait until the host reports that it is ready."""
    async with asyncio.timeout(30):
        while True:
            try:
                async with session.get(f"{url}/readyz") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)


async def main() -> None:
    """Start the system and print the measurements."""
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(serve(ObjectStandIn().app))
        engine = EngineStandIn(
            "engine-1",
            models=(MODEL,),
            slots=64,
            prefill_rate=10_000_000,
            decode_interval=0.0005,
        )
        direct = await stack.enter_async_context(serve(engine.app))
        store = HttpObjectStore(platform)
        await store.start()
        stack.push_async_callback(store.stop)
        author = Author("bench", datetime.now(UTC).isoformat(), uuid4().hex)
        deployment = build_deployment(
            KYKLOS, (direct.removeprefix("http://"),), "127.0.0.1:9"
        )
        (await apply(store, deployment, author)).unwrap()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        pid, url = await start_host(stack, platform)
        await wait_ready(session, url)
        await measure(session, direct, url, pid)


async def measure(
    session: aiohttp.ClientSession, direct: str, url: str, pid: int
) -> None:
    """Measure a running host and print the results."""
    print(f"resident at start: {resident_mebibytes(pid):.1f} MiB")
    await time_calls(session, url, WARM_UP_CALLS)
    await time_calls(session, direct, WARM_UP_CALLS)
    direct_latency = await time_calls(session, direct, SEQUENTIAL_CALLS)
    host_latency = await time_calls(session, url, SEQUENTIAL_CALLS)
    print(f"direct: p50 {direct_latency.p50:.2f} ms, p99 {direct_latency.p99:.2f} ms")
    print(
        f"through a host: p50 {host_latency.p50:.2f} ms, p99 {host_latency.p99:.2f} ms"
    )
    print(f"added at the median: {host_latency.p50 - direct_latency.p50:.2f} ms")
    processor_time = processor_seconds(pid)
    started = time.perf_counter()
    await asyncio.gather(
        *(time_calls(session, url, CONCURRENT_CALLS // CALLERS) for _ in range(CALLERS))
    )
    elapsed = time.perf_counter() - started
    processor_time = processor_seconds(pid) - processor_time
    print(f"{CALLERS} callers: {CONCURRENT_CALLS / elapsed:.0f} requests per second")
    print(f"processor: {processor_time / CONCURRENT_CALLS * 1000:.2f} ms per request")
    print(
        f"one core allows: {CONCURRENT_CALLS / processor_time:.0f} requests per second"
    )
    processor_time = processor_seconds(pid)
    tokens = STREAMS * STREAM_TOKENS
    await asyncio.gather(
        *(call(session, url, tokens=STREAM_TOKENS) for _ in range(STREAMS))
    )
    processor_time = processor_seconds(pid) - processor_time
    print(
        f"streaming: {processor_time / tokens * MICROSECONDS_PER_SECOND:.0f} us per token"
    )
    print(f"resident at the end: {resident_mebibytes(pid):.1f} MiB")


if __name__ == "__main__":
    asyncio.run(main())
