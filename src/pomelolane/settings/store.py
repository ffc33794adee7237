"""Reads and changes the settings tree in the platform's table.

A change is one atomic compare-and-set over branch, history and counter; it is
called accepted only when the table is known to hold it.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import (
    CommitUnknownError,
    InvalidTreeError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from pomelolane.ports import Write
from pomelolane.settings import rows
from pomelolane.settings.documents import content_of_document, document_from_content
from pomelolane.settings.keys import require_writer
from pomelolane.settings.rows import BranchVersion, HistoryRecord, Snapshot
from pomelolane.settings.tree import tree_from_branches

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pomelolane.ports import Row, Table
    from pomelolane.sentinels import Missing

MAX_CONTENT_BYTES = 1024 * 1024
MAX_NOTE_LENGTH = 200
HISTORY_VERSIONS = 200
"""Versions of a branch that are kept to roll forward to."""

_SCAN_LIMIT = 10_000
_ATTEMPTS = 8
_COMMIT_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class Change:
    """A wish to change one branch.

    Attributes:
        branch: The branch.
        content: New content as JSON.
        expected_version: Version that it replaces, 0 for a new branch.
        operator_key: Bearer key of the team's operator.
        note: Remark kept in the history.
    """

    branch: str
    content: bytes
    expected_version: int
    operator_key: str = field(repr=False)
    note: str = ""


@dataclass(frozen=True, slots=True)
class _Committed:
    """A definite answer to a commit.

    Attributes:
        applied: Whether this very try took effect.
        unknown: The last earlier try whose reply was lost, if any.
    """

    applied: bool
    unknown: CommitUnknownError | None


class SettingsStore:
    """The settings tree as the platform's table holds it.

    Args:
        table: The platform's table.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def snapshot(self) -> Snapshot:
        """Read the whole tree.

        Raises:
            PlatformError: The table does not answer.
        """
        # The counter is read first: a write that finds it unchanged knows
        # that the branches read after it have not changed either.
        counter = await self._table.read(rows.COUNTER_KEY)
        found = await self._table.scan(rows.BRANCH_PREFIX, limit=_SCAN_LIMIT)
        branches = [rows.branch_from_row(row) for row in found]
        return Snapshot(
            counter.version if counter else 0,
            {each.branch: each for each in branches},
        )

    async def history(self, branch: str) -> Sequence[BranchVersion]:
        """Read the kept versions of a branch, newest first.

        Raises:
            PlatformError: The table does not answer.
        """
        found = await self._table.scan(rows.history_prefix(branch), limit=_SCAN_LIMIT)
        versions = [rows.branch_from_history(branch, row) for row in found]
        return tuple(reversed(versions))

    async def put(self, change: Change) -> BranchVersion:
        """Make a change and return the version that it became.

        Raises:
            UnknownOperatorError: The key is nobody's.
            ForbiddenBranchError: The key belongs to another team.
            VersionConflictError: The branch stands at another version.
            InvalidTreeError: The whole tree would not pass the checks.
            CommitUnknownError: The table did not say whether it holds it.
            PlatformError: The table does not answer; nothing was changed.
        """
        token = uuid.uuid4().hex
        for _ in range(_ATTEMPTS):
            snapshot = await self.snapshot()
            content = _checked_content(snapshot, change)
            writes = _writes(change, content, snapshot.counter, token)
            committed = await self._commit(writes)
            version = change.expected_version + 1
            key = rows.history_key(change.branch, version)
            if await self._took_effect(committed, key, token):
                return BranchVersion(change.branch, version, content, change.note)
        raise PlatformUnavailableError("other branches change too often; try again")

    async def import_first(self, branches: Mapping[str, bytes]) -> bool:
        """Store a tree where there is none yet, all branches at once.

        Returns:
            Whether this call stored it; False where the table holds one.

        Raises:
            InvalidTreeError: The tree does not pass the checks.
            PlatformError: The table does not answer.
        """
        tree_from_branches(branches)
        token = uuid.uuid4().hex
        if await self._table.read(rows.COUNTER_KEY):
            return False
        writes = [Write(rows.COUNTER_KEY, token.encode(), 0)]
        for branch, content in sorted(branches.items()):
            writes += _branch_writes(branch, content, 0, token, "first import")
        committed = await self._commit(writes)
        key = rows.history_key(min(branches), 1)
        return await self._took_effect(committed, key, token)

    async def _commit(self, writes: Sequence[Write]) -> _Committed:
        """Commit until the table gives a definite answer.

        Repeating is safe: versions only grow, so a repetition that finds a
        condition broken also proves that no earlier try can still succeed.
        """
        unknown: CommitUnknownError | None = None
        for _ in range(_COMMIT_ATTEMPTS):
            try:
                results = await self._table.commit(writes, atomic=True)
            except CommitUnknownError as error:
                unknown = error
                continue
            except PlatformError:
                if unknown:
                    raise unknown from None
                raise
            applied = all(result.applied for result in results)
            return _Committed(applied, unknown)
        raise unknown or CommitUnknownError("no definite answer to the commit")

    async def _read_back(self, key: str, unknown: CommitUnknownError) -> Row | Missing:
        try:
            return await self._table.read(key)
        except PlatformError:
            raise unknown from None

    async def _took_effect(self, committed: _Committed, key: str, token: str) -> bool:
        """Tell whether a commit, or a try of it whose reply was lost, is in."""
        if committed.applied or not committed.unknown:
            return committed.applied
        row = await self._read_back(key, committed.unknown)
        return bool(row) and rows.record_from_row(row).token == token


def _checked_content(snapshot: Snapshot, change: Change) -> bytes:
    contents = snapshot.contents()
    require_writer(contents, change.branch, change.operator_key)
    current = snapshot.branches.get(change.branch)
    current_version = current.version if current else 0
    if current_version != change.expected_version:
        key = rows.branch_key(change.branch)
        raise VersionConflictError(key, current_version)
    document = document_from_content(change.branch, change.content)
    if len(change.content) > MAX_CONTENT_BYTES:
        document.report((), "too large", f"at most {MAX_CONTENT_BYTES} bytes")
    if document.problems:
        raise InvalidTreeError(tuple(document.problems))
    content = content_of_document(document)
    tree_from_branches({**contents, change.branch: content})
    return content


def _writes(change: Change, content: bytes, counter: int, token: str) -> list[Write]:
    writes = _branch_writes(
        change.branch, content, change.expected_version, token, change.note
    )
    outdated = change.expected_version + 1 - HISTORY_VERSIONS
    if outdated > 0:
        writes.append(Write(rows.history_key(change.branch, outdated), None, None))
    return [Write(rows.COUNTER_KEY, token.encode(), counter), *writes]


def _branch_writes(
    branch: str, content: bytes, expected_version: int, token: str, note: str
) -> list[Write]:
    record = HistoryRecord(token, note[:MAX_NOTE_LENGTH], msgspec.Raw(content))
    version = expected_version + 1
    return [
        Write(rows.branch_key(branch), content, expected_version),
        Write(rows.history_key(branch, version), rows.encode_record(record), 0),
    ]
