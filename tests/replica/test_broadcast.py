import zlib

import pytest

from amaranthferry.messages import ObjectChange, StoreUpdate
from amaranthferry.replica.broadcast import pack, unpack


def update(changes, **fields):
    return StoreUpdate(0, "config", 1, 2, 0.0, changes, **fields)


@pytest.mark.parametrize("count", [0, 1, 400])
def test_packed_changes_are_unpacked_alike(count):
    changes = tuple(ObjectChange(f"o-{n}", n, False, {"n": n}) for n in range(count))
    packed = pack(update(changes), limit=64 * 1024)
    assert unpack(packed) == changes
    assert bool(packed.packed) == (count == 400)


def test_changes_over_the_limit_are_left_out():
    changes = (ObjectChange("o", 1, False, "".join(map(chr, range(256))) * 64),)
    packed = pack(update(changes), limit=100)
    assert (packed.changes, packed.packed) == (None, b"")
    assert unpack(packed) is None


@pytest.mark.parametrize(
    "data",
    [b"x", zlib.compress(b"x"), zlib.compress(b"\x90")[:-1], zlib.compress(b"\x91")],
)
def test_unreadable_changes_count_as_left_out(data):
    assert unpack(update(None, packed=data)) is None


def test_changes_that_unpack_beyond_the_limit_count_as_left_out():
    assert unpack(update(None, packed=zlib.compress(bytes(8 * 1024 * 1024)))) is None
