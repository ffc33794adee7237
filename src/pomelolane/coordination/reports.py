"""Polls engines for load reports and cache events for the scheduling cores.

Only the VM that schedules a service polls its engines, so the number of calls does
not grow with the number of VMs.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from pomelolane.model import ServiceKind
from pomelolane.ports import CacheEvent, LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock

_LEAVING = "leaving"
_TIMEOUT_S = 1.0
_MAX_CONCURRENT_CALLS = 8


class _Load(msgspec.Struct):
    running: int
    waiting: int
    kv_used_tokens: int = 0
    age_ms: float = 0.0
    state: str = "ready"


class _Event(msgspec.Struct):
    sequence: int
    stored: bool
    prefix_hash: int


class _Events(msgspec.Struct):
    events: tuple[_Event, ...]


_load_decoder = msgspec.json.Decoder(_Load)
_events_decoder = msgspec.json.Decoder(_Events)


@dataclass(frozen=True, slots=True)
class PollerOptions:
    """Options of the poller.

    Attributes:
        period_ms: Time between two polling rounds.
        address_of: Returns this VM's address of an endpoint.
        on_leaving: Called when an engine reports itself as leaving.
    """

    address_of: Callable[[Endpoint], str]
    on_leaving: Callable[[str], None]
    period_ms: float = 1000.0


class ReportPoller:
    """Passes engines' reports to the cores of their service queues.

    Args:
        service_queues: Returns the queues whose engines are polled.
        clock: Source of the current time.
        options: Options of the poller.
    """

    def __init__(
        self,
        service_queues: Callable[[], Iterable[ServiceQueue]],
        clock: Clock,
        options: PollerOptions,
    ) -> None:
        self._service_queues = service_queues
        self._clock = clock
        self._options = options
        self._sequences: dict[str, int] = {}
        self._call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        self._in_flight: set[tuple[int, str]] = set()

    async def run(self) -> None:
        """Poll periodically until cancelled; a slow engine delays no later round."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            asyncio.TaskGroup() as rounds,
        ):
            while True:
                rounds.create_task(self.poll(session))
                await asyncio.sleep(self._options.period_ms / 1000)

    async def poll(self, session: aiohttp.ClientSession) -> None:
        """Poll every engine once, except those with a poll still in flight."""
        calls = [
            self._poll_engine(session, service_queue, endpoint)
            for service_queue in list(self._service_queues())
            for endpoint in service_queue.endpoints(ServiceKind.ENGINE)
        ]
        await asyncio.gather(*calls)

    async def _poll_engine(
        self,
        session: aiohttp.ClientSession,
        service_queue: ServiceQueue,
        endpoint: Endpoint,
    ) -> None:
        key = (id(service_queue), endpoint.endpoint_id)
        if key in self._in_flight:
            return
        self._in_flight.add(key)
        try:
            async with self._call_slots:
                await self._poll_load_and_events(session, service_queue, endpoint)
        finally:
            self._in_flight.discard(key)

    async def _poll_load_and_events(
        self,
        session: aiohttp.ClientSession,
        service_queue: ServiceQueue,
        endpoint: Endpoint,
    ) -> None:
        load = await self._get(session, endpoint, "/load")
        if load is not None:
            self._take_load(service_queue, endpoint, load)
        after = self._sequences.get(endpoint.endpoint_id, 0)
        events = await self._get(session, endpoint, f"/cache/events?after={after}")
        if events is not None:
            self._take_events(service_queue, endpoint, events)

    async def _get(
        self, session: aiohttp.ClientSession, endpoint: Endpoint, path: str
    ) -> bytes | None:
        """Return the response body, None without a timely response of status 200."""
        url = f"http://{self._options.address_of(endpoint)}{path}"
        try:
            async with session.get(url) as response:
                return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _take_load(
        self, service_queue: ServiceQueue, endpoint: Endpoint, body: bytes
    ) -> None:
        try:
            load = _load_decoder.decode(body)
        except msgspec.DecodeError:
            return
        report = LoadReport(
            endpoint.endpoint_id,
            load.running,
            load.waiting,
            load.kv_used_tokens,
            load.age_ms,
        )
        service_queue.apply(
            service_queue.core.report_load(report, self._clock.now_ms())
        )
        if load.state == _LEAVING:
            self._options.on_leaving(endpoint.endpoint_id)

    def _take_events(
        self, service_queue: ServiceQueue, endpoint: Endpoint, body: bytes
    ) -> None:
        try:
            events = _events_decoder.decode(body).events
        except msgspec.DecodeError:
            return
        now_ms = self._clock.now_ms()
        for event in events:
            cache_event = CacheEvent(
                endpoint.endpoint_id, event.sequence, event.stored, event.prefix_hash
            )
            service_queue.core.report_cache(cache_event, now_ms)
        if events:
            last = max(event.sequence for event in events)
            self._sequences[endpoint.endpoint_id] = last
