import pytest
import structlog

from amaranthferry.effects import (
    ReportBackoff,
    ReportFallbackEnd,
    ReportFallbackStart,
    ReportReturn,
    ReportUnlistedPermit,
)
from amaranthferry.gateway import decisions
from amaranthferry.types import FallbackCause, ReturnReason
from tests.reducer_fleet import ReducerFleet, instance

SHARD = "engines/0"


@pytest.fixture
def lines(monkeypatch):
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(decisions, "_log", log)
    return log.calls


def backoff(number=0):
    return ReportBackoff(
        shard=SHARD,
        server=f"s-{number}",
        host="edge-1",
        request_id=f"r{number}",
        duration=0.5,
    )


def unlisted(number=0):
    return ReportUnlistedPermit(
        shard=SHARD,
        server="s-0",
        host="edge-1",
        request_id=f"r{number}",
        age=4.2,
        first_token_seen=False,
    )


def test_backoffs_are_logged_at_a_bounded_rate_and_the_rest_counted(lines):
    log = decisions.BackoffLog()
    for number in range(10 * decisions.MAX_BACKOFF_LINES):
        log.record(backoff(number), 7.5)
    log.record(backoff(), 8.0)
    assert len(lines) == decisions.MAX_BACKOFF_LINES + 1
    assert lines[0].args[0] == "server.backed_off"
    assert (lines[0].kwargs["server"], lines[0].kwargs["asker"]) == ("s-0", "edge-1")
    assert lines[0].kwargs["duration"] == 0.5
    assert lines[-1].kwargs["skipped"] == 9 * decisions.MAX_BACKOFF_LINES


def test_unlisted_permits_are_logged_at_a_bounded_rate_and_the_rest_counted(lines):
    log = decisions.UnlistedPermitLog()
    for number in range(3 * decisions.MAX_UNLISTED_LINES):
        log.record(unlisted(number), 7.5)
    log.record(unlisted(), 8.0)
    assert len(lines) == decisions.MAX_UNLISTED_LINES + 1
    assert lines[0].args[0] == "permit.unlisted"
    assert (lines[0].kwargs["asker"], lines[0].kwargs["age"]) == ("edge-1", 4.2)
    assert lines[-1].kwargs["skipped"] == 2 * decisions.MAX_UNLISTED_LINES


def test_unreadable_limits_are_logged_briefly_and_once_a_second(lines):
    log = decisions.UnreadableLimitLog()
    for now in (7.1, 7.2, 7.9, 8.0):
        log.record("s-0", "9" * 4000, now)
    shown = [line.kwargs for line in lines]
    assert [line["skipped"] for line in shown] == [0, 2]
    assert all(len(line["value"]) == decisions.MAX_SHOWN_VALUE for line in shown)


def test_fallbacks_and_returned_grants_are_logged(lines):
    decisions.log_fallback_start(
        ReportFallbackStart(
            shard=SHARD,
            coordinator="edge-1",
            decider="edge-2",
            cause=FallbackCause.COORDINATOR_SILENT,
            silent=0.35125,
            waiting=3,
        )
    )
    decisions.log_fallback_end(
        ReportFallbackEnd(shard=SHARD, coordinator="edge-1", lasted=0.05, waiting=1)
    )
    decisions.log_return(
        ReportReturn(
            request_id="r1",
            shard=SHARD,
            coordinator="edge-1",
            server="s-0",
            reason=ReturnReason.REQUEST_GONE,
        )
    )
    started, ended, returned = lines
    assert started.args[0] == "fallback.started"
    assert (started.kwargs["cause"], started.kwargs["silent"]) == (
        "coordinator_silent",
        0.351,
    )
    assert ended.args[0] == "fallback.ended"
    assert (ended.kwargs["lasted"], ended.kwargs["waiting"]) == (0.05, 1)
    assert returned.args[0] == "permit.returned"
    assert (returned.kwargs["reason"], returned.kwargs["age"]) == ("request_gone", None)


def test_waiting_requests_are_logged_with_what_the_servers_could_take(lines):
    system = ReducerFleet([instance("s-0"), instance("s-1")])
    host = system.hosts["host-0"].coordinator_of(SHARD)
    state = system.hosts[host]
    system.advance(4.0)
    decisions.log_waiting(state, system.now)
    for _ in range(3):
        system.send(host)
    decisions.log_waiting(state, system.now + 0.2)
    (line,) = lines
    assert line.args[0] == "shard.waiting"
    assert (
        line.kwargs["queue"],
        line.kwargs["permits"],
        line.kwargs["idle_slots"],
    ) == (1, 2, 6)
    assert line.kwargs["servers"] == {"prefill_overdue": 2}
    assert line.kwargs["oldest"] == 0.2
    assert line.kwargs["role"] == "coordinator"
