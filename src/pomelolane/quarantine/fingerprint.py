"""What makes two requests the same, whichever VM they come to.

Callers give each attempt an id of its own, so that a repeat is known only by what it
asks for.
"""

from __future__ import annotations

import functools
import hashlib

_DIGEST_BYTES = 16
"""Enough that no two requests meet by chance; callers cannot search for another one's,
since the organisation is a part of it."""

_LENGTH_BYTES = 8

_PART_PREFIX = "part-"

_MOST_PROMPTS_KEPT = 1_024


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
    return _hash(organisation.encode(), method.encode(), target, body)


@functools.lru_cache(maxsize=_MOST_PROMPTS_KEPT)
def fingerprints_from_parts(service: str, part_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names of the parts of a prompt, each once."""
    names = [fingerprint_from_part(service, part_id) for part_id in part_ids]
    return tuple(dict.fromkeys(names))


def fingerprint_from_part(service: str, part_id: str) -> str:
    """Return the name of a part of prompts, which no request has as its fingerprint.

    Args:
        service: The service whose endpoints read it.
        part_id: Names the part's content.
    """
    return _PART_PREFIX + _hash(service.encode(), part_id.encode())


def is_part(fingerprint: str) -> bool:
    """Tell the fingerprint of a part from that of a request."""
    return fingerprint.startswith(_PART_PREFIX)


def _hash(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
