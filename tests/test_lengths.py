import pytest

from amaranthferry.lengths import MAX_KEYS, LengthEstimate
from tests.scheduling import permit_request


@pytest.mark.parametrize("ratio", [0.2, 1.0, 3.0])
def test_estimate_follows_observed_lengths(ratio):
    lengths = LengthEstimate()
    for _ in range(200):
        lengths.observe(permit_request("r"), round(50 * ratio))
    assert lengths.expected(permit_request("r")) == pytest.approx(50 * ratio, abs=1)
    assert lengths.conservative(permit_request("r")) == pytest.approx(50 * ratio, abs=2)
    assert lengths.expected(permit_request("r", class_rank=1)) == 50


def test_conservative_estimate_covers_varied_lengths():
    lengths = LengthEstimate()
    for number in range(200):
        lengths.observe(permit_request("r"), 90 if number % 2 else 10)
    assert lengths.conservative(permit_request("r")) >= 90


def test_tracked_keys_are_bounded():
    lengths = LengthEstimate()
    for number in range(MAX_KEYS + 1):
        lengths.observe(permit_request("r", workspace=f"w{number}"), 500)
    assert lengths.expected(permit_request("r", workspace="w0")) == 50


@pytest.mark.parametrize(
    ("shortest", "longest", "ratio"), [(50, 50, 1.0), (5, 95, 0.0)]
)
def test_short_answer_is_as_much_shorter_as_lengths_vary(shortest, longest, ratio):
    lengths = LengthEstimate()
    for number in range(200):
        lengths.observe(permit_request("r"), longest if number % 2 else shortest)
    estimate = lengths.shortest_ratio(permit_request("r"))
    assert estimate == pytest.approx(ratio, abs=0.15)
