"""What an engine was asked to do and what came of it.

Experiments read it at the control port to check promises; the engine's own
death does not erase it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from standins.engine.streams import StreamEnd

if TYPE_CHECKING:
    from standins.engine.batch import Tally
    from standins.engine.streams import Stream

MS_PER_S = 1000.0


class RunState(StrEnum):
    """What came of a request that was received whole."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LOST = "lost"


_STATES = {
    None: RunState.RUNNING,
    StreamEnd.STOP: RunState.FINISHED,
    StreamEnd.CANCELLED: RunState.CANCELLED,
    StreamEnd.LOST: RunState.LOST,
}


@dataclass(slots=True)
class Run:
    """One request that was received whole.

    Attributes:
        request_id: Its ``X-Request-Id``.
        stream_id: Id under which it can be resumed.
        key: Its ``Idempotency-Key``, empty if none.
        prompt_tokens: Length of its prompt.
        cached_tokens: Prompt tokens that the cache saved.
        generated: Answer tokens so far.
        state: What came of it.
        tag: Marks every token of its answer.
        arrived_at_ms: Unix time at which it was whole.
        started_at_ms: Unix time at which its prefill began.
    """

    request_id: str
    stream_id: str
    key: str
    prompt_tokens: int
    tag: str
    arrived_at_ms: float
    cached_tokens: int = 0
    generated: int = 0
    state: RunState = RunState.RUNNING
    started_at_ms: float | None = None


@dataclass(frozen=True, slots=True)
class EngineCounters:
    """Work done since the last reset.

    Attributes:
        prefilled_tokens: Prompt tokens computed.
        generated_tokens: Answer tokens computed.
        received: Requests received whole.
        refused: Requests answered 503 because of the control port.
    """

    prefilled_tokens: int
    generated_tokens: int
    received: int
    refused: int


class Journal:
    """Keeps every request that was received whole."""

    def __init__(self) -> None:
        self._runs: list[tuple[Run, Stream]] = []
        self._received = 0
        self._refused = 0

    def record(self, stream: Stream, request_id: str, key: str) -> None:
        """Note a request as it becomes a stream."""
        self._received += 1
        prompt = stream.sequence.prompt
        run = Run(
            request_id,
            stream.stream_id,
            key,
            prompt.tokens,
            prompt.tag,
            arrived_at_ms=time.time() * MS_PER_S,
        )
        self._runs.append((run, stream))

    def record_refusal(self) -> None:
        """Count a request that was answered 503."""
        self._refused += 1

    def runs(self) -> list[Run]:
        """Return every run, oldest first."""
        return [_updated(run, stream) for run, stream in self._runs]

    def counters(self, tally: Tally) -> EngineCounters:
        """Return the work done since the last reset."""
        return EngineCounters(
            tally.prefilled_tokens,
            tally.generated_tokens,
            self._received,
            self._refused,
        )

    def reset(self) -> None:
        """Forget the runs that have ended and count from nothing."""
        self._runs = [(r, stream) for r, stream in self._runs if stream.end is None]
        self._received = 0
        self._refused = 0


def _updated(run: Run, stream: Stream) -> Run:
    sequence = stream.sequence
    run.cached_tokens = sequence.cached_tokens
    run.generated = stream.chunks
    run.state = _STATES[stream.end]
    if run.started_at_ms is None and sequence.started_at_ms is not None:
        run.started_at_ms = _unix_ms(sequence.started_at_ms)
    return run


def _unix_ms(monotonic_ms: float) -> float:
    return time.time() * MS_PER_S - (time.monotonic() * MS_PER_S - monotonic_ms)


__all__ = ["EngineCounters", "Journal", "Run", "RunState"]
