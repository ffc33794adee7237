"""Frame envelope with the sender's incarnation and a sequence number.

A receiver uses it to reject frames from an earlier start of a VM and replayed frames.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import msgspec

from pomelolane.exceptions import TransportError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Clock

SENDER_TIMEOUT_MS = 60_000
"""Silence after which a sender's incarnation and sequence number are dropped.

Otherwise a VM that is replaced on a machine whose wall clock is behind would be
rejected for ever. CURVE prevents the replay of a recorded connection by itself.
"""

_Natural = Annotated[int, msgspec.Meta(ge=0)]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Content of one frame on the wire.

    Attributes:
        incarnation: Number of the sender's start.
        sequence: Incremented with each envelope to the same receiver.
        messages: Encoded messages.
    """

    incarnation: _Natural
    sequence: _Natural
    messages: tuple[msgspec.Raw, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(
    incarnation: int, sequence: int, messages: Sequence[bytes]
) -> bytes:
    """Encode already encoded messages into one frame."""
    raw = tuple(msgspec.Raw(message) for message in messages)
    return _encoder.encode(Envelope(incarnation, sequence, raw))


def decode_envelope(data: bytes) -> Envelope:
    """Decode a frame.

    Raises:
        TransportError: The bytes are not a valid envelope.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise TransportError(f"undecodable envelope: {error}") from error


@dataclass(slots=True)
class _Sender:
    incarnation: int
    sequence: int
    heard_ms: float


class ReplayGuard:
    """Accepts each envelope of a sender's latest start only once.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._senders: dict[str, _Sender] = {}

    def admit(self, vm_id: str, envelope: Envelope) -> None:
        """Check and record an envelope.

        Raises:
            TransportError: It is from an earlier start, or its sequence number is
                not higher than the last one.
        """
        now_ms = self._clock.now_ms()
        known = self._senders.get(vm_id)
        if known is not None and now_ms - known.heard_ms < SENDER_TIMEOUT_MS:
            _check_newer(known, envelope)
        self._senders[vm_id] = _Sender(envelope.incarnation, envelope.sequence, now_ms)

    def forget_silent(self) -> None:
        """Drop the records of senders silent for :data:`SENDER_TIMEOUT_MS`."""
        limit_ms = self._clock.now_ms() - SENDER_TIMEOUT_MS
        silent = [
            vm_id for vm_id, known in self._senders.items() if known.heard_ms < limit_ms
        ]
        for vm_id in silent:
            del self._senders[vm_id]


def _check_newer(known: _Sender, envelope: Envelope) -> None:
    if envelope.incarnation < known.incarnation:
        raise TransportError("message of an earlier start")
    same_start = envelope.incarnation == known.incarnation
    if same_start and envelope.sequence <= known.sequence:
        raise TransportError("message repeated")
