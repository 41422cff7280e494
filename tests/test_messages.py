import msgspec
import pytest

from amaranthferry import messages
from amaranthferry.types import RequestId, ServerId, ShardId

CASES = [
    messages.PermitWithdraw(RequestId("r1"), ShardId("s")),
    messages.PermitGrant(RequestId("r1"), ShardId("s"), ServerId("e1")),
]


@pytest.mark.parametrize("message", CASES, ids=lambda message: type(message).__name__)
def test_message_round_trips_through_msgpack(message):
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=type(message)) == message
