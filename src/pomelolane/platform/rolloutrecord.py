"""Operators' orders to move services to a version, and the states of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.platform.errors import DocumentError
from pomelolane.platform.storeclient import TableRow
from pomelolane.rollouts import RolloutOrder, RolloutState, RolloutStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.platform.storeclient import StoreClient, StoredRow

_ORDERS = "rollout/"
"""Keys of orders begin so, and those of states for the operator."""

_STATUS_TABLE = "status"
_TABLE = "rollouts"


class _Order(msgspec.Struct, rename="camel"):
    service: str
    to: str
    duration_s: float


class _Row(msgspec.Struct):
    """What the project keeps of an order, in a table of its own."""

    number: int
    state: str
    # On the store's steady clock, which all VMs can tell.
    ordered_ms: float


def orders_from_rows(rows: Iterable[StoredRow]) -> list[RolloutOrder]:
    """Return the orders among the operator's rows; others are passed over."""
    orders = []
    for row in rows:
        if row.deleted or not row.key.startswith(_ORDERS):
            continue
        try:
            orders.append(_order(row))
        except DocumentError as error:
            log_event(events.ROLLOUT_REJECTED, row=row.key, error=error)
    return orders


def _order(row: StoredRow) -> RolloutOrder:
    try:
        document = msgspec.json.decode(row.value, type=_Order)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(f"order {row.key}: {error}") from error
    service = row.key[len(_ORDERS) :]
    if document.service != service:
        raise DocumentError(f"order {row.key}: it names {document.service}")
    if not document.to or not 0 < document.duration_s < float("inf"):
        raise DocumentError(f"order {row.key}: it names no version or no time")
    duration_ms = int(document.duration_s * 1000)
    return RolloutOrder(service, document.to, duration_ms, row.version)


class StoreRolloutRecord:
    """The :class:`~pomelolane.rollouts.RolloutRecord` of the platform.

    The operator's row and the project's own are written in one transaction, on
    condition that nobody else has written since: one VM gives the verdict.

    Args:
        store: The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._versions: dict[str, int] = {}

    def now_ms(self) -> float:
        """Return the store's steady clock."""
        return self._store.now_ms()

    async def load(self, service: str) -> RolloutStatus | None:
        """Return what stands of a service's last order, None for nothing.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        self._versions[service] = 0
        for row in snapshot.rows:
            if row.key == service and not row.deleted:
                self._versions[service] = row.version
                return _status(row)
        return None

    async def save(self, order: RolloutOrder, status: RolloutStatus) -> bool:
        """Replace what was loaded last, unless another VM has done so.

        Returns:
            Whether it stands now.

        Raises:
            StoreUnavailableError: It may not have been replaced.
        """
        service = order.service
        stands = await self.load(service)
        if stands is not None and _outweighs(stands, status):
            return stands == status
        own = _Row(status.number, status.state.value, status.ordered_ms)
        told = {"state": status.state.value, "to": order.to_version}
        writes = [
            TableRow(_TABLE, service, msgspec.json.encode(own)),
            TableRow(_STATUS_TABLE, _ORDERS + service, msgspec.json.encode(told)),
        ]
        expected = [TableRow(_TABLE, service, version=self._versions[service])]
        return await self._store.transact(writes, expected)


def _outweighs(stands: RolloutStatus, status: RolloutStatus) -> bool:
    """Tell whether what is on record stays: a later order, or as good a state."""
    if stands.number != status.number:
        return stands.number > status.number
    return stands.state.is_final or not status.state.is_final


def _status(row: StoredRow) -> RolloutStatus | None:
    try:
        own = msgspec.json.decode(row.value, type=_Row)
        return RolloutStatus(own.number, RolloutState(own.state), own.ordered_ms)
    except (msgspec.DecodeError, ValueError) as error:
        log_event(events.ROW_REJECTED, table=_TABLE, row=row.key, error=error)
        return None
