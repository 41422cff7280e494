"""Encode and decode the messages that entry hosts exchange, as msgpack."""

import msgspec

from . import messages, settings_messages
from .exceptions import DECODE_ERRORS, FrameError
from .messages import Message
from .relocation import messages as move_messages
from .rollout import messages as rollout_messages

PeerMessage = (
    messages.PermitRequest
    | messages.PermitGrant
    | messages.PermitQueued
    | messages.PermitRefusal
    | messages.PermitWithdraw
    | messages.PermitProgress
    | messages.PermitRelease
    | messages.Registration
    | messages.UsageElsewhere
    | messages.ShardAdvert
    | messages.CoordinatorLeaving
    | messages.StoreUpdateRequest
    | messages.StoreUpdate
    | messages.ServerNotice
    | messages.LeavingNotice
    | messages.LimitNotice
    | messages.HarmUpdate
    | move_messages.MoveProposal
    | move_messages.MoveReport
    | settings_messages.SettingsVersionRequest
    | settings_messages.SettingsVersionReply
    | settings_messages.SettingsVersionNotice
    | settings_messages.SettingsWatchRequest
    | settings_messages.SettingsRootRequest
    | settings_messages.SettingsRoot
    | settings_messages.SettingsChunkRequest
    | settings_messages.SettingsChunk
    | rollout_messages.RolloutReport
    | rollout_messages.RolloutStep
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: Message) -> bytes:
    """Return the message as msgpack; raise FrameError when a value can't be encoded."""
    try:
        return _encoder.encode(message)
    except (OverflowError, TypeError) as exc:
        raise FrameError(
            f"A {type(message).__name__} can't be sent: {exc}.",
            remedy="Bound the numbers of a request where it is accepted.",
        ) from exc


def decode(data: bytes) -> Message:
    """Return the message in `data`; raise FrameError when it can't be decoded."""
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as exc:
        raise FrameError(
            f"A peer sent a message that can't be read: {exc}.",
            remedy="Run the same release on every entry host.",
        ) from exc
