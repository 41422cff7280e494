import pytest

from amaranthferry.coordinator import Coordinator
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.events import PeerReceived
from amaranthferry.messages import PermitGrant, PermitRequest, Registration
from amaranthferry.straggler import PROBE_INTERVAL, SLOW_FACTOR, StragglerDetector
from amaranthferry.types import ShardId
from tests.scheduling import Session, server
from tests.test_objectives import deployment as objective_deployment


@pytest.mark.parametrize(
    ("factor", "straggling"), [(1.0, False), (SLOW_FACTOR / 2, False), (10.0, True)]
)
def test_only_a_large_slowdown_marks_a_straggler(factor, straggling):
    detector = StragglerDetector()
    for _ in range(5):
        detector.observe(1.0, factor)
    assert detector.straggling is straggling


def test_straggler_is_probed_and_recovers_gradually():
    detector = StragglerDetector()
    for _ in range(5):
        detector.observe(1.0, 10.0)
    assert detector.share < 0.1
    detector.record_probe(10.0)
    assert not detector.may_probe(10.0 + PROBE_INTERVAL / 2)
    assert detector.may_probe(10.0 + PROBE_INTERVAL)
    shares = []
    for _ in range(40):
        detector.observe(1.0, 1.0)
        shares.append(detector.share)
    assert shares == sorted(shares)
    assert not detector.straggling


def test_straggler_is_detected_from_progress_reports():
    session = Session(server("e1", slots=8), server("e2", slots=8))
    for number in range(4):
        session.request(f"r{number}", remaining=900.0)
    slow = [r for r, server_name in session.granted().items() if server_name == "e1"]
    assert slow
    for second in range(1, 9):
        session.now = second * 2.0
        for request_id in slow:
            session.progress(
                request_id,
                first_token=0.2,
                output_tokens=1 + 10 * second,
                elapsed=0.2 + 2.0 * second,
            )
    assert session.coordinator.servers["e1"].straggler.straggling
    for number in range(4):
        session.request(f"s{number}", remaining=900.0)
    assert {session.granted()[f"s{n}"] for n in range(4)} == {"e2"}


def test_overdue_first_token_delays_predicted_prefill_start():
    record = Session(server("e1")).coordinator.servers["e1"]
    record.prefill_free_at = 5.0
    assert record.prefill_starts(8.0) == 8.0
    record.prefill_tokens = 800
    assert record.prefill_starts(8.0) == 11.0


def slow_down(coordinator, count):
    for name in sorted(coordinator.servers)[:count]:
        coordinator.servers[name].straggler.observe(1.0, 100.0)
        assert coordinator.servers[name].straggler.straggling


@pytest.mark.parametrize(("slow", "granted"), [(4, 32), (1, 24)])
def test_servers_that_are_all_slow_are_not_taken_for_stragglers(slow, granted):
    session = Session(*(server(f"e{number}", slots=8) for number in range(4)))
    slow_down(session.coordinator, slow)
    for number in range(40):
        session.request(f"r{number}", remaining=900.0, prompt_tokens=10)
    assert len(session.granted()) == granted


@pytest.mark.parametrize(("slow", "granted"), [(4, 32), (1, 25)])
def test_objective_queue_grants_though_all_servers_are_slow(slow, granted):
    cfg = objective_deployment(servers=4, slots=8)
    coordinator = Coordinator.from_config(
        cfg, ShardId("engines/0"), now=0.0, hosts=["h"]
    )
    coordinator.register(Registration("engines/0", (), ()), "h", 0.0)
    slow_down(coordinator, slow)
    effects = []
    for number in range(40):
        request = PermitRequest(
            request_id=f"r{number}",
            shard="engines/0",
            workspace="",
            tier_rank=0,
            class_rank=0,
            remaining=900.0,
            prompt_tokens=10,
            output_tokens=10,
            patience=900.0,
        )
        received = PeerReceived(now=3.0, sender="h", message=request)
        effects += reduce(coordinator, received)
    messages = [getattr(effect, "message", None) for effect in effects]
    assert sum(isinstance(item, PermitGrant) for item in messages) == granted
