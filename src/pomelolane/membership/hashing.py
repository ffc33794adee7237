"""Content hashes that pulses carry in place of a full heartbeat or digest.

They only save bandwidth: a collision would leave a peer's state outdated until its
next change, so 32 bits are enough.
"""

from __future__ import annotations

import msgspec
from xxhash import xxh32_intdigest

from pomelolane.messages import Digest, Heartbeat, encode_message


def hash_of_heartbeat(heartbeat: Heartbeat) -> int:
    """Return the hash of a heartbeat's content without its sequence number."""
    return _hash(msgspec.structs.replace(heartbeat, sequence=0))


def hash_of_digest(digest: Digest) -> int:
    """Return the hash of a digest's content without sequence and reply flag."""
    return _hash(msgspec.structs.replace(digest, sequence=0, reply=False))


def _hash(message: Heartbeat | Digest) -> int:
    return xxh32_intdigest(encode_message(message))
