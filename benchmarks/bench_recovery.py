"""Measure the effect of a lost coordinator and of a platform outage.

Run as `python -m benchmarks.bench_recovery`. Everything runs in one process on
loopback, so the results bound those of hosts in separate processes.
"""

import asyncio

import aiohttp
import msgspec

from amaranthferry.application import Application
from amaranthferry.embedded import MODEL, EmbeddedSystem, api_key
from amaranthferry.load import LoadPlan, run_load
from amaranthferry.logs import set_up_logs
from amaranthferry.types import Seconds, WorkspaceId
from amaranthferry.workloads import KYKLOS

SHARD = "engines/0"
CALL_INTERVAL: Seconds = 0.02
CALLS = 800
CALLS_BEFORE = 100
FULL_RATE_SHARE = 0.9
OUTAGE_LENGTH: Seconds = 60.0
RATE = 8.0
HEADERS = {"Authorization": f"Bearer {api_key(WorkspaceId('field-officers'))}"}


class CallTimes(msgspec.Struct):
    """Represent the send time, duration and success of a call."""

    sent: Seconds
    elapsed: Seconds
    done: bool


async def send(session: aiohttp.ClientSession, url: str) -> CallTimes:
    """Send one small completion and time it."""
    loop = asyncio.get_running_loop()
    sent = loop.time()
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "paid?"}],
        "max_tokens": 2,
    }
    path = f"{url}/v1/chat/completions"
    async with session.post(path, json=body, headers=HEADERS) as response:
        await response.read()
        return CallTimes(sent, loop.time() - sent, response.status == 200)


async def measure_coordinator_loss() -> None:
    """Kill the coordinator under a steady load on another host."""
    async with EmbeddedSystem(KYKLOS) as system, aiohttp.ClientSession() as session:
        name = system.hosts[0].state.coordinator_of(SHARD)
        lost = next(app for app in system.hosts if app.cfg.host == name)
        other = next(app for app in system.hosts if app is not lost)
        calls = []
        killed_at = 0.0
        for number in range(CALLS):
            if number == CALLS_BEFORE:
                killed_at = asyncio.get_running_loop().time()
                calls.append(asyncio.create_task(_stop(lost)))
            calls.append(asyncio.create_task(send(session, other.base_url)))
            await asyncio.sleep(CALL_INTERVAL)
        times = [done for done in await asyncio.gather(*calls) if done is not None]
    after = [call for call in times if call.sent >= killed_at]
    ended = sorted(call.sent + call.elapsed - killed_at for call in after if call.done)
    slow = [call for call in after if call.elapsed > 0.5]
    print(f"coordinator killed: first response after {ended[0]:.2f} s")
    last_slow = max((call.sent - killed_at for call in slow), default=0.0)
    worst = max(call.elapsed for call in after)
    print(f"  calls over 0.5 s: {len(slow)}, the last one sent at {last_slow:.2f} s")
    print(f"  worst response {worst:.2f} s")
    print(f"  not done: {sum(not call.done for call in times)} of {len(times)}")


async def _stop(app: Application) -> None:
    await app.stop()


async def measure_load(*, outage: bool) -> None:
    """Run the same load with the platform available or not."""
    async with EmbeddedSystem(KYKLOS) as system:
        system.platform.outage = outage
        plan = LoadPlan(
            urls=system.base_urls,
            keys=system.api_keys,
            model=MODEL,
            rate=RATE,
            duration=OUTAGE_LENGTH,
            seed=1,
        )
        result = await run_load(plan)
    for tier in result.tiers:
        print(
            f"platform {'out' if outage else 'up'}: {tier.tier} "
            f"goodput {tier.goodput:.3f} of {tier.sent}, "
            f"first token p99 {tier.first_token.p99:.3f} s"
        )


async def main() -> None:
    """Run the measurements and print the results."""
    set_up_logs("critical")
    await measure_coordinator_loss()
    await measure_load(outage=False)
    await measure_load(outage=True)


if __name__ == "__main__":
    asyncio.run(main())
