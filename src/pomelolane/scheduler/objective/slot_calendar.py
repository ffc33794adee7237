"""Calendar of the slot time that is reserved in the near future, by tier rank."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

BIN_MS = 100.0
"""Length of a bin. Callers return within some tens of milliseconds of the time that
they are given, so that shorter bins would not be kept apart."""

HORIZON_MS = 5_000.0
"""How far ahead slot time is reserved: the longest retry delay in refusals."""

_BINS = 128
"""Bins of the ring: the horizon, plus the overflow of long requests."""

_HORIZON_BINS = int(HORIZON_MS / BIN_MS)

_OVERFLOW_BINS = 70
"""Bins over which one request's slot time is spread at most."""

_MIN_FREE_MS = 1.0
"""Free slot time below which a bin is full. Without it, a rounding error left a bin
almost full, and hundreds of retry times were at its end."""

_MIN_FREE_SHARE = 0.05
"""Lower bound on the share of the slots that is not reserved. Waits are then twenty
times as long, which exceeds every objective."""

CalendarEntry = tuple[tuple[int, float], ...]
"""Slot time in ms by number of the bin."""


class SlotCalendar:
    """Slot time reserved in bins of 100 ms.

    Each rank has a row with what it and the more urgent ranks have reserved, so that
    less urgent ranks never keep a more urgent one from reserving.
    """

    def __init__(self) -> None:
        self._rows: dict[int, list[float]] = {}
        self._entries: Counter[int] = Counter()
        # Progress of a wait up to the end of each bin, by rank and slots. Many waits
        # are predicted at the same time.
        self._progress: dict[tuple[int, float], list[float]] = {}
        self._progress_at_ms = 0.0
        self._first = 0

    def advance(self, now_ms: float) -> None:
        """Clear the bins that have passed."""
        first = int(now_ms // BIN_MS)
        passed = range(max(self._first, first - _BINS), first)
        for row in self._rows.values():
            for index in passed:
                row[index % _BINS] = 0.0
        self._first = max(self._first, first)

    def clear(self) -> None:
        """Remove all entries."""
        self._rows.clear()
        self._entries.clear()
        self._progress.clear()

    def free_from(
        self, rank: int, earliest_ms: float, latest_ms: float, slots: float
    ) -> float | None:
        """Return the first time in a bin that is not full, None without one.

        Within a bin, the time is in proportion to what is reserved there, so that
        consecutive reservations are spread evenly.

        Args:
            rank: Rank for which slot time is needed.
            earliest_ms: Begin of the search.
            latest_ms: End of the search.
            slots: Number of slots that may be reserved.
        """
        if slots <= 0:
            return None
        row = self._row_up_to(rank)
        full_ms = slots * BIN_MS
        for index in range(int(earliest_ms // BIN_MS), int(latest_ms // BIN_MS) + 1):
            reserved_ms = row[index % _BINS] if row else 0.0
            if full_ms - reserved_ms < _MIN_FREE_MS:
                continue
            at_ms = max(earliest_ms, (index + reserved_ms / full_ms) * BIN_MS)
            if at_ms < (index + 1) * BIN_MS:
                return at_ms if at_ms <= latest_ms else None
        return None

    def add(
        self, rank: int, at_ms: float, slot_ms: float, slots: float
    ) -> CalendarEntry:
        """Reserve slot time from a time on, in that bin and the following ones.

        Slot time that finds no free bin near enough is not recorded.
        """
        row = self._ensure_row(rank)
        self._entries[rank] += 1
        first = int(at_ms // BIN_MS)
        if slots <= 0:
            return self._fill(rank, [(first, slot_ms)])
        parts: list[tuple[int, float]] = []
        left_ms = slot_ms
        for index in range(first, first + _OVERFLOW_BINS):
            free_ms = slots * BIN_MS - row[index % _BINS]
            if free_ms >= _MIN_FREE_MS:
                parts.append((index, min(left_ms, free_ms)))
                left_ms -= free_ms
            if left_ms <= 0:
                break
        return self._fill(rank, parts)

    def remove(self, rank: int, entry: CalendarEntry) -> None:
        """Release what an entry still reserves."""
        self._fill(rank, [(index, -slot_ms) for index, slot_ms in entry])
        self._entries[rank] -= 1
        if not self._entries[rank]:
            del self._entries[rank], self._rows[rank]

    def delayed_ms(
        self, rank: int, wait_ms: float, slots: float, now_ms: float
    ) -> float:
        """Return a predicted wait, extended by what is reserved meanwhile.

        Args:
            rank: Rank of the waiting request.
            wait_ms: Its predicted wait without reservations.
            slots: Number of slots that more urgent ranks leave.
            now_ms: Current time.
        """
        row = self._row_up_to(rank)
        if not row:
            return wait_ms
        first = int(now_ms // BIN_MS)
        if now_ms != self._progress_at_ms:
            self._progress.clear()
            self._progress_at_ms = now_ms
        done_ms = self._progress.setdefault((rank, slots), [])
        while len(done_ms) < _HORIZON_BINS and not (done_ms and done_ms[-1] >= wait_ms):
            index = first + len(done_ms)
            length_ms = (index + 1) * BIN_MS - max(now_ms, index * BIN_MS)
            before_ms = done_ms[-1] if done_ms else 0.0
            free = _free_share(row[index % _BINS], slots)
            done_ms.append(before_ms + length_ms * free)
        place = bisect_left(done_ms, wait_ms)
        at_ms = max(now_ms, (first + place) * BIN_MS)
        left_ms = wait_ms - (done_ms[place - 1] if place else 0.0)
        if place < len(done_ms):
            left_ms /= _free_share(row[(first + place) % _BINS], slots)
        return at_ms + left_ms - now_ms

    def _fill(self, rank: int, parts: list[tuple[int, float]]) -> CalendarEntry:
        self._progress.clear()
        kept = tuple(part for part in parts if part[0] >= self._first)
        for other, row in self._rows.items():
            if other >= rank:
                for index, slot_ms in kept:
                    place = index % _BINS
                    row[place] = max(0.0, row[place] + slot_ms)
        return kept

    def _row_up_to(self, rank: int) -> list[float]:
        """Return what a rank and the more urgent ones have reserved, [] for nothing."""
        row = self._rows.get(rank)
        if row is not None:
            return row
        nearest = max((other for other in self._rows if other < rank), default=None)
        return [] if nearest is None else self._rows[nearest]

    def _ensure_row(self, rank: int) -> list[float]:
        if rank not in self._rows:
            self._rows[rank] = list(self._row_up_to(rank)) or [0.0] * _BINS
        return self._rows[rank]


def _free_share(reserved_ms: float, slots: float) -> float:
    """Return the share of a bin's slot time that is not reserved."""
    return max(_MIN_FREE_SHARE, 1.0 - reserved_ms / (slots * BIN_MS))
