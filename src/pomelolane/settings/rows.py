"""The rows in which the platform's table keeps the settings tree.

``settings/branch/<team>`` holds a branch's content, ``settings/history/<team>/
<version>`` what each version was and who wrote it, ``settings/counter`` grows
with every change of any branch.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.ports import Row

BRANCH_PREFIX = "settings/branch/"
COUNTER_KEY = "settings/counter"

_HISTORY_PREFIX = "settings/history/"
_VERSION_DIGITS = 8


class HistoryRecord(msgspec.Struct, frozen=True):
    """Value of a history row.

    Attributes:
        token: Unique token of the write that made the version.
        note: The operator's remark.
        content: Canonical JSON of the branch.
    """

    token: str
    note: str
    content: msgspec.Raw


@dataclass(frozen=True, slots=True)
class BranchVersion:
    """One committed version of a branch.

    Attributes:
        branch: The branch.
        version: Its version, 1 for the first.
        content: Canonical JSON.
        note: The operator's remark, empty where it was not read.
    """

    branch: str
    version: int
    content: bytes
    note: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All branches at one moment.

    Attributes:
        counter: Version of the change counter, 0 before the first change.
        branches: The branches by name.
    """

    counter: int
    branches: Mapping[str, BranchVersion]

    def contents(self) -> dict[str, bytes]:
        """Return the contents by branch."""
        return {name: each.content for name, each in self.branches.items()}

    def versions(self) -> dict[str, int]:
        """Return the versions by branch."""
        return {name: each.version for name, each in self.branches.items()}


def branch_key(branch: str) -> str:
    """Return the key of a branch's current row."""
    return BRANCH_PREFIX + branch


def history_prefix(branch: str) -> str:
    """Return the prefix of a branch's history."""
    return f"{_HISTORY_PREFIX}{branch}/"


def history_key(branch: str, version: int) -> str:
    """Return the key of one version in a branch's history."""
    return f"{history_prefix(branch)}{version:0{_VERSION_DIGITS}d}"


def branch_from_row(row: Row) -> BranchVersion:
    """Return the version that a current row holds."""
    return BranchVersion(row.key.removeprefix(BRANCH_PREFIX), row.version, row.value)


def branch_from_history(branch: str, row: Row) -> BranchVersion:
    """Return the version that a history row holds."""
    record = record_from_row(row)
    version = int(row.key.rpartition("/")[2])
    return BranchVersion(branch, version, bytes(record.content), record.note)


def record_from_row(row: Row) -> HistoryRecord:
    """Decode a history row."""
    return msgspec.json.decode(row.value, type=HistoryRecord)


def encode_record(record: HistoryRecord) -> bytes:
    """Encode a history row."""
    return msgspec.json.encode(record)
