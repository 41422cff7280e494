"""Decide each step of one move by how the calls of the step before have ended.

At any time at most one of the two engines has the run: the source until it has stopped,
and then whichever accepts the copy's handle, which can be used only once.
"""

from enum import Enum


class Reply(Enum):
    """Represent how the source answered a call that copies the run."""

    COPIED = "copied"
    NOT_FOUND = "not_found"
    BUSY = "busy"
    NO_ROOM = "no_room"
    #: No answer, or none that can be read; the call may have been carried out.
    SILENT = "silent"


class Step(Enum):
    """Represent what the host does next."""

    COPY = "copy"
    STOP = "stop"
    STOP_AGAIN = "stop_again"
    RESUME_AT_TARGET = "resume_at_target"
    RESUME_AT_SOURCE = "resume_at_source"
    STAYED = "stayed"
    MOVED = "moved"
    RETURNED = "returned"
    BROKEN = "broken"


#: Steps after which a move is over.
FINAL_STEPS = frozenset({Step.STAYED, Step.MOVED, Step.RETURNED, Step.BROKEN})
#: Steps in which the source has stopped the run, and no other engine has it yet.
STOPPED_STEPS = frozenset({Step.RESUME_AT_TARGET, Step.RESUME_AT_SOURCE})
_CALLS = frozenset({Step.COPY, Step.STOP, Step.STOP_AGAIN})


class Handover:
    """Track one move; the run is known to have stopped only by a handle."""

    def __init__(self) -> None:
        self.step = Step.COPY
        #: The handle of the copy that no run has used yet.
        self.handle = ""

    @property
    def is_final(self) -> bool:
        """Return whether nothing is left to do but to free the copy."""
        return self.step in FINAL_STEPS

    @property
    def is_calling(self) -> bool:
        """Return whether a call to the source is the current step."""
        return self.step in _CALLS

    @property
    def may_have_stopped(self) -> bool:
        """Return whether the source may have stopped the run."""
        return self.step in (Step.STOP, Step.STOP_AGAIN) or self.step in STOPPED_STEPS

    def handle_reply(self, reply: Reply, handle: str, *, stream_ended: bool) -> Step:
        """Choose the next step after a call to the source."""
        self.handle = handle or self.handle
        if self.step is Step.COPY:
            copied = reply is Reply.COPIED and bool(handle)
            self.step = Step.STOP if copied else Step.STAYED
        elif reply is Reply.COPIED and handle:
            self.step = Step.RESUME_AT_TARGET
        elif reply is Reply.NO_ROOM and handle:
            self.step = Step.RESUME_AT_SOURCE
        elif reply is Reply.SILENT and stream_ended and self.step is Step.STOP:
            # The answer with the handle may be all that was lost.
            self.step = Step.STOP_AGAIN
        else:
            self.step = Step.STAYED
        return self.step

    def handle_resumption(self, *, accepted: bool) -> Step:
        """Choose the next step after an engine was asked to go on with the run."""
        if accepted:
            self.handle = ""
            moved = self.step is Step.RESUME_AT_TARGET
            self.step = Step.MOVED if moved else Step.RETURNED
        elif self.step is Step.RESUME_AT_TARGET:
            self.step = Step.RESUME_AT_SOURCE
        else:
            self.step = Step.BROKEN
        return self.step

    def abandon(self) -> str:
        """End the move, as the request has ended; return the handle to be freed."""
        if not self.is_final:
            self.step = Step.BROKEN if self.step in STOPPED_STEPS else Step.STAYED
        return self.take_handle()

    def take_handle(self) -> str:
        """Return the handle that is to be freed, once."""
        handle, self.handle = self.handle, ""
        return handle
