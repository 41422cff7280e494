import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.connections import PeerConnection
from amaranthferry.exceptions import FrameError
from amaranthferry.frames import (
    HEARTBEAT,
    MAX_FRAME_BYTES,
    FrameReader,
    pack_frame,
)
from amaranthferry.handshake import Acceptor, Challenge, Hello, Opener, Proof
from amaranthferry.types import HostId

NONCE = b"n" * 16
encode = msgspec.msgpack.encode
WIRE_BYTES = st.one_of(
    st.binary(max_size=200),
    st.builds(pack_frame, st.binary(max_size=100)),
)


def acceptor(key="secret", host="h2"):
    return Acceptor(key, HostId(host), NONCE)


def opener(key="secret", host="h1", peer="h2"):
    return Opener(key, HostId(host), HostId(peer), NONCE)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=50)), st.integers(1, 20))
def test_frames_are_read_however_the_stream_is_split(payloads, step):
    stream = b"".join(pack_frame(payload) for payload in payloads)
    reader = FrameReader()
    starts = range(0, len(stream), step)
    read = [p for start in starts for p in reader.feed(stream[start : start + step])]
    assert read == payloads
    assert reader.pending_bytes == 0


def test_truncated_frame_stays_pending():
    reader = FrameReader()
    assert list(reader.feed(pack_frame(b"whole")[:-1])) == []
    assert reader.pending_bytes > 0


@pytest.mark.parametrize("length", [MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_oversize_frame_is_refused_by_its_header(length):
    with pytest.raises(FrameError, match="over the limit"):
        list(FrameReader().feed(length.to_bytes(4, "big")))


def test_oversize_payload_is_not_packed():
    with pytest.raises(FrameError, match="over the limit"):
        pack_frame(bytes(MAX_FRAME_BYTES + 1))


def test_handshake_authenticates_both_hosts():
    one, two = opener(), acceptor()
    proof = one.answer(two.challenge(one.start()))
    assert two.finish(proof) == "h1"


@pytest.mark.parametrize(
    ("ends", "problem"),
    [
        ((opener("wrong"), acceptor()), "same peer key"),
        ((opener(peer="h3"), acceptor()), "in place of"),
    ],
)
def test_opener_refuses_another_key_or_host(ends, problem):
    one, two = ends
    with pytest.raises(FrameError, match=problem):
        one.answer(two.challenge(one.start()))


def test_acceptor_refuses_a_proof_of_another_key_or_nonce():
    impostor = opener("wrong")
    for proof in (b"", b"x" * 32):
        two = acceptor()
        two.challenge(impostor.start())
        with pytest.raises(FrameError, match="same peer key"):
            two.finish(encode(Proof(proof)))
    one, first = opener(), acceptor()
    replayed = one.answer(first.challenge(one.start()))
    later = Acceptor("secret", HostId("h2"), b"m" * 16)
    later.challenge(one.start())
    with pytest.raises(FrameError, match="same peer key"):
        later.finish(replayed)


def test_reflected_acceptor_proof_is_refused():
    one, two = opener(), acceptor()
    challenge = msgspec.msgpack.decode(two.challenge(one.start()), type=Challenge)
    with pytest.raises(FrameError, match="same peer key"):
        two.finish(encode(Proof(challenge.proof)))


def test_other_protocol_version_is_refused_by_both_ends():
    with pytest.raises(FrameError, match="protocol version 2"):
        acceptor().challenge(encode(Hello(2, HostId("h1"), NONCE)))
    with pytest.raises(FrameError, match="protocol version 2"):
        opener().answer(encode(Challenge(2, HostId("h2"), NONCE, b"")))


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.aborted = False

    def write(self, data):
        self.written += bytes(data)

    def abort(self):
        self.aborted = True


class Owner:
    def __init__(self):
        self.payloads = []

    def on_ready(self, conn):
        pass

    def on_payload(self, conn, payload):
        self.payloads.append(payload)

    def on_closed(self, conn):
        pass


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    make=st.sampled_from([opener, acceptor]),
    chunks=st.lists(st.one_of(WIRE_BYTES, st.just(HEARTBEAT)), max_size=6),
)
def test_invalid_bytes_never_authenticate_and_end_in_a_typed_error(make, chunks):
    owner, transport = Owner(), FakeTransport()
    conn = PeerConnection(owner, make(), clock=lambda: 0.0)
    conn.connection_made(transport)
    for chunk in chunks:
        conn.data_received(chunk)
    assert not conn.ready
    assert owner.payloads == []
    assert transport.aborted is (conn.error is not None)
