"""Cut a stream of server-sent events into events, and know the last id."""

_END = b"\n\n"
_ID = b"id:"


class EventReader:
    """Pass bytes on; with `whole_only` hold back an event that is not complete."""

    def __init__(self, *, whole_only: bool) -> None:
        self._whole_only = whole_only
        self._buffer = b""
        self.last_event = ""

    @property
    def partial(self) -> bytes:
        """Return what is held back."""
        return self._buffer if self._whole_only else b""

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes, and return those that may be passed on."""
        data = self._buffer + chunk
        end = data.rfind(_END)
        cut = 0 if end < 0 else end + len(_END)
        self._note_ids(data[:cut])
        self._buffer = data[cut:]
        return data[:cut] if self._whole_only else chunk

    def _note_ids(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(_ID):
                self.last_event = line[len(_ID) :].strip().decode("latin-1")
                return
