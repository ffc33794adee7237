"""Token bucket whose level results from replaying all known uses by their time."""

from __future__ import annotations

from itertools import chain
from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pomelolane.model import Limits
    from pomelolane.scheduler.rate_limiting import TokenUse

_FOLD_PERIOD_MS = 1_000.0
_REPORT_STEP_MS = 250.0
_MIN_SHARE = 0.001
"""Least share of a limit that is applied; without any, no retry time can be given."""

_REPLAYED_PART = 0.75
"""Part of the window whose uses are replayed. Older ones are folded into the level
before they expire at the scheduler that reports them, as its next full report omits
them then."""


class _Use(NamedTuple):
    """Tokens used at a time, as a part of the burst."""

    at_ms: float
    part: float


def _rate_and_burst(limits: Limits) -> tuple[float, float]:
    return limits.tokens_per_s, limits.burst_tokens


class ReplayedBucket:
    """Token bucket whose level results from replaying all known uses by their time.

    Levels and uses are stored as parts of the burst, so that a changed share of the
    limit scales the level. Uses older than the replayed span are folded into a base.
    """

    def __init__(self) -> None:
        self.burst_tokens = 1.0
        self.tokens_per_ms = 1.0
        self._bound_tokens = 1.0
        self._span_ms = 0.0
        self._base = _Use(-inf, 0.0)
        self._folded_ms = -inf
        self._next_fold_ms = -inf
        self._passed: dict[str, _Use] = {}
        self._reported: dict[tuple[str, str], list[_Use]] = {}
        self._limits: Limits | None = None
        # Level after all known uses; None if they have to be replayed.
        self._current: _Use | None = None
        # Latest pass, and the levels before and after it.
        self._undo: tuple[str, _Use | None, _Use] | None = None

    def configure(self, limits: Limits, share: float, now_ms: float) -> None:
        """Apply a limit, of which a share may be used.

        Uses are parts of the burst and are replayed at the current rate, so those
        before a change of the limit are folded into the level at the change.
        """
        share = max(share, _MIN_SHARE)
        old = self._limits
        if old is not None and _rate_and_burst(old) != _rate_and_burst(limits):
            part = self._part_at(now_ms) * old.burst_tokens / limits.burst_tokens
            self._base = _Use(now_ms, min(1.0, part))
            self._folded_ms = now_ms
            self._passed.clear()
            self._reported.clear()
        self._limits = limits
        self.burst_tokens = limits.burst_tokens * share
        self.tokens_per_ms = limits.tokens_per_s * share / 1000.0
        self._bound_tokens = self.tokens_per_ms * limits.window_ms + self.burst_tokens
        steps = limits.window_ms * _REPLAYED_PART // _REPORT_STEP_MS
        # Reported ages are rounded down to whole steps. Half a step more makes the
        # errors at the boundary cancel out over successive reports.
        self._span_ms = (steps + 0.5) * _REPORT_STEP_MS
        self._current = None

    def level(self, now_ms: float) -> float:
        """Return the tokens in the bucket."""
        return self._part_at(now_ms) * self.burst_tokens

    def _part_at(self, now_ms: float) -> float:
        if now_ms >= self._next_fold_ms:
            self._fold(now_ms)
        if self._current is None:
            uses = sorted(chain(self._passed.values(), *self._reported.values()))
            self._current = self._apply(uses)
        return self._refilled(self._current, now_ms)

    def record_pass(self, request_id: str, tokens: float, now_ms: float) -> None:
        """Deduct the tokens of a request that passes now."""
        level = self._part_at(now_ms)
        before = self._current
        part = tokens / self.burst_tokens
        known = self._passed.pop(request_id, None)
        known_part = known.part if known is not None else 0.0
        self._passed[request_id] = _Use(now_ms, known_part + part)
        self._current = _Use(now_ms, level - part)
        undo = request_id, before, self._current
        self._undo = undo if known is None else None

    def refund(self, request_id: str) -> None:
        """Undo a pass, unless it is already folded into the base."""
        if self._passed.pop(request_id, None) is None:
            return
        before = None
        if self._undo is not None:
            latest_id, level_before, level_after = self._undo
            # Nothing was deducted since if the level is still that of this pass.
            if latest_id == request_id and self._current is level_after:
                before = level_before
        self._current = before

    def add_reported(
        self, use: TokenUse, source: tuple[str, str], at_ms: float
    ) -> None:
        """Add a use, scaled down if the limit is larger where it was granted."""
        if at_ms <= self._folded_ms:
            return
        scale = min(1.0, self._bound_tokens / use.bound) if use.bound > 0 else 1.0
        added = _Use(at_ms, use.tokens * scale / self.burst_tokens)
        self._reported.setdefault(source, []).append(added)
        current = self._current
        if current is not None and at_ms >= current.at_ms:
            self._current = _Use(at_ms, self._refilled(current, at_ms) - added.part)
        else:
            self._current = None

    def drop_reported(self, source: tuple[str, str] | None, now_ms: float) -> None:
        """Remove the recent uses of a source, of all sources without one."""
        if now_ms >= self._next_fold_ms:
            self._fold(now_ms)
        sources = list(self._reported) if source is None else [source]
        for one in sources:
            if self._reported.pop(one, None):
                self._current = None

    def _refilled(self, level: _Use, at_ms: float) -> float:
        elapsed_ms = at_ms - level.at_ms
        return min(
            1.0, level.part + elapsed_ms * self.tokens_per_ms / self.burst_tokens
        )

    def _apply(self, uses: list[_Use]) -> _Use:
        """Return the level after uses that are sorted by time."""
        level_at_ms, level = self._base
        per_ms = self.tokens_per_ms / self.burst_tokens
        for at_ms, part in uses:
            level = min(1.0, level + (at_ms - level_at_ms) * per_ms) - part
            level_at_ms = at_ms
        return _Use(level_at_ms, level)

    def _fold(self, now_ms: float) -> None:
        """Fold the uses before the replayed span into the base."""
        self._next_fold_ms = now_ms + _FOLD_PERIOD_MS
        until_ms = now_ms - self._span_ms
        uses = chain(self._passed.values(), *self._reported.values())
        old = sorted(use for use in uses if use.at_ms <= until_ms)
        if not old:
            return
        self._base = self._apply(old)
        self._folded_ms = until_ms
        self._passed = {
            name: use for name, use in self._passed.items() if use.at_ms > until_ms
        }
        recent = {
            source: [use for use in uses if use.at_ms > until_ms]
            for source, uses in self._reported.items()
        }
        self._reported = {source: uses for source, uses in recent.items() if uses}
        self._current = None
