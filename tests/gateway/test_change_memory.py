"""Play changes of a large configuration, which may not fill a host's memory."""

import asyncio

import pytest

from amaranthferry.standins.metadata import StoreFault

from .fleet import HOST, ROUTES, config, fleet
from .test_answer_memory import MAX_SHARE, MEMORY_LIMIT, watch_memory
from .test_planned_stop import RunningHost

#: As after six times of the growth that the users' deployments name.
MORE_ROUTES = 2_100


def large_config(version):
    more = [
        {
            **ROUTES[2],
            "name": f"more-{number}",
            "host": HOST,
            "pathPrefix": f"/more{number}/",
            "timeoutMs": 2_000 + version,
        }
        for number in range(MORE_ROUTES)
    ]
    return config(version, routes=[*ROUTES, *more])


async def put_versions(system, versions, pause):
    for version in versions:
        await system.store.put("config", "main", large_config(version))
        await asyncio.sleep(pause)


async def version_in_force(process):
    return (await process.metrics()).get("config_version")


async def until_in_force(process, version):
    async with asyncio.timeout(15):
        while await version_in_force(process) != version:
            await asyncio.sleep(0.1)


async def test_changes_of_a_large_configuration_fill_no_memory(tmp_path):
    async with (
        fleet(hosts=0) as (system, _),
        RunningHost(system, tmp_path) as host,
    ):
        await put_versions(system, range(2, 5), 0.3)
        await until_in_force(host.process, 4)
        calm = host.process.memory()
        for version in range(5, 65):
            await put_versions(system, [version], 0.0)
            await until_in_force(host.process, version)
        assert host.process.memory() < calm + MAX_SHARE * (MEMORY_LIMIT - calm)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.MUTE_WATCHES])
async def test_changes_during_an_absence_of_the_store_fill_no_memory(tmp_path, fault):
    async with (
        fleet(hosts=0) as (system, _),
        RunningHost(system, tmp_path) as host,
    ):
        await put_versions(system, [2], 0.0)
        await until_in_force(host.process, 2)
        calm, peaks = host.process.memory(), []
        watching = asyncio.create_task(watch_memory(host.process, peaks))
        system.store.fault = fault
        await put_versions(system, range(3, 33), 0.0)
        system.store.fault = StoreFault.NONE
        await until_in_force(host.process, 32)
        watching.cancel()
        assert min(peaks) > 0
        assert max(peaks) < calm + MAX_SHARE * (MEMORY_LIMIT - calm)
