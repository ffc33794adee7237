"""The platform's services kept in this process's memory.

They serve a first try on one VM and the tests; nothing survives the process.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import TYPE_CHECKING

from pomelolane.ports import Row, WriteResult
from pomelolane.sentinels import NOT_FOUND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import ListedVm, Write
    from pomelolane.sentinels import Missing


class EmbeddedTable:
    """A table with compare-and-set over a dictionary."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self.commits = 0

    async def read(self, key: str) -> Row | Missing:
        """Read one row."""
        return self._rows.get(key, NOT_FOUND)

    async def scan(self, prefix: str, *, limit: int = 1000) -> Sequence[Row]:
        """Read the rows whose key starts with ``prefix``, in key order."""
        found: list[Row] = []
        for index in range(bisect_left(self._keys, prefix), len(self._keys)):
            key = self._keys[index]
            if len(found) >= limit or not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = True
    ) -> Sequence[WriteResult]:
        """Commit writes at once; see :class:`pomelolane.ports.Table`."""
        self.commits += 1
        if atomic and not all(self._holds(write) for write in writes):
            return [
                WriteResult(write.key, False, self._version(write.key))
                for write in writes
            ]
        return [self._apply(write) for write in writes]

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _holds(self, write: Write) -> bool:
        return write.if_version is None or write.if_version == self._version(write.key)

    def _apply(self, write: Write) -> WriteResult:
        version = self._version(write.key)
        if not self._holds(write):
            return WriteResult(write.key, False, version)
        if write.value is None:
            self._remove(write.key)
            return WriteResult(write.key, True, 0)
        if version == 0:
            insort(self._keys, write.key)
        self._rows[write.key] = Row(write.key, version + 1, write.value)
        return WriteResult(write.key, True, version + 1)

    def _remove(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            del self._keys[bisect_left(self._keys, key)]


class EmbeddedObjectStore:
    """An object store over a dictionary."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> None:
        """Store an object whole."""
        self._objects[name] = bytes(data)

    async def get(self, name: str) -> bytes | Missing:
        """Read an object whole."""
        return self._objects.get(name, NOT_FOUND)

    async def delete(self, name: str) -> None:
        """Delete an object if it is there."""
        self._objects.pop(name, None)


class EmbeddedVmList:
    """A list of VMs that its owner sets.

    Args:
        vms: First content.
    """

    def __init__(self, vms: Sequence[ListedVm] = ()) -> None:
        self._vms = tuple(vms)

    async def read(self) -> Sequence[ListedVm]:
        """Read the list."""
        return self._vms

    def replace(self, vms: Sequence[ListedVm]) -> None:
        """Set the list."""
        self._vms = tuple(vms)


class EmbeddedWeightStore:
    """A weight store that holds nothing to download and refuses nothing."""

    async def fetch(self, model: str) -> bytes | Missing:
        """Read a model's weights."""
        del model
        return b""
