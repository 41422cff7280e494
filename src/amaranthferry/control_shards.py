"""Measure what a shard costs its coordinator and its entry hosts."""

from collections.abc import Callable, Iterator

from .codec import encode
from .config import BackendServer, Deployment, Pool
from .coordinator import Coordinator
from .coordinator_reducer import reduce
from .effects import Effect, SendToHost
from .events import PeerReceived, Ticked
from .messages import (
    Message,
    PermitGrant,
    PermitProgress,
    PermitRelease,
    PermitRequest,
    Registration,
)
from .shards import shards_of
from .slopes import Series, cpu_microseconds, state_bytes
from .types import (
    HostId,
    ModelId,
    PoolId,
    RequestId,
    ServerId,
    ShardId,
    WorkspaceId,
    ZoneId,
)

POOL = PoolId("pool")
SHARD = ShardId("pool/0")
SERVER_COUNTS = (4, 8, 16, 32, 64)
SMALL_SHARD_SERVERS = 6
WAITING_COUNTS = (500, 1_000, 2_000, 4_000)
HOST_COUNTS = (19, 64, 128, 256, 370)
DEPLOYMENT_SERVER_COUNTS = (100, 300, 600, 910)
PREFIXES_PER_REQUEST = 8
WORKSPACE_COUNT = 50
STEP_SECONDS = 0.02
SLOTS_PER_SERVER = 16
_ROLE = "coordinator of one shard"
_REMAINING_SECONDS = 100_000.0
_CYCLES = 200
_Measure = Callable[[int], float]


def measure_coordinator() -> list[Series]:
    """Measure state and processor time by waiting requests, servers and hosts."""
    return [
        _series_by_waiting(
            "state", "bytes", lambda n: _state(SMALL_SHARD_SERVERS, n, 4)
        ),
        _series_by_waiting(
            "processor time of a request", "us", _request_cost_by_waiting
        ),
        _series("state", "bytes", "server", SERVER_COUNTS, _state_by_servers),
        _series(
            "processor time of a request, full shard",
            "us",
            "server",
            SERVER_COUNTS,
            lambda n: _request_cost(n, 1_000),
        ),
        _series("state", "bytes", "host", HOST_COUNTS, _state_by_hosts),
        _series("processor time of a tick", "us", "host", HOST_COUNTS, _tick_cost),
    ]


def measure_lookup() -> list[Series]:
    """Measure the processor time of looking up the shards of a pool."""

    def cost(count: int) -> float:
        deployment = _deployment(count, servers_per_shard=SMALL_SHARD_SERVERS)
        return cpu_microseconds(
            lambda: [shards_of(deployment, POOL) for _ in range(20)], calls=20
        )

    return [
        Series(
            "entry host: shards of a pool",
            "processor time of a look-up",
            "us",
            "server",
            DEPLOYMENT_SERVER_COUNTS,
            tuple(cost(count) for count in DEPLOYMENT_SERVER_COUNTS),
        )
    ]


def request_messages(progress: int) -> list[Message]:
    """Return the messages of one granted request, with typical values."""
    request_id = RequestId("0123456789abcdef0123456789abcdef")
    server = ServerId("engine-0123")
    request = _permit_request(7)
    grant = PermitGrant(request_id, SHARD, server, 0.123456, 1_024)
    report = PermitProgress(request_id, SHARD, server, 0.31, 120, 3.2)
    release = PermitRelease(
        request_id, SHARD, server, True, False, 3_000, 1_024, 476, 0.31, 12.9
    )
    return [request, grant, *[report] * progress, release]


def request_bytes(progress: int) -> int:
    """Return the framed bytes of one request's messages, without TCP/IP headers."""
    return sum(4 + len(encode(message)) for message in request_messages(progress))


def _series(
    quantity: str, unit: str, per: str, sizes: tuple[int, ...], measure: _Measure
) -> Series:
    values = tuple(float(measure(size)) for size in sizes)
    return Series(_ROLE, quantity, unit, per, sizes, values)


def _series_by_waiting(quantity: str, unit: str, measure: _Measure) -> Series:
    return _series(quantity, unit, "waiting request", WAITING_COUNTS, measure)


def _deployment(servers: int, *, servers_per_shard: int) -> Deployment:
    names = [ServerId(f"engine-{index:04d}") for index in range(servers)]
    pool = Pool(POOL, queue_limit=10_000, servers_per_shard=servers_per_shard)
    return Deployment(
        "bench",
        pools={POOL: pool},
        servers={
            name: BackendServer(
                name, POOL, ZoneId("zone-0"), "127.0.0.1:1", slots=SLOTS_PER_SERVER
            )
            for name in names
        },
    )


def _permit_request(index: int) -> PermitRequest:
    return PermitRequest(
        request_id=RequestId(f"{index:032x}"),
        shard=SHARD,
        workspace=WorkspaceId(f"workspace-{index % WORKSPACE_COUNT:05d}"),
        tier_rank=index % 3,
        class_rank=0,
        remaining=_REMAINING_SECONDS + index % 97,
        prompt_tokens=1_000,
        output_tokens=476,
        model=ModelId("model-07"),
        prefixes=tuple(
            2**63 + index % WORKSPACE_COUNT * PREFIXES_PER_REQUEST + n
            for n in range(PREFIXES_PER_REQUEST)
        ),
        zone=ZoneId("zone-0"),
    )


class _ShardDriver:
    """Drive one coordinator, with all slots occupied if requests are to wait."""

    def __init__(self, servers: int, waiting: int, hosts: int) -> None:
        deployment = _deployment(servers, servers_per_shard=servers)
        self._hosts = [HostId(f"entry-{index:04d}") for index in range(hosts)]
        self.coordinator = Coordinator.from_config(
            deployment, SHARD, now=0.0, hosts=self._hosts
        )
        self.now = 0.0
        self._request_indexes: Iterator[int] = iter(range(10**9))
        self._running: list[PermitGrant] = []
        for host in self._hosts:
            self._receive(Registration(SHARD, (), ()), host)
        if waiting:
            self._fill(servers * SLOTS_PER_SERVER)
        while len(self.coordinator.queue) < waiting:
            self.receive_request()

    def _fill(self, permits: int) -> None:
        while len(self.coordinator.permits) < permits:
            self.receive_request()
            # A request may wait a little for the server that caches its prefix.
            self.tick()

    def receive_request(self) -> None:
        """Process the arrival of one more request."""
        index = next(self._request_indexes)
        self._receive(_permit_request(index), self._hosts[index % len(self._hosts)])

    def cycle(self) -> None:
        """Process a tick, the end of one request and the arrival of another."""
        self.tick()
        while not self._running:
            self.tick()
        grant = self._running.pop(0)
        self._receive(
            PermitRelease(grant.request_id, SHARD, grant.server, True),
            self.coordinator.permits.get(grant.request_id).host,  # type: ignore[union-attr]
        )
        self.receive_request()

    def tick(self) -> None:
        """Advance the time and process a tick."""
        self.now += 0.1
        self._record_grants(reduce(self.coordinator, Ticked(now=self.now)))

    def _receive(self, message: Message, host: HostId) -> None:
        self.now += STEP_SECONDS
        event = PeerReceived(now=self.now, sender=host, message=message)
        self._record_grants(reduce(self.coordinator, event))

    def _record_grants(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToHost):
                message = effect.message
                if isinstance(message, PermitGrant):
                    self._running.append(message)


def _state(servers: int, waiting: int, hosts: int) -> float:
    size, _driver = state_bytes(lambda: _ShardDriver(servers, waiting, hosts))
    return size


def _state_by_servers(servers: int) -> float:
    return _state(servers, 0, 4)


def _state_by_hosts(hosts: int) -> float:
    return _state(SMALL_SHARD_SERVERS, 0, hosts)


def _request_cost_by_waiting(waiting: int) -> float:
    return _request_cost(SMALL_SHARD_SERVERS, waiting)


def _request_cost(servers: int, waiting: int) -> float:
    driver = _ShardDriver(servers, waiting, 4)

    def run() -> None:
        for _ in range(_CYCLES):
            driver.cycle()

    return cpu_microseconds(run, calls=_CYCLES)


def _tick_cost(hosts: int) -> float:
    driver = _ShardDriver(SMALL_SHARD_SERVERS, 0, hosts)

    def run() -> None:
        for _ in range(_CYCLES):
            driver.tick()

    return cpu_microseconds(run, calls=_CYCLES)
