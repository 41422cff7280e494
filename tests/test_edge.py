import asyncio

import aiohttp
import openai
import pytest

from amaranthferry.embedded import MODEL, OPERATOR_KEY, api_key
from amaranthferry.types import WorkspaceId

FIELD = WorkspaceId("field-officers")
QUESTION = [{"role": "user", "content": "Is the grower's contract paid?"}]


def client_of(system, *, key=None, **options):
    return openai.AsyncOpenAI(
        base_url=f"{system.base_urls[0]}/v1",
        api_key=key or api_key(FIELD),
        max_retries=0,
        **options,
    )


def chat(client, **changes):
    options = {"model": MODEL, "messages": QUESTION, "max_tokens": 5, **changes}
    return client.chat.completions.create(**options)


def dispatched(system):
    return sum(sum(engine.admitted.values()) for engine in system.engines)


async def until(condition):
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)


async def test_plain_completion(system):
    async with client_of(system) as client:
        answer = await chat(client)
    assert answer.usage.completion_tokens == 5
    assert answer.choices[0].finish_reason == "length"


async def test_streamed_completion(system):
    async with client_of(system) as client:
        stream = await chat(client, stream=True, stream_options={"include_usage": True})
        chunks = [chunk async for chunk in stream]
    assert chunks[-1].usage.completion_tokens == 5
    assert sum(bool(c.choices and c.choices[0].delta.content) for c in chunks) == 5


async def test_models_are_listed(system):
    async with client_of(system) as client:
        assert [model.id async for model in client.models.list()] == [MODEL]


@pytest.mark.parametrize(
    ("changes", "headers", "error", "code"),
    [
        ({"model": "other"}, {}, openai.NotFoundError, "model_not_found"),
        ({"messages": []}, {}, openai.BadRequestError, "invalid_body"),
        ({"max_tokens": "many"}, {}, openai.BadRequestError, "invalid_body"),
        ({}, {"Request-Timeout": "soon"}, openai.BadRequestError, "invalid_timeout"),
        ({}, {"Request-Timeout": "-1"}, openai.BadRequestError, "invalid_timeout"),
        ({}, {"Request-Timeout": "nan"}, openai.BadRequestError, "invalid_timeout"),
        (
            {},
            {"Work-Class": "review"},
            openai.PermissionDeniedError,
            "class_not_allowed",
        ),
        ({}, {"Idempotency-Key": "k" * 300}, openai.BadRequestError, "invalid_key"),
    ],
)
async def test_bad_input_is_refused_with_its_remedy(
    system, changes, headers, error, code
):
    async with client_of(system) as client:
        with pytest.raises(error) as caught:
            await chat(client, extra_headers=headers, **changes)
    body = caught.value.body
    assert body["code"] == code
    assert body["outcome"] == "not_run"
    assert body["remedy"]
    assert dispatched(system) == 0


async def test_bad_key_is_refused(system):
    async with client_of(system, key="wrong") as client:
        with pytest.raises(openai.AuthenticationError):
            await chat(client)
    assert dispatched(system) == 0


async def test_body_above_the_limit_is_refused(system):
    headers = {"Authorization": f"Bearer {api_key(FIELD)}"}
    url = f"{system.base_urls[0]}/v1/chat/completions"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=b"x" * (9 << 20), headers=headers) as answer,
    ):
        assert answer.status == 413
    assert dispatched(system) == 0


async def test_refusal_says_when_to_come_back(system):
    headers = {"Request-Timeout": "0.05"}
    async with client_of(system) as client:
        with pytest.raises(openai.RateLimitError) as caught:
            await chat(client, max_tokens=5000, extra_headers=headers)
    assert int(caught.value.response.headers["Retry-After"]) >= 1
    assert caught.value.response.headers["Outcome"] == "not_run"
    assert dispatched(system) == 0


async def test_caller_that_hangs_up_while_streaming_ends_the_run(system):
    async with client_of(system) as client:
        stream = await chat(client, stream=True, max_tokens=600)
        await anext(aiter(stream))
        await stream.close()
    host = system.hosts[0]
    await until(lambda: not host.state.requests and not host.exchanges)
    assert host.metrics.report().counters["wasted_prefill.caller_gone"] > 0


async def test_caller_that_hangs_up_while_waiting_is_never_dispatched(system):
    patient = {"max_tokens": 4000, "extra_headers": {"Request-Timeout": "600"}}
    async with client_of(system) as client:
        running = [asyncio.create_task(chat(client, **patient)) for _ in range(40)]
        await until(lambda: dispatched(system) == 40)
        waiting = asyncio.create_task(chat(client, **patient))
        await until(lambda: len(system.hosts[0].state.requests) == 41)
        for task in (waiting, *running):
            task.cancel()
        await asyncio.gather(waiting, *running, return_exceptions=True)
    await until(lambda: not system.hosts[0].state.requests)
    assert dispatched(system) == 40


async def test_service_call_passes_through(system):
    headers = {"Authorization": f"Bearer {api_key(FIELD)}", "Idempotency-Key": "k1"}
    url = f"{system.base_urls[0]}/services/ledger/entries"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(url, data=b"\x00grade A\xff") as answer:
            assert answer.status == 201
            assert answer.headers["Outcome"] == "done"
        async with session.get(url, headers={"Idempotency-Key": ""}) as answer:
            assert answer.status == 200
    assert len(system.ledger.effects) == 1


async def test_repeated_key_on_another_host_gets_the_same_answer(system):
    headers = {"Authorization": f"Bearer {api_key(FIELD)}", "Idempotency-Key": "k2"}
    bodies = []
    async with aiohttp.ClientSession(headers=headers) as session:
        for url in system.base_urls:
            path = f"{url}/services/ledger/entries"
            async with session.post(path, data=b"pay") as answer:
                bodies.append(await answer.read())
                await until(lambda: not any(h.exchanges for h in system.hosts))
    assert len(set(bodies)) == 1
    assert len(system.ledger.effects) == 1


async def test_same_key_with_another_body_is_a_conflict(system):
    headers = {"Authorization": f"Bearer {api_key(FIELD)}", "Idempotency-Key": "k3"}
    path = f"{system.base_urls[0]}/services/ledger/entries"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(path, data=b"pay 1") as answer:
            assert answer.status == 201
        async with session.post(path, data=b"pay 2") as answer:
            assert answer.status == 422
            assert (await answer.json())["outcome"] == "not_run"
    assert len(system.ledger.effects) == 1


@pytest.mark.parametrize(
    ("key", "status"), [(OPERATOR_KEY, 200), (api_key(FIELD), 401), ("", 401)]
)
async def test_status_needs_an_operators_key(system, key, status):
    url = f"{system.base_urls[0]}/operator/status"
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        assert answer.status == status


@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
async def test_open_pages(system, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{system.base_urls[0]}{path}") as answer,
    ):
        assert answer.status == 200


async def test_sign_of_leaving_outlives_the_coordinator(system):
    shard = "engines/0"
    coordinator = system.hosts[0].state.coordinator_of(shard)
    await next(app for app in system.hosts if app.cfg.host == coordinator).stop()
    system.engines[0].leave()
    others = [app for app in system.hosts if app.cfg.host != coordinator]
    assert {app.state.coordinator_of(shard) for app in others} == {coordinator}
    await until(lambda: all(app.state.is_leaving("engine-1") for app in others))
