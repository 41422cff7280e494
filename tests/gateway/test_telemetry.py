import aiohttp

from amaranthferry.gateway.telemetry import (
    MAX_LABEL_SETS,
    OTHER_LABEL,
    Counter,
    Histogram,
)

from .fleet import fleet


async def test_metrics_are_served_as_text():
    async with fleet() as (system, caller):
        await caller.send_prompt()
        await caller.send("GET", "/look/x")
        await caller.send("GET", "/none/x")
        async with (
            aiohttp.ClientSession() as session,
            session.get(system.metrics[0]) as answer,
        ):
            text = await answer.text()
    assert 'requests_total{outcome="done",reason="",route="ask"} 1.0' in text
    assert 'outcome="refused",reason="route_unknown"' in text
    assert 'first_byte_seconds_bucket{le="+Inf",route="ask"} 1.0' in text
    assert "amaranthferry_config_version 1.0" in text
    assert 'amaranthferry_servers{service="engines"} 2.0' in text


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
