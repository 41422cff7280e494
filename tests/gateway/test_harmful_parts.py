import asyncio
import contextlib
import itertools
import json

import aiohttp
import pytest

from amaranthferry.harm.subjects import Subjects, SubjectState
from amaranthferry.messages import ServerIncarnation
from amaranthferry.types import Seconds

from .fleet import fleet

#: Bound on the time for which hosts may still send such requests (`contactMs`).
CONTACT: Seconds = 3.0
HARMFUL_PART = "bad"
#: Parts before the last, by the position of the harmful one.
PROMPTS = {
    "first": (f"{HARMFUL_PART}:60,aa:400", "99:60,aa:400"),
    "second": (f"aa:60,{HARMFUL_PART}:400", "aa:60,99:400"),
}


class Load:
    """Send prompts to all hosts in turn, each with a last part of its own."""

    def __init__(self, system, caller):
        self._hosts = itertools.cycle(range(len(system.hosts)))
        self._caller = caller
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(0x1000)
        self._tasks = set()
        #: Time of sending and status, or None for a broken answer.
        self.results = []

    def start(self, parts, *, rate, seconds):
        task = self._loop.create_task(self._run(parts, rate, seconds))
        self._tasks.add(task)

    async def _run(self, parts, rate, seconds):
        end = self._loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < end:
                group.create_task(self._send(f"{parts},{next(self._numbers):x}:20"))
                await asyncio.sleep(1 / rate)

    async def _send(self, parts):
        sent_at, status = self._loop.time(), None
        with contextlib.suppress(aiohttp.ClientError):
            _, status, _, _ = await self._caller.send_prompt(
                parts=parts, host=next(self._hosts)
            )
        self.results.append((sent_at, status))

    async def finish(self):
        await asyncio.gather(*self._tasks)


async def test_operator_lists_and_lifts_a_hold_on_all_hosts():
    async with fleet(engines=1, hosts=2) as (system, caller):
        states = [host.state.harm for host in system.hosts]
        for number in range(3):
            states[0].accuse(
                Subjects("engines", "m", (0xBAD,)),
                ServerIncarnation(f"gone-{number}", number, "127.0.0.1:1"),
                "",
                request_id=f"r-{number}",
                alone=(0xBAD,),
                familiar=(),
                now=system.hosts[0].clock() - 3 + number,
            )
        await until(lambda: all(state.count(SubjectState.HELD) for state in states))
        url = system.metrics[1].replace("/metrics", "/held-parts")
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                (held,) = await answer.json()
            assert (held["part"], held["ends"], held["trials"]) == ("bad", 3, 0)
            attempt, status, headers, body = await caller.send_prompt(parts="bad:1,f:1")
            assert (status, system.servers_that_ran(attempt)) == (400, [])
            assert headers["Outcome"] == "not_run"
            assert "Retry-After" not in headers
            assert json.loads(body)["type"] == "urn:amaranthferry:harmful_part"
            for key, status in (("wrong", 401), (system.hosts[0].peer_key, 200)):
                authorization = {"Authorization": f"Bearer {key}"}
                lifting = session.post(f"{url}/bad/lift", headers=authorization)
                async with lifting as answer:
                    assert answer.status == status
        await until(lambda: not any(state.count(SubjectState.HELD) for state in states))
        assert (await caller.send_prompt(parts="bad:1,f:1"))[1] == 200


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("position", PROMPTS)
async def test_prompts_that_end_servers_are_not_sent_on_after_five_ends(position):
    harmful_prompt, sound_prompt = PROMPTS[position]
    async with fleet(engines=0, hosts=3) as (system, caller):
        engines = [
            await system.add_restarting_engine(
                f"engine-{number}",
                restart_after=0.6,
                harmful_parts=frozenset({HARMFUL_PART}),
            )
            for number in range(6)
        ]
        arrivals = []
        loop = asyncio.get_running_loop()
        for engine in engines:
            engine.on_harmful = lambda: arrivals.append(loop.time())
        sound, harmful = Load(system, caller), Load(system, caller)
        sound.start(sound_prompt, rate=20, seconds=8.0)
        harmful.start(harmful_prompt, rate=5, seconds=8.0)
        began = loop.time()
        await sound.finish()
        await harmful.finish()
    ends = sorted(at for engine in engines for at in engine.ended_at)
    if len(ends) >= 5:
        late = [at for at in arrivals if at > ends[4] + CONTACT]
        assert len(late) <= 3
    served = [status == 200 for at, status in sound.results if at > began + 4]
    assert sum(served) >= len(served) * 0.9
