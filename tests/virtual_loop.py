"""Run asyncio code in virtual time, so that timers expire without waiting."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advance the clock by the wait instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "deadlock: every task is waiting and no timer is scheduled"
            )
        ready = super().select(0)
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run on a clock that advances only when no callback is ready."""

    def __init__(self):
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self):
        return self._time_selector.now


class VirtualLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Have a module's tests run in virtual time, by its `event_loop_policy` fixture."""

    def new_event_loop(self):
        return VirtualLoop()


def run(main):
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
