import pytest

from amaranthferry.prediction import SpeedEstimate
from tests.scheduling import Session, server

CFG = server("e1", prefill_rate=1_000.0, decode_interval=0.02)


def test_configured_speed_applies_until_first_measurement():
    speed = SpeedEstimate(CFG)
    assert speed.service_time(500, 10) == pytest.approx(0.7)


@pytest.mark.parametrize("batch", [1, 2, 8, 16])
def test_measured_intervals_replace_configured_ones(batch):
    speed = SpeedEstimate(CFG)
    for _ in range(20):
        speed.observe_decode(100, 5.0, batch)
    assert speed.decode_interval(batch) == pytest.approx(0.05, rel=0.05)


def test_unmeasured_batch_size_uses_nearest_measured_size():
    speed = SpeedEstimate(CFG)
    speed.observe_decode(100_000, 4_000.0, 8)
    assert speed.decode_interval(32) == pytest.approx(0.04, rel=0.01)


def test_prompts_finished_in_one_engine_step_are_averaged_together():
    speed = SpeedEstimate(CFG)
    for _ in range(50):
        speed.observe_prefill(1_000, 1.0)
        speed.observe_prefill(1_000, 0.0)
    assert speed.prefill_rate == pytest.approx(2_000, rel=0.05)


def test_server_measured_as_slower_is_not_preferred():
    session = Session(server("e1", slots=8), server("e2", slots=8))
    session.request("r0")
    first = session.granted()["r0"]
    session.now = 20.0
    session.release("r0", output_tokens=50, first_token=0.1, elapsed=20.0)
    session.request("r1")
    assert session.granted()["r1"] != first


def test_first_token_prediction_error_is_recorded_once():
    session = Session(server("e1", prefill_rate=1_000.0))
    session.request("r", prompt_tokens=1_000)
    effects = session.progress("r", first_token=3.0, output_tokens=1)
    assert [effect.value for effect in effects] == [pytest.approx(2.0)]
    assert session.progress("r", first_token=3.0, output_tokens=9) == []
