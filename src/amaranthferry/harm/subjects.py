"""Name what a request has in common with others that may end servers."""

from enum import StrEnum

import msgspec

from ..messages import SubjectId
from ..types import ModelId, PoolId, RefusalReason, RequestDigest, SubjectKind

#: Parts of one prompt that are looked at.
MAX_PROMPT_PARTS = 64
#: Why a request is refused, by the kind of what is held.
HOLD_REASONS = {
    SubjectKind.PART: RefusalReason.HARMFUL_PART,
    SubjectKind.REQUEST: RefusalReason.HARMFUL_REQUEST,
}


class SubjectState(StrEnum):
    """Represent what is believed of a subject."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    HELD = "held"


CLEAR, SUSPECTED, HELD = SubjectState


class Subjects(msgspec.Struct, frozen=True):
    """Describe what of a request may be to blame: shared prompt parts, and all of it."""

    pool: PoolId
    model: ModelId
    parts: tuple[int, ...]
    request: RequestDigest = RequestDigest(0)

    @property
    def hashes(self) -> tuple[int, ...]:
        """Return the hashes of all subjects."""
        return (*self.parts, self.request) if self.request else self.parts

    def part_ids(self, version: str) -> list[SubjectId]:
        """Return the ids of the parts at servers of one version."""
        return [SubjectId(self.pool, self.model, version, part) for part in self.parts]

    def ids(self, version: str) -> list[SubjectId]:
        """Return the ids of all subjects at servers of one version."""
        ids = self.part_ids(version)
        if self.request:
            kind = SubjectKind.REQUEST
            ids.append(SubjectId(self.pool, self.model, version, self.request, kind))
        return ids


def shared_parts(
    prefixes: tuple[int, ...], lengths: tuple[int, ...]
) -> tuple[int, ...]:
    """Return the parts of a prompt that other prompts may share.

    Where the lengths of the parts are known, the last part is the request's own.
    """
    shared = prefixes[:-1] if lengths else prefixes
    return shared[:MAX_PROMPT_PARTS]
