import pytest

from amaranthferry.straggler import PROBE_INTERVAL, SLOW_FACTOR, StragglerDetector
from tests.scheduling import Session, server


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
