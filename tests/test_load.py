import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from typer.testing import CliRunner

from amaranthferry.arrivals import generate
from amaranthferry.cli_load import app
from amaranthferry.exceptions import AmaranthferryError
from amaranthferry.load import LoadPlan, prompt_text, run_load
from amaranthferry.load_report import format_table
from amaranthferry.workloads import find_workload


@asynccontextmanager
async def serving(handler, metrics=None):
    calls = []

    async def chat(request):
        calls.append((dict(request.headers), await request.json()))
        return await handler(request)

    async def counters(request):
        return web.json_response({"counters": metrics.pop(0)})

    site = web.Application(client_max_size=2**24)
    site.router.add_post("/v1/chat/completions", chat)
    if metrics:
        site.router.add_get("/metrics", counters)
    async with TestServer(site, host="127.0.0.1") as server:
        yield str(server.make_url("")), calls


def plan_for(url, **options):
    options = {"rate": 30.0, "duration": 0.3, "keys": {"": "k"}} | options
    return LoadPlan(urls=(url,), **options)


async def streamed(request, *, tail=b"data: [DONE]\n\n"):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b'data: {"choices": []}\n\n' + tail)
    return response


async def refused(request):
    error = {"error": {"code": "deadline", "outcome": "not_run"}}
    return web.json_response(error, status=429, headers={"Outcome": "not_run"})


async def truncated(request):
    return await streamed(request, tail=b"")


async def failed_midway(request):
    error = json.dumps({"error": {"code": "lost", "outcome": "unknown"}}).encode()
    return await streamed(request, tail=b"data: %s\n\ndata: [DONE]\n\n" % error)


async def plain_text_error(request):
    return web.Response(status=502, text="bad gateway")


@pytest.mark.parametrize(
    ("handler", "field"),
    [
        (streamed, "done"),
        (refused, "not_run"),
        (truncated, "unknown"),
        (failed_midway, "unknown"),
        (plain_text_error, "unknown"),
    ],
)
async def test_each_outcome_is_counted_once(handler, field):
    async with serving(handler) as (url, calls):
        result = await run_load(plan_for(url))
    assert calls
    for tier in result.tiers:
        counts = (tier.done, tier.late, tier.not_run, tier.unknown)
        assert getattr(tier, field) == tier.sent == sum(counts)
        assert tier.goodput == (1.0 if field == "done" else 0.0)
    assert sum(tier.sent for tier in result.tiers) == len(calls)


async def test_headers_and_body_describe_the_request():
    async with serving(streamed) as (url, calls):
        await run_load(plan_for(url, model="m"))
    headers, body = calls[0]
    assert headers["Authorization"] == "Bearer k"
    assert float(headers["Request-Timeout"]) > 0
    assert headers["Work-Class"] in {"question", "weighing", "tagging", "review"}
    assert (body["model"], body["stream"]) == ("m", True)


async def test_a_refused_connection_counts_as_not_run():
    result = await run_load(plan_for("http://127.0.0.1:9"))
    assert all(tier.not_run == tier.sent > 0 for tier in result.tiers)


async def test_counters_are_the_difference_over_the_run():
    metrics = [
        {"wasted_prefill.late": 5, "platform_calls.put": 1, "peer_bytes": 10},
        {"wasted_prefill.late": 12, "platform_calls.put": 4, "peer_bytes": 30},
    ]
    async with serving(streamed, metrics) as (url, _):
        result = await run_load(plan_for(url))
    assert result.wasted_prefill == {"late": 7}
    assert result.platform_calls == {"put": 3}
    assert result.peer_bytes == 20
    assert "late 7" in format_table(result)


async def test_a_workspace_without_a_key_is_an_error():
    async with serving(streamed) as (url, _):
        with pytest.raises(AmaranthferryError, match="--api-key"):
            await run_load(plan_for(url, keys={"other": "k"}))


def test_prompts_have_the_planned_length_and_share_their_prefix():
    arrivals = generate(find_workload("kyklos"), rate=20, duration=5, seed=1)
    for arrival in arrivals:
        text = prompt_text(arrival)
        assert len(text) == 4 * arrival.prompt_tokens
    same_prefix = [a for a in arrivals if a.prefix == arrivals[0].prefix][:2]
    starts = {prompt_text(a)[: 4 * a.prefix_tokens] for a in same_prefix}
    assert len(starts) == 1


@pytest.mark.parametrize("missing", ["--url", "--api-key"])
def test_the_command_names_a_missing_option(missing):
    options = {"--url": "http://127.0.0.1:9", "--api-key": "k"}
    del options[missing]
    args = [value for pair in options.items() for value in pair]
    result = CliRunner().invoke(app, args)
    assert result.exit_code == 1
    assert missing in result.stderr
