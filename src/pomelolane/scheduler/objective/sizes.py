"""Which requests yield under overload for holding a slot much longer than most.

A few long answers take most of the slot time of their work, so that refusing one
of them early serves several others. Half of them never yield: each size has to be
served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.options import ObjectiveOptions


class Sizes:
    """Learns how long the slots of each work are held, and who is refused.

    Args:
        options: The policy's constants.
    """

    def __init__(self, options: ObjectiveOptions) -> None:
        self._options = options
        self._mean_ms: dict[str, float] = {}
        self._pressure: dict[int, float] = {}

    def yields(self, handle: Handle) -> bool:
        """Learn from a request; tell whether it yields while others are refused."""
        options = self._options
        own_ms = self._nominal_ms(handle)
        mean_ms = self._mean_ms.get(handle.work, own_ms)
        self._mean_ms[handle.work] = mean_ms + options.work_step * (own_ms - mean_ms)
        return own_ms > options.long_factor * mean_ms and _may_yield(handle)

    def is_pressed(self, rank: int) -> bool:
        """Tell whether so many of a rank are refused that long answers yield."""
        return self._pressure.get(rank, 0.0) > self._options.yield_pressure

    def note(self, rank: int, *, refused: bool) -> None:
        """Count a request of a rank that does not yield."""
        before = self._pressure.get(rank, 0.0)
        step = self._options.pressure_step
        self._pressure[rank] = before + step * (float(refused) - before)

    def _nominal_ms(self, handle: Handle) -> float:
        options = self._options
        prompt_ms = handle.prefill_tokens / options.prefill_per_ms
        answer_ms = handle.decode_tokens * options.token_ms
        return options.first_token_ms + prompt_ms + answer_ms


def _may_yield(handle: Handle) -> bool:
    """Draw half of all requests by their id, alike on every scheduler."""
    return xxhash.xxh32_intdigest(handle.request_id.encode()) % 2 == 0
