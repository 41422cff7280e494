from enum import Enum
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry import messages
from amaranthferry.codec import decode, encode
from amaranthferry.exceptions import FrameError
from amaranthferry.messages import Message
from amaranthferry.types import RefusalReason, RequestId, ShardId


def test_message_round_trips_through_the_codec():
    message = messages.PermitWithdraw(RequestId("r1"), ShardId("p/0"))
    assert decode(encode(message)) == message


@pytest.mark.parametrize("kind", Message.__subclasses__(), ids=lambda k: k.__name__)
def test_every_message_is_in_the_union(kind):
    message = _sample(kind)
    assert decode(encode(message)) == message


def _sample(hint):
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is UnionType:
        return _sample(get_args(hint)[0])
    if hint is Any:
        return {"x": [1, None]}
    if get_origin(hint) is dict:
        key, value = get_args(hint)
        return {_sample(key): _sample(value)}
    if get_origin(hint) is tuple:
        return (_sample(get_args(hint)[0]),) * 2
    if isinstance(hint, type) and issubclass(hint, Enum):
        return next(iter(hint))
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        hints = get_type_hints(hint)
        return hint(**{name: _sample(hints[name]) for name in hint.__struct_fields__})
    return {str: "x", int: 7, float: 0.5, bool: True, bytes: b"x"}[hint]


def test_number_without_a_msgpack_form_is_a_frame_error():
    message = messages.PermitRefusal(
        RequestId("r1"), ShardId("p/0"), RefusalReason.EVICTED, 10**30
    )
    with pytest.raises(FrameError, match="can't be sent"):
        encode(message)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=64))
def test_garbage_raises_a_frame_error(data):
    try:
        assert isinstance(decode(data), Message)
    except FrameError as exc:
        assert exc.remedy
