"""What makes two requests the same, whichever VM they come to.

Callers give each attempt an id of its own, so that a repeat is known only by what it
asks for.
"""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 16
"""Enough that no two requests meet by chance; callers cannot search for another one's,
since the organisation is a part of it."""

_LENGTH_BYTES = 8


def fingerprint_from_request(
    organisation: str, method: str, target: bytes, body: bytes
) -> str:
    """Return the hash of what a request asks for, as hexadecimal text.

    Args:
        organisation: Who asks, empty on public routes.
        method: HTTP method.
        target: Path and query.
        body: Whole body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (organisation.encode(), method.encode(), target, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
