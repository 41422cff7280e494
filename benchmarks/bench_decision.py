"""Measure the processor time of a coordinator's decisions while requests wait.

Run as `python -m benchmarks.bench_decision`. Each step releases one permit, which lets
a waiter be granted, and lets another request arrive.
"""

import time

from amaranthferry.catalog import BudgetLimits, Instance
from amaranthferry.control_fleet import MODEL, POOL, engine_deployment
from amaranthferry.coordinator import Coordinator
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.effects import SendToHost
from amaranthferry.events import PeerReceived
from amaranthferry.messages import (
    Message,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    Registration,
)
from amaranthferry.types import (
    HostId,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    ShardId,
    WorkspaceId,
    ZoneId,
)

HOST = HostId("host-0")
SHARD = ShardId(f"{POOL}/0")
SERVERS = 59
SLOTS = 7
STEPS = 3_000
WAITING = (0, 100, 1_000)
STEP_TIME: Seconds = 0.001


def make_coordinator() -> Coordinator:
    """Return a coordinator of engines that are live."""
    instances = {
        ServerId(f"s-{number}"): Instance(
            server=ServerId(f"s-{number}"),
            service=POOL,
            address=f"s-{number}:1",
            zone=ZoneId("z"),
            slots=SLOTS,
            state=ServerState.LIVE,
            incarnation=1,
        )
        for number in range(SERVERS)
    }
    deployment = engine_deployment(instances, slots=SLOTS, limits=BudgetLimits())
    return Coordinator.from_config(deployment, SHARD, now=0.0, hosts=(HOST,))


def permit_request(number: int) -> PermitRequest:
    """Return a request that neither expires nor becomes late."""
    return PermitRequest(
        request_id=RequestId(f"r-{number}"),
        shard=SHARD,
        workspace=WorkspaceId(""),
        tier_rank=number % 3,
        class_rank=0,
        remaining=1e5,
        prompt_tokens=10,
        output_tokens=10,
        model=MODEL,
        objective=1e5,
        max_wait=1e5,
    )


def measure(waiting: int) -> Seconds:
    """Return the processor time of a step with so many waiting requests."""
    coordinator = make_coordinator()
    now: Seconds = 0.0
    granted: list[tuple[RequestId, ServerId]] = []

    def apply(message: Message) -> None:
        event = PeerReceived(now=now, sender=HOST, message=message)
        for effect in reduce(coordinator, event):
            if isinstance(effect, SendToHost) and isinstance(
                effect.message, PermitGrant
            ):
                granted.append((effect.message.request_id, effect.message.server))

    apply(Registration(SHARD, (), ()))
    first = SERVERS * SLOTS + waiting
    for number in range(first):
        now += 0.05 if number < SERVERS * SLOTS else 0.0
        apply(permit_request(number))
    began = time.process_time()
    for step in range(STEPS):
        now += STEP_TIME
        request_id, server = granted.pop(0)
        apply(
            PermitRelease(
                request_id=request_id,
                shard=SHARD,
                server=server,
                dispatched=True,
                first_token=0.05,
                output_tokens=10,
                elapsed=0.1,
            )
        )
        apply(permit_request(first + step))
    return (time.process_time() - began) / STEPS


def main() -> None:
    """Print the processor time of a step for several lengths of the queue."""
    for waiting in WAITING:
        print(f"{waiting:5d} waiting: {measure(waiting) * 1e6:7.1f} us a step")


if __name__ == "__main__":
    main()
