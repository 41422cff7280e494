"""Generate deployments, and fake the store with concurrent operators."""

import hashlib
from collections.abc import Awaitable, Callable

import msgspec

from amaranthferry.config import (
    BackendServer,
    Deployment,
    Pool,
    Tier,
    WorkClass,
    Workspace,
)
from amaranthferry.objects import MemoryObjectStore
from amaranthferry.publish import Author


def deployment_of(workspaces=5, servers=3, weight=1.0):
    names = [f"workspace-{index:05d}" for index in range(workspaces)]
    return Deployment(
        name="generated",
        tiers={name: Tier(name, rank) for rank, name in enumerate(("fast", "slow"))},
        classes={"question": WorkClass("question"), "review": WorkClass("review", 1)},
        pools={"models": Pool("models")},
        servers={
            f"e{index}": BackendServer(f"e{index}", "models", "z1", f"10.0.0.1:{index}")
            for index in range(1, servers + 1)
        },
        workspaces={
            name: Workspace(
                name,
                ("fast", "slow")[index % 2],
                ("question", "review"),
                "question",
                (hashlib.sha256(name.encode()).hexdigest(),),
                weight,
            )
            for index, name in enumerate(names)
        },
    )


def with_weight(deployment, name, weight):
    workspace = msgspec.structs.replace(deployment.workspaces[name], weight=weight)
    workspaces = {**deployment.workspaces, name: workspace}
    return msgspec.structs.replace(deployment, workspaces=workspaces)


def author(who, nonce=None):
    return Author(who, "2026-12-03T20:00:00Z", nonce or f"nonce-{who}")


class HookedStore(MemoryObjectStore):
    """Run a hook before the next write of a key, and record each write."""

    def __init__(self):
        super().__init__()
        self.before_put: dict[str, Callable[[], Awaitable[None]]] = {}
        self.writes: list[tuple[str, int]] = []
        self.stale_reads: dict[str, object] = {}

    async def put(self, key, value, *, expected):
        hook = self.before_put.pop(key, None)
        if hook is not None:
            await hook()
        self.writes.append((key, len(value)))
        return await super().put(key, value, expected=expected)

    async def get(self, key):
        current = await super().get(key)
        return self.stale_reads.pop(key, current)
