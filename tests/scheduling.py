"""Build deployments, permit requests and coordinators for the scheduling tests."""

from amaranthferry.config import BackendServer, Deployment, Pool
from amaranthferry.coordinator import Coordinator
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.events import PeerReceived, ServerStateSeen, Ticked
from amaranthferry.messages import (
    PermitGrant,
    PermitProgress,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Registration,
)

HOST = "h1"
SHARD = "models/0"


def server(name, **options):
    options = {"slots": 2, "zone": "larisa", "address": "", **options}
    return BackendServer(name=name, pool="models", **options)


def deployment(*servers, drained=(), **pool):
    return Deployment(
        name="test",
        pools={"models": Pool("models", **pool)},
        servers={cfg.name: cfg for cfg in servers},
        drained=drained,
    )


def permit_request(request_id, **options):
    options = {
        "workspace": "growers",
        "tier_rank": 0,
        "class_rank": 0,
        "remaining": 30.0,
        "prompt_tokens": 800,
        "output_tokens": 50,
        **options,
    }
    return PermitRequest(request_id=request_id, shard=SHARD, **options)


class Session:
    """A coordinator with a clock, and the messages that it has sent."""

    def __init__(self, *servers, hosts=(HOST,), register=True, policy=None, **options):
        self.now = 0.0
        self.deployment = deployment(*servers, **options)
        self.coordinator = Coordinator.from_config(
            self.deployment, SHARD, now=0.0, hosts=hosts, policy=policy
        )
        self.sent = []
        if register:
            for host in hosts:
                self.receive(Registration(SHARD, (), ()), sender=host)

    def apply(self, event):
        effects = reduce(self.coordinator, event)
        self.sent += [effect for effect in effects if hasattr(effect, "message")]
        return effects

    def receive(self, message, sender=HOST):
        return self.apply(PeerReceived(now=self.now, sender=sender, message=message))

    def request(self, request_id, sender=HOST, **options):
        return self.receive(permit_request(request_id, **options), sender)

    def release(self, request_id, *, dispatched=True, sender=HOST, **options):
        server_name = self.granted().get(request_id, "")
        message = PermitRelease(
            request_id, SHARD, server_name, dispatched=dispatched, **options
        )
        return self.receive(message, sender)

    def progress(self, request_id, sender=HOST, **options):
        server_name = self.granted()[request_id]
        options = {"elapsed": options["first_token"], **options}
        return self.receive(
            PermitProgress(request_id, SHARD, server_name, **options), sender
        )

    def tick(self, seconds=0.0):
        self.now += seconds
        return self.apply(Ticked(now=self.now))

    def report_server_state(self, name, state, source, *, now):
        event = ServerStateSeen(now=now, server=name, state=state, source=source)
        return self.apply(event)

    def granted(self):
        return {m.request_id: m.server for m in self.messages(PermitGrant)}

    def refused(self):
        return {m.request_id: m.reason.value for m in self.messages(PermitRefusal)}

    def messages(self, kind):
        return [e.message for e in self.sent if isinstance(e.message, kind)]
