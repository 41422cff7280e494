import asyncio

import pytest

from amaranthferry.rate_limiter import RateLimiter

from .virtual_loop import run


@pytest.mark.parametrize(
    ("rate", "times"),
    [
        (0.5, [0.0, 2.0, 4.0]),
        (1.0, [0.0, 1.0, 2.0]),
        (2.0, [0.0, 0.0, 0.5]),
    ],
)
def test_calls_pass_at_the_rate_after_a_burst(rate, times):
    async def check():
        limiter = RateLimiter(rate)
        loop = asyncio.get_running_loop()
        acquired = []
        async with asyncio.timeout(60):
            for _ in times:
                await limiter.acquire(lambda: False)
                acquired.append(loop.time())
        assert acquired == pytest.approx(times)

    run(check())


def test_call_that_became_urgent_goes_first():
    async def check():
        limiter = RateLimiter(1.0)
        await limiter.acquire(lambda: False)
        urgent, order = set(), []

        async def call(name):
            await limiter.acquire(lambda: name in urgent)
            order.append(name)

        tasks = [asyncio.create_task(call(name)) for name in "abc"]
        await asyncio.sleep(0.5)
        urgent.add("c")
        await asyncio.gather(*tasks)
        assert order == ["c", "a", "b"]

    run(check())


def test_cancelled_call_does_not_use_the_rate():
    async def check():
        limiter = RateLimiter(1.0)
        await limiter.acquire(lambda: False)
        cancelled = asyncio.create_task(limiter.acquire(lambda: False))
        await asyncio.sleep(0)
        cancelled.cancel()
        await limiter.acquire(lambda: False)
        assert asyncio.get_running_loop().time() == pytest.approx(1.0)

    run(check())
