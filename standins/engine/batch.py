"""Continuous batching: when each request is admitted and gets its tokens.

A pure model; time is passed in and nothing here sleeps or does I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from standins.engine.prompts import BLOCK_TOKENS

if TYPE_CHECKING:
    from standins.engine.cache import BlockCache
    from standins.engine.prompts import Prompt

MS_PER_S = 1000.0
STEP_GROWTH_PER_STREAM = 0.03


class SequenceState(StrEnum):
    """How far a request has come."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(slots=True, eq=False)
class Sequence:
    """A request in the batch or in front of it.

    Attributes:
        prompt: What has to be prefilled.
        output_tokens: How long its answer becomes.
        state: How far it has come.
        cached_tokens: Prompt tokens that the cache saved.
        generated: Answer tokens so far.
        started_at_ms: When its prefill began.
    """

    prompt: Prompt
    output_tokens: int
    state: SequenceState = SequenceState.WAITING
    cached_tokens: int = 0
    generated: int = 0
    started_at_ms: float | None = None

    @property
    def private_tokens(self) -> int:
        """Memory that it shares with nobody."""
        return self.prompt.tail_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Speeds:
    """How fast the hardware is.

    Attributes:
        slots: Requests in the batch at one time.
        prefill_tokens_per_s: Prompt speed, one request at a time.
        decode_tokens_per_s: Answer speed of a request that is alone.
    """

    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@dataclass(slots=True)
class Tally:
    """Work done.

    Attributes:
        prefilled_tokens: Prompt tokens computed.
        generated_tokens: Answer tokens computed.
    """

    prefilled_tokens: int = 0
    generated_tokens: int = 0


class Batch:
    """Admits requests in arrival order and generates their tokens."""

    def __init__(self, speeds: Speeds, cache: BlockCache, tally: Tally) -> None:
        self._speeds = speeds
        self._tally = tally
        self._cache = cache
        self._slowdown = 1.0
        self._waiting: deque[Sequence] = deque()
        self._admitted: deque[Sequence] = deque()
        self._decoding: list[Sequence] = []
        self._prefilling: Sequence | None = None
        self._prefill_ends_at_ms = 0.0
        self._next_step_at_ms: float | None = None

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        prefilling = 1 if self._prefilling else 0
        return len(self._decoding) + len(self._admitted) + prefilling

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot or memory."""
        return len(self._waiting)

    def submit(self, sequence: Sequence, now_ms: float) -> None:
        """Queue a request; advance the batch to ``now_ms`` before."""
        self._waiting.append(sequence)
        self._admit(now_ms)

    def cancel(self, sequence: Sequence, now_ms: float) -> None:
        """Stop a request and give its memory back."""
        state = sequence.state
        if state in (SequenceState.FINISHED, SequenceState.CANCELLED):
            return
        if state is SequenceState.WAITING:
            self._waiting.remove(sequence)
        elif state is SequenceState.ADMITTED:
            self._admitted.remove(sequence)
        elif state is SequenceState.PREFILLING:
            self._break_off_prefill(sequence, now_ms)
        sequence.state = SequenceState.CANCELLED
        if state is not SequenceState.WAITING:
            self._release(sequence)
        self._drop_ended()
        self._admit(now_ms)

    def advance(self, now_ms: float) -> list[Sequence]:
        """Do all that is due.

        Returns:
            One entry for each token generated, in order.
        """
        emitted: list[Sequence] = []
        while (at_ms := self.next_event_ms()) is not None and at_ms <= now_ms:
            if at_ms == self._next_step_at_ms or self._prefilling is None:
                emitted += self._step(at_ms)
            else:
                emitted.append(self._finish_prefill(self._prefilling, at_ms))
            self._admit(at_ms)
        return emitted

    def next_event_ms(self) -> float | None:
        """Return when something is due next, None while idle."""
        if self._prefilling is None:
            return self._next_step_at_ms
        if self._next_step_at_ms is None:
            return self._prefill_ends_at_ms
        return min(self._prefill_ends_at_ms, self._next_step_at_ms)

    def delay(self, pause_ms: float) -> None:
        """Move all that is due by the length of a pause."""
        self._prefill_ends_at_ms += pause_ms
        if self._next_step_at_ms is not None:
            self._next_step_at_ms += pause_ms

    def slow_down(self, factor: float, now_ms: float) -> None:
        """Take ``factor`` times as long for everything from now on."""
        change = factor / self._slowdown
        self._slowdown = factor
        self._prefill_ends_at_ms = _stretched(self._prefill_ends_at_ms, now_ms, change)
        if self._next_step_at_ms is not None:
            self._next_step_at_ms = _stretched(self._next_step_at_ms, now_ms, change)

    def _admit(self, now_ms: float) -> None:
        while self._waiting and self._fits(self._waiting[0]):
            sequence = self._waiting.popleft()
            self._cache.acquire(sequence.prompt.blocks, sequence.private_tokens)
            sequence.state = SequenceState.ADMITTED
            self._admitted.append(sequence)
        if self._prefilling is None and self._admitted:
            self._start_prefill(self._admitted.popleft(), now_ms)

    def _fits(self, sequence: Sequence) -> bool:
        if self.running >= self._speeds.slots:
            return False
        return self._cache.fits(sequence.prompt.blocks, sequence.private_tokens)

    def _start_prefill(self, sequence: Sequence, now_ms: float) -> None:
        hits = self._cache.hit_blocks(sequence.prompt.blocks)
        sequence.cached_tokens = hits * BLOCK_TOKENS
        sequence.started_at_ms = now_ms
        sequence.state = SequenceState.PREFILLING
        missing = sequence.prompt.tokens - sequence.cached_tokens
        self._prefilling = sequence
        self._prefill_ends_at_ms = now_ms + missing * self._prefill_token_ms

    def _finish_prefill(self, sequence: Sequence, at_ms: float) -> Sequence:
        self._prefilling = None
        self._tally.prefilled_tokens += sequence.prompt.tokens - sequence.cached_tokens
        self._cache.store(sequence.prompt.blocks)
        sequence.state = SequenceState.DECODING
        self._decoding.append(sequence)
        if self._next_step_at_ms is None:
            self._next_step_at_ms = at_ms + self._step_ms
        self._generate(sequence)
        self._drop_ended()
        return sequence

    def _break_off_prefill(self, sequence: Sequence, now_ms: float) -> None:
        self._prefilling = None
        left_ms = max(0.0, self._prefill_ends_at_ms - now_ms)
        missing = sequence.prompt.tokens - sequence.cached_tokens
        done = max(0, missing - round(left_ms / self._prefill_token_ms))
        self._tally.prefilled_tokens += done
        whole_blocks = (sequence.cached_tokens + done) // BLOCK_TOKENS
        self._cache.store(sequence.prompt.blocks[:whole_blocks])

    def _step(self, at_ms: float) -> list[Sequence]:
        emitted = list(self._decoding)
        for sequence in emitted:
            self._generate(sequence)
        self._drop_ended()
        if self._decoding:
            self._next_step_at_ms = at_ms + self._step_ms
        return emitted

    def _generate(self, sequence: Sequence) -> None:
        sequence.generated += 1
        self._tally.generated_tokens += 1
        if sequence.generated >= sequence.output_tokens:
            sequence.state = SequenceState.FINISHED
            self._release(sequence)

    def _drop_ended(self) -> None:
        decoding = SequenceState.DECODING
        self._decoding = [s for s in self._decoding if s.state is decoding]
        if not self._decoding:
            self._next_step_at_ms = None

    def _release(self, sequence: Sequence) -> None:
        self._cache.release(sequence.prompt.blocks, sequence.private_tokens)

    @property
    def _prefill_token_ms(self) -> float:
        return MS_PER_S / self._speeds.prefill_tokens_per_s * self._slowdown

    @property
    def _step_ms(self) -> float:
        alone_ms = MS_PER_S / self._speeds.decode_tokens_per_s * self._slowdown
        others = max(0, len(self._decoding) - 1)
        return alone_ms * (1.0 + STEP_GROWTH_PER_STREAM * others)


def _stretched(at_ms: float, now_ms: float, change: float) -> float:
    return now_ms + (at_ms - now_ms) * change


__all__ = ["Batch", "Sequence", "SequenceState", "Speeds", "Tally"]
