"""Check which connections are kept for another request, and for how long."""

import pytest

from amaranthferry.contention.connections import (
    KEPT_PART,
    IdleConnections,
    connections_per_host,
)
from amaranthferry.messages import ServerIncarnation

FIRST = ServerIncarnation("s-0", 1, "127.0.0.1:1")
SUCCESSOR = ServerIncarnation("s-0", 2, "127.0.0.1:1")
OTHER = ServerIncarnation("s-1", 1, "127.0.0.1:2")
SERVICE = "ledger"


class FakeConnection:
    def __init__(self):
        self.is_quiet = True
        self.closed = False

    def close(self):
        self.closed = True
        self.is_quiet = False


def keep(pool, conn, now=0.0, *, incarnation=FIRST, duration=4.0, limit=2):
    return pool.keep(
        incarnation, conn, now, service=SERVICE, duration=duration, limit=limit
    )


@pytest.mark.parametrize(
    ("maximum", "hosts", "expected"),
    [(100, 30, 3), (100, 129, 0), (0, 30, 0), (9, 0, 0)],
)
def test_hosts_share_the_maximum(maximum, hosts, expected):
    assert connections_per_host(maximum, hosts) == expected


def test_connection_used_last_is_taken_first():
    pool, first, second = IdleConnections(), FakeConnection(), FakeConnection()
    assert keep(pool, first)
    assert keep(pool, second)
    assert pool.take(FIRST, 1.0) is second
    assert pool.take(FIRST, 1.0) is first
    assert pool.take(FIRST, 1.0) is None
    assert len(pool) == 0


def test_connection_of_another_incarnation_is_not_taken():
    pool, conn = IdleConnections(), FakeConnection()
    keep(pool, conn)
    assert pool.take(SUCCESSOR, 1.0) is None
    assert pool.take(OTHER, 1.0) is None


@pytest.mark.parametrize("duration", [0.0, -1.0])
def test_connection_without_a_time_is_not_kept(duration):
    assert not keep(IdleConnections(), FakeConnection(), duration=duration)


def test_connection_is_closed_before_the_server_closes_it():
    pool, conn = IdleConnections(), FakeConnection()
    keep(pool, conn, 10.0, duration=4.0)
    pool.expire(10.0 + 4.0 * KEPT_PART - 0.1)
    assert not conn.closed
    pool.expire(10.0 + 4.0 * KEPT_PART)
    assert conn.closed
    assert len(pool) == 0


def test_connection_whose_time_has_come_is_not_taken():
    pool, conn = IdleConnections(), FakeConnection()
    keep(pool, conn, 10.0, duration=4.0)
    assert pool.take(FIRST, 12.0) is None
    assert conn.closed


def test_connection_that_the_server_has_closed_is_not_taken():
    pool, conn = IdleConnections(), FakeConnection()
    keep(pool, conn)
    conn.is_quiet = False
    assert pool.take(FIRST, 1.0) is None
    assert conn.closed


def test_connection_with_bytes_after_its_answer_is_not_kept():
    conn = FakeConnection()
    conn.is_quiet = False
    assert not keep(IdleConnections(), conn)


def test_host_keeps_no_more_than_its_part():
    pool = IdleConnections()
    assert keep(pool, FakeConnection(), limit=2)
    assert keep(pool, FakeConnection(), incarnation=OTHER, limit=2)
    assert not keep(pool, FakeConnection(), limit=2)
    assert len(pool) == 2


def test_connections_in_use_are_part_of_it():
    pool = IdleConnections()
    pool.begin(SERVICE, limit=2)
    assert keep(pool, FakeConnection(), limit=2)
    assert not keep(pool, FakeConnection(), limit=2)
    pool.end(SERVICE)
    assert keep(pool, FakeConnection(), limit=2)


def test_idle_connections_give_way_to_those_in_use():
    pool, first, second = IdleConnections(), FakeConnection(), FakeConnection()
    keep(pool, first, 0.0)
    keep(pool, second, 1.0, incarnation=OTHER)
    pool.begin(SERVICE, limit=2)
    assert (first.closed, second.closed) == (True, False)
    pool.begin(SERVICE, limit=2)
    assert second.closed


def test_nothing_is_kept_without_a_part():
    pool = IdleConnections()
    assert not keep(pool, FakeConnection(), limit=0)


def test_all_are_closed_when_the_host_stops():
    pool, first, second = IdleConnections(), FakeConnection(), FakeConnection()
    keep(pool, first)
    keep(pool, second, incarnation=OTHER)
    pool.close_all()
    assert first.closed
    assert second.closed
    assert len(pool) == 0
