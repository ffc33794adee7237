"""A small engine model for trials of the decision core, without processes.

It advances in fixed steps, admits in arrival order, does one prefill at a time,
and slows decode with its batch; its cache is an LRU over prefix blocks.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint

BLOCK_TOKENS = 256
_BATCH_SLOWDOWN = 0.03


@dataclass(slots=True, eq=False)
class Stream:
    """One request inside an engine.

    Attributes:
        handle: The request.
        output_tokens: What it really generates.
        sent_ms: When it was dispatched.
        prefill_left: Prompt tokens still to process.
        prefilled: Prompt tokens processed so far.
        cached: Prompt tokens found in the cache.
        progress: Answer tokens generated, with the fraction under way.
        reported: Answer tokens reported so far.
        first_ms: Time of the first token, or -1.
        last_ms: Time of the last report.
        told: Whether the first token was reported.
    """

    handle: Handle
    output_tokens: int
    sent_ms: float
    prefill_left: float = -1.0
    prefilled: float = 0.0
    cached: int = 0
    progress: float = 0.0
    reported: int = 0
    first_ms: float = -1.0
    last_ms: float = 0.0
    told: bool = False

    @property
    def kv_tokens(self) -> int:
        """KV cache that it holds at its end."""
        return self.handle.prefill_tokens + self.output_tokens


@dataclass(slots=True, eq=False)
class EngineModel:
    """One engine.

    Attributes:
        endpoint: Its true size and speeds.
        slowdown: Factor on all its times.
    """

    endpoint: Endpoint
    slowdown: float = 1.0
    waiting: deque[Stream] = field(default_factory=deque)
    running: list[Stream] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    most_running: int = 0
    most_kv_tokens: int = 0

    def kv_used(self) -> int:
        """Return KV cache held by running streams."""
        return sum(stream.kv_tokens for stream in self.running)

    def send(self, stream: Stream) -> None:
        """Take a request."""
        self.waiting.append(stream)
        self._admit()

    def cancel(self, stream: Stream) -> None:
        """Stop a request."""
        if stream in self.running:
            self.running.remove(stream)
        elif stream in self.waiting:
            self.waiting.remove(stream)

    def step(self, now_ms: float, by_ms: float) -> list[Stream]:
        """Advance and return the streams that have ended."""
        self._admit()
        self._prefill(now_ms, by_ms)
        self._decode(now_ms, by_ms)
        ended = [s for s in self.running if s.progress >= s.output_tokens]
        for stream in ended:
            self.running.remove(stream)
        self._admit()
        return ended

    def _admit(self) -> None:
        limit = self.endpoint.kv_tokens
        while self.waiting and len(self.running) < self.endpoint.slots:
            if self.kv_used() + self.waiting[0].kv_tokens > limit:
                break
            self.running.append(self.waiting.popleft())
        self.most_running = max(
            self.most_running, len(self.running) + len(self.waiting)
        )
        self.most_kv_tokens = max(self.most_kv_tokens, self.kv_used())

    def _prefill(self, now_ms: float, by_ms: float) -> None:
        left_ms = by_ms
        per_ms = self.endpoint.prefill_tokens_per_s / 1000.0 / self.slowdown
        for stream in self.running:
            if stream.first_ms >= 0:
                continue
            if stream.prefill_left < 0:
                self._look_up(stream)
            done = min(stream.prefill_left, left_ms * per_ms)
            stream.prefill_left -= done
            stream.prefilled += done
            left_ms -= done / per_ms
            if stream.prefill_left > 1e-9:
                return
            stream.first_ms = now_ms + by_ms - left_ms
            stream.last_ms = stream.first_ms
            self._store(stream)

    def _decode(self, now_ms: float, by_ms: float) -> None:
        decoding = [s for s in self.running if s.first_ms >= 0]
        slow = self.slowdown * (1.0 + _BATCH_SLOWDOWN * max(0, len(decoding) - 1))
        per_ms = self.endpoint.decode_tokens_per_s / 1000.0 / slow
        for stream in decoding:
            begun_ms = max(now_ms, stream.first_ms)
            stream.progress += (now_ms + by_ms - begun_ms) * per_ms

    def _look_up(self, stream: Stream) -> None:
        hits = 0
        for block in stream.handle.prefix_hashes:
            if block not in self.cache:
                break
            hits += 1
        stream.cached = min(hits * BLOCK_TOKENS, stream.handle.prefill_tokens - 1)
        stream.prefill_left = stream.handle.prefill_tokens - stream.cached

    def _store(self, stream: Stream) -> None:
        for block in reversed(stream.handle.prefix_hashes):
            self.cache[block] = None
            self.cache.move_to_end(block)
        room = max(0, self.endpoint.kv_tokens - self.kv_used()) // BLOCK_TOKENS
        while len(self.cache) > room:
            self.cache.popitem(last=False)
