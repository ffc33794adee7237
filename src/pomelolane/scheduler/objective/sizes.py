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
    """Learns how long the slots of each work are held.

    Args:
        options: The policy's constants.
    """

    def __init__(self, options: ObjectiveOptions) -> None:
        self._options = options
        self._mean_ms: dict[str, float] = {}

    def wait_factor(self, handle: Handle) -> float:
        """Learn from a request; return how much longer its wait is taken to be."""
        options = self._options
        own_ms = self._nominal_ms(handle)
        mean_ms = self._mean_ms.get(handle.work, own_ms)
        self._mean_ms[handle.work] = mean_ms + options.work_step * (own_ms - mean_ms)
        if own_ms <= options.long_factor * mean_ms or not _may_yield(handle):
            return options.wait_factor
        return options.long_wait_factor

    def _nominal_ms(self, handle: Handle) -> float:
        options = self._options
        prompt_ms = handle.prefill_tokens / options.prefill_per_ms
        answer_ms = handle.decode_tokens * options.token_ms
        return options.first_token_ms + prompt_ms + answer_ms


def _may_yield(handle: Handle) -> bool:
    """Draw half of all requests by their id, alike on every scheduler."""
    return xxhash.xxh32_intdigest(handle.request_id.encode()) % 2 == 0
