"""Spread the requests of hosts that decide for themselves over a few servers."""

from collections.abc import Sequence

import xxhash

from ..messages import PermitRequest
from ..placement import Prediction

#: Servers that a request may go to. With one, chance would fill single servers; with all,
#: the hosts that know the same would choose the same one.
CHOICES = 2


def spread(
    predictions: Sequence[Prediction], request: PermitRequest
) -> Sequence[Prediction]:
    """Return the predictions of a few servers, which differ between requests.

    The load of a server that hosts choose between two at random stays far more even than
    with one (Mitzenmacher, The Power of Two Choices, 2001).
    """
    if len(predictions) <= CHOICES:
        return predictions
    return sorted(predictions, key=lambda item: _rank(item, request))[:CHOICES]


def _rank(prediction: Prediction, request: PermitRequest) -> int:
    name = prediction.record.cfg.name
    return xxhash.xxh64_intdigest(f"{request.request_id}\0{name}".encode())
