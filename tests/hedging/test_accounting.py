"""Guard the reducer's guarantees while a request has two runs."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry import events
from amaranthferry.effects import CountMetric, Dispatch, HedgeDispatch, SendToHost
from amaranthferry.hedging.accounting import may_hedge
from amaranthferry.messages import PermitRelease
from tests.reducer_fleet import ENGINES, LEDGER, ReducerFleet, instance

HOST = "host-0"


def servers(count=3, **fields):
    return [instance(f"l{n}", LEDGER, **fields) for n in range(count)]


def calm_fleet(instances):
    """Return a fleet whose first host has decided before, so that it is not starting."""
    fleet = ReducerFleet(instances)
    fleet.hosts[HOST].harm.informed = True
    for pool in {item.service for item in instances}:
        request_id = fleet.send(HOST, pool=pool)
        done = events.DispatchFinished(now=fleet.now, request_id=request_id)
        fleet.apply(HOST, done)
    fleet.advance(1.0)
    fleet.dispatched.clear()
    return fleet


def running(count=3, *, slots=4, **fields):
    """Return a fleet with one running request, and its id."""
    fleet = calm_fleet(servers(count, slots=slots))
    return fleet, fleet.send(HOST, pool=LEDGER, **fields)


class Watcher:
    """Collect what a host's reducer returns."""

    def __init__(self, fleet):
        self.fleet, self.effects = fleet, []
        perform = fleet._perform
        fleet._perform = lambda host, effect: (
            self.effects.append(effect),
            perform(host, effect),
        )

    def hedges(self):
        return [e.server for e in self.effects if isinstance(e, HedgeDispatch)]

    def denied(self):
        return [
            e.name.rpartition(".")[2]
            for e in self.effects
            if isinstance(e, CountMetric) and e.name.startswith("hedges.denied.")
        ]

    def released(self):
        return [
            e.message.server
            for e in self.effects
            if isinstance(e, SendToHost) and isinstance(e.message, PermitRelease)
        ]


def hedge(fleet, request_id, *, avoid=()):
    wanted = events.HedgeWanted(now=fleet.now, request_id=request_id, avoid=avoid)
    fleet.apply(HOST, wanted)


def permits(fleet):
    (coordinator,) = [
        c for c in fleet.hosts[HOST].coordinators.values() if c.pool.name == LEDGER
    ]
    return {
        name: len(record.permits)
        for name, record in coordinator.servers.items()
        if record.permits
    }


def test_second_run_goes_to_another_server_and_takes_its_slot():
    fleet, request_id = running()
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    (second,) = watcher.hedges()
    first = fleet.dispatched[0][1]
    assert second != first
    assert permits(fleet) == {first: 1, second: 1}


def test_servers_to_avoid_get_no_second_run():
    fleet, request_id = running()
    watcher = Watcher(fleet)
    hedge(fleet, request_id, avoid=("l0", "l1", "l2"))
    assert watcher.hedges() == []
    assert watcher.denied() == ["no_server"]


def test_third_run_is_never_sent_beside_two():
    fleet, request_id = running(max_attempts=5)
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    hedge(fleet, request_id)
    assert len(watcher.hedges()) == 1


def test_second_run_counts_as_an_attempt():
    """Guard against a request that reaches more servers than it may."""
    fleet, request_id = running(max_attempts=2)
    hedge(fleet, request_id)
    now = fleet.now
    fleet.apply(HOST, events.HedgeEnded(now=now, request_id=request_id, failed=True))
    fleet.apply(HOST, events.DispatchFailed(now=now, request_id=request_id))
    assert len(fleet.dispatched) == 1
    assert fleet.settled[request_id].outcome == "unknown"


def test_failed_first_run_leaves_the_second_one_as_the_only_run():
    fleet, request_id = running(max_attempts=3)
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    (second,) = watcher.hedges()
    now = fleet.now
    fleet.apply(HOST, events.RunsSwapped(now=now, request_id=request_id))
    fleet.apply(HOST, events.HedgeEnded(now=now, request_id=request_id, failed=True))
    assert permits(fleet) == {second: 1}
    assert fleet.hosts[HOST].requests[request_id].server == second
    fleet.apply(HOST, events.DispatchFinished(now=now, request_id=request_id))
    assert permits(fleet) == {}


def test_both_permits_are_released_when_the_second_run_wins():
    fleet, request_id = running()
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    now = fleet.now
    fleet.apply(HOST, events.RunsSwapped(now=now, request_id=request_id))
    fleet.apply(HOST, events.HedgeEnded(now=now, request_id=request_id))
    fleet.apply(HOST, events.DispatchFinished(now=now, request_id=request_id))
    assert permits(fleet) == {}
    assert len(watcher.released()) == 2
    assert fleet.hosts[HOST].requests == {}


def test_permits_of_both_runs_outlast_registrations():
    """Guard against a slot that is given away while a long second run holds it."""
    fleet, request_id = running(timeout=60.0)
    fleet.hosts[HOST].now = fleet.now
    hedge(fleet, request_id)
    before = permits(fleet)
    fleet.advance(8.0)
    assert sum(before.values()) == 2
    assert permits(fleet) == before
    swapped = events.RunsSwapped(now=fleet.now, request_id=request_id)
    fleet.apply(HOST, swapped)
    fleet.advance(8.0)
    assert permits(fleet) == before


def test_quota_is_charged_once():
    fleet, request_id = running(quota_cost=5.0)
    hedge(fleet, request_id)
    state = fleet.hosts[HOST]
    (record,) = state.usage.values()
    assert dict(record.usage(state.now)) == {"": (5.0,)}


def test_second_run_withdraws_from_the_retry_budget():
    fleet, request_id = running()
    budget = fleet.hosts[HOST].repeat_budget(LEDGER)
    before = budget.tokens
    hedge(fleet, request_id)
    assert budget.tokens == before - 1.0


def test_empty_retry_budget_allows_no_second_run():
    fleet, request_id = running()
    fleet.hosts[HOST].repeat_budget(LEDGER).tokens = 0.0
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    assert watcher.denied() == ["retry_budget"]


def test_last_slot_of_a_server_is_left_to_first_runs():
    fleet, request_id = running(2, slots=1)
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    assert watcher.denied() == ["no_server"]


def test_no_slot_is_taken_while_a_request_waits():
    fleet, request_id = running(2, slots=2)
    for _ in range(4):
        fleet.send(HOST, pool=LEDGER)
    state = fleet.hosts[HOST]
    (coordinator,) = [c for c in state.coordinators.values() if c.queue]
    coordinator.servers["l0"].cfg = msgspec.structs.replace(
        coordinator.servers["l0"].cfg, slots=9
    )
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    assert watcher.hedges() == []


def test_engines_get_no_second_run():
    """Their coordinators decide on slots, and streams never have two runs."""
    fleet = calm_fleet([instance("e0"), instance("e1")])
    request_id = fleet.send(HOST)
    assert fleet.dispatched
    watcher = Watcher(fleet)
    hedge(fleet, request_id)
    assert watcher.hedges() == []


@settings(max_examples=150, deadline=None)
@given(
    repeatable=st.booleans(),
    key=st.sampled_from(["", "key"]),
    work_class=st.sampled_from(["cancelled-0", "finished-0"]),
    max_attempts=st.integers(1, 4),
    pool=st.sampled_from([LEDGER, ENGINES]),
    steps=st.lists(
        st.sampled_from(
            ["hedge", "swap", "end", "refuse", "fail", "finish", "gone", "late"]
        ),
        max_size=12,
    ),
)
def test_what_may_not_be_repeated_never_gets_a_second_run(
    repeatable, key, work_class, max_attempts, pool, steps
):
    """Play any order of events; never two servers for what may run only once."""
    fleet = calm_fleet([*servers(4), *(instance(f"e{n}") for n in range(4))])
    state = fleet.hosts[HOST]
    watcher = Watcher(fleet)
    request_id = fleet.send(
        HOST,
        pool=pool,
        repeatable=repeatable,
        work_class=work_class,
        max_attempts=max_attempts,
        idempotency_key="",
    )
    req = state.requests.get(request_id)
    if req is not None and key:
        req.arrival = msgspec.structs.replace(req.arrival, idempotency_key=key)
    may_repeat = repeatable and not key and work_class == "cancelled-0"
    for step in steps:
        fields = {"now": fleet.now, "request_id": request_id}
        event = {
            "hedge": events.HedgeWanted(**fields),
            "swap": events.RunsSwapped(**fields),
            "end": events.HedgeEnded(**fields, failed=True),
            "refuse": events.DispatchRefused(**fields, by_server=True),
            "fail": events.DispatchFailed(**fields),
            "finish": events.DispatchFinished(**fields),
            "gone": events.CallerGone(**fields),
            "late": events.DeadlinePassed(**fields),
        }[step]
        req = state.requests.get(request_id)
        second = req is not None and req.second_run is not None
        if second and step in ("refuse", "fail", "finish"):
            # The shell ends the second run before it reports the end of the other.
            fleet.apply(HOST, events.HedgeEnded(**fields))
        fleet.apply(HOST, event)
    if steps[:1] == ["hedge"] and may_repeat and max_attempts > 1 and pool == LEDGER:
        assert watcher.hedges()
    if not may_repeat or max_attempts < 2 or pool == ENGINES:
        assert watcher.hedges() == []
    sent = [e for e in watcher.effects if isinstance(e, Dispatch | HedgeDispatch)]
    assert len(sent) <= max_attempts
    assert len({e.server for e in sent}) == len(sent)


def test_caller_that_left_gets_no_second_run():
    fleet, request_id = running()
    state = fleet.hosts[HOST]
    state.requests[request_id].caller_gone = True
    assert not may_hedge(state, state.requests[request_id])


def test_coordinator_that_was_dropped_learns_of_both_runs():
    """Guard against lost permits after a pause of the host."""
    fleet, request_id = running(timeout=60.0)
    hedge(fleet, request_id)
    before = permits(fleet)
    assert len(before) == 2
    fleet.now += 5.0
    fleet.apply(HOST, events.Ticked(now=fleet.now))
    fleet.advance(3.0)
    assert permits(fleet) == before
