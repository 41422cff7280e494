"""Split a stream of server-sent events and track the last event id."""

_EVENT_END = b"\n\n"
_ID = b"id:"


class EventReader:
    """Read an event stream, withholding partial events if `complete_only`."""

    def __init__(self, *, complete_only: bool) -> None:
        self._complete_only = complete_only
        self._buffer = b""
        self.last_event_id = ""

    @property
    def partial(self) -> bytes:
        """Return the bytes of a withheld partial event."""
        return self._buffer if self._complete_only else b""

    @property
    def partial_size(self) -> int:
        """Return the number of bytes received since the end of the last event."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> bytes:
        """Process bytes and return those that may be relayed."""
        data = self._buffer + chunk
        end = data.rfind(_EVENT_END)
        cut = 0 if end < 0 else end + len(_EVENT_END)
        self._record_last_id(data[:cut])
        self._buffer = data[cut:]
        return data[:cut] if self._complete_only else chunk

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(_ID):
                self.last_event_id = line[len(_ID) :].strip().decode("latin-1")
                return
