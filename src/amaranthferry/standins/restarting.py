"""Run a stand-in server whose process ends, and starts again at the same address."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from ..types import Seconds
from .routed import ReceivedRequest, RoutedServer
from .serving import serve


class RestartingServer:
    """Run one incarnation after the other, each under a new name, at one address.

    `on_start` is awaited with the server of each incarnation once it listens.
    """

    def __init__(
        self,
        name: str,
        on_start: Callable[[RoutedServer], Awaitable[None]],
        *,
        restart_after: Seconds = 0.5,
        harmful_parts: frozenset[str] = frozenset(),
        ends_under: Callable[[ReceivedRequest], bool] | None = None,
    ) -> None:
        self._name = name
        self._on_start = on_start
        self._restart_after = restart_after
        self._stack = AsyncExitStack()
        self._restarts: set[asyncio.Task[None]] = set()
        self._port = 0
        self.address = ""
        self._harmful_parts = harmful_parts
        self._ends_under = ends_under
        #: Called when a request that ends the process reaches the server.
        self.on_harmful: Callable[[], None] = lambda: None
        self.incarnations: list[RoutedServer] = []
        #: Times of the event loop at which the process ended.
        self.ended_at: list[Seconds] = []

    async def start(self) -> None:
        """Start the next incarnation."""
        server = RoutedServer(f"{self._name}-{len(self.incarnations)}")
        server.harmful_parts = self._harmful_parts
        if self._ends_under is not None:
            server.ends_under = self._ends_under
        server.on_harmful = lambda: self.on_harmful()
        server.on_crash = lambda: self.crash(server)
        self._stack = AsyncExitStack()
        url = await self._stack.enter_async_context(serve(server, port=self._port))
        self.address = url.removeprefix("http://")
        self._port = int(self.address.rpartition(":")[2])
        self.incarnations.append(server)
        await self._on_start(server)

    def crash(self, server: RoutedServer) -> None:
        """End the process of an incarnation, unless it has ended already."""
        loop = asyncio.get_running_loop()
        if server is self.incarnations[-1] and not self._restarts:
            self.ended_at.append(loop.time())
            task = loop.create_task(self._restart())
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        await self._stack.aclose()
        await asyncio.sleep(self._restart_after)
        await self.start()

    async def stop(self) -> None:
        """End the process for good."""
        for task in tuple(self._restarts):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._stack.aclose()
