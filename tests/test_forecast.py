"""Check forecasts of waits, and refusals that rest on them."""

from collections import Counter

import pytest

from amaranthferry import granting
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.effects import ReportForecast
from amaranthferry.events import PeerReceived
from amaranthferry.forecast import Ahead, Forecast, Wait
from amaranthferry.messages import PermitGrant, PermitProgress, PermitRefusal
from tests.scheduling import Session, server

from .test_minimum_share import Overload
from .test_objectives import (
    HOST,
    SHARD,
    fill,
    make_coordinator,
    permit_request,
    refused,
    release,
    send,
    tick,
)

LEVEL, LOWER = (0, 0), (0, 1)


def grants(messages):
    return [(m.request_id, m.server) for m in messages if isinstance(m, PermitGrant)]


def forecast_under_load(*, arrivals=0.0, refused=0.0, elapsed=1.0, seconds=6.0):
    """Return a forecast after arrivals of so much cost a second, and the time.

    Each second of work has occupied a slot for `elapsed` seconds.
    """
    forecast = Forecast(0.1)
    for step in range(int(seconds * 20)):
        now = step / 20
        forecast.record_arrival(LEVEL, arrivals / 20, now)
        forecast.record_refusal(LEVEL, refused / 20, now)
        forecast.record_completion(0.2, 0.2 * elapsed, now)
    return forecast, seconds


def expected(forecast, now, *, cost=4.0, level=LEVEL, slots=4, **options):
    return forecast.wait(level, Ahead(0.0, cost), now, slots=slots, **options).expected


def test_wait_follows_the_measured_speed():
    forecast, now = forecast_under_load(elapsed=2.0)
    assert expected(forecast, now, cost=20.0) == pytest.approx(10.0)


def test_idle_time_does_not_change_the_measured_speed():
    forecast, now = forecast_under_load(elapsed=2.0)
    assert expected(forecast, now + 300.0, cost=20.0) == pytest.approx(10.0)


def test_idle_hours_end_in_no_error():
    forecast = Forecast(0.1)
    forecast.record_completion(0.2, 0.7, 0.0)
    # Sums that decay for some three hours lose their precision, and then all of it.
    for now in range(11_100, 11_200):
        assert 0 < forecast.run_time(1.0, now) < 5.0
        assert 0 < forecast.turn_time(1.0, 4, now) < 1.0
        wait = forecast.wait(LEVEL, Ahead(0.0, 4.0), now, slots=4)
        assert 0 <= wait.least <= wait.expected < 5.0


def test_late_work_waits_long_under_overload():
    forecast, now = forecast_under_load(arrivals=6.0)
    assert expected(forecast, now, late=True) > 4.0
    assert expected(forecast, now) == pytest.approx(1.0)


def test_late_work_gets_the_capacity_left_by_arrivals():
    forecast, now = forecast_under_load(arrivals=2.0)
    assert expected(forecast, now, late=True) == pytest.approx(2.0, rel=0.2)


def test_wait_falls_after_the_load_ends():
    forecast, now = forecast_under_load(arrivals=6.0)
    assert expected(forecast, now + 6.0, late=True) < 2.0


def test_lower_arrivals_do_not_delay_more_urgent_work():
    forecast, now = forecast_under_load(arrivals=6.0)
    assert expected(forecast, now, level=(0, -1), late=True) == pytest.approx(1.0)


def test_more_urgent_arrivals_lengthen_the_wait_of_lower_work():
    forecast, now = forecast_under_load(arrivals=2.0)
    assert expected(forecast, now, level=LOWER) > 1.5 * expected(forecast, now)


def test_urgent_work_that_is_refused_does_not_delay_lower_work():
    refusing, now = forecast_under_load(arrivals=40.0, refused=38.0)
    serving, _ = forecast_under_load(arrivals=2.0)
    assert expected(refusing, now, level=LOWER) == pytest.approx(
        expected(serving, now, level=LOWER)
    )


def test_wait_grows_with_fewer_slots():
    forecast, now = forecast_under_load(arrivals=1.0)
    assert expected(forecast, now, slots=2) > expected(forecast, now, slots=4)


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_wait_is_in_proportion_to_the_cost_ahead(factor):
    forecast, now = forecast_under_load(arrivals=1.0)
    whole = expected(forecast, now, cost=8.0, late=True)
    part = expected(forecast, now, cost=8.0 * factor, late=True)
    assert part == pytest.approx(whole * factor)


def test_nothing_known_is_no_ground_for_a_refusal():
    assert Forecast(0.1).wait(LEVEL, Ahead(0.0, 1e6), 0.0, slots=1).least == 0.0


def test_forecasts_that_held_are_relied_on():
    forecast = Forecast(0.1)
    for step in range(100):
        forecast.record_wait(LEVEL, Wait(fluid=2.0), 2.0, step / 10, limit=9.0)
    wait = forecast.wait(LEVEL, Ahead(0.0, 4.0), 10.0, slots=4)
    assert wait.expected == pytest.approx(1.0)
    assert 0.95 < wait.least <= 1.0


def test_one_forecast_that_held_is_no_ground_for_a_refusal():
    forecast = Forecast(0.1)
    forecast.record_wait(LEVEL, Wait(fluid=2.0), 2.0, 1.0, limit=9.0)
    assert forecast.wait(LEVEL, Ahead(0.0, 4.0), 1.0, slots=4).least == 0.0


def test_stall_does_not_lengthen_the_forecasts_that_follow():
    forecast = Forecast(0.1)
    for step in range(100):
        forecast.record_wait(LEVEL, Wait(fluid=0.2), 3.0, step / 10, limit=9.0)
    wait = forecast.wait(LEVEL, Ahead(0.0, 4.0), 10.0, slots=4)
    assert wait.expected == pytest.approx(1.0)
    assert wait.least == 0.0


def test_forecasts_that_erred_are_corrected_and_relied_on_less():
    forecast = Forecast(0.1)
    for step in range(200):
        waited = 0.8 if step % 2 else 1.2
        forecast.record_wait(LEVEL, Wait(fluid=2.0), waited, step / 10, limit=9.0)
    wait = forecast.wait(LEVEL, Ahead(0.0, 4.0), 20.0, slots=4)
    assert wait.expected == pytest.approx(0.5, rel=0.05)
    assert 0 < wait.least < 0.4


def test_work_that_gave_up_confirms_a_longer_forecast():
    forecast = Forecast(0.1)
    forecast.record_unserved(LEVEL, Wait(fluid=50.0), 4.0, 4.0)
    assert forecast.wait(
        LEVEL, Ahead(0.0, 4.0), 4.0, slots=4
    ).expected == pytest.approx(1.0)


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
    monkeypatch.setattr(granting, "_refuse_unservable", lambda *_: [])
    baseline = LoadSimulation(load)
    assert early.timely[0] + early.late[0] >= 0.97 * (
        baseline.timely[0] + baseline.late[0]
    )
    assert early.timely[0] >= 0.97 * baseline.timely[0]
    assert early.mean_refusal_delay(0) < 0.5 * baseline.mean_refusal_delay(0)


def test_lower_work_is_refused_early_and_keeps_its_share(monkeypatch):
    """Urgent work fills the servers, and there is as much work of a lower rank."""
    early = LoadSimulation(10.0, 10.0)
    monkeypatch.setattr(granting, "_refuse_unservable", lambda *_: [])
    baseline = LoadSimulation(10.0, 10.0)
    assert early.timely[0] >= baseline.timely[0]
    assert early.timely[1] + early.late[1] >= 0.9 * (
        baseline.timely[1] + baseline.late[1]
    )
    assert early.mean_refusal_delay(1) < 0.5 * baseline.mean_refusal_delay(1)


def test_refusal_on_a_forecast_tells_its_inputs():
    coordinator = LoadSimulation(25.0, seconds=8.0).coordinator
    request = permit_request("first", objective=-1.0, patience=4.0)
    asked = PeerReceived(now=8.0, sender=HOST, message=request)
    (report,) = [e for e in reduce(coordinator, asked) if isinstance(e, ReportForecast)]
    assert report.request_id == "first"
    assert report.expected >= report.least > report.left > 0
    assert report.late
    assert report.age == 0.0


def test_load_within_capacity_is_never_refused():
    assert LoadSimulation(8.0).refusal_delays == [[]]


def test_callers_with_time_are_not_refused_as_their_objective_passes():
    """All 30 slots are taken for 3.2 s; then 24 callers come that have 5 to 10 s."""
    coordinator = make_coordinator(servers=5, slots=6)
    servers = fill(coordinator, 30)
    assert len(servers) == 30
    for number in range(24):
        patience = (5.0, 7.0, 10.0)[number % 3]
        request = permit_request(
            f"r{number}", objective=0.65, remaining=patience, patience=patience, out=30
        )
        assert refused(send(coordinator, request, 0.02)) == []
    for step in range(1, 32):
        assert refused(tick(coordinator, step / 10)) == []
    messages = []
    for name, server_id in servers.items():
        messages += send(coordinator, release(name, server_id, 3.2), 3.2)
    served = []
    for step in range(10):
        for name, server_id in grants(messages):
            served.append(name)
            first = PermitProgress(name, SHARD, server_id, 0.01, 1, 0.01)
            send(coordinator, first, 3.21 + step / 50)
        messages = tick(coordinator, 3.22 + step / 50)
    assert len(served) == 24


def test_late_work_of_a_level_below_its_share_does_not_starve():
    served = Overload(0.1, 2.0, 0.5, objectives=(600.0, -1.0)).served
    assert served[1] >= 0.9 * 0.1


def refusal(session, request_id):
    messages = [effect.message for effect in session.sent]
    return next(
        m
        for m in messages
        if isinstance(m, PermitRefusal) and m.request_id == request_id
    )


def test_retry_after_grows_with_the_work_ahead():
    session = Session(server("e1", slots=1), queue_limit=50)
    session.request("running", remaining=900.0)
    for number in range(51):
        session.request(f"r{number}", remaining=900.0)
    long_wait = refusal(session, "r50").retry_after
    assert 20.0 < long_wait < 100.0
    short = Session(server("e1", slots=1), queue_limit=0)
    short.request("running")
    short.request("r")
    # The slot becomes free when the request that runs has ended.
    assert 0 < refusal(short, "r").retry_after < 2.0


def test_late_waiter_with_the_least_time_left_does_not_wait_behind_others():
    coordinator = make_coordinator(servers=1, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    for waiter, objective, patience in [
        ("roomy", 0.5, 9.0),
        ("pressed", 0.9, 3.0),
        ("already-late", -1.0, 5.0),
    ]:
        request = permit_request(
            waiter, objective=objective, remaining=10.0, patience=patience
        )
        send(coordinator, request, 0.1)
    tick(coordinator, 1.5)
    order = []
    for step in range(3):
        now = 2.0 + step / 10
        ((name, server),) = grants(send(coordinator, release(name, server), now))
        order.append(name)
        send(coordinator, PermitProgress(name, SHARD, server, 0.01, 1, 0.01), now)
    assert order == ["pressed", "already-late", "roomy"]
