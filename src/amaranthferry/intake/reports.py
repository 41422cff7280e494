"""Count events by their cause, and bound the log lines about them."""

from ..types import Seconds

#: Time between two lines about one cause.
LINE_PERIOD: Seconds = 1.0

Key = tuple[str, ...]


class LineLimit:
    """Admit one line in each period for each cause, and count those left out.

    The keys come from the code, never from clients, so there are few.
    """

    def __init__(self) -> None:
        self._logged_at: dict[Key, Seconds] = {}
        self._skipped: dict[Key, int] = {}

    def admit(self, key: Key, now: Seconds) -> int | None:
        """Return how many lines were left out before this one, or None to leave it out."""
        last = self._logged_at.get(key)
        if last is not None and now - last < LINE_PERIOD:
            self._skipped[key] = self._skipped.get(key, 0) + 1
            return None
        self._logged_at[key] = now
        return self._skipped.pop(key, 0)
