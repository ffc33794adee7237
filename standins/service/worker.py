"""One plain service worker: what it ran and which faults are in force.

A call counts as run from when it was received whole.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.service.options import ServiceOptions

MS_PER_S = 1000.0


class CallState(StrEnum):
    """What came of a call that was received whole."""

    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"


@dataclass(slots=True)
class Call:
    """One call that was received whole.

    Attributes:
        request_id: Its ``X-Request-Id``.
        key: Its ``Idempotency-Key``, empty if none.
        method: HTTP method.
        path: Path with query.
        body_digest: Hash of its body.
        body_bytes: Length of its body.
        arrived_at_ms: Unix time at which it was whole.
        ran: Runs of this key so far, this one included.
        state: What came of it.
    """

    request_id: str
    key: str
    method: str
    path: str
    body_digest: str
    body_bytes: int
    arrived_at_ms: float
    ran: int = 0
    state: CallState = CallState.RUNNING


@dataclass(frozen=True, slots=True)
class ServiceCounters:
    """Work done since the last reset.

    Attributes:
        received: Calls received whole.
        finished: Calls answered.
        refused: Calls answered 503 because of the control port.
        repeated: Calls beyond the first of their key.
    """

    received: int
    finished: int
    refused: int
    repeated: int


class Faults(msgspec.Struct):
    """Faults in force.

    Attributes:
        frozen: Nothing is answered.
        slowdown: Calls take so many times as long.
        refuse: New calls are answered 503.
        dead: The worker's port is closed.
        leaving: Whether it says that it is leaving.
    """

    frozen: bool = False
    slowdown: float = 1.0
    refuse: bool = False
    dead: bool = False
    leaving: bool = False


class Worker:
    """A plain service worker without its interfaces.

    Attributes:
        options: How it was set up.
        faults: Faults in force; change them by the methods.
    """

    def __init__(self, options: ServiceOptions, on_death: Callable[[], None]) -> None:
        self.options = options
        self.faults = Faults()
        self._on_death = on_death
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._slots = asyncio.Semaphore(options.slots)
        self._calls: list[Call] = []
        self._runs_by_key: Counter[str] = Counter()
        self._refused = 0

    def record(self, call: Call) -> None:
        """Count a call that was received whole."""
        counted = call.key or call.request_id
        self._runs_by_key[counted] += 1
        call.ran = self._runs_by_key[counted]
        self._calls.append(call)

    async def serve(self, call: Call) -> None:
        """Take the service time."""
        async with self._slots:
            service_ms = self.options.service_ms * self.faults.slowdown
            await asyncio.sleep(service_ms / MS_PER_S)
            await self.until_thawed()
        if call.state is CallState.RUNNING:
            call.state = CallState.FINISHED

    async def until_thawed(self) -> None:
        """Wait while the worker is frozen."""
        while self.faults.frozen:
            await self._thawed.wait()

    def refuse(self) -> None:
        """Count a call that was answered 503."""
        self._refused += 1

    def freeze(self, frozen: bool) -> None:
        """Stop answering, or go on."""
        self.faults.frozen = frozen
        if frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    def die(self) -> None:
        """Lose all calls; the owner closes the connections."""
        if self.faults.dead:
            return
        self.faults.dead = True
        for call in self._calls:
            if call.state is CallState.RUNNING:
                call.state = CallState.LOST
        self._on_death()

    def revive(self) -> None:
        """Start again; faults are over."""
        self.freeze(False)
        self.faults = Faults()

    def runs(self) -> list[Call]:
        """Return every call received whole, oldest first."""
        return self._calls

    def counters(self) -> ServiceCounters:
        """Return the work done since the last reset."""
        finished = sum(call.state is CallState.FINISHED for call in self._calls)
        repeated = sum(call.ran > 1 for call in self._calls)
        return ServiceCounters(len(self._calls), finished, self._refused, repeated)

    def reset(self) -> None:
        """Forget all calls; faults are over."""
        self.freeze(False)
        self.faults = Faults(dead=self.faults.dead)
        self._calls = []
        self._runs_by_key.clear()
        self._refused = 0


__all__ = ["Call", "CallState", "Faults", "ServiceCounters", "Worker"]
