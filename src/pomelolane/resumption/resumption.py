"""Finds out where a stream began that a caller resumes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from pomelolane.resumption.exchange import OriginExchange
from pomelolane.resumption.history import STREAM_LIFE_MS, VersionHistory
from pomelolane.resumption.keeper import OriginKeeper
from pomelolane.resumption.origin import StreamOrigin
from pomelolane.resumption.records import OriginRecords

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, Membership, Transport
    from pomelolane.resumption.keeper import OriginStorage

REFRESH_TIMEOUT_MS = 400.0
"""Longest time to wait for a confirmed list of endpoints; the store answers within
milliseconds."""


class EndpointList(Protocol):
    """The endpoints as this VM knows them."""

    def listed(self) -> Iterable[Endpoint]:
        """Return all endpoints, leaving ones included."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the list."""

    async def refresh(self, timeout_ms: float) -> bool:
        """Have the list confirmed, and return whether it was in time."""


class OriginSource(StrEnum):
    """How the origin of a resumed stream is known."""

    RECORD = "record"
    """A VM has recorded it."""
    SOLE_VERSION = "sole_version"
    """The service has had only this version for as long as streams last."""


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Where a resumed stream began.

    Attributes:
        origin: What began it.
        source: How that is known.
    """

    origin: StreamOrigin
    source: OriginSource


class Resumption:
    """Records streams that begin here, and looks up those that callers resume.

    Args:
        exchange: Records of this VM and of others.
        history: Versions listed lately.
        keeper: Keeps records where they outlive all VMs.
        endpoints: The known endpoints.
        clock: Source of the current time.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        history: VersionHistory,
        keeper: OriginKeeper,
        endpoints: EndpointList,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._exchange = exchange
        self._history = history
        self._endpoints = endpoints
        self.keeper = keeper
        endpoints.on_change(history.update)

    def begin(self, key: int, origin: StreamOrigin, left_ms: float) -> None:
        """Record a stream before its first events are sent (see the exchange)."""
        self._exchange.begin(key, origin, left_ms)

    def end(self, key: int) -> None:
        """Record that this VM sends nothing more of a stream."""
        self._exchange.end(key)

    async def find(
        self, key: int, service: str, routed_since_ms: float
    ) -> FoundOrigin | None:
        """Return where a stream began, None if that cannot be told for certain.

        Args:
            key: Key of the stream.
            service: Service to which its caller's requests go.
            routed_since_ms: Since when they have gone there.
        """
        origin = await self._exchange.find(key)
        if origin is not None:
            return FoundOrigin(origin, OriginSource.RECORD)
        is_settled = self._clock.now_ms() - routed_since_ms >= STREAM_LIFE_MS
        if not is_settled or self._history.sole_version(service) is None:
            return None
        # Another VM may have begun the stream at a version that is not listed here yet.
        if not await self._endpoints.refresh(REFRESH_TIMEOUT_MS):
            return None
        version = self._history.sole_version(service)
        if version is None:
            return None
        return FoundOrigin(StreamOrigin(service, version), OriginSource.SOLE_VERSION)


def make_resumption(
    vm_id: str,
    endpoints: EndpointList,
    membership: Membership,
    transport: Transport,
    storage: OriginStorage,
    clock: Clock,
) -> Resumption:
    """Create the resumption of one VM.

    Args:
        vm_id: Id of the VM.
        endpoints: The known endpoints.
        membership: Who is alive.
        transport: Sends messages to the other VMs.
        storage: Where records outlive all VMs.
        clock: Source of the current time.
    """
    records = OriginRecords(clock)
    exchange = OriginExchange(vm_id, membership, transport, records, clock)
    history = VersionHistory(vm_id, endpoints.listed, membership, transport, clock)
    keeper = OriginKeeper(exchange, records, storage, membership, clock)
    return Resumption(exchange, history, keeper, endpoints, clock)
