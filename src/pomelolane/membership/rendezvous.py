"""Rendezvous hashing: VMs with equal views agree on a choice without messages.

When a candidate is removed, only the keys assigned to it are reassigned.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from pomelolane.sentinels import NO_PEER

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.sentinels import Missing


def choose(key: str, candidates: Iterable[str]) -> str | Missing:
    """Return the candidate with the highest hash for a key, NO_PEER for none."""
    return max(candidates, key=lambda name: (weight(key, name), name), default=NO_PEER)


def choose_several(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Return up to ``count`` candidates, highest hash first."""
    ranked = sorted(candidates, key=lambda name: (weight(key, name), name))
    return tuple(reversed(ranked[-count:]))


def weight(key: str, name: str) -> int:
    """Return the hash by which a candidate is ranked for a key."""
    return xxh3_64_intdigest(f"{key}\0{name}".encode())
