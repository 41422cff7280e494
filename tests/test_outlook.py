from collections import Counter
from math import inf

import msgspec
import pytest

from amaranthferry import granting
from amaranthferry.messages import PermitGrant, PermitRefusal
from amaranthferry.outlook import Outlook

from .test_objectives import ask, coordinator, refused, release, send, tick

LEVEL, LOWER = (0, 0), (0, 1)


def loaded(*, arrivals, grants, slots=4, seconds=6.0):
    """Return what a load of so much cost a second leaves, and the time."""
    outlook = Outlook()
    for step in range(int(seconds * 20)):
        now = step / 20
        outlook.arrived(LEVEL, arrivals / 20, now)
        outlook.granted(grants / 20, now, slots)
    return outlook, seconds


def test_nothing_is_said_before_the_servers_have_shown_anything():
    assert Outlook().wait(LEVEL, 100.0, 0.0, 4) == 0.0


def test_late_work_waits_long_while_more_arrives_than_is_served():
    outlook, now = loaded(arrivals=6.0, grants=4.0)
    assert outlook.wait(LEVEL, 4.0, now, 4) > 10.0


def test_late_work_waits_for_the_rest_that_arrivals_leave():
    outlook, now = loaded(arrivals=2.0, grants=4.0)
    assert outlook.wait(LEVEL, 4.0, now, 4) == pytest.approx(2.0, rel=0.2)


def test_a_load_that_has_ended_leaves_room():
    outlook, now = loaded(arrivals=6.0, grants=4.0)
    assert outlook.wait(LEVEL, 4.0, now + 6.0, 4) < 2.0


def test_lower_arrivals_take_nothing_from_more_urgent_late_work():
    outlook, now = loaded(arrivals=6.0, grants=4.0)
    assert outlook.wait((0, -1), 4.0, now, 4) < 1.5


def test_fewer_servers_do_less():
    outlook, now = loaded(arrivals=1.0, grants=4.0)
    assert outlook.wait(LEVEL, 4.0, now, 2) > outlook.wait(LEVEL, 4.0, now, 4)


class Load:
    """Play asks a second by rank against four places; count what callers get."""

    def __init__(self, *loads, runs=0.4, seconds=20.0):
        self.found = coordinator(servers=2, slots=2)
        self.asked, self.running = {}, []
        self.timely, self.late = Counter(), Counter()
        self.held = [[] for _ in loads]
        for step in range(int(seconds * 100)):
            now = step / 100
            messages = tick(self.found, now) if step % 5 == 0 else []
            for rank, load in enumerate(loads):
                if load and step % int(100 / load) == 0:
                    messages += self._ask(f"r{rank}-{step}", rank, now)
            for run in [run for run in self.running if run[2] <= now]:
                self.running.remove(run)
                messages += send(self.found, release(run[0], run[1], runs), now)
            for message in messages:
                self._see(message, now, runs)

    def _ask(self, name, rank, now):
        self.asked[name] = now
        request = ask(name, rank=rank, objective=0.6, max_wait=3.0, out=30)
        return send(self.found, request, now)

    def _see(self, message, now, runs):
        if isinstance(message, PermitGrant | PermitRefusal):
            rank = int(message.request_id[1])
            waited = now - self.asked[message.request_id]
        if isinstance(message, PermitGrant):
            self.running.append((message.request_id, message.server, now + runs))
            (self.timely if waited <= 0.6 else self.late)[rank] += 1
        elif isinstance(message, PermitRefusal):
            self.held[rank].append(waited)

    def mean_held(self, rank):
        return sum(self.held[rank]) / max(1, len(self.held[rank]))


@pytest.mark.parametrize("load", [20.0, 25.0])
def test_overload_is_told_soon_and_as_many_are_served_in_time(monkeypatch, load):
    """Answer a load of twice what the servers can do, beside holding to the end."""
    ours = Load(load)
    monkeypatch.setattr(granting, "HOPELESS", inf)
    base = Load(load)
    assert ours.timely[0] + ours.late[0] >= 0.97 * (base.timely[0] + base.late[0])
    assert ours.timely[0] >= 0.97 * base.timely[0]
    assert ours.mean_held(0) < 0.5 * base.mean_held(0)


def test_lower_work_is_told_soon_and_keeps_its_share(monkeypatch):
    """Answer urgent work that fills the servers, with as much lower work."""
    ours = Load(10.0, 10.0)
    monkeypatch.setattr(granting, "HOPELESS", inf)
    base = Load(10.0, 10.0)
    assert ours.timely[0] >= base.timely[0]
    assert ours.timely[1] + ours.late[1] >= 0.9 * (base.timely[1] + base.late[1])
    assert ours.mean_held(1) < 0.5 * base.mean_held(1)


def test_a_load_that_fits_is_never_refused():
    assert Load(8.0).held == [[]]


def test_a_second_run_waits_on():
    """Answer an overload in which a stream is to go on at another server."""
    found = Load(25.0, seconds=5.0).found
    first = msgspec.structs.replace(ask("first", objective=-1.0), excluded=())
    second = msgspec.structs.replace(ask("second", objective=-1.0), excluded=("x",))
    assert refused(send(found, first, 5.0)) == ["first"]
    assert refused(send(found, second, 5.0)) == []
    assert "second" in found.queue
