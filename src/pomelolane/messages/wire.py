"""Encoding and decoding of messages as MessagePack, by msgspec.

Bytes that are not a known message raise a :class:`TransportError`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import TransportError
from pomelolane.messages.claims import (
    ClaimBatch,
    ClaimResults,
    KeyAnswer,
    KeyQuery,
)
from pomelolane.messages.declarations import (
    BranchContent,
    BranchWanted,
    ChangesWanted,
    EndpointLeaving,
    WatchedChanges,
)
from pomelolane.messages.membership import (
    Digest,
    DigestPulse,
    DigestWanted,
    Heartbeat,
    HeartbeatWanted,
    Pulse,
)
from pomelolane.messages.quarantine import CrashesReported
from pomelolane.messages.resumption import (
    OriginTold,
    OriginWanted,
    StreamBegun,
    VersionsListed,
)
from pomelolane.messages.scheduling import (
    EstimatesShared,
    Granted,
    LimitsHeard,
    NotScheduler,
    Progress,
    Refused,
    ReservationsHeld,
    Submit,
    SubmitAck,
    Sync,
    SyncAck,
    Unfollow,
    UsesTold,
    Withdraw,
)

if TYPE_CHECKING:
    from pomelolane.messages.base import Message

AnyMessage = (
    WatchedChanges
    | ChangesWanted
    | UsesTold
    | Submit
    | SubmitAck
    | NotScheduler
    | Granted
    | Refused
    | Progress
    | Withdraw
    | Sync
    | SyncAck
    | Unfollow
    | LimitsHeard
    | ReservationsHeld
    | EstimatesShared
    | Heartbeat
    | Pulse
    | HeartbeatWanted
    | Digest
    | DigestPulse
    | DigestWanted
    | BranchWanted
    | BranchContent
    | EndpointLeaving
    | CrashesReported
    | StreamBegun
    | OriginWanted
    | OriginTold
    | VersionsListed
    | KeyQuery
    | KeyAnswer
    | ClaimBatch
    | ClaimResults
)

SENT_ALONE = (
    ChangesWanted,
    EstimatesShared,
    ReservationsHeld,
    StreamBegun,
    OriginWanted,
    OriginTold,
    VersionsListed,
)
"""Kinds that VMs of version 0.1.0 do not know. Those reject a whole frame if they do
not know one of its messages, so these are sent in frames of their own."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: Message) -> bytes:
    """Encode a message for the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> AnyMessage:
    """Decode and validate a message.

    Raises:
        TransportError: The bytes are not a known message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise TransportError(f"undecodable message: {error}") from error


__all__ = ["SENT_ALONE", "AnyMessage", "decode_message", "encode_message"]
