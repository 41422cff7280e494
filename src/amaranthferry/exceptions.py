"""Define the errors of the package; each formats its message with its remedy."""

import msgspec

from .types import Outcome, RefusalReason, Seconds

#: What decoding bytes from outside this process may raise. Nesting that is too deep and
#: integers with too many digits are no errors of msgspec's own.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)


class AmaranthferryError(Exception):
    """Define the base of the package's errors, with a problem and its remedy."""

    exit_code = 1

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"


class SettingsError(AmaranthferryError):
    """Report an error in a settings file; `line` starts at 1, 0 is the whole file."""

    exit_code = 2

    def __init__(
        self, message: str, *, remedy: str, file: str = "", line: int = 0
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.file = file
        self.line = line

    def __str__(self) -> str:
        return f"{self.place}: {super().__str__()}" if self.file else super().__str__()

    @property
    def place(self) -> str:
        """Return the file and line."""
        return f"{self.file}:{self.line}" if self.line else self.file


class StoreUnavailable(AmaranthferryError):  # noqa: N818
    """Report that the object API did not accept a call; nothing was changed."""

    exit_code = 3


class AnswerLost(AmaranthferryError):  # noqa: N818
    """Report that a write's answer was lost; the write may have taken effect."""

    exit_code = 3


class VersionConflict(AmaranthferryError):  # noqa: N818
    """Report that a conditional update found a version other than the expected one."""

    exit_code = 4


class RequestError(AmaranthferryError):
    """Report a malformed or unauthorized request; nothing was dispatched."""

    def __init__(
        self, message: str, *, remedy: str, status: int = 400, code: str
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.status = status
        self.code = code
        self.outcome = Outcome.NOT_RUN


class Refused(AmaranthferryError):  # noqa: N818
    """Report that a valid request was refused before dispatch."""

    def __init__(
        self, message: str, *, remedy: str, reason: RefusalReason, retry_after: Seconds
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.reason = reason
        self.retry_after = retry_after


class FrameError(AmaranthferryError):
    """Report a peer frame that breaks the protocol."""
