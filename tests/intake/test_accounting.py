"""Guard against a limit that is exceeded, or that ends the wrong connections."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.intake.accounting import Intake
from amaranthferry.intake.costs import CONNECTION_COST, connection_size
from amaranthferry.intake.reports import LINE_PERIOD, LineLimit
from amaranthferry.intake.state import Cause, IntakeLimits, Port, Stage
from amaranthferry.memory import MIN_CONNECTION_BYTES, MemoryBudget

MEMORY = 100_000


class Host:
    """Open connections, and record those that had to end."""

    def __init__(self, connections=0, memory=MEMORY):
        limits = {Port.CALLERS: connections} if connections else {}
        self.ended = []
        self.intake = Intake(
            IntakeLimits(memory, limits),
            lambda holding, cause: self.ended.append((holding, cause)),
        )

    def open(self, port=Port.CALLERS):
        return self.intake.open(port, lambda: None)


def test_largest_connection_ends_first_whichever_grows():
    host = Host()
    large, small = host.open(), host.open()
    host.intake.resize(large, 80_000)
    host.intake.resize(small, 30_000)
    assert host.ended == [(large, Cause.MEMORY)]
    assert host.intake.held == 30_000


def test_connection_that_has_ended_is_counted_no_more():
    host = Host()
    conn = host.open()
    host.intake.resize(conn, MEMORY + 1)
    host.intake.resize(conn, 50_000)
    host.intake.close(conn)
    assert (host.intake.held, host.intake.count(Port.CALLERS)) == (0, 0)


def test_connection_without_a_request_ends_before_one_that_was_served():
    host = Host(connections=3)
    served, running, new = host.open(), host.open(), host.open()
    host.intake.begin(served)
    host.intake.complete(served)
    host.intake.begin(running)
    host.open()
    host.open()
    assert [holding for holding, _ in host.ended][:1] == [new]
    assert running.stage is Stage.RUNNING
    assert not running.ended


def test_new_connection_ends_where_all_others_have_requests_in_progress():
    host = Host(connections=2)
    for _ in range(2):
        host.intake.begin(host.open())
    late = host.open()
    assert host.ended == [(late, Cause.DESCRIPTORS)]


def test_ports_don_t_take_each_other_s_connections():
    host = Host(connections=2)
    for _ in range(10):
        host.open()
    kept = host.open(Port.READINESS)
    assert not kept.ended
    assert host.intake.count(Port.CALLERS) == 2


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["open", "resize", "begin", "complete", "close"]),
        st.integers(0, 30),
        st.integers(0, 2 * MEMORY),
    ),
    max_size=80,
)


@given(ACTIONS)
def test_limits_hold_after_every_step(actions):
    host = Host(connections=5)
    opened = [host.open()]
    for action, number, size in actions:
        conn = opened[number % len(opened)]
        if action == "open":
            running = [item for item in opened if item.stage is Stage.RUNNING]
            kept = [item for item in running if not item.ended]
            opened.append(host.open())
            assert not any(item.ended for item in kept)
        elif action == "resize":
            host.intake.resize(conn, size)
        elif action == "close":
            host.intake.close(conn)
        elif not conn.ended:
            getattr(host.intake, action)(conn)
        live = [item for item in opened if not item.ended]
        assert host.intake.held == sum(item.size for item in live) <= MEMORY
        assert host.intake.count(Port.CALLERS) == len(live) <= 5


def test_limits_are_parts_of_the_memory_and_the_descriptors():
    limits = IntakeLimits.from_budget(
        MemoryBudget(152_000_000), descriptors=2_870, descriptor_share=0.5
    )
    assert limits.memory == 15_200_000
    assert limits.connections == {
        Port.CALLERS: 1_435,
        Port.READINESS: 64,
        Port.METRICS: 64,
    }


def test_small_host_has_room_for_one_head_of_the_documented_size():
    limits = IntakeLimits.from_budget(
        MemoryBudget(1_000_000), descriptors=0, descriptor_share=0.5
    )
    size = connection_size(
        fields=18_432 // 4, head=18_432, body=0, queued=0, pending=0, unread=0
    )
    assert CONNECTION_COST < size < limits.memory == MIN_CONNECTION_BYTES
    assert limits.connections == {}


@pytest.mark.parametrize("events", [1, 5_000])
def test_one_line_a_period_is_admitted_for_each_cause(events):
    limit = LineLimit()
    first = [limit.admit(("memory",), 1.0) for _ in range(events)]
    assert first == [0] + [None] * (events - 1)
    assert limit.admit(("unread",), 1.0) == 0
    assert limit.admit(("memory",), 1.0 + LINE_PERIOD) == events - 1
