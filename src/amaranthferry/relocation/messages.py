"""Define the messages about moves of running requests between engines."""

from enum import StrEnum

from ..messages import Message
from ..types import RequestId, Seconds, ServerId, ShardId


class MoveOutcome(StrEnum):
    """Represent how a proposed move ended."""

    #: The run goes on at the target.
    MOVED = "moved"
    #: The host doesn't begin the move.
    DECLINED = "declined"
    #: The run has never stopped at its source.
    STAYED = "stayed"
    #: The run has stopped, and goes on at its source.
    RETURNED = "returned"
    #: The run has stopped and goes on at neither engine.
    BROKEN = "broken"


class MoveProposal(Message, frozen=True, tag="move"):
    """Propose to the host of a running request that it goes on at another engine.

    `patience` is the time in which the first copy of its memory should be complete.
    """

    request_id: RequestId
    shard: ShardId
    source: ServerId
    target: ServerId
    patience: Seconds


class MoveReport(Message, frozen=True, tag="move_end"):
    """Report how a proposed move ended, and the server that has the run now."""

    request_id: RequestId
    shard: ShardId
    server: ServerId
    target: ServerId
    outcome: MoveOutcome
