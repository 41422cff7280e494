"""Check the permit invariants over arbitrary orders of messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from amaranthferry.events import MembersChanged
from amaranthferry.messages import (
    PermitGrant,
    PermitWithdraw,
    Registration,
    RunningWork,
)
from tests.scheduling import SHARD, Session, permit_request, server

HOSTS = ("h1", "h2", "h3")
QUEUE_LIMIT = 6

requests = st.integers(0, 11)
tiers = st.integers(0, 2)


class PermitMachine(RuleBasedStateMachine):
    """A coordinator that receives duplicated, delayed and crossing messages."""

    def __init__(self):
        super().__init__()
        self.session = Session(
            server("e1", slots=2, kv_tokens=5_000),
            server("e2", slots=1),
            hosts=HOSTS,
            register=False,
            queue_limit=QUEUE_LIMIT,
        )
        self.dispatched = set()
        self.sent_requests = {}

    @property
    def coordinator(self):
        return self.session.coordinator

    def host_of(self, number):
        return HOSTS[number % len(HOSTS)]

    def check_grants(self, effects, before):
        for effect in effects:
            message = effect.message if hasattr(effect, "message") else None
            if not isinstance(message, PermitGrant):
                continue
            assert message.request_id not in self.dispatched
            server_before = before.get(message.request_id, message.server)
            assert message.server == server_before

    def apply_checked(self, call):
        permits = self.coordinator.permits
        before = {p.request.request_id: p.server.cfg.name for p in permits}
        self.check_grants(call(), before)

    @rule(number=requests, tier=tiers, bulk=st.booleans())
    def send_request(self, number, tier, bulk):
        name = f"r{number}"
        if name in self.dispatched - set(self.coordinator.permits.closed):
            return  # Its host never requests it again; delayed requests arrive sooner.
        message = permit_request(
            name, tier_rank=tier, bulk=bulk, workspace=f"w{number % 4}"
        )
        message = self.sent_requests.setdefault(name, message)
        self.apply_checked(lambda: self.session.receive(message, self.host_of(number)))

    @rule(number=requests)
    def dispatch_and_release(self, number):
        name = f"r{number}"
        if name in self.coordinator.permits:
            self.dispatched.add(name)
        self.apply_checked(
            lambda: self.session.release(
                name, sender=self.host_of(number), output_tokens=9, elapsed=1.0
            )
        )

    @rule(number=requests)
    def release_undispatched(self, number):
        self.apply_checked(
            lambda: self.session.release(
                f"r{number}", dispatched=False, sender=self.host_of(number)
            )
        )

    @rule(number=requests)
    def withdraw(self, number):
        message = PermitWithdraw(f"r{number}", SHARD)
        self.apply_checked(lambda: self.session.receive(message, self.host_of(number)))

    @rule(seconds=st.sampled_from([0.0, 0.1, 3.0, 40.0]))
    def tick(self, seconds):
        self.apply_checked(lambda: self.session.tick(seconds))

    @rule(hosts=st.sets(st.sampled_from(HOSTS), min_size=1))
    def change_members(self, hosts):
        event = MembersChanged(now=self.session.now, hosts=tuple(sorted(hosts)))
        self.apply_checked(lambda: self.session.apply(event))

    @rule(host=st.sampled_from(HOSTS))
    def register_again(self, host):
        permits = [p for p in self.coordinator.permits if p.host == host]
        running = tuple(
            RunningWork(p.request, p.server.cfg.name, 1, 1.0) for p in permits
        )
        message = Registration(SHARD, (), running)
        self.apply_checked(lambda: self.session.receive(message, host))

    @precondition(lambda self: len(self.coordinator.permits) > 0)
    @rule()
    def change_coordinator(self):
        """Start a new coordinator, with which every host registers its requests."""
        permits = list(self.coordinator.permits)
        waiters = list(self.coordinator.queue)
        now = self.session.now
        self.session.coordinator = type(self.coordinator).from_config(
            self.session.deployment, SHARD, now=now, hosts=HOSTS
        )
        for host in HOSTS:
            running = tuple(
                RunningWork(p.request, p.server.cfg.name, 1, 1.0)
                for p in permits
                if p.host == host
            )
            waiting = tuple(w.request for w in waiters if w.host == host)
            message = Registration(SHARD, waiting, running)
            self.apply_checked(lambda m=message, h=host: self.session.receive(m, h))
        expected = {p.request.request_id for p in permits}
        assert expected <= {p.request.request_id for p in self.coordinator.permits}

    @invariant()
    def tokens_add_up(self):
        for record in self.coordinator.servers.values():
            server_permits = [p for p in self.coordinator.permits if p.server is record]
            assert record.tokens == sum(p.tokens for p in server_permits)
            assert record.bulk_count == sum(p.request.bulk for p in server_permits)
            pending = [
                p.prefill_tokens for p in server_permits if not p.first_token_seen
            ]
            assert record.prefill_tokens == sum(pending)
            assert len(record.permits) == len(server_permits)

    @invariant()
    def no_request_both_waits_and_runs(self):
        running = {p.request.request_id for p in self.coordinator.permits}
        waiting = {w.request.request_id for w in self.coordinator.queue}
        assert not running & waiting

    @invariant()
    def queue_is_bounded(self):
        assert len(self.coordinator.queue) <= QUEUE_LIMIT


PermitMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=30
)
TestPermits = PermitMachine.TestCase
