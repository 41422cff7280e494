import asyncio

import aiohttp
import pytest

from amaranthferry.embedded import MODEL, api_key
from amaranthferry.workloads import KYKLOS

WORKSPACE = KYKLOS.kinds[0].workspace


@pytest.fixture
async def session(system):
    headers = {"Authorization": f"Bearer {api_key(WORKSPACE)}"}
    async with aiohttp.ClientSession(headers=headers) as opened:
        yield opened


async def post_entry(session, url, key, body=b"pay 10"):
    """Send one entry; return its status, outcome and body."""
    headers = {"Idempotency-Key": key}
    path = f"{url}/services/ledger/entries"
    async with session.post(path, data=body, headers=headers) as answer:
        return answer.status, answer.headers["Outcome"], await answer.read()


async def wait_until_recorded(system):
    """Wait until every host has recorded its outcomes."""
    async with asyncio.timeout(10):
        while any(host.claims.pending for host in system.hosts):
            await asyncio.sleep(0.01)


async def test_one_key_on_all_hosts_concurrently_has_one_effect(system, session):
    system.platform.lose_answers = 2
    urls = system.base_urls * 4
    answers = await asyncio.gather(*(post_entry(session, url, "k") for url in urls))
    done = {body for _, outcome, body in answers if outcome == "done"}
    # On a busy machine a claim can exceed its time limit; not_run is then correct.
    assert len(system.ledger.effects) == len(done) <= 1
    repeated = []
    for url in system.base_urls:
        await wait_until_recorded(system)
        repeated.append(await post_entry(session, url, "k"))
    assert {outcome for _, outcome, _ in repeated} == {"done"}
    assert len({body for _, _, body in repeated} | done) == 1
    assert len(system.ledger.effects) == 1


async def test_entry_refused_in_an_outage_is_not_run_and_can_be_retried(
    system, session
):
    system.platform.outage = True
    _, outcome, _ = await post_entry(session, system.base_urls[0], "k")
    assert outcome == "not_run"
    assert system.ledger.effects == []
    system.platform.outage = False
    await wait_until_recorded(system)
    status, outcome, _ = await post_entry(session, system.base_urls[1], "k")
    assert (status, outcome) == (201, "done")
    assert len(system.ledger.effects) == 1


async def test_entry_with_a_lost_answer_is_never_dispatched_again(system, session):
    system.ledger.lose_answers = 1
    _, outcome, _ = await post_entry(session, system.base_urls[0], "k")
    assert outcome == "unknown"
    await wait_until_recorded(system)
    for url in system.base_urls:
        _, outcome, body = await post_entry(session, url, "k")
        assert outcome == "unknown"
        assert b"remedy" in body
    assert len(system.ledger.effects) == 1


async def test_keyed_completion_is_dispatched_once_across_hosts(system, session):
    chat = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}
    bodies = []
    for url in system.base_urls:
        path = f"{url}/v1/chat/completions"
        headers = {"Idempotency-Key": "k"}
        async with session.post(path, json=chat, headers=headers) as answer:
            assert answer.headers["Outcome"] == "done"
            bodies.append(await answer.read())
        await wait_until_recorded(system)
    assert len(set(bodies)) == 1
    assert sum(sum(engine.admitted.values()) for engine in system.engines) == 1
