"""Split a stream of server-sent events and track the last event id."""

import re

_EVENT_END = b"\n\n"
#: Two line ends of any kind; atomic, so that CRLF isn't matched as two of them.
_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r){2}")
_ID = b"id:"
_COMMENT = b":"


class UnprovenEvent(Exception):  # noqa: N818
    """Report an event that doesn't show that it follows the last one; internal."""


class ResumedRun:
    """Cut the events of a resumed run to those after the last one that was sent."""

    def __init__(self, last_event_id: str) -> None:
        self._last_id = last_event_id
        self._continues = False

    def cut(self, events: bytes) -> bytes:
        """Return the events that follow; raise UnprovenEvent for one without an id."""
        if self._continues:
            return events
        start = 0
        for match in _BLANK_LINE.finditer(events):
            event = events[start : match.end()]
            if _has_field(event) and self._follows(event):
                self._continues = True
                return events[start:]
            start = match.end()
        return b""

    def _follows(self, event: bytes) -> bool:
        event_id = _last_id(event)
        if event_id is None:
            raise UnprovenEvent
        if self._last_id.isdigit() and event_id.isdigit():
            return int(event_id) > int(self._last_id)
        return event_id != self._last_id


class EventReader:
    """Read an event stream, withholding partial events if `complete_only`."""

    def __init__(self, *, complete_only: bool) -> None:
        self._complete_only = complete_only
        self._buffer = b""
        self.last_event_id = ""
        #: Whether the last bytes completed an event, not only comments.
        self.has_event = False
        #: Whether any bytes so far did.
        self.has_had_event = False

    @property
    def partial_size(self) -> int:
        """Return the number of bytes received since the end of the last event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes since the last event begin another one."""
        lines = self._buffer.splitlines(keepends=True)
        return any(
            not line.endswith((b"\n", b"\r"))
            or bool(line.strip() and not line.startswith(_COMMENT))
            for line in lines
        )

    def feed(self, chunk: bytes) -> bytes:
        """Process bytes and return those that may be relayed."""
        data = self._buffer + chunk if self._buffer else chunk
        cut = _end_of_events(data)
        events = data[:cut]
        self.has_event = _has_field(events)
        self.has_had_event |= self.has_event
        self._record_last_id(events)
        self._buffer = data[cut:]
        return events if self._complete_only else chunk

    def finish(self) -> bytes:
        """Return the withheld bytes after the last event of a complete stream."""
        return self._buffer if self._complete_only else b""

    def _record_last_id(self, events: bytes) -> None:
        event_id = _last_id(events)
        if event_id is not None:
            self.last_event_id = event_id


def _last_id(events: bytes) -> str | None:
    """Return the last id that events name, or None."""
    if _ID not in events:
        return None
    for line in reversed(events.splitlines()):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None


def _has_field(events: bytes) -> bool:
    """Return whether events have a line that is no comment."""
    lines = events.splitlines()
    return any(line and not line.startswith(_COMMENT) for line in lines)


def _end_of_events(data: bytes) -> int:
    """Return the index after the last blank line, or 0."""
    if b"\r" not in data:
        end = data.rfind(_EVENT_END)
        return 0 if end < 0 else end + len(_EVENT_END)
    return max((match.end() for match in _BLANK_LINE.finditer(data)), default=0)
