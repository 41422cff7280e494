"""Measure the processor time of an entry host for streamed answers, by length."""

import asyncio
import time

import aiohttp

from .embedded import MODEL, EmbeddedSystem
from .slopes import MICROSECONDS_PER_SECOND, Series
from .workloads import WORKLOADS

OUTPUT_TOKENS = (25, 50, 100, 200, 400)
REQUESTS = 16
REPEATS = 3
_ROLE = "entry host: data path"


async def measure_data_path() -> list[Series]:
    """Measure the processor time that one entry host adds to streamed answers.

    Caller, entry host and engine share this process, so the processor time of the
    entry host is that of requests through it minus that of requests to the engine.
    """
    workload = next(iter(WORKLOADS.values()))
    async with EmbeddedSystem(workload, hosts=1) as system:
        servers = system.hosts[0].state.deployment.servers.values()
        engine = next(s.address for s in servers if s.pool == "engines")
        key = next(iter(system.api_keys.values()))
        values = []
        for tokens in OUTPUT_TOKENS:
            direct = await _min_cpu_microseconds(f"http://{engine}", key, tokens)
            via_host = await _min_cpu_microseconds(system.base_urls[0], key, tokens)
            values.append((via_host - direct) / REQUESTS)
    return [
        Series(
            _ROLE,
            "processor time of a streamed request",
            "us",
            "token",
            OUTPUT_TOKENS,
            tuple(values),
        )
    ]


async def _min_cpu_microseconds(base_url: str, key: str, tokens: int) -> float:
    """Return the minimum of several runs, which other processes disturb least."""
    return min([await _measure_streams(base_url, key, tokens) for _ in range(REPEATS)])


async def _measure_streams(base_url: str, key: str, tokens: int) -> float:
    async with aiohttp.ClientSession() as session:
        await _stream(session, base_url, key, 5)
        start = time.process_time()
        answers = (_stream(session, base_url, key, tokens) for _ in range(REQUESTS))
        await asyncio.gather(*answers)
        return (time.process_time() - start) * MICROSECONDS_PER_SECOND


async def _stream(
    session: aiohttp.ClientSession, base_url: str, key: str, tokens: int
) -> None:
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "How is the press house?"}],
    }
    headers = {"Authorization": f"Bearer {key}", "Request-Timeout": "60"}
    url = f"{base_url}/v1/chat/completions"
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for _ in response.content.iter_any():
            pass
