"""Measure the processor time and the state of an entry host's reducer."""

from collections.abc import Callable

import msgspec

from .control_settings import large_deployment
from .core import HostState, reduce
from .effects import SendToHost
from .events import (
    DispatchFinished,
    Event,
    FirstTokenSeen,
    MembersChanged,
    PeerReceived,
    RequestArrived,
    Ticked,
    TokensSeen,
)
from .messages import PermitGrant, PermitRequest
from .slopes import Series, cpu_microseconds, state_bytes
from .types import (
    ClassId,
    HostId,
    ModelId,
    PoolId,
    RequestId,
    ServerId,
    TierId,
    WorkspaceId,
    ZoneId,
)

HOST_COUNTS = (19, 64, 128, 256, 370)
REQUEST_COUNTS = (250, 500, 1_000, 2_000)
SERVERS_PER_SHARD = 6
WORKSPACE_COUNT = 100
_ROLE = "entry host: reducer"
_REQUESTS = 40
_TICKS = 40
_Measure = Callable[[int], float]


def measure_entry() -> list[Series]:
    """Measure processor time by number of hosts, and state by number of requests."""
    return [
        _series_by_hosts("processor time of a request", "us", _request_cost),
        _series_by_hosts("processor time of a progress report", "us", _progress_cost),
        _series_by_hosts("processor time of an idle tick", "us", _tick_cost),
        _series_by_hosts(
            "processor time of a member change", "us", _member_change_cost
        ),
        Series(
            _ROLE,
            "state",
            "bytes",
            "request",
            REQUEST_COUNTS,
            tuple(float(_state(count)) for count in REQUEST_COUNTS),
        ),
    ]


def _series_by_hosts(quantity: str, unit: str, measure: _Measure) -> Series:
    values = tuple(measure(count) for count in HOST_COUNTS)
    return Series(_ROLE, quantity, unit, "host", HOST_COUNTS, values)


def _host_ids(count: int) -> tuple[HostId, ...]:
    return tuple(HostId(f"entry-{index:04d}") for index in range(count))


def _host_state(hosts: int) -> HostState:
    deployment = large_deployment(WORKSPACE_COUNT)
    pools = {
        name: msgspec.structs.replace(pool, servers_per_shard=SERVERS_PER_SHARD)
        for name, pool in deployment.pools.items()
    }
    state = HostState(
        host=HostId("entry-0000"),
        zone=ZoneId("zone-0"),
        deployment=msgspec.structs.replace(deployment, pools=pools),
    )
    reduce(state, MembersChanged(now=0.0, hosts=_host_ids(hosts)))
    return state


class Driver:
    """Drive requests through the reducer of one entry host."""

    def __init__(self, hosts: int) -> None:
        self.state = _host_state(hosts)
        self.now = 1.0
        self._count = 0

    def receive_request(self) -> PermitRequest:
        """Apply the arrival of a request and return the permit request that is sent."""
        self._count += 1
        request_id = RequestId(f"{self._count:032x}")
        arrival = RequestArrived(
            now=self.now,
            request_id=request_id,
            workspace=WorkspaceId("workspace-00007"),
            tier=TierId("tier-0"),
            work_class=ClassId("urgent"),
            pool=PoolId(f"model-{self._count % 26:02d}"),
            timeout=100_000.0,
            prompt_tokens=1_000,
            output_tokens=476,
            model=ModelId("model-07"),
            prefixes=tuple(2**64 - n for n in range(1, 9)),
        )
        for effect in reduce(self.state, arrival):
            if isinstance(effect, SendToHost) and isinstance(
                effect.message, PermitRequest
            ):
                self.coordinator = effect.host
                return effect.message
        raise AssertionError("The reducer sent no permit request.")

    def run_request(self) -> None:
        """Process one request from arrival to completion."""
        request = self.receive_request()
        server = ServerId("engine-0007")
        grant = PermitGrant(request.request_id, request.shard, server)
        self._apply(PeerReceived(now=self.now, sender=self.coordinator, message=grant))
        self._apply(FirstTokenSeen(now=self.now, request_id=request.request_id))
        self._apply(
            TokensSeen(now=self.now, request_id=request.request_id, output_tokens=240)
        )
        self._apply(
            DispatchFinished(
                now=self.now, request_id=request.request_id, output_tokens=476
            )
        )

    def _apply(self, event: Event) -> None:
        self.now += 0.001
        reduce(self.state, event)


def _request_cost(hosts: int) -> float:
    driver = Driver(hosts)

    def run() -> None:
        for _ in range(_REQUESTS):
            driver.run_request()

    return cpu_microseconds(run, calls=_REQUESTS)


def _progress_cost(hosts: int) -> float:
    driver = Driver(hosts)
    request = driver.receive_request()
    grant = PermitGrant(request.request_id, request.shard, ServerId("engine-0007"))
    coordinator = driver.coordinator
    reduce(
        driver.state, PeerReceived(now=driver.now, sender=coordinator, message=grant)
    )
    event = TokensSeen(now=driver.now, request_id=request.request_id, output_tokens=9)

    def run() -> None:
        for _ in range(_REQUESTS):
            reduce(driver.state, event)

    return cpu_microseconds(run, calls=_REQUESTS)


def _tick_cost(hosts: int) -> float:
    driver = Driver(hosts)

    def run() -> None:
        for _ in range(_TICKS):
            driver.now += 0.05
            reduce(driver.state, Ticked(now=driver.now))

    return cpu_microseconds(run, calls=_TICKS)


def _member_change_cost(hosts: int) -> float:
    state = _host_state(hosts)
    host_ids = _host_ids(hosts)

    def run() -> None:
        reduce(state, MembersChanged(now=2.0, hosts=host_ids[:-1]))
        reduce(state, MembersChanged(now=2.0, hosts=host_ids))

    return cpu_microseconds(run, calls=2, repeats=3)


def _state(count: int) -> int:
    driver = Driver(8)

    def receive_requests() -> None:
        for _ in range(count):
            driver.receive_request()

    return state_bytes(receive_requests)[0]
