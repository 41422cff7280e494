import asyncio

import aiohttp
import structlog

from amaranthferry.fallback import turn_away
from amaranthferry.gateway import edge, performer
from amaranthferry.gateway.telemetry import (
    MAX_LABEL_SETS,
    OTHER_LABEL,
    Counter,
    Histogram,
)
from amaranthferry.standins.routed import ServerFault
from amaranthferry.types import FallbackCause, ShardId

from .fleet import fleet


async def scrape(system, host=0):
    async with (
        aiohttp.ClientSession() as session,
        session.get(system.metrics[host]) as answer,
    ):
        return await answer.text()


async def test_metrics_are_served_as_text():
    async with fleet() as (system, caller):
        await caller.send_prompt()
        await caller.send("GET", "/look/x")
        await caller.send("GET", "/none/x")
        text = await scrape(system)
    assert 'requests_total{outcome="done",reason="",route="ask"} 1.0' in text
    assert 'outcome="refused",reason="route_unknown"' in text
    assert 'first_byte_seconds_bucket{le="+Inf",route="ask"} 1.0' in text
    assert "amaranthferry_config_version 1.0" in text
    assert 'amaranthferry_servers{service="engines"} 2.0' in text


async def test_denial_is_logged_with_the_state_it_rests_on(monkeypatch):
    async with fleet(hosts=3) as (system, caller):
        async with asyncio.timeout(5):
            while not (followers := _followers(system)):
                await asyncio.sleep(0.05)
        follower = followers[0]
        state = system.hosts[follower].syncs["config"].state
        log = _RevisionLogger(state)
        monkeypatch.setattr(edge, "_log", log)
        await caller.send("GET", "/none/x", host=follower)
        text = await scrape(system, follower)
    (call,) = [item for item in log.calls if item.args == ("request.refused",)]
    line = call.kwargs
    assert line["revision"] == log.revisions[log.calls.index(call)]
    assert line["source"] in {h.settings.host for h in system.hosts if _reads(h)}
    assert line["store_lost"] is False
    assert 'state_age_seconds{kind="config"}' in text
    assert 'store_lost{kind="servers"} 0.0' in text


class _RevisionLogger(structlog.testing.CapturingLogger):
    """Keep the revision that was known at each line, since reads go on."""

    def __init__(self, state):
        super().__init__()
        self.revisions = []
        self._state = state

    def __getattr__(self, name):
        self.revisions.append(self._state.revision)
        return super().__getattr__(name)


def _reads(app):
    return app.syncs["config"].is_reader


def _followers(system):
    """Return the hosts whose state was confirmed through a reader."""
    return [
        number
        for number, app in enumerate(system.hosts)
        if not _reads(app) and app.syncs["config"].state.source
    ]


async def test_metrics_name_who_decides_and_what_servers_could_take():
    async with fleet() as (system, caller):
        await caller.send_prompt()
        app = system.hosts[0]
        turn_away(
            app.state,
            ShardId("engines/0"),
            cause=FallbackCause.COORDINATOR_SILENT,
            silent=None,
        )
        # The next tick ends the fallback of a host that has the role itself.
        text = app.telemetry.text(app).decode()
    assert 'deciding{role="coordinator",shard="engines/0"} 2.0' in text
    assert 'deciding{role="fallback",shard="engines/0"} 2.0' in text
    assert 'idle_slots{shard="engines/0"} 8.0' in text
    assert 'permit_requests{shard="ledger/0"} 0.0' not in text
    assert 'shard_servers{availability="free",shard="engines/0"} 2.0' in text
    assert "amaranthferry_tick_late_seconds 0." in text


async def test_rejections_are_counted_by_who_decided():
    async with fleet(engines=1) as (system, caller):
        system.servers["engine-0"].fault = ServerFault.FULL
        await caller.send_prompt("/review/one")
        text = await scrape(system)
    assert 'rejections_total{decided_by="coordinator",service="engines"} 1.0' in text


def test_labels_are_bounded():
    counter = Counter("x", "X.", ("route",))
    histogram = Histogram("y", "Y.", ("route",))
    for number in range(10 * MAX_LABEL_SETS):
        counter.add(f"route-{number}")
        histogram.observe(0.1, f"route-{number}")
    assert counter.values[(OTHER_LABEL,)] > 0
    assert len(histogram.counts) == MAX_LABEL_SETS + 1
    assert sum(counter.values.values()) == 10 * MAX_LABEL_SETS


def test_buckets_are_cumulative():
    histogram = Histogram("y", "Y.", ())
    for seconds in (0.001, 0.03, 0.03, 99.0):
        histogram.observe(seconds)
    buckets = dict(histogram.buckets(()))
    assert buckets["0.005"] == 1
    assert buckets["0.05"] == 3
    assert buckets["10"] == 3
    assert buckets["+Inf"] == 4


async def test_metrics_show_a_limit_and_what_is_left_of_it():
    async with fleet(hosts=2, ledgers=1) as (system, caller):
        system.servers["ledger-0"].limit = "0.5"
        await until(lambda: all(len(app.state.hosts) == 2 for app in system.hosts))
        await caller.send("GET", "/look/x")
        await until(lambda: all(app.state.server_rates for app in system.hosts))
        await caller.send("GET", "/look/x", host=1, deadline=1.0)
        texts = [await scrape(system, host) for host in (0, 1)]
    labels = '{server="ledger-0"}'
    for text in texts:
        assert f"amaranthferry_server_limit{labels} 0.5" in text
        assert f"amaranthferry_server_limit_age_seconds{labels} " in text
    assert f"amaranthferry_server_limit_share{labels} 0.25" in texts[1]
    assert f"amaranthferry_server_limit_left{labels} 0.0" in texts[1]


async def test_metrics_show_a_request_that_is_held():
    async with fleet(engines=0, ledgers=0) as (system, caller):
        for number in range(3):
            await system.add_restarting_server(
                "ledger", f"server-{number}", ends_under=lambda request: True
            )
        await until(lambda: len(system.hosts[0].state.deployment.servers) == 3)
        await caller.send("GET", "/look/x")
        _, status, _, _ = await caller.send("GET", "/look/x")
        text = await scrape(system)
    assert status == 400
    assert 'amaranthferry_harmful_requests{state="held"} 1.0' in text
    assert 'outcome="not_run",reason="harmful_request",route="look"' in text


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


async def test_dispatch_is_logged_with_the_configuration_that_admitted_it(monkeypatch):
    async with fleet() as (system, caller):
        log = structlog.testing.CapturingLogger()
        monkeypatch.setattr(performer, "_log", log)
        await caller.send("GET", "/look/x")
        text = await scrape(system)
    (call,) = [item for item in log.calls if item.args == ("request.dispatched",)]
    line = call.kwargs
    assert line["version"] == 1
    assert 0.0 <= line["state_age"] < system.hosts[0].age_budget.denial_age
    assert 'admission_state_age_seconds_bucket{le="+Inf"} 1.0' in text
