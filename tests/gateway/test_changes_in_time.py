"""Play what delays a change on its way from the store to each host."""

import asyncio

import msgspec
import pytest

from amaranthferry.replica import read_pace
from amaranthferry.replica.freshness import boot_time
from amaranthferry.standins.metadata import StoreFault

from .changing_fleet import APPLY_BOUND, REVOKE_BOUND, changing_fleet
from .fleet import KEY, ROUTES, Caller, config, entry

DEEP = msgspec.Raw(b"[" * 3_000 + b"]" * 3_000)
ODD_SPECS = {
    "nested": DEEP,
    "number": msgspec.Raw(b'{"slots":1e999}'),
    "integer": msgspec.Raw(b'{"slots":%d}' % 2**70),
    "surrogate": msgspec.Raw(b'{"zone":"\\ud800"}'),
    "encoding": msgspec.Raw(b'{"zone":"\xff\xfe"}'),
    "token": msgspec.Raw(b'{"slots":NaN}'),
    "port": entry("ledger", "127.0.0.1:70000"),
}


def readers(system):
    first = system.hosts[0].syncs["config"]
    names = {app.settings.host: number for number, app in enumerate(system.hosts)}
    return [names[host] for host in first.readers]


class LatestTurns:
    """Draw the largest number."""

    Random = staticmethod(lambda: LatestTurns)
    uniform = staticmethod(max)


async def until(condition, *, seconds=10):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def in_force(system, version, *, seconds):
    """Return the hosts that don't have a version within a time."""
    await asyncio.sleep(seconds)
    return [app.settings.host for app in system.hosts if app.config.version < version]


async def test_change_is_in_force_in_time_though_both_readers_hear_nothing_more():
    async with changing_fleet(hosts=5) as system:
        await system.put_version()
        chosen = readers(system)
        first = system.hosts[chosen[0]]
        await asyncio.sleep(1.0)
        await until(lambda: first.freshness.age(boot_time()) < 0.03)
        for number in chosen:
            system.views[number].fault = StoreFault.SILENT
        await asyncio.sleep(0.03)
        await system.put_version()
        late = await in_force(system, system.version, seconds=APPLY_BOUND)
        assert set(late) <= {system.hosts[number].settings.host for number in chosen}


async def test_denial_is_not_said_from_a_configuration_older_than_its_bound():
    async with changing_fleet(hosts=1) as system:
        async with system.judged():
            await asyncio.sleep(1.5)
            system.views[0].fault = StoreFault.BUSY
            await asyncio.sleep(6.0)
            system.views[0].fault = StoreFault.NONE
            await asyncio.sleep(1.0)
        assert system.verdicts[0].asked > 20
        assert system.late_denials == 0


async def test_no_denial_rests_on_a_configuration_that_may_be_outdated():
    async with changing_fleet(hosts=1) as system:
        caller = Caller(system)
        await system.store.put("config", "main", config(2, maxBodyBytes=10))
        await until(lambda: system.hosts[0].config.version == 2)
        asks = [
            ("GET", "/none/x", {}, 404),
            ("GET", "/look/x", {"key": "unknown"}, 401),
            ("POST", "/pay/x", {"data": b"x" * 20}, 413),
        ]
        for method, path, options, status in asks:
            assert (await caller.send(method, path, **options))[1] == status
        system.views[0].fault = StoreFault.BUSY
        await asyncio.sleep(APPLY_BOUND)
        for method, path, options, _ in asks:
            _, status, headers, _ = await caller.send(method, path, **options)
            assert status == 503
            assert float(headers["Retry-After"]) > 0
        assert (await caller.send("GET", "/look/x"))[1] == 200


async def test_slow_store_does_not_end_the_updates():
    async with changing_fleet(hosts=3) as system:
        system.store.delay = 1.0
        await asyncio.sleep(3.0)
        async with system.judged():
            await asyncio.sleep(6.0)
        assert system.late_denials == 0
        assert system.served_share > 0.9


async def test_unreadable_object_beside_the_configuration_holds_back_no_change():
    async with changing_fleet(hosts=3) as system:
        await system.store.put("config", "other", DEEP)
        async with system.judged():
            await asyncio.sleep(5.0)
        assert system.late_denials == 0
        assert system.served_share > 0.9


@pytest.mark.parametrize("name", ODD_SPECS)
async def test_unreadable_entry_holds_back_no_other_server(name):
    async with changing_fleet(hosts=3) as system:
        await system.store.put("servers", "odd", ODD_SPECS[name])
        await asyncio.sleep(0.5)
        for old in ("ledger-0", "ledger-1"):
            await system.store.remove("servers", old)
        await system.add_server("ledger", "ledger-2")
        await asyncio.sleep(APPLY_BOUND)
        caller = Caller(system)
        for host in range(len(system.hosts)):
            _, status, _, body = await caller.send("GET", "/look/x", host=host)
            assert (status, body) == (200, b"ledger-2")


async def test_host_that_starts_beside_an_unreadable_entry_serves():
    async with changing_fleet(hosts=1) as system:
        await system.store.put("servers", "odd", DEEP)
        await system.add_host("late")
        await until(lambda: system.hosts[1].is_ready)
        _, status, *_ = await Caller(system).send("GET", "/look/x", host=1)
        assert status == 200


async def test_route_of_an_unknown_kind_holds_back_no_other_change():
    async with changing_fleet(hosts=3) as system:
        system.extra_routes = [
            {
                "name": "odd",
                "host": "desk.example",
                "pathPrefix": "/odd/",
                "type": "newer",
                "service": "ledger",
            }
        ]
        async with system.judged():
            await asyncio.sleep(8.0)
        assert system.late_denials == 0
        assert system.late_runs(REVOKE_BOUND) == 0
        assert system.served_share > 0.9


async def test_changes_too_large_for_one_answer_do_not_end_the_updates():
    async with changing_fleet(hosts=1) as system:
        await system.put_version()
        wide = [
            {
                "name": f"wide-{number}",
                "host": "desk.example",
                "pathPrefix": f"/wide-{number}-{'x' * 150}/",
                "type": "safe",
                "service": "ledger",
            }
            for number in range(3_000)
        ]
        system.extra_routes = wide
        system.store.fault = StoreFault.BUSY
        await asyncio.sleep(0.5)
        for _ in range(25):
            await system.put_version()
        system.store.fault = StoreFault.NONE
        late = await in_force(system, system.version, seconds=3 * APPLY_BOUND)
        assert late == []


async def test_key_taken_away_with_an_unreadable_route_is_not_served():
    async with changing_fleet(hosts=1) as system:
        spec = config(2, keys=["another"])
        spec["routes"] = [*spec["routes"], {"name": "odd", "pathPrefix": 7}]
        await system.store.put("config", "main", spec)
        await asyncio.sleep(APPLY_BOUND)
        caller = Caller(system)
        assert (await caller.send("GET", "/look/x", key=KEY))[1] == 401
        assert (await caller.send("GET", "/look/x", key="another"))[1] == 200


async def test_no_dropped_route_runs_late_at_the_only_host_that_reaches_the_store(
    monkeypatch,
):
    # Five hosts take turns as rarely as 137 do, and this one's is the latest.
    monkeypatch.setattr(read_pace, "FLEET_READ_RATE", 5 / (137 / 20.0))
    monkeypatch.setattr(read_pace, "random", LatestTurns)
    async with changing_fleet(hosts=5) as system:
        reaching = next(n for n in range(5) if n not in readers(system))
        async with system.judged(hosts=[reaching]):
            await asyncio.sleep(4.5)
            for number, view in enumerate(system.views):
                if number != reaching:
                    view.fault = StoreFault.SILENT
            await asyncio.sleep(7.0)
        assert system.late_runs(APPLY_BOUND) == 0
        assert system.late_denials == 0
        assert system.served_share > 0.9


async def test_route_added_with_its_service_is_served_in_time_past_silent_readers():
    async with changing_fleet(hosts=5) as system:
        chosen = readers(system)
        for number in chosen:
            system.views[number].fault = StoreFault.SILENT
        await asyncio.sleep(0.03)
        spec = config(2)
        spec["services"] = [*spec["services"], {"name": "new", "maxConnections": 100}]
        route = {**ROUTES[2], "name": "new", "pathPrefix": "/new/", "service": "new"}
        spec["routes"] = [*spec["routes"], route]
        await system.store.put("config", "main", spec)
        await system.add_server("new", "new-0")
        await asyncio.sleep(APPLY_BOUND)
        caller = Caller(system)
        for host in set(range(5)) - set(chosen):
            _, status, _, body = await caller.send("GET", "/new/x", host=host)
            assert (status, body) == (200, b"new-0")
