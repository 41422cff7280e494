"""Play handovers against engines whose calls and answers are lost, late or repeated."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.gateway.sse import EventReader, ResumedRun
from amaranthferry.relocation.handover import Handover, Reply, Step

EVENTS = 12


class Engine:
    """Hold a run, its memory, or nothing; the group's handle can be used once."""

    def __init__(self, group):
        self.group = group
        self.created = None
        self.working = False

    def write(self):
        """Create the next event."""
        if self.working and self.created < EVENTS:
            self.created += 1
            return b"id: %d\ndata: r/%d\n\n" % (self.created, self.created)
        return b""


class Group:
    def __init__(self):
        self.source, self.target = Engine(self), Engine(self)
        self.source.created, self.source.working = 0, True
        self.handle = ""
        self.memory = None

    def stop(self):
        if self.source.working:
            self.source.working = False
            self.memory, self.handle = self.source.created, "h"

    def resume(self, engine, last_id):
        """Go on after the last event that the host has, also with those under way."""
        if not self.handle:
            return False
        self.handle = ""
        assert last_id <= self.memory
        engine.created, engine.working = last_id, True
        return True

    def check(self):
        """Guard against two engines that work on one request."""
        assert not (self.source.working and self.target.working)


class Caller:
    """Read a run as the dispatch does, over any number of engines."""

    def __init__(self):
        self.received = b""
        self.last_id = ""
        self._begin()

    def _begin(self):
        self._reader = EventReader(complete_only=True)
        self._resumed = ResumedRun(self.last_id) if self.last_id else None

    def restart(self):
        self._begin()

    def feed(self, data):
        passed = self._reader.feed(data)
        if self._resumed is not None:
            passed = self._resumed.cut(passed)
        if passed:
            self.received += passed
            self.last_id = self._reader.last_event_id


COPY_ENDS = st.sampled_from(list(Reply))
STOP_ENDS = st.sampled_from(
    [
        "copied",
        "no_room",
        "refused",
        "busy",
        "not_found",
        "lost_call",
        "lost_answer",
        "late",
    ]
)
RESUME_ENDS = st.sampled_from(["accepted", "refused", "unreached", "lost_answer"])


def stop_source(group, end):
    """Carry out a call that stops the run, and return what the host hears of it."""
    if end in ("copied", "no_room", "lost_answer"):
        group.stop()
        if end == "lost_answer" or not group.handle:
            return Reply.SILENT if group.handle else Reply.NOT_FOUND, ""
        return (Reply.COPIED if end == "copied" else Reply.NO_ROOM), group.handle
    replies = {
        "refused": Reply.NO_ROOM,
        "busy": Reply.BUSY,
        "not_found": Reply.NOT_FOUND,
    }
    return replies.get(end, Reply.SILENT), ""


class Host:
    """Carry out one handover, and relay what the engines write."""

    def __init__(self, in_flight):
        self.group, self.caller, self.handover = Group(), Caller(), Handover()
        self.reader = self.group.source
        self._in_flight = in_flight
        self._pending = bytearray()

    def relay(self, count):
        for _ in range(count):
            self._pending.extend(self.reader.write())
        # Some bytes are still under way when the next step is taken.
        arrived = len(self._pending) - min(self._in_flight, len(self._pending))
        self.caller.feed(bytes(self._pending[:arrived]))
        del self._pending[:arrived]
        self.group.check()

    def copy(self, reply):
        handle = "c" if reply is Reply.COPIED else ""
        self.handover.handle_reply(reply, handle, stream_ended=False)

    def stop(self, end):
        if not self.handover.is_calling:
            return
        reply, handle = stop_source(self.group, end)
        ended = not self.group.source.working
        self.handover.handle_reply(reply, handle, stream_ended=ended)

    def resume(self, end):
        if self.handover.is_final:
            return
        at_target = self.handover.step is Step.RESUME_AT_TARGET
        engine = self.group.target if at_target else self.group.source
        self._pending.clear()
        accepted = end in ("accepted", "lost_answer") and self.group.resume(
            engine, int(self.caller.last_id)
        )
        self.group.check()
        if end == "lost_answer":
            # The host closes the connection, upon which the engine drops the run.
            engine.working = accepted = False
        self.handover.handle_resumption(accepted=accepted)
        if accepted:
            self.reader = engine
            self.caller.restart()

    def finish(self):
        """Relay the rest of the stream, as far as an engine writes it."""
        while self.reader.working and self.reader.created < EVENTS:
            self.relay(1)
        if self.reader.working:
            self.caller.feed(bytes(self._pending))


@given(
    copy=COPY_ENDS,
    stops=st.lists(STOP_ENDS, min_size=2, max_size=2),
    resumptions=st.lists(RESUME_ENDS, min_size=2, max_size=2),
    writes=st.lists(st.integers(0, 4), min_size=5, max_size=5),
    in_flight=st.integers(0, 40),
)
def test_no_event_is_lost_doubled_or_mixed_and_no_two_runs_overlap(
    copy, stops, resumptions, writes, in_flight
):
    host = Host(in_flight)
    # A run moves only once its caller has an event.
    host.relay(writes[0] + 4)
    host.copy(copy)
    for end, count in zip(stops, writes[1:3], strict=True):
        host.relay(count)
        host.stop(end)
    if "late" in stops and host.handover.is_final:
        # The call arrives after the host has given it up.
        host.group.stop()
    for end, count in zip(resumptions, writes[3:5], strict=True):
        host.resume(end)
        host.relay(count)
    host.finish()
    expected = b"".join(
        b"id: %d\ndata: r/%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
    )
    received, works = host.caller.received, host.reader.working
    assert host.handover.is_final
    assert expected.startswith(received)
    assert received == expected or not works
    assert works or host.handover.step not in (Step.MOVED, Step.RETURNED)


def test_copy_is_freed_once_unless_a_run_has_used_it():
    handover = Handover()
    handover.handle_reply(Reply.COPIED, "c", stream_ended=False)
    handover.handle_reply(Reply.BUSY, "", stream_ended=False)
    assert handover.step is Step.STAYED
    assert [handover.take_handle(), handover.take_handle()] == ["c", ""]
    moved = Handover()
    moved.handle_reply(Reply.COPIED, "c", stream_ended=False)
    moved.handle_reply(Reply.COPIED, "d", stream_ended=True)
    moved.handle_resumption(accepted=True)
    assert moved.step is Step.MOVED
    assert not moved.abandon()


@pytest.mark.parametrize("ended", [False, True])
def test_stop_without_an_answer_is_repeated_only_once_the_stream_has_ended(ended):
    """Guard against a second stop of a run that goes on."""
    handover = Handover()
    handover.handle_reply(Reply.COPIED, "c", stream_ended=False)
    step = handover.handle_reply(Reply.SILENT, "", stream_ended=ended)
    assert step is (Step.STOP_AGAIN if ended else Step.STAYED)
