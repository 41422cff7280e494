import asyncio

import aiohttp
import openai
import pytest

from amaranthferry.embedded import MODEL, OPERATOR_KEY, api_key
from amaranthferry.types import WorkspaceId

WORKSPACE = WorkspaceId("field-officers")
QUESTION = [{"role": "user", "content": "Is the grower's contract paid?"}]


def openai_client(system, *, key=None, **options):
    return openai.AsyncOpenAI(
        base_url=f"{system.base_urls[0]}/v1",
        api_key=key or api_key(WORKSPACE),
        max_retries=0,
        **options,
    )


def chat(client, **changes):
    options = {"model": MODEL, "messages": QUESTION, "max_tokens": 5, **changes}
    return client.chat.completions.create(**options)


def dispatch_count(system):
    return sum(sum(engine.admitted.values()) for engine in system.engines)


async def wait_until(condition):
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)


async def test_plain_completion(system):
    async with openai_client(system) as client:
        answer = await chat(client)
    assert answer.usage.completion_tokens == 5
    assert answer.choices[0].finish_reason == "length"


async def test_streamed_completion(system):
    async with openai_client(system) as client:
        stream = await chat(client, stream=True, stream_options={"include_usage": True})
        chunks = [chunk async for chunk in stream]
    assert chunks[-1].usage.completion_tokens == 5
    assert sum(bool(c.choices and c.choices[0].delta.content) for c in chunks) == 5


async def test_models_are_listed(system):
    async with openai_client(system) as client:
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
async def test_invalid_input_is_refused_with_a_remedy(
    system, changes, headers, error, code
):
    async with openai_client(system) as client:
        with pytest.raises(error) as caught:
            await chat(client, extra_headers=headers, **changes)
    body = caught.value.body
    assert body["code"] == code
    assert body["outcome"] == "not_run"
    assert body["remedy"]
    assert dispatch_count(system) == 0


async def test_unknown_api_key_is_refused(system):
    async with openai_client(system, key="wrong") as client:
        with pytest.raises(openai.AuthenticationError):
            await chat(client)
    assert dispatch_count(system) == 0


async def test_body_above_the_limit_is_refused(system):
    headers = {"Authorization": f"Bearer {api_key(WORKSPACE)}"}
    url = f"{system.base_urls[0]}/v1/chat/completions"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=b"x" * (9 << 20), headers=headers) as answer,
    ):
        assert answer.status == 413
    assert dispatch_count(system) == 0


async def test_refusal_has_retry_after(system):
    headers = {"Request-Timeout": "0.05"}
    async with openai_client(system) as client:
        with pytest.raises(openai.RateLimitError) as caught:
            await chat(client, max_tokens=5000, extra_headers=headers)
    assert int(caught.value.response.headers["Retry-After"]) >= 1
    assert caught.value.response.headers["Outcome"] == "not_run"
    assert dispatch_count(system) == 0


async def test_disconnect_while_streaming_cancels_the_dispatch(system):
    async with openai_client(system) as client:
        stream = await chat(client, stream=True, max_tokens=600)
        await anext(aiter(stream))
        await stream.close()
    host = system.hosts[0]
    await wait_until(lambda: not host.state.requests and not host.exchanges)
    assert host.metrics.report().counters["wasted_prefill.caller_gone"] > 0


async def test_disconnect_while_queued_prevents_the_dispatch(system):
    options = {"max_tokens": 4000, "extra_headers": {"Request-Timeout": "600"}}
    async with openai_client(system) as client:
        running = [asyncio.create_task(chat(client, **options)) for _ in range(40)]
        await wait_until(lambda: dispatch_count(system) == 40)
        waiting = asyncio.create_task(chat(client, **options))
        await wait_until(lambda: len(system.hosts[0].state.requests) == 41)
        for task in (waiting, *running):
            task.cancel()
        await asyncio.gather(waiting, *running, return_exceptions=True)
    await wait_until(lambda: not system.hosts[0].state.requests)
    assert dispatch_count(system) == 40


async def test_service_call_is_forwarded(system):
    headers = {"Authorization": f"Bearer {api_key(WORKSPACE)}", "Idempotency-Key": "k1"}
    url = f"{system.base_urls[0]}/services/ledger/entries"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(url, data=b"\x00grade A\xff") as answer:
            assert answer.status == 201
            assert answer.headers["Outcome"] == "done"
        async with session.get(url, headers={"Idempotency-Key": ""}) as answer:
            assert answer.status == 200
    assert len(system.ledger.effects) == 1


async def test_repeated_key_on_another_host_returns_the_stored_answer(system):
    headers = {"Authorization": f"Bearer {api_key(WORKSPACE)}", "Idempotency-Key": "k2"}
    bodies = []
    async with aiohttp.ClientSession(headers=headers) as session:
        for url in system.base_urls:
            path = f"{url}/services/ledger/entries"
            async with session.post(path, data=b"pay") as answer:
                bodies.append(await answer.read())
                await wait_until(lambda: not any(h.exchanges for h in system.hosts))
    assert len(set(bodies)) == 1
    assert len(system.ledger.effects) == 1


async def test_same_key_with_another_body_is_refused_as_conflict(system):
    headers = {"Authorization": f"Bearer {api_key(WORKSPACE)}", "Idempotency-Key": "k3"}
    path = f"{system.base_urls[0]}/services/ledger/entries"
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(path, data=b"pay 1") as answer:
            assert answer.status == 201
        async with session.post(path, data=b"pay 2") as answer:
            assert answer.status == 422
            assert (await answer.json())["outcome"] == "not_run"
    assert len(system.ledger.effects) == 1


@pytest.mark.parametrize(
    ("key", "status"), [(OPERATOR_KEY, 200), (api_key(WORKSPACE), 401), ("", 401)]
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
async def test_public_pages_need_no_key(system, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{system.base_urls[0]}{path}") as answer,
    ):
        assert answer.status == 200


async def test_server_is_marked_leaving_when_the_coordinator_is_lost(system):
    shard = "engines/0"
    coordinator = system.hosts[0].state.coordinator_of(shard)
    await next(app for app in system.hosts if app.cfg.host == coordinator).stop()
    system.engines[0].leave()
    others = [app for app in system.hosts if app.cfg.host != coordinator]
    assert {app.state.coordinator_of(shard) for app in others} == {coordinator}
    await wait_until(lambda: all(app.state.is_leaving("engine-1") for app in others))


async def test_calls_that_are_the_same_to_a_server_have_one_digest(system, monkeypatch):
    app, digests = system.hosts[0], []
    accept = app.accept

    def note(arrival, call):
        digests.append(arrival.digest)
        return accept(arrival, call)

    monkeypatch.setattr(app, "accept", note)
    path = f"{system.base_urls[0]}/services/ledger/entries"
    calls = [
        ("one", "key-1", path),
        ("one", "key-2", path),
        ("two", "key-3", path),
        ("one", "key-4", f"{path}?dry=1"),
    ]
    async with aiohttp.ClientSession() as session:
        for body, key, url in calls:
            headers = {
                "Authorization": f"Bearer {api_key(WORKSPACE)}",
                "Idempotency-Key": key,
            }
            async with session.post(url, data=body, headers=headers) as answer:
                await answer.read()
    assert digests[0] == digests[1]
    assert len(set(digests)) == 3
