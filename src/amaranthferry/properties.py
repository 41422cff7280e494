"""Read settings files that consist of lines of the form key=value."""

from typing import Self

from .exceptions import SettingsError
from .types import Seconds

MILLISECOND: Seconds = 0.001


class Properties:
    """Read typed values of lines of the form key=value, naming the key in every error."""

    def __init__(self, values: dict[str, str], file: str) -> None:
        self._values = values
        self._file = file

    @classmethod
    def from_text(cls, text: str, *, file: str = "") -> Self:
        """Build the properties from a file's text; lines without a value are ignored."""
        lines = (line.partition("=") for line in text.splitlines() if "=" in line)
        return cls({key.strip(): value.strip() for key, _, value in lines}, file)

    def text(self, name: str, default: str | None = None) -> str:
        """Return a value; raise SettingsError if it is missing without a default."""
        value = self._values.get(name, "")
        if value:
            return value
        if default is None:
            raise self._error(name, "is missing")
        return default

    def number(self, name: str, default: float) -> float:
        """Return a number."""
        value = self.text(name, str(default))
        try:
            return float(value)
        except ValueError:
            raise self._error(name, f"is {value!r}, not a number") from None

    def milliseconds(self, name: str, default: float) -> Seconds:
        """Return a time that is given in milliseconds."""
        return self.number(name, default) * MILLISECOND

    def items(self, name: str) -> tuple[str, ...]:
        """Return the items of a list that is joined by commas."""
        return tuple(filter(None, self.text(name, ",").split(",")))

    def endpoint(self, name: str) -> str:
        """Return an address of the form IP:PORT."""
        value = self.text(name)
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdigit():
            raise self._error(name, f"is {value!r}, not IP:PORT")
        return value

    def port_range(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        first, _, last = self.text(name).partition(",")
        if not first.isdigit() or not last.isdigit():
            raise self._error(name, "is not FIRST,LAST")
        return int(first), int(last)

    def _error(self, name: str, problem: str) -> SettingsError:
        return SettingsError(
            f"The field {name} {problem}.",
            remedy="Have the platform set it correctly, and restart the process.",
            file=self._file,
        )
