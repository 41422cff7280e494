"""A small deployment that runs: store, servers, machines and the platform beside them."""

import asyncio
import collections

from deployment import ENGINES, LEDGER, Server, desired
from system import Host, NotRun, Store, end_all, limit_memory, wait_ready

IP = "127.0.0.1"


class Fleet:
    """Start three machines, five engines and four servers of the application."""

    def __init__(self, record, temporary, **engine_options):
        self.record = record
        self.store = Store()
        self.engines = [
            Server(f"i-e{n:07x}", ENGINES, record, **engine_options) for n in range(5)
        ]
        self.apps = [Server(f"i-a{n:07x}", LEDGER, record) for n in range(4)]
        self.servers = [*self.engines, *self.apps]
        self.hosts = []
        self._temporary = temporary
        self._memory = None

    async def __aenter__(self):
        await self.store.start(IP)
        self.store.put("config", "main", desired(7))
        for server in self.servers:
            await server.start(IP)
            self.store.put("servers", server.name, server.entry())
        self.hosts = [Host(n + 1, self._temporary, self.store) for n in range(3)]
        self._memory = asyncio.create_task(limit_memory(self.hosts, self.record))
        try:
            for host in self.hosts:
                host.start()
            if not await wait_ready(self.hosts):
                raise NotRun("The machines were not ready in time.")
            await asyncio.sleep(3.0)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc):
        self._memory.cancel()
        end_all(self.hosts)
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def runs(self):
        """Return the attempts that a server has run that had no trouble itself."""
        return {
            attempt
            for server in self.servers
            if not server.had_trouble
            for attempt in server.runs
        }

    def lost(self, sent, sound):
        """Return what the rule LOST counts: passed on to a sound server from a kept
        channel, which was then closed without an answer."""
        return [
            item
            for item in sent
            if item.attempt in sound
            and item.was_kept
            and item.answer is None
            and item.problem.startswith("channel ended")
        ]

    def describe(self, lost):
        """Return what befell processes and requests, in words."""
        for item in lost:
            self.record(f"lost      {item.attempt} {item.route} at {item.host.name}")
        ends = {host.name: host.ends for host in self.hosts}
        peaks = {host.name: round(host.peak) for host in self.hosts}
        self.record(f"ends      {ends}; most memory in MB {peaks}")
        kinds = dict(collections.Counter(item.route for item in lost))
        return (
            f"{len(lost)} requests from kept channels closed without an answer {kinds};"
            f" processes killed for their memory: {sum(ends.values())};"
            f" most memory {max(peaks.values())} MB"
        )
