"""Run asyncio code in virtual time, so that waits cost nothing."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advance the clock by the wait instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits for something that can't come")
        ready = super().select(0)
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Keep a clock that moves only when nothing else is due."""

    def __init__(self):
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self):
        return self._time_selector.now


def run(main):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
