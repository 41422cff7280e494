from collections import Counter

import pytest

from amaranthferry import slot_shares
from amaranthferry.slot_shares import RELIANCE_TIME, SlotShares, owned_slots
from tests.scheduling import server

SHARD = "models/0"


def servers(count, slots=7):
    return [server(f"e{number:03}", slots=slots) for number in range(count)]


def hosts(count):
    return [f"h{number:03}" for number in range(count)]


@pytest.mark.parametrize("count", [1, 3, 16, 64, 137, 200, 370])
@pytest.mark.parametrize("fleet", [servers(1), servers(5, 10), servers(56)])
def test_each_slot_belongs_to_one_host_at_any_number_of_hosts(count, fleet):
    owned = [owned_slots(SHARD, fleet, hosts(count), [host]) for host in hosts(count)]
    assert sum(owned, Counter()) == {cfg.name: cfg.slots for cfg in fleet}
    totals = [counts.total() for counts in owned]
    assert max(totals) - min(totals) <= 1


def test_owners_together_own_what_each_of_them_owns():
    fleet, names = servers(8), hosts(20)
    alone = [owned_slots(SHARD, fleet, names, [name]) for name in names[:6]]
    assert owned_slots(SHARD, fleet, names, names[:6]) == sum(alone, Counter())


def test_slots_of_one_host_are_at_different_servers():
    owned = owned_slots(SHARD, servers(56), hosts(137), ["h005"])
    assert set(owned.values()) == {1}


def test_every_host_owns_a_slot_at_some_time_though_there_are_fewer():
    fleet, names = servers(2, 5), hosts(30)
    turns = [owned_slots(SHARD, fleet, names, ["h007"], turn=n) for n in range(3)]
    assert [counts.total() for counts in turns].count(1) == 1


def test_slots_of_hosts_that_no_longer_rely_are_given_back():
    shares = SlotShares(SHARD, hosts(4))
    assert shares.record_reliance("h000", 0.0)
    assert not shares.record_reliance("h000", 1.0)
    shares.record_reliance("h001", 1.0 + RELIANCE_TIME)
    assert shares.fraction == 0.5
    assert shares.expire(1.5 + RELIANCE_TIME)
    assert shares.fraction == 0.25


def test_hosts_that_all_come_to_rely_at_once_are_not_ordered_anew_for_each(monkeypatch):
    ordered = []
    position = slot_shares._position
    monkeypatch.setattr(
        slot_shares,
        "_position",
        lambda shard, name: ordered.append(name) or position(shard, name),
    )
    fleet, names = tuple(servers(64)), hosts(370)
    shares = SlotShares(SHARD, names)
    for name in names:
        shares.record_reliance(name, 0.0)
        limits = shares.limits(fleet)
    assert limits == {cfg.name: cfg.slots for cfg in fleet}
    assert len(ordered) <= len(fleet) + len(names)
