from math import inf

import pytest

from amaranthferry import granting
from amaranthferry.messages import PermitGrant, PermitRefusal
from amaranthferry.outlook import Outlook

from .test_objectives import ask, coordinator, release, send, tick

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


def play(load, *, runs=0.4, seconds=20.0):
    """Play asks a second against four places; return grants in time and time held."""
    found = coordinator(servers=2, slots=2)
    asked, running = {}, []
    timely, late, held = 0, 0, []
    for step in range(int(seconds * 100)):
        now = step / 100
        messages = tick(found, now) if step % 5 == 0 else []
        if step % int(100 / load) == 0:
            name = f"r{step}"
            asked[name] = now
            messages += send(found, ask(name, objective=0.6, hold=3.0, out=30), now)
        for name, server, until in [run for run in running if run[2] <= now]:
            running.remove((name, server, until))
            messages += send(found, release(name, server, runs), now)
        for message in messages:
            if isinstance(message, PermitGrant):
                running.append((message.request_id, message.server, now + runs))
                waited = now - asked[message.request_id]
                timely, late = timely + (waited <= 0.6), late + (waited > 0.6)
            elif isinstance(message, PermitRefusal):
                held.append(now - asked[message.request_id])
    return timely, late, sum(held) / max(1, len(held))


@pytest.mark.parametrize("load", [20.0, 25.0])
def test_overload_is_told_soon_and_as_many_are_served_in_time(monkeypatch, load):
    """Answer a load of twice what the servers can do, beside holding to the end."""
    timely, late, held = play(load)
    monkeypatch.setattr(granting, "HOPELESS", inf)
    base_timely, base_late, base_held = play(load)
    assert timely + late >= 0.97 * (base_timely + base_late)
    assert timely >= 0.97 * base_timely
    assert held < 0.5 * base_held


def test_a_load_that_fits_is_never_refused():
    _, _, held = play(8.0)
    assert held == 0.0
