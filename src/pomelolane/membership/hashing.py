"""Short content hashes by which a pulse names what it stands for.

They only save bytes: a wrong match would show an outdated peer until its next
change, so 32 bits are enough.
"""

from __future__ import annotations

import msgspec
from xxhash import xxh32_intdigest

from pomelolane.messages import Digest, Heartbeat, encode_message


def hash_of_heartbeat(heartbeat: Heartbeat) -> int:
    """Return the hash of a heartbeat's content, its sequence aside."""
    return _hash(msgspec.structs.replace(heartbeat, sequence=0))


def hash_of_digest(digest: Digest) -> int:
    """Return the hash of a digest's content, its sequence and purpose aside."""
    return _hash(msgspec.structs.replace(digest, sequence=0, reply=False))


def _hash(message: Heartbeat | Digest) -> int:
    return xxh32_intdigest(encode_message(message))
