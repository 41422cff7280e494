from collections import Counter
from math import inf

import msgspec
import pytest

from amaranthferry import granting
from amaranthferry.late_wait import LateWaitEstimate
from amaranthferry.messages import PermitGrant, PermitRefusal

from .test_objectives import (
    make_coordinator,
    permit_request,
    refused,
    release,
    send,
    tick,
)

LEVEL, LOWER = (0, 0), (0, 1)


def estimate_under_load(*, arrivals, grants, slots=4, seconds=6.0):
    """Return the estimate after a load of so much cost per second, and the time."""
    estimate = LateWaitEstimate()
    for step in range(int(seconds * 20)):
        now = step / 20
        estimate.record_arrival(LEVEL, arrivals / 20, now)
        estimate.record_grant(grants / 20, now, slots)
    return estimate, seconds


def test_no_wait_is_estimated_before_the_first_grant():
    assert LateWaitEstimate().estimate_wait(LEVEL, 100.0, 0.0, 4) == 0.0


def test_late_work_waits_long_under_overload():
    estimate, now = estimate_under_load(arrivals=6.0, grants=4.0)
    assert estimate.estimate_wait(LEVEL, 4.0, now, 4) > 10.0


def test_late_work_gets_the_capacity_left_by_arrivals():
    estimate, now = estimate_under_load(arrivals=2.0, grants=4.0)
    assert estimate.estimate_wait(LEVEL, 4.0, now, 4) == pytest.approx(2.0, rel=0.2)


def test_wait_falls_after_the_load_ends():
    estimate, now = estimate_under_load(arrivals=6.0, grants=4.0)
    assert estimate.estimate_wait(LEVEL, 4.0, now + 6.0, 4) < 2.0


def test_lower_arrivals_do_not_delay_more_urgent_late_work():
    estimate, now = estimate_under_load(arrivals=6.0, grants=4.0)
    assert estimate.estimate_wait((0, -1), 4.0, now, 4) < 1.5


def test_wait_grows_with_fewer_slots():
    estimate, now = estimate_under_load(arrivals=1.0, grants=4.0)
    assert estimate.estimate_wait(LEVEL, 4.0, now, 2) > estimate.estimate_wait(
        LEVEL, 4.0, now, 4
    )


class LoadSimulation:
    """Requests per second by rank on four slots, and the outcomes for their callers."""

    def __init__(self, *loads, service_time=0.4, seconds=20.0):
        self.coordinator = make_coordinator(servers=2, slots=2)
        self.requested_at, self.running = {}, []
        self.timely, self.late = Counter(), Counter()
        self.refusal_delays = [[] for _ in loads]
        for step in range(int(seconds * 100)):
            now = step / 100
            messages = tick(self.coordinator, now) if step % 5 == 0 else []
            for rank, load in enumerate(loads):
                if load and step % int(100 / load) == 0:
                    messages += self._send_request(f"r{rank}-{step}", rank, now)
            for attempt in [entry for entry in self.running if entry[2] <= now]:
                self.running.remove(attempt)
                messages += send(
                    self.coordinator, release(attempt[0], attempt[1], service_time), now
                )
            for message in messages:
                self._handle(message, now, service_time)

    def _send_request(self, name, rank, now):
        self.requested_at[name] = now
        request = permit_request(name, rank=rank, objective=0.6, patience=3.0, out=30)
        return send(self.coordinator, request, now)

    def _handle(self, message, now, service_time):
        if isinstance(message, PermitGrant | PermitRefusal):
            rank = int(message.request_id[1])
            waited = now - self.requested_at[message.request_id]
        if isinstance(message, PermitGrant):
            self.running.append(
                (message.request_id, message.server, now + service_time)
            )
            (self.timely if waited <= 0.6 else self.late)[rank] += 1
        elif isinstance(message, PermitRefusal):
            self.refusal_delays[rank].append(waited)

    def mean_refusal_delay(self, rank):
        return sum(self.refusal_delays[rank]) / max(1, len(self.refusal_delays[rank]))


@pytest.mark.parametrize("load", [20.0, 25.0])
def test_overload_is_refused_early_without_serving_fewer(monkeypatch, load):
    """Compare early refusal with waiting until expiry, at twice the capacity."""
    early = LoadSimulation(load)
    monkeypatch.setattr(granting, "MAX_WAIT_RATIO", inf)
    baseline = LoadSimulation(load)
    assert early.timely[0] + early.late[0] >= 0.97 * (
        baseline.timely[0] + baseline.late[0]
    )
    assert early.timely[0] >= 0.97 * baseline.timely[0]
    assert early.mean_refusal_delay(0) < 0.5 * baseline.mean_refusal_delay(0)


def test_lower_work_is_refused_early_and_keeps_its_share(monkeypatch):
    """Urgent work fills the servers, and there is as much work of a lower rank."""
    early = LoadSimulation(10.0, 10.0)
    monkeypatch.setattr(granting, "MAX_WAIT_RATIO", inf)
    baseline = LoadSimulation(10.0, 10.0)
    assert early.timely[0] >= baseline.timely[0]
    assert early.timely[1] + early.late[1] >= 0.9 * (
        baseline.timely[1] + baseline.late[1]
    )
    assert early.mean_refusal_delay(1) < 0.5 * baseline.mean_refusal_delay(1)


def test_load_within_capacity_is_never_refused():
    assert LoadSimulation(8.0).refusal_delays == [[]]


def test_repeated_attempt_is_not_refused_as_late():
    """Under overload, a stream that resumes on another server must not be refused."""
    coordinator = LoadSimulation(25.0, seconds=5.0).coordinator
    first = msgspec.structs.replace(
        permit_request("first", objective=-1.0), excluded=()
    )
    second = msgspec.structs.replace(
        permit_request("second", objective=-1.0), excluded=("x",)
    )
    assert refused(send(coordinator, first, 5.0)) == ["first"]
    assert refused(send(coordinator, second, 5.0)) == []
    assert "second" in coordinator.queue
