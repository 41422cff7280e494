import structlog

from amaranthferry.gateway import footprint
from amaranthferry.gateway.footprint import Footprint, read_process_memory

from .fleet import fleet
from .test_telemetry import scrape

LIMIT = 100_000_000


def test_memory_of_the_process_is_read():
    assert 1_000_000 < read_process_memory() < 10_000_000_000


def test_unreadable_memory_is_unknown(tmp_path):
    path = tmp_path / "statm"
    assert read_process_memory(path) is None
    path.write_text("odd")
    assert read_process_memory(path) is None


def test_high_memory_is_logged_once_until_it_has_fallen(monkeypatch):
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(footprint, "_log", log)
    readings = [10, 61, 70, 55, 61, 49, 61, None]
    values = iter(readings)

    def measure():
        value = next(values)
        return None if value is None else value * 1_000_000

    watched = Footprint(LIMIT, measure=measure)
    for _ in readings:
        watched.check(lambda: {"open_requests": 3})
    assert [call.kwargs["process"] for call in log.calls] == [61_000_000, 61_000_000]
    assert log.calls[0].kwargs["open_requests"] == 3


def test_memory_without_a_limit_is_not_logged(monkeypatch):
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(footprint, "_log", log)
    Footprint(0, measure=lambda: LIMIT).check(dict)
    assert log.calls == []


async def test_metrics_tell_the_memory_and_the_kept_changes():
    async with fleet() as (system, _):
        text = await scrape(system)
    assert "amaranthferry_process_memory_bytes" in text
    assert 'amaranthferry_kept_changes{kind="config"}' in text
