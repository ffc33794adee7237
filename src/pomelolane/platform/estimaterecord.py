"""The record of estimates of endpoints, kept in a table of the metadata store.

Each service has one row, written by its scheduler. Schedulers that are cut off from
each other replace each other's row; each passes on the estimates that it was sent, so
the row lacks at most what only the other one has learnt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.forwarding.estimate_conversion import (
    estimate_from_shared,
    shared_from_estimate,
)
from pomelolane.logs import log_event
from pomelolane.messages import SharedEstimate  # noqa: TC001 - msgspec evaluates it

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.platform.storeclient import StoreClient
    from pomelolane.scheduler.objective.estimates import EndpointEstimate

_TABLE = "estimates"

MAX_AHEAD_MS = 1000.0
"""How far in the future a row may have been written: the store's clock as the VMs tell
it differs by the time of a call."""


class _Record(msgspec.Struct):
    # On the store's steady clock, which all VMs can tell.
    written_ms: int
    estimates: tuple[SharedEstimate, ...]


class StoreEstimateRecord:
    """The platform's :class:`~pomelolane.forwarding.estimate_keeper.EstimateRecord`.

    Args:
        store: The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def save(self, service: str, estimates: Iterable[EndpointEstimate]) -> None:
        """Replace the estimates of a service.

        Raises:
            StoreUnavailableError: They may not have been replaced.
        """
        shared = tuple(shared_from_estimate(one) for one in estimates)
        row = msgspec.json.encode(_Record(int(self._store.now_ms()), shared))
        await self._store.write(_TABLE, {service: row})

    async def load(self, service: str) -> list[EndpointEstimate]:
        """Return the estimates of a service with present ages, none without a row.

        Raises:
            StoreUnavailableError: They cannot be read.
        """
        row, now_ms = await self._store.read_row(_TABLE, service)
        if row is None:
            return []
        try:
            return _decode(row.value, now_ms)
        except (msgspec.DecodeError, ValueError) as error:
            log_event(events.ROW_REJECTED, table=_TABLE, row=row.key, error=error)
            return []


def _decode(value: bytes, now_ms: float) -> list[EndpointEstimate]:
    """Return the estimates of a row with present ages.

    Raises:
        msgspec.DecodeError: It is not a record.
        ValueError: A time or a figure is impossible.
    """
    record = msgspec.json.decode(value, type=_Record)
    if not 0 <= record.written_ms <= now_ms + MAX_AHEAD_MS:
        raise ValueError(f"impossible time of writing: {record.written_ms}")
    elapsed_ms = max(0.0, now_ms - record.written_ms)
    found = []
    for shared in record.estimates:
        estimate = estimate_from_shared(shared)
        if estimate is None or not 0 <= estimate.failure_ratio <= 1:
            raise ValueError(f"impossible figures of {shared.endpoint_id}")
        found.append(estimate.older_by(elapsed_ms))
    return found
