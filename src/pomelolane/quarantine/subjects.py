"""What can be to blame for crashes of endpoints under a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

TRUSTED_MS = 20_000.0
"""How long a part is taken for sound after an answer. Parts that many requests share
are answered all the time; one that endpoints can't bear any more is found out then."""

MOST_TRUSTED = 20_000
"""Parts that are kept, about 3 MB; the one that was answered longest ago makes way."""


@dataclass(frozen=True, slots=True)
class Subjects:
    """All that a request may be blamed by.

    Attributes:
        request: Fingerprint of the request itself.
        parts: Fingerprints of the parts that its prompt may share with others.
    """

    request: str
    parts: tuple[str, ...] = ()

    def __iter__(self) -> Iterator[str]:
        yield self.request
        yield from self.parts


class TrustedParts:
    """Parts of prompts on which whole answers came lately; time is passed in."""

    def __init__(self) -> None:
        self._answered_ms: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._answered_ms)

    def note(self, part: str, now_ms: float) -> None:
        """Take note of a whole answer on a part."""
        known = self._answered_ms
        known.pop(part, None)
        known[part] = now_ms
        while known:
            oldest = next(iter(known))
            is_young = now_ms - known[oldest] < TRUSTED_MS
            if is_young and len(known) <= MOST_TRUSTED:
                return
            del known[oldest]

    def has(self, part: str, now_ms: float) -> bool:
        """Tell whether a part was answered lately; False for all other names."""
        answered_ms = self._answered_ms.get(part)
        return answered_ms is not None and now_ms - answered_ms < TRUSTED_MS
