"""The platform's table, object store and list of VMs.

Implementations are in ``pomelolane.store``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.sentinels import Missing


@dataclass(frozen=True, slots=True)
class Row:
    """A committed row of the platform's table.

    Attributes:
        key: Row key, slash-separated.
        version: 1 for the first write, then growing by one.
        value: Opaque bytes.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write.

    Attributes:
        key: Row key.
        value: New value, or None to delete the row.
        if_version: Version the row must have, 0 for absent, None for any.
    """

    key: str
    value: bytes | None
    if_version: int | None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """What became of one write of a batch.

    Attributes:
        key: Row key.
        applied: Whether its condition held.
        version: The row's version afterwards, 0 where absent.
    """

    key: str
    applied: bool
    version: int


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Row | Missing:
        """Read one row.

        Raises:
            PlatformUnavailableError: No answer, or the table is down.
        """

    async def scan(self, prefix: str, *, limit: int = 1000) -> Sequence[Row]:
        """Read the rows whose key starts with ``prefix``, in key order."""

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = True
    ) -> Sequence[WriteResult]:
        """Commit writes in one transaction, counted as one write.

        With ``atomic``, nothing is applied unless every condition holds;
        otherwise each write stands on its own condition.

        Raises:
            PlatformUnavailableError: Certainly not applied.
            CommitUnknownError: The reply was lost; read back.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object whole."""

    async def get(self, name: str) -> bytes | Missing:
        """Read an object whole."""

    async def delete(self, name: str) -> None:
        """Delete an object if it is there."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's lagging list.

    Attributes:
        vm_id: VM or endpoint id.
        data_centre: Where it stands.
        address: ``ip:port`` of its inter-VM (or endpoint) interface.
        leaving: Whether the platform has marked it as leaving.
    """

    vm_id: str
    data_centre: str
    address: str
    leaving: bool


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def read(self) -> Sequence[ListedVm]:
        """Read the list; it may be seconds old."""
