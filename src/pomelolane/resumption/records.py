"""Bounded table of the origins of streams, also of streams of other VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import Clock
    from pomelolane.resumption.origin import StreamOrigin

MAX_RECORDS = 20_000
"""About 6 MB. A VM that begins 22 streams a second, and keeps as many records of others
twice over for 15 s, holds a thousand."""


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Where one stream began.

    Attributes:
        origin: What began it.
        expires_ms: Time until which its caller may resume it.
    """

    origin: StreamOrigin
    expires_ms: float


class OriginRecords:
    """Records by the key of their stream.

    Args:
        clock: Source of the current time.
        max_records: Highest number of records; the oldest ones are dropped first.
    """

    def __init__(self, clock: Clock, max_records: int = MAX_RECORDS) -> None:
        self._clock = clock
        self._max_records = max_records
        self._records: dict[int, OriginRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, key: int, origin: StreamOrigin, left_ms: float) -> None:
        """Add a record that is kept for a time; it replaces an earlier one."""
        self._records.pop(key, None)
        self._records[key] = OriginRecord(origin, self._clock.now_ms() + left_ms)
        self._drop_oldest()

    def find(self, key: int) -> OriginRecord | None:
        """Return the record of a stream, None if there is none that still counts."""
        record = self._records.get(key)
        if record is None or self._clock.now_ms() >= record.expires_ms:
            return None
        return record

    def _drop_oldest(self) -> None:
        """Drop the oldest records that have expired or are too many."""
        now_ms = self._clock.now_ms()
        while self._records:
            oldest = next(iter(self._records))
            is_expired = now_ms >= self._records[oldest].expires_ms
            if not is_expired and len(self._records) <= self._max_records:
                return
            del self._records[oldest]
