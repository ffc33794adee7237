"""The service and the software version that began a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from pomelolane.model import Endpoint

ORIGIN_HEADER = b"pomelolane-origin"
"""Header between VMs: the origin of a relayed stream."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream.

    Attributes:
        service: Service of its first endpoint.
        version: Software version of that endpoint.
    """

    service: str
    version: str

    def fits(self, endpoint: Endpoint) -> bool:
        """Return whether the stream may go on at an endpoint."""
        return (endpoint.service, endpoint.version) == (self.service, self.version)


def stream_key(organisation: str, first_attempt: str) -> int:
    """Return the key of a stream.

    Args:
        organisation: The caller's organisation. What another one calls by the same id
            is another stream.
        first_attempt: The caller's id of the attempt that brings the first event.
    """
    return xxh3_64_intdigest(f"{organisation}\0{first_attempt}".encode())


def origin_from_endpoint(endpoint: Endpoint) -> StreamOrigin:
    """Return the origin of streams that begin at an endpoint."""
    return StreamOrigin(endpoint.service, endpoint.version)


def encode_origin(origin: StreamOrigin) -> bytes:
    """Return an origin as the value of a header."""
    parts = (origin.service, origin.version)
    return ";".join(quote(part, safe="") for part in parts).encode("ascii")


def origin_from_header(value: bytes) -> StreamOrigin | None:
    """Return the origin that a header names, None if it names none."""
    service, separator, version = value.decode("latin-1").partition(";")
    if not separator:
        return None
    return StreamOrigin(unquote(service), unquote(version))
