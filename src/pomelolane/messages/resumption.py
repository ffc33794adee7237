"""Messages by which VMs tell each other where streams began."""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class StreamBegun(Message, frozen=True):
    """A VM is about to send the first events of a stream; keep its record.

    Attributes:
        key: Hash of the caller's organisation and of the first attempt's id.
        left_ms: Time for which the caller may resume the stream.
        service: Service of the endpoint that began it.
        version: Software version of that endpoint.
    """

    key: int
    left_ms: int
    service: str
    version: str


class OriginWanted(Message, frozen=True):
    """A caller resumes a stream that the sender does not know.

    Attributes:
        number: Number of the question, which the answer repeats.
        key: Key of the stream.
    """

    number: int
    key: int


class OriginTold(Message, frozen=True):
    """Answer to :class:`OriginWanted`.

    Attributes:
        number: Copied from the question.
        service: Service that began the stream, empty if it is not known.
        version: Version that began it, None if it is not known.
    """

    number: int
    service: str = ""
    version: str | None = None


class ServiceVersions(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the endpoints of one service.

    Attributes:
        service: The service.
        versions: Each version with the time since it was last listed, in milliseconds,
            0 if it still is.
    """

    service: str
    versions: tuple[tuple[str, int], ...]


class VersionsListed(Message, frozen=True):
    """To a VM that has started: which versions were listed before.

    Attributes:
        known_ms: Time for which the sender has known the list.
        services: What it has seen in that time.
    """

    known_ms: int
    services: tuple[ServiceVersions, ...]


__all__ = [
    "OriginTold",
    "OriginWanted",
    "ServiceVersions",
    "StreamBegun",
    "VersionsListed",
]
