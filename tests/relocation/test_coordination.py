"""Check proposals, and how permits follow their runs when messages are lost or late."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.catalog import (
    BudgetLimits,
    Catalog,
    Engine,
    PoolFeatures,
    RoutedService,
)
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.codec import decode, encode
from amaranthferry.config import MoveRules
from amaranthferry.coordinator import Coordinator
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.events import PeerReceived, Ticked
from amaranthferry.exceptions import FrameError
from amaranthferry.messages import (
    PermitGrant,
    PermitProgress,
    PermitRelease,
    PermitRequest,
    Registration,
    RunningWork,
)
from amaranthferry.relocation.messages import MoveOutcome, MoveProposal, MoveReport

from ..reducer_fleet import ENGINES, instance

SHARD, HOST, OTHER = f"{ENGINES}/0", "host-0", "host-1"
RULES = MoveRules(token_bytes=1_000, link_rate=125_000_000, handle_lifetime=2.0)


class Shard:
    """Run one coordinator with two engines, for the hosts' messages."""

    def __init__(self, rules=RULES, *, slots=2):
        engine = Engine(slots=slots, kv_tokens=100_000, moves=rules)
        services = {ENGINES: RoutedService(name=ENGINES, engine=engine)}
        instances = {name: instance(name) for name in ("engine-0", "engine-1")}
        self.coordinator = Coordinator.from_config(
            compile_catalog(
                Catalog(version=1, services=services),
                instances,
                BudgetLimits(),
                features=PoolFeatures(moves_runs=True),
            ),
            SHARD,
            now=0.0,
            hosts=(HOST, OTHER),
        )
        self.now = 0.0
        self.sent = []
        for host in (HOST, OTHER):
            self.receive(Registration(SHARD, (), ()), host)

    def _apply(self, event):
        effects = reduce(self.coordinator, event)
        self.sent += [e.message for e in effects if hasattr(e, "message")]

    def receive(self, message, host=HOST):
        self._apply(PeerReceived(now=self.now, sender=host, message=message))

    def tick(self, until):
        while self.now < until:
            self.now = round(self.now + 0.05, 3)
            self._apply(Ticked(now=self.now))

    def of_type(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]

    def start(self, request_id="r1"):
        """Have a request granted, and return its server."""
        self.receive(
            PermitRequest(request_id, SHARD, "", 0, 0, 15.0, 100, 900, objective=1.0)
        )
        return self.of_type(PermitGrant)[-1].server

    def progress(self, server, tokens, *, movable=True, request_id="r1", host=HOST):
        message = PermitProgress(
            request_id, SHARD, server, 0.1, tokens, self.now, movable
        )
        self.receive(message, host)

    def crawl(self, *, movable=True):
        """Have a run get slow, and return its server and the other one."""
        source = self.start()
        self.progress(source, 1, movable=False)
        for number in range(1, 7):
            self.tick(number)
            self.progress(source, 1 + 50 * number, movable=movable)
        self.tick(6.3)
        target = "engine-1" if source == "engine-0" else "engine-0"
        if movable and self.coordinator.move_rules is not None:
            assert self.permits(target) == ["r1"]
        return source, target

    def permits(self, server):
        return list(self.coordinator.servers[server].permits)

    def report(self, source, target, outcome, *, host=HOST):
        server = target if outcome is MoveOutcome.MOVED else source
        self.receive(MoveReport("r1", SHARD, server, target, outcome), host)


def test_slow_run_is_proposed_once_to_its_host_with_a_slot_held_at_the_target():
    shard = Shard()
    source, target = shard.crawl()
    (proposal,) = shard.of_type(MoveProposal)
    assert (proposal.source, proposal.target) == (source, target)
    assert shard.permits(source) == shard.permits(target) == ["r1"]


def test_no_move_is_proposed_for_a_run_whose_host_cannot_move_it():
    """Guard against proposals to hosts of earlier releases, whose reports end early."""
    shard = Shard()
    shard.crawl(movable=False)
    assert shard.of_type(MoveProposal) == []
    earlier = msgspec.msgpack.decode(encode(PermitProgress("r", "s", "e", 0, 1, 1)))
    assert not decode(msgspec.msgpack.encode(earlier[:-1])).movable


def test_host_of_an_earlier_release_refuses_only_the_unknown_message():
    """Guard against a type that ends links; the frame is valid, its message isn't."""
    unknown = msgspec.msgpack.encode(["a_later_type", "r1"])
    with pytest.raises(FrameError):
        decode(unknown)


def test_nothing_is_proposed_where_the_engine_does_not_say_so():
    shard = Shard(rules=None)
    source, target = shard.crawl()
    assert shard.of_type(MoveProposal) == []
    shard.progress(target, 400)
    assert shard.permits(source) == ["r1"]


def test_report_moves_the_permit_and_a_repeated_or_late_one_changes_nothing():
    shard = Shard()
    source, target = shard.crawl()
    shard.report(source, target, MoveOutcome.MOVED, host=OTHER)
    assert shard.permits(source) == ["r1"]
    shard.report(source, target, MoveOutcome.MOVED)
    assert (shard.permits(source), shard.permits(target)) == ([], ["r1"])
    shard.report(source, target, MoveOutcome.MOVED)
    shard.report(source, target, MoveOutcome.STAYED)
    shard.progress(source, 310)
    assert (shard.permits(source), shard.permits(target)) == ([], ["r1"])


@pytest.mark.parametrize(
    "outcome", [MoveOutcome.DECLINED, MoveOutcome.STAYED, MoveOutcome.RETURNED]
)
def test_slot_at_the_target_is_given_up_when_the_run_stays(outcome):
    shard = Shard()
    source, target = shard.crawl()
    shard.report(source, target, outcome)
    assert (shard.permits(source), shard.permits(target)) == (["r1"], [])


def test_slot_at_the_target_expires_if_nothing_is_heard():
    """Guard against a slot that a lost proposal or report would hold for good."""
    shard = Shard()
    source, target = shard.crawl()
    shard.coordinator.permits.get("r1").movable = False
    shard.tick(13.0)
    assert (shard.permits(source), shard.permits(target)) == (["r1"], [])


def test_permit_follows_a_run_by_its_progress_if_the_report_is_lost():
    shard = Shard()
    source, target = shard.crawl()
    shard.progress(target, 400)
    assert (shard.permits(source), shard.permits(target)) == ([], ["r1"])


def test_release_at_the_target_ends_the_permit_if_the_report_is_lost():
    shard = Shard()
    source, target = shard.crawl()
    shard.receive(PermitRelease("r1", SHARD, target, dispatched=True))
    assert (shard.permits(source), shard.permits(target)) == ([], [])
    assert not len(shard.coordinator.permits)


def test_release_at_the_source_gives_up_the_slot_at_the_target():
    shard = Shard()
    source, target = shard.crawl()
    shard.receive(PermitRelease("r1", SHARD, source, dispatched=True))
    assert (shard.permits(source), shard.permits(target)) == ([], [])


def test_new_coordinator_learns_a_moved_run_from_its_host():
    shard = Shard()
    source, target = shard.crawl()
    request = shard.coordinator.permits.get("r1").request
    later = Shard()
    work = RunningWork(request, source, 30, 6.0)
    later.receive(Registration(SHARD, (), (work,)))
    later.progress(target, 40)
    assert (later.permits(source), later.permits(target)) == ([], ["r1"])
    back = RunningWork(request, source, 50, 7.0)
    later.receive(Registration(SHARD, (), (back,)))
    assert (later.permits(source), later.permits(target)) == (["r1"], [])


def test_late_release_of_an_earlier_attempt_leaves_the_permit_of_the_next_one():
    shard = Shard()
    first = shard.start()
    release = PermitRelease("r1", SHARD, first, dispatched=True, failed=True)
    shard.receive(release)
    again = PermitRequest(
        "r1", SHARD, "", 0, 0, 9.0, 100, 300, objective=1.0, excluded=(first,)
    )
    shard.receive(again)
    second = shard.of_type(PermitGrant)[-1].server
    shard.receive(release)
    assert second != first
    assert shard.permits(second) == ["r1"]


@given(
    st.lists(
        st.sampled_from(
            ["moved", "stayed", "progress", "old progress", "release", "old release"]
            + ["register", "tick", "tick", "again"]
        ),
        max_size=14,
    )
)
def test_permits_and_held_slots_are_counted_once_whatever_messages_come(steps):
    shard = Shard()
    source, target = shard.crawl()
    request = shard.coordinator.permits.get("r1").request
    work = RunningWork(request, target, 60, 6.3)
    messages = {
        "moved": MoveReport("r1", SHARD, target, target, MoveOutcome.MOVED),
        "stayed": MoveReport("r1", SHARD, source, target, MoveOutcome.STAYED),
        "progress": PermitProgress("r1", SHARD, target, 0.1, 400, 8.0, True),
        "old progress": PermitProgress("r1", SHARD, source, 0.1, 310, 6.2, True),
        "release": PermitRelease("r1", SHARD, target, dispatched=True),
        "old release": PermitRelease("r1", SHARD, source, dispatched=True),
        "register": Registration(SHARD, (), (work,)),
        "again": request,
    }
    for step in steps:
        if step == "tick":
            shard.tick(shard.now + 2.0)
        else:
            shard.receive(messages[step])
        coordinator = shard.coordinator
        held = sum(len(record.permits) for record in coordinator.servers.values())
        assert held == len(coordinator.permits) + len(coordinator.moves)
        for record in coordinator.servers.values():
            tokens = sum(permit.tokens for permit in record.permits.values())
            assert record.tokens == tokens
    shard.receive(Registration(SHARD, (), ()))
    shard.tick(shard.now + 15.0)
    assert not len(shard.coordinator.permits)
    assert not any(r.permits for r in shard.coordinator.servers.values())
