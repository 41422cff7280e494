import random
from collections import Counter

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from amaranthferry import events
from amaranthferry.coordination import ORDER_DRAIN_TIMEOUT
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import (
    Dispatch,
    ReportFallbackEnd,
    ReportFallbackStart,
    ReportReturn,
    SendToHost,
    SettleRequest,
)
from amaranthferry.embedded import ENGINES, MODEL, build_deployment
from amaranthferry.fallback import COORDINATOR_TIMEOUT, MAX_STAND_INS
from amaranthferry.messages import (
    PermitGrant,
    PermitQueued,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)
from amaranthferry.shards import (
    capable_hosts,
    choose_coordinator,
    choose_successor,
)
from amaranthferry.types import (
    ClassId,
    FallbackCause,
    HostId,
    Outcome,
    RefusalReason,
    RequestId,
    ReturnReason,
    ServerId,
    ServerState,
    ServerStateSource,
    ShardId,
    TierId,
    WorkspaceId,
)
from amaranthferry.workloads import KYKLOS

HOST = HostId("host-1")
OTHER = HostId("host-2")
SHARD = ShardId("engines/0")
ENGINE = ServerId("engine-1")
DEPLOYMENT = build_deployment(KYKLOS, ("127.0.0.1:1", "127.0.0.1:2"), "127.0.0.1:3")


def new_state(*, coordinator=OTHER):
    return HostState(
        host=HOST, zone="zone-a", deployment=DEPLOYMENT, hosts=(coordinator,)
    )


def arrival(name="r1", *, now=0.0, timeout=10.0, key=""):
    return events.RequestArrived(
        now=now,
        request_id=RequestId(name),
        workspace=WorkspaceId("field-officers"),
        tier=TierId("urgent"),
        work_class=ClassId("question"),
        pool=ENGINES,
        timeout=timeout,
        prompt_tokens=100,
        output_tokens=10,
        model=MODEL,
        idempotency_key=key,
    )


def grant(name="r1", *, server=ENGINE):
    return PermitGrant(RequestId(name), SHARD, server)


def receive(state, message, *, now=0.1, sender=OTHER):
    event = events.PeerReceived(now=now, sender=sender, message=message)
    return reduce(state, event)


def of_type(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def sent_messages(effects, kind):
    sent = [effect.message for effect in of_type(effects, SendToHost)]
    return [message for message in sent if isinstance(message, kind)]


def test_permit_request_goes_to_the_coordinator():
    effects = reduce(new_state(), arrival())
    (sent,) = of_type(effects, SendToHost)
    assert sent.host == OTHER
    assert isinstance(sent.message, PermitRequest)


def test_grant_is_dispatched_once():
    state = new_state()
    reduce(state, arrival())
    assert len(of_type(receive(state, grant()), Dispatch)) == 1
    assert of_type(receive(state, grant()), Dispatch) == []


def test_second_grant_is_returned():
    state = new_state()
    reduce(state, arrival())
    receive(state, grant())
    effects = receive(state, grant(server=ServerId("engine-2")), sender="host-3")
    (release,) = sent_messages(effects, PermitRelease)
    assert not release.dispatched


def test_grant_for_a_leaving_server_is_declined():
    state = new_state()
    reduce(state, arrival())
    report = events.ServerStateSeen(
        now=0.05,
        server=ENGINE,
        state=ServerState.LEAVING,
        source=ServerStateSource.SELF,
    )
    reduce(state, report)
    effects = receive(state, grant())
    assert of_type(effects, Dispatch) == []
    assert len(sent_messages(effects, PermitRelease)) == 1
    assert len(sent_messages(effects, PermitRequest)) == 1


@pytest.mark.parametrize(
    ("passed", "leaving"),
    [(ORDER_DRAIN_TIMEOUT - 1, True), (ORDER_DRAIN_TIMEOUT, False)],
)
def test_order_drain_expires_unless_renewed(passed, leaving):
    state = new_state()
    drain = events.OrderDrainSeen(now=1.0, server=ENGINE, state=ServerState.LEAVING)
    reduce(state, drain)
    reduce(state, events.Ticked(now=1.0 + passed))
    assert state.is_leaving(ENGINE) is leaving


def test_refusal_is_settled_as_not_run():
    state = new_state()
    reduce(state, arrival())
    refusal = PermitRefusal(RequestId("r1"), SHARD, RefusalReason.QUEUE_FULL, 2.0)
    (settled,) = of_type(receive(state, refusal), SettleRequest)
    assert settled.outcome is Outcome.NOT_RUN
    assert settled.retry_after == 2.0


def test_waiting_request_is_refused_at_its_deadline():
    state = new_state()
    reduce(state, arrival(timeout=1.0))
    (settled,) = of_type(reduce(state, events.Ticked(now=1.0)), SettleRequest)
    assert settled.reason is RefusalReason.DEADLINE


def test_lost_answer_is_unknown_and_not_redispatched():
    state = new_state()
    reduce(state, arrival())
    receive(state, grant())
    failed = events.DispatchFailed(now=1.0, request_id=RequestId("r1"))
    effects = reduce(state, failed)
    (settled,) = of_type(effects, SettleRequest)
    assert settled.outcome is Outcome.UNKNOWN
    assert sent_messages(effects, PermitRequest) == []


def test_refused_connection_is_retried():
    state = new_state()
    reduce(state, arrival())
    receive(state, grant())
    refused = events.DispatchRefused(now=0.2, request_id=RequestId("r1"))
    assert len(sent_messages(reduce(state, refused), PermitRequest)) == 1


def test_unresponsive_coordinator_triggers_a_fallback():
    state = new_state()
    reduce(state, arrival(timeout=60.0))
    effects = reduce(state, events.Ticked(now=COORDINATOR_TIMEOUT))
    assert SHARD in state.fallbacks
    # The host is no member in its own view, so the slots are divided by two.
    share = state.fallbacks[SHARD].servers[ENGINE].slots
    assert 0 < share <= DEPLOYMENT.servers[ENGINE].slots / 2 + 1
    sent = of_type(effects, SendToHost)
    assert {effect.host for effect in sent if effect.message.waiting} == {HOST}


def test_fallback_reports_its_start_and_its_end():
    state = new_state()
    reduce(state, arrival(timeout=60.0))
    receive(state, PermitQueued(SHARD), now=1.0)
    effects = reduce(state, events.Ticked(now=1.0 + COORDINATOR_TIMEOUT))
    (started,) = of_type(effects, ReportFallbackStart)
    assert started.cause is FallbackCause.COORDINATOR_SILENT
    assert (started.shard, started.coordinator) == (SHARD, OTHER)
    assert (started.silent, started.waiting) == (COORDINATOR_TIMEOUT, 1)
    receive(state, PermitQueued(SHARD), now=4.5)
    effects = reduce(state, events.Ticked(now=5.0))
    (ended,) = of_type(effects, ReportFallbackEnd)
    assert (ended.shard, ended.coordinator) == (SHARD, OTHER)
    assert ended.lasted == 5.0 - (1.0 + COORDINATOR_TIMEOUT)


def test_fallback_reports_a_lost_connection():
    state = new_state()
    reduce(state, arrival(timeout=60.0))
    effects = reduce(state, events.PeerLost(now=0.2, host=OTHER))
    (started,) = of_type(effects, ReportFallbackStart)
    assert started.cause is FallbackCause.CONNECTION_LOST
    assert started.silent is None


@pytest.mark.parametrize(
    ("now", "reason", "age"),
    [(0.2, ReturnReason.GRANTED_ELSEWHERE, 0.2), (11.0, ReturnReason.EXPIRED, 11.0)],
)
def test_returned_grant_reports_its_reason(now, reason, age):
    state = new_state()
    reduce(state, arrival())
    if reason is ReturnReason.GRANTED_ELSEWHERE:
        receive(state, grant())
    effects = receive(state, grant(server=ServerId("engine-2")), now=now)
    (report,) = of_type(effects, ReportReturn)
    assert (report.reason, report.age) == (reason, age)
    assert (report.coordinator, report.server) == (OTHER, "engine-2")


def test_grant_of_a_request_that_has_ended_is_reported():
    state = new_state()
    (report,) = of_type(receive(state, grant()), ReportReturn)
    assert (report.reason, report.age) == (ReturnReason.REQUEST_GONE, None)


def test_newer_settings_keep_the_fallback_within_its_share():
    state = new_state()
    hosts = (HOST, OTHER, *(HostId(f"host-{number}") for number in range(3, 28)))
    reduce(state, events.MembersChanged(now=0.0, hosts=hosts))
    reduce(state, arrival(timeout=60.0))
    # A host whose own ticks come late takes nobody for silent.
    for number in range(int((1 + MAX_STAND_INS) * COORDINATOR_TIMEOUT / 0.05) + 5):
        reduce(state, events.Ticked(now=number * 0.05))
    (fallback,) = state.fallbacks.values()
    shares = {name: record.slots for name, record in fallback.servers.items()}
    newer = msgspec.structs.replace(DEPLOYMENT, version=5)
    reduce(state, events.SettingsApplied(now=15.0, deployment=newer))
    after = {name: record.slots for name, record in fallback.servers.items()}
    assert after == shares
    total = sum(cfg.slots for cfg in DEPLOYMENT.servers.values() if cfg.pool == ENGINES)
    assert 0 < sum(shares.values()) <= -(-total // len(hosts))


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (events.DrainStarted(now=0.0), RefusalReason.DRAINING),
        (
            events.FreshnessChanged(now=0.0, current=False),
            RefusalReason.SETTINGS_STALE,
        ),
    ],
)
def test_host_refuses_new_work_while_draining_or_stale(event, reason):
    state = new_state()
    reduce(state, event)
    (settled,) = of_type(reduce(state, arrival()), SettleRequest)
    assert settled.reason is reason


def test_older_settings_are_never_applied():
    state = new_state()
    newer = events.SettingsApplied(now=0.0, deployment=_versioned(5))
    reduce(state, newer)
    reduce(state, events.SettingsApplied(now=1.0, deployment=_versioned(4)))
    assert state.deployment.version == 5


def _versioned(version):
    deployment = build_deployment(KYKLOS, (), "127.0.0.1:3")
    return type(deployment)(name=deployment.name, version=version)


def test_cached_assignments_equal_recomputed_ones():
    rng = random.Random(7)
    state = new_state()
    shards = [ShardId(f"engines/{index}") for index in range(40)]
    for _ in range(200):
        names = [HostId(f"h{rng.randrange(12)}") for _ in range(rng.randrange(1, 9))]
        hosts = tuple(dict.fromkeys(names))
        draining = tuple(host for host in hosts if rng.random() < 0.2)
        state.replace_hosts(hosts, draining)
        live = [host for host in hosts if host not in draining] or hosts
        for shard in shards:
            assert state.coordinator_of(shard) == choose_coordinator(shard, live)
            assert state.successor_of(shard) == choose_successor(shard, live)


def test_cached_assignments_equal_recomputed_ones_of_unequal_hosts():
    rng = random.Random(8)
    state = new_state()
    shards = [ShardId(f"engines/{index}") for index in range(40)]
    for _ in range(200):
        names = [HostId(f"h{rng.randrange(12)}") for _ in range(rng.randrange(1, 9))]
        hosts = tuple(dict.fromkeys(names))
        known = {host: rng.choice((0.0, 0.36, 1.0, 3.0, 9.0)) for host in hosts}
        state.replace_hosts(hosts, (), known)
        capable = capable_hosts(hosts, known)
        for shard in shards:
            coordinator = choose_coordinator(shard, hosts, capable)
            assert state.coordinator_of(shard) == coordinator
            assert state.successor_of(shard) == choose_successor(shard, hosts, known)


def test_session_of_one_request(snapshot):
    state = new_state()
    script = [
        arrival(),
        events.PeerReceived(now=0.1, sender=OTHER, message=grant()),
        events.FirstTokenSeen(now=0.3, request_id=RequestId("r1")),
        events.TokensSeen(now=0.4, request_id=RequestId("r1"), output_tokens=6),
        events.DispatchFinished(
            now=0.5, request_id=RequestId("r1"), prompt_tokens=100, output_tokens=10
        ),
    ]
    session = [(event, reduce(state, event)) for event in script]
    assert session == snapshot


NAMES = st.sampled_from(["r1", "r2", "r3"])
SENDERS = st.sampled_from([OTHER, HostId("host-3")])
SERVERS = st.sampled_from([ENGINE, ServerId("engine-2")])


class EntryHost(RuleBasedStateMachine):
    """Send messages in any order; dispatches and settled outcomes must agree."""

    @initialize()
    def start(self):
        self.state = new_state()
        self.now = 0.0
        self.dispatched = Counter()
        self.settled = {}

    def apply(self, event):
        self.now += 0.05
        for effect in reduce(self.state, event(self.now)):
            if isinstance(effect, Dispatch):
                self.dispatched[effect.request_id] += 1
            if isinstance(effect, SettleRequest):
                assert effect.request_id not in self.settled
                self.settled[effect.request_id] = effect.outcome

    @rule(name=NAMES)
    def arrive(self, name):
        seen = name in self.state.requests or name in self.settled
        if not seen and not self.dispatched[name]:
            self.apply(lambda now: arrival(name, now=now, timeout=1.0))

    @rule(name=NAMES, sender=SENDERS, server=SERVERS)
    def grant_permit(self, name, sender, server):
        message = grant(name, server=server)
        self.apply(
            lambda now: events.PeerReceived(now=now, sender=sender, message=message)
        )

    @rule(name=NAMES, sender=SENDERS)
    def refuse(self, name, sender):
        message = PermitRefusal(name, SHARD, RefusalReason.EVICTED, 1.0)
        self.apply(
            lambda now: events.PeerReceived(now=now, sender=sender, message=message)
        )

    @rule(
        name=NAMES,
        kind=st.sampled_from(
            [
                events.CallerGone,
                events.DeadlinePassed,
                events.DispatchFailed,
                events.DispatchFinished,
                events.FirstTokenSeen,
            ]
        ),
    )
    def send_request_event(self, name, kind):
        self.apply(lambda now: kind(now=now, request_id=name))

    @rule(hosts=st.sampled_from([(OTHER,), (OTHER, "host-3"), ("host-3",), (HOST,)]))
    def change_members(self, hosts):
        self.apply(lambda now: events.MembersChanged(now=now, hosts=hosts))

    @rule(host=SENDERS)
    def lose_peer(self, host):
        self.apply(lambda now: events.PeerLost(now=now, host=host))

    @rule()
    def tick(self):
        self.apply(lambda now: events.Ticked(now=now))

    @invariant()
    def at_most_one_dispatch(self):
        assert all(count == 1 for count in self.dispatched.values() if count)

    @invariant()
    def not_run_was_never_dispatched(self):
        for name, outcome in self.settled.items():
            assert outcome is not Outcome.NOT_RUN or not self.dispatched[name]


TestEntryHost = EntryHost.TestCase
TestEntryHost.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
