import asyncio

import aiohttp
import pytest

from amaranthferry.standins.completions import prompt_text
from amaranthferry.standins.engine import EngineStandIn
from amaranthferry.standins.serving import serve
from amaranthferry.types import ModelId

MODEL = ModelId("m")


def make_engine(**options):
    defaults = {"slots": 4, "kv_tokens": 100_000, "prefill_rate": 1e6}
    options = defaults | {"decode_interval": 0.0001, "load_lag": 0.0} | options
    return EngineStandIn("e1", models=(MODEL,), **options)


def completion_body(*, stream=False, tokens=5, prompt="hello", **extra):
    messages = [{"role": "user", "content": prompt}]
    fields = {"model": MODEL, "messages": messages, "max_tokens": tokens}
    return fields | {"stream": stream} | extra


async def post(session, base, request_id, **fields):
    headers = {"X-Request-Id": request_id}
    url = f"{base}/v1/chat/completions"
    return await session.post(url, json=completion_body(**fields), headers=headers)


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as opened:
        yield opened


async def test_plain_answer_carries_content_and_usage(session):
    async with serve(make_engine().app) as base:
        answer = await (await post(session, base, "r1", tokens=3)).json()
    assert answer["choices"][0]["message"]["content"] == "r1:0 r1:1 r1:2 "
    assert answer["usage"]["completion_tokens"] == 3


async def test_streamed_answer_ends_with_marker(session):
    options = {"include_usage": True}
    async with serve(make_engine().app) as base:
        resp = await post(
            session, base, "r1", tokens=3, stream=True, stream_options=options
        )
        events = (await resp.text()).split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    assert '"usage"' in events[-3]
    assert sum('"content"' in event for event in events) == 3


async def test_resume_gives_the_same_bytes_from_an_offset(session):
    engine = make_engine()
    async with serve(engine.app) as base:
        complete = await (await post(session, base, "r1", stream=True)).read()
        url = f"{base}/v1/streams/r1?offset=100"
        rest = await (await session.get(url)).read()
    assert rest == complete[100:]
    assert engine.admitted == {"r1": 1}


async def test_stalled_connection_stops_and_a_new_one_resumes(session):
    engine = make_engine(decode_interval=0.005)
    async with serve(engine.app) as base:
        resp = await post(session, base, "r1", tokens=20, stream=True)
        first = await resp.content.readany()
        engine.stall_connections()
        url = f"{base}/v1/streams/r1?offset={len(first)}"
        rest = await (await session.get(url)).read()
        assert rest.endswith(b"data: [DONE]\n\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await resp.content.read()
        resp.close()
    assert engine.admitted["r1"] == 1


async def test_aborted_stream_ends_without_marker(session):
    engine = make_engine(decode_interval=0.005)
    async with serve(engine.app) as base:
        resp = await post(session, base, "r1", tokens=50, stream=True)
        await resp.content.readany()
        engine.abort_streams()
        with pytest.raises(aiohttp.ClientError):
            await resp.content.read()
        resumed = await session.get(f"{base}/v1/streams/r1")
    assert resumed.status == 404


async def test_cancel_frees_the_slot(session):
    engine = make_engine(decode_interval=0.005)
    async with serve(engine.app) as base:
        resp = await post(session, base, "r1", tokens=1_000, stream=True)
        await resp.content.readany()
        cancelled = await session.delete(f"{base}/v1/streams/r1")
        assert cancelled.status == 204
        assert not engine.batch.running
        resp.close()


@pytest.mark.parametrize(
    ("options", "fields", "status"),
    [({"queue_limit": 0}, {}, 429), ({}, {"model": "other"}, 404)],
)
async def test_refusal_comes_before_admission(session, options, fields, status):
    engine = make_engine(**options)
    async with serve(engine.app) as base:
        resp = await post(session, base, "r1", **fields)
    assert resp.status == status
    assert resp.headers["X-Not-Admitted"] == "true"
    assert not engine.admitted
    assert engine.refused == {"r1": 1}


async def test_repeated_prompt_is_cached_and_reported(session):
    engine = make_engine(event_lag=0.0)
    prompt = "x" * 1_024
    async with serve(engine.app) as base:
        await (await post(session, base, "r1", prompt=prompt)).read()
        again = await post(session, base, "r2", prompt=prompt)
        events = await (await session.get(f"{base}/cache-events?after=0")).json()
        load = await (await session.get(f"{base}/load")).json()
    assert again.headers["X-Cached-Tokens"] == "256"
    assert len(events["events"][0]["stored"]) == 3
    assert set(load) >= {"running", "waiting", "kv_tokens", "age", "leaving", "models"}


async def test_only_the_newest_ended_answers_can_be_resumed(session):
    engine = make_engine(max_answers=2)
    async with serve(engine.app) as base:
        for number in range(4):
            await (await post(session, base, f"r{number}")).read()
        urls = [f"{base}/v1/streams/r{number}?offset=0" for number in range(4)]
        statuses = [(await session.get(url)).status for url in urls]
    assert statuses == [404, 404, 200, 200]


def test_prompt_text_is_formatted_as_on_entry_hosts():
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]
    messages = [{"role": "system", "content": "s"}, {"role": "user", "content": parts}]
    assert prompt_text(messages) == "system: s\nuser: a\nb"


async def test_requests_after_leaving_are_recorded(session):
    engine = make_engine()
    async with serve(engine.app) as base:
        engine.leave()
        await (await post(session, base, "r1")).read()
        load = await (await session.get(f"{base}/load")).json()
    assert load["leaving"] is True
    assert len(engine.admitted_while_leaving) == 1
