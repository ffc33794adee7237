"""One engine: its batch driven by one timer, its streams, reports and faults.

It knows no HTTP; all tokens of a step are written by the same timer call.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

import msgspec

from standins.engine.batch import Batch, Sequence, Speeds, Tally
from standins.engine.cache import BlockCache
from standins.engine.journal import Journal
from standins.engine.orders import OrderBook
from standins.engine.prompts import prompt_from_bytes
from standins.engine.reports import LaggedLoad, LateEvents, LoadFigures
from standins.engine.streams import Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.engine.journal import EngineCounters, Run
    from standins.engine.options import EngineOptions
    from standins.engine.requests import ChatRequest

MS_PER_S = 1000.0


class ContextLengthError(Exception):
    """A request needs more KV memory than the engine has."""


class EngineDeadError(Exception):
    """The engine died before it had the whole request."""


class Faults(msgspec.Struct):
    """Faults in force.

    Attributes:
        frozen: Nothing moves and nothing is answered.
        slowdown: Everything takes so many times as long.
        refuse: New requests are answered 503.
        dead: The engine's port is closed.
        die_after_tokens: Tokens until it dies, None for never.
        leaving: Whether it says that it is leaving.
    """

    frozen: bool = False
    slowdown: float = 1.0
    refuse: bool = False
    dead: bool = False
    die_after_tokens: int | None = None
    leaving: bool = False


class Engine:
    """A model engine without its interfaces.

    Attributes:
        options: How it was set up.
        faults: Faults in force; change them by the methods.
        orders: What orders made of it.
        load: Its lagging load.
        events: Its late cache events.
    """

    def __init__(self, options: EngineOptions, on_death: Callable[[], None]) -> None:
        self.options = options
        self.faults = Faults()
        self._on_death = on_death
        self._loop = asyncio.get_running_loop()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._frozen_at_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0.0
        self._journal = Journal()
        self._tally = Tally()
        self._starts = 0
        self._start_cold()

    # --- requests ---------------------------------------------------------

    def submit(self, chat: ChatRequest, request_id: str, key: str) -> Stream:
        """Take a request that was received whole.

        Raises:
            ContextLengthError: It can never be admitted.
            EngineDeadError: The engine is dead.
        """
        if self.faults.dead:
            raise EngineDeadError
        prompt = prompt_from_bytes(chat.prompt_bytes())
        sequence = Sequence(prompt, chat.output_tokens())
        if not self.cache.could_ever_fit(prompt.blocks, sequence.private_tokens):
            raise ContextLengthError
        stream = self._open_stream(request_id, chat.model, sequence)
        self._journal.record(stream, request_id, key)
        now = self._catch_up()
        self._batch.submit(sequence, now)
        self._after_change(now)
        return stream

    def find_stream(self, stream_id: str) -> Stream | None:
        """Return a stream that can still be read."""
        return self._streams.get(stream_id)

    def cancel(self, stream: Stream) -> None:
        """Stop a stream, if it has not ended."""
        now = self._catch_up()
        if stream.end is None:
            self._batch.cancel(stream.sequence, now)
            stream.cancel()
            self._forget_later(stream)
        self._after_change(now)

    def refuse(self) -> None:
        """Count a request that was answered 503."""
        self._journal.record_refusal()

    async def until_thawed(self) -> None:
        """Wait while the engine is frozen."""
        while self.faults.frozen:
            await self._thawed.wait()

    def import_blocks(self, blocks: tuple[int, ...]) -> int:
        """Take KV blocks that another engine computed."""
        return self.cache.import_blocks(blocks)

    # --- faults -----------------------------------------------------------

    def freeze(self, frozen: bool) -> None:
        """Stop everything, or go on where it stopped."""
        if frozen == self.faults.frozen:
            return
        if frozen:
            self._frozen_at_ms = self._catch_up()
            self._thawed.clear()
            self._cancel_timer()
        self.faults.frozen = frozen
        if not frozen:
            now = now_ms()
            self._batch.delay(now - self._frozen_at_ms)
            self._thawed.set()
            self._after_change(now)

    def slow_down(self, factor: float) -> None:
        """Take ``factor`` times as long for everything."""
        now = self._catch_up()
        self.faults.slowdown = factor
        self._batch.slow_down(factor, now)
        self._after_change(now)

    def die(self) -> None:
        """Lose all streams and memory; the owner closes the connections."""
        if self.faults.dead:
            return
        self._cancel_timer()
        self.faults.dead = True
        self.faults.die_after_tokens = None
        for stream in list(self._streams.values()):
            stream.lose()
        self._on_death()

    def revive(self) -> None:
        """Start again with an empty memory; faults are over."""
        self.freeze(False)
        self.faults = Faults()
        self._start_cold()

    # --- what experiments read --------------------------------------------

    def runs(self) -> list[Run]:
        """Return every request received whole, oldest first."""
        return self._journal.runs()

    def counters(self) -> EngineCounters:
        """Return the work done since the last reset."""
        return self._journal.counters(self._tally)

    def reset(self) -> None:
        """Forget ended runs and count from nothing; faults are over."""
        self.freeze(False)
        self.slow_down(1.0)
        self.faults = Faults(dead=self.faults.dead)
        self.load.lag_ms = self.options.report_lag_ms
        self.events.lag_ms = self.options.event_lag_ms
        self.events.loss = self.options.event_loss
        self._journal.reset()
        self._tally.prefilled_tokens = 0
        self._tally.generated_tokens = 0

    # --- inside -----------------------------------------------------------

    def _start_cold(self) -> None:
        """Begin with no streams, an empty cache, the first model and a new version."""
        self._starts += 1
        options = self.options
        self._streams: dict[str, Stream] = {}
        self._open: dict[Sequence, Stream] = {}
        self.load = LaggedLoad(options.report_lag_ms)
        self.events = LateEvents(options.event_lag_ms, options.event_loss, options.seed)
        self.cache = BlockCache(options.kv_tokens, self._record_block)
        speeds = Speeds(
            options.slots, options.prefill_tokens_per_s, options.decode_tokens_per_s
        )
        self._batch = Batch(speeds, self.cache, self._tally)
        self.orders = OrderBook(
            options.model, options.role, honours_fencing=options.honours_fencing
        )

    def _record_block(self, stored: bool, block: int) -> None:
        self.events.record(stored, block, now_ms())

    def _open_stream(self, wished_id: str, model: str, sequence: Sequence) -> Stream:
        """Open a stream; the same id again gives a second stream, not the first."""
        stream_id = wished_id
        copies = 1
        while stream_id in self._streams:
            copies += 1
            stream_id = f"{wished_id}-{copies}"
        stream = Stream(stream_id, model, sequence, f"v{self._starts}")
        self._streams[stream_id] = stream
        self._open[sequence] = stream
        return stream

    def _catch_up(self) -> float:
        """Do all that is due by now and hand the tokens to their readers."""
        now = now_ms()
        if self.faults.frozen:
            return self._frozen_at_ms
        for sequence in self._batch.advance(now):
            if not self._hand_over(sequence):
                break
        return now

    def _hand_over(self, sequence: Sequence) -> bool:
        """Give a token to its readers, unless the engine dies before."""
        if self.faults.die_after_tokens is not None:
            if self.faults.die_after_tokens <= 0:
                self.die()
                return False
            self.faults.die_after_tokens -= 1
        stream = self._open[sequence]
        if stream.add_token():
            self._forget_later(stream)
        return True

    def _forget_later(self, stream: Stream) -> None:
        self._open.pop(stream.sequence, None)
        kept_s = self.options.stream_kept_ms / MS_PER_S
        self._loop.call_later(kept_s, self._forget, stream)

    def _forget(self, stream: Stream) -> None:
        if self._streams.get(stream.stream_id) is stream:
            del self._streams[stream.stream_id]

    def _after_change(self, now: float) -> None:
        """Note the load and set the timer for what is due next."""
        figures = LoadFigures(
            self._batch.running, self._batch.waiting, self.cache.used_tokens
        )
        self.load.record(figures, now)
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        at_ms = self._batch.next_event_ms()
        if at_ms is None or self.faults.frozen or self.faults.dead:
            self._cancel_timer()
            return
        if self._timer is not None and self._timer_at_ms == at_ms:
            return
        self._cancel_timer()
        # Whole milliseconds, rounded up: a timer that fires early would spin.
        wait_s = math.ceil(max(0.0, at_ms - now)) / MS_PER_S
        self._timer = self._loop.call_later(wait_s, self._on_timer)
        self._timer_at_ms = at_ms

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        self._after_change(self._catch_up())


def now_ms() -> float:
    """Return the engine's time."""
    return time.monotonic() * MS_PER_S


__all__ = ["ContextLengthError", "Engine", "EngineDeadError", "Faults", "now_ms"]
