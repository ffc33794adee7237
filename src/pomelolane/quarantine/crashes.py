"""Finds out whether an endpoint has crashed under a request, or only lost a connection.

A reset, a cut link, a lost answer or silence is no sign of a crash by itself; that
nothing listens at the address any more is one, and so is that the registry shows
another start there, or none, though the endpoint had not said that it leaves.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from pomelolane.quarantine.starts import start_name

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from pomelolane.endpoints import ConnectionPool
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock
    from pomelolane.quarantine.quarantine import Quarantine
    from pomelolane.quarantine.subjects import Subjects

    Start = tuple[str, int]

LOOK_MS = 50.0
"""How long a request that broke waits to learn whether its endpoint has crashed: being
refused takes one round trip, and a harmless request goes on elsewhere soon."""

DOUBT_MS = 10_000.0
"""How long the registry still tells of a crash under a request that was given up: an
entry goes after some seconds of silence, and endpoints are back after some more."""

MOST_DOUBTS = 5_000
"""Requests in doubt that are kept; a VM gives up some hundreds in that time."""


class Endpoints(Protocol):
    """The endpoints as this VM knows them."""

    def usable(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""

    def listed(self) -> Iterable[Endpoint]:
        """Return all endpoints."""


class CrashWatch:
    """Looks after endpoints while requests run there, and a while after.

    Args:
        quarantine: Is told of crashes.
        pool: Connects to endpoints.
        endpoints: Known endpoints.
        clock: Time.
        wall: Time of day.
        is_cut_off: Tells whether this VM reaches no endpoint, so that nothing follows
            from one that it does not reach; None where nobody can tell.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        pool: ConnectionPool,
        endpoints: Endpoints,
        clock: Clock,
        wall: Clock,
        is_cut_off: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._pool = pool
        self._endpoints = endpoints
        self._clock = clock
        self._wall = wall
        self._is_cut_off = is_cut_off or _never_cut_off
        self._running: dict[Start, Counter[Subjects]] = {}
        self._doubts: dict[tuple[Subjects, Start], tuple[Endpoint, float]] = {}
        self._listed: dict[Start, Endpoint] = {}
        self._looking: set[asyncio.Task[None]] = set()

    def begin(self, subjects: Subjects, endpoint: Endpoint) -> Run:
        """Take note that a request goes to an endpoint now."""
        running = self._running.setdefault(_start(endpoint), Counter())
        running[subjects] += 1
        return Run(self, subjects, endpoint)

    def endpoints_changed(self) -> None:
        """Look for endpoints that have crashed without saying that they leave."""
        listed = {_start(one): one for one in self._endpoints.listed()}
        by_address = {one.address: start for start, one in listed.items()}
        before, self._listed = self._listed, listed
        for start, endpoint in before.items():
            is_gone = start not in listed and not endpoint.leaving
            if is_gone or by_address.get(endpoint.address, start) != start:
                self._ended(endpoint)

    # --- what runs tell ---------------------------------------------------

    def settle(self, subjects: Subjects, endpoint: Endpoint) -> None:
        """Forget a run that was answered, or never begun."""
        start = _start(endpoint)
        running = self._running.get(start)
        if running is None:
            return
        running[subjects] -= 1
        if running[subjects] <= 0:
            del running[subjects]
        if not running:
            del self._running[start]

    def doubt(self, subjects: Subjects, endpoint: Endpoint) -> None:
        """Keep in mind that a run was left before its answer was whole."""
        now_ms = self._clock.now_ms()
        self._doubts[subjects, _start(endpoint)] = (endpoint, now_ms)
        while self._doubts:
            oldest = next(iter(self._doubts))
            is_young = now_ms - self._doubts[oldest][1] < DOUBT_MS
            if is_young and len(self._doubts) <= MOST_DOUBTS:
                return
            del self._doubts[oldest]

    async def look(self, subjects: Subjects, endpoint: Endpoint, address: str) -> None:
        """Return when it is known whether an endpoint has crashed, or soon."""
        task = asyncio.create_task(self._look(subjects, endpoint, address))
        self._looking.add(task)
        task.add_done_callback(self._looking.discard)
        await asyncio.wait({task}, timeout=LOOK_MS / 1000)

    # --- inside -----------------------------------------------------------

    async def _look(self, subjects: Subjects, endpoint: Endpoint, address: str) -> None:
        if self._endpoints.usable(endpoint.endpoint_id) is None:
            # It was to end: what was still running there has nothing to do with it.
            return
        if await self._pool.is_down(address) and not await self._is_cut_off():
            self._report(subjects, endpoint)
        else:
            self.doubt(subjects, endpoint)

    def _ended(self, endpoint: Endpoint) -> None:
        """Report all requests that ran there lately."""
        start = _start(endpoint)
        oldest_ms = self._clock.now_ms() - DOUBT_MS
        doubted = [key for key in self._doubts if key[1] == start]
        for key in doubted:
            _, at_ms = self._doubts.pop(key)
            if at_ms >= oldest_ms:
                self._report(key[0], endpoint)
        for subjects in tuple(self._running.get(start, ())):
            self._report(subjects, endpoint)

    def _report(self, subjects: Subjects, endpoint: Endpoint) -> None:
        endpoint_id = endpoint.endpoint_id
        if endpoint.born_ms:
            start = start_name(endpoint_id, endpoint.born_ms)
            self._quarantine.crashed(subjects, start, endpoint_id)
        else:
            wall_ms = self._wall.now_ms()
            self._quarantine.crashed_unstated(subjects, endpoint_id, wall_ms)


class Run:
    """One request at one endpoint, until it is known what became of it.

    Args:
        watch: Looks after the endpoint.
        subjects: What may be to blame if the endpoint crashes.
        endpoint: Where it was sent.
    """

    def __init__(
        self, watch: CrashWatch, subjects: Subjects, endpoint: Endpoint
    ) -> None:
        self._watch = watch
        self._subjects = subjects
        self._endpoint = endpoint
        self._is_open = True

    def settle(self) -> None:
        """Take note that it was answered, or never begun."""
        if self._is_open:
            self._is_open = False
            self._watch.settle(self._subjects, self._endpoint)

    def leave(self) -> None:
        """Take note that it is left, unless it is known what became of it."""
        if self._is_open:
            self.settle()
            self._watch.doubt(self._subjects, self._endpoint)

    async def broke(self) -> None:
        """Find out whether the endpoint that broke off has crashed."""
        if self._is_open:
            self.settle()
            address = self._endpoint.address
            await self._watch.look(self._subjects, self._endpoint, address)


async def _never_cut_off() -> bool:
    return False


def _start(endpoint: Endpoint) -> Start:
    return endpoint.endpoint_id, endpoint.born_ms
