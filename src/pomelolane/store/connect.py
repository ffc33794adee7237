"""Opens the platform that a setting names.

The rest of the system sees one frozen bundle of ports and never learns
whether they are in memory or behind HTTP.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.clock import MonotonicClock
from pomelolane.exceptions import SettingError
from pomelolane.store.embedded import (
    EmbeddedObjectStore,
    EmbeddedTable,
    EmbeddedVmList,
    EmbeddedWeightStore,
)
from pomelolane.store.health import PlatformHealth
from pomelolane.store.http import (
    DEFAULT_CALL_TIMEOUT_MS,
    DEFAULT_CONNECT_TIMEOUT_MS,
    HttpObjectStore,
    HttpTable,
    HttpVmList,
    HttpWeightStore,
    PlatformClient,
)

if TYPE_CHECKING:
    from pomelolane.ports import Clock, ObjectStore, Table, VmList
    from pomelolane.store.weights import WeightStore

EMBEDDED = "embedded"


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform gives.

    Attributes:
        table: Transactional table.
        objects: Object store.
        vm_list: Lagging list of VMs.
        weights: Store of model weights.
        health: Whether it answers.
        client: HTTP client to close, None where embedded.
    """

    table: Table
    objects: ObjectStore
    vm_list: VmList
    weights: WeightStore
    health: PlatformHealth
    client: PlatformClient | None = None

    @property
    def is_embedded(self) -> bool:
        """Whether nothing survives this process."""
        return self.client is None

    async def aclose(self) -> None:
        """Close the connections."""
        if self.client is not None:
            await self.client.aclose()


def platform_from_url(
    url: str,
    clock: Clock | None = None,
    *,
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS,
    call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS,
) -> Platform:
    """Open the platform at an ``http://`` URL, or ``embedded``.

    Raises:
        SettingError: The URL is neither.
    """
    health = PlatformHealth(clock or MonotonicClock())
    if url == EMBEDDED:
        return make_embedded_platform(health)
    if not url.startswith(("http://", "https://")):
        raise SettingError("--platform", url, "give `embedded` or an http(s) URL")
    client = PlatformClient(
        url,
        health,
        connect_timeout_ms=connect_timeout_ms,
        call_timeout_ms=call_timeout_ms,
    )
    return Platform(
        table=HttpTable(client),
        objects=HttpObjectStore(client),
        vm_list=HttpVmList(client),
        weights=HttpWeightStore(client),
        health=health,
        client=client,
    )


def make_embedded_platform(health: PlatformHealth) -> Platform:
    """Make a platform in memory."""
    return Platform(
        table=EmbeddedTable(),
        objects=EmbeddedObjectStore(),
        vm_list=EmbeddedVmList(),
        weights=EmbeddedWeightStore(),
        health=health,
    )
