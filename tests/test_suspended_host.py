from amaranthferry import events
from amaranthferry.effects import Dispatch, SendToHost
from amaranthferry.messages import PermitGrant, PermitRelease, PermitRequest

from .reducer_fleet import ReducerFleet, instance, reduce

SUSPENSION = 4.0


def waiting_request(system, host):
    """Let a request wait for a permit that another host decides on."""
    system.lost_messages = PermitRequest
    request_id = system.send(host)
    system.lost_messages = ()
    return request_id, system.hosts[host].requests[request_id]


def other_host(system):
    coordinator = system.hosts["host-0"].coordinator_of("engines/0")
    return next(name for name in system.hosts if name != coordinator), coordinator


def granted(request, coordinator, *, now, server="s-0"):
    message = PermitGrant(request.arrival.request_id, request.shard, server)
    return events.PeerReceived(now=now, sender=coordinator, message=message)


def sent(effects, kind):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToHost) and isinstance(effect.message, kind)
    ]


def test_permit_from_before_a_suspension_is_not_used_after_it():
    system = ReducerFleet([instance("s-0"), instance("s-1")])
    system.advance(0.5)
    host, coordinator = other_host(system)
    _, request = waiting_request(system, host)
    now = system.now + SUSPENSION
    effects = reduce(
        system.hosts[host], granted(request, coordinator, now=now, server="s-0")
    )
    assert not any(isinstance(effect, Dispatch) for effect in effects)
    (released,) = sent(effects, PermitRelease)
    assert not released.dispatched
    assert len(sent(effects, PermitRequest)) == 1
    effects = reduce(
        system.hosts[host], granted(request, coordinator, now=now, server="s-1")
    )
    assert any(isinstance(effect, Dispatch) for effect in effects)


def test_permit_that_took_as_long_without_a_suspension_is_used():
    system = ReducerFleet([instance("s-0")])
    system.advance(0.5)
    host, coordinator = other_host(system)
    _, request = waiting_request(system, host)
    system.hosts[host].last_received[coordinator] = system.now + SUSPENSION
    state = system.hosts[host]
    for number in range(1, int(SUSPENSION / 0.05)):
        reduce(state, events.Ticked(now=system.now + number * 0.05))
    now = system.now + SUSPENSION
    effects = reduce(state, granted(request, coordinator, now=now))
    assert any(isinstance(effect, Dispatch) for effect in effects)


def test_coordinator_that_was_suspended_grants_nothing_from_its_old_state():
    system = ReducerFleet([instance("s-0"), instance("s-1")])
    system.advance(0.5)
    host, coordinator = other_host(system)
    system.send(host)
    assert system.hosts[coordinator].coordinators
    old = system.hosts[coordinator].coordinators["engines/0"]
    system.now += SUSPENSION
    system.send(coordinator)
    assert system.hosts[coordinator].coordinators["engines/0"] is not old
