"""Makes changes of branches over a VM, and settles those whose reply is lost.

Each branch is one compare-and-set; none is ever stored in part.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.exceptions import (
    CommitUnknownError,
    PomelolaneError,
    VmRefusedError,
)
from pomelolane.outcomes import Outcome, Reason
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.commands.client import VmClient
    from pomelolane.commands.operator_keys import OperatorKeys


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A branch that is to be changed.

    Attributes:
        branch: The branch.
        version: Version that was read, 0 for a new branch.
        old: Content that was read, empty for a new branch.
        new: Content wanted.
        key: Operator's key that is to open it.
    """

    branch: str
    version: int
    old: bytes
    new: bytes
    key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What became of a planned change.

    Attributes:
        change: The change.
        version: The new version, 0 where it was not accepted.
        error: Why it was not accepted, None where it was.
    """

    change: PlannedChange
    version: int = 0
    error: PomelolaneError | None = None


async def plan_changes(
    client: VmClient, contents: dict[str, bytes], keys: OperatorKeys
) -> list[PlannedChange]:
    """Read the branches and return those that differ, the platform's first."""
    versions = (await client.settings_index(keys.any())).branches
    branches = sorted(contents, key=lambda name: (name != PLATFORM_BRANCH, name))
    planned = []
    for branch in branches:
        change = await _plan_change(client, branch, versions, contents[branch], keys)
        if change.old != change.new:
            planned.append(change)
    return planned


async def make_changes(
    client: VmClient, changes: Iterable[PlannedChange], note: str
) -> list[ChangeResult]:
    """Make changes, those again that only failed because of the others.

    A tier may be dropped only after the last work that names it, and a share
    raised only after another was lowered; so a change that leaves the whole
    tree wrong is tried again for as long as some other change is accepted.
    """
    waiting = list(changes)
    results: dict[str, ChangeResult] = {}
    progress = True
    while waiting and progress:
        progress = False
        again = []
        for change in waiting:
            result = await make_change(client, change, note)
            results[change.branch] = result
            progress = progress or result.error is None
            if _is_tree_problem(result):
                again.append(change)
        waiting = again
    return list(results.values())


async def make_change(
    client: VmClient, change: PlannedChange, note: str
) -> ChangeResult:
    """Make one change; a lost reply is settled by reading the branch.

    So is a conflict, which a call repeated on the way has with itself.
    """
    try:
        accepted = await client.put_branch(
            change.branch, change.new, change.version, change.key, note
        )
    except CommitUnknownError as error:
        return await _settle(client, change, error)
    except VmRefusedError as error:
        if error.outcome == Outcome.UNKNOWN or error.reason == Reason.VERSION_CONFLICT:
            return await _settle(client, change, error)
        return ChangeResult(change, error=error)
    except PomelolaneError as error:
        return ChangeResult(change, error=error)
    return ChangeResult(change, accepted.version)


async def _plan_change(
    client: VmClient,
    branch: str,
    versions: dict[str, int],
    content: bytes,
    keys: OperatorKeys,
) -> PlannedChange:
    if branch not in versions:
        return PlannedChange(branch, 0, b"", content, keys.of_team(PLATFORM_BRANCH))
    key = keys.of_team(branch)
    found = await client.branch(branch, key)
    return PlannedChange(branch, found.version, bytes(found.content), content, key)


async def _settle(
    client: VmClient, change: PlannedChange, error: PomelolaneError
) -> ChangeResult:
    try:
        found = await client.branch(change.branch, change.key)
    except PomelolaneError:
        return ChangeResult(change, error=error)
    if found.version == change.version + 1 and bytes(found.content) == change.new:
        return ChangeResult(change, found.version)
    return ChangeResult(change, error=error)


def _is_tree_problem(result: ChangeResult) -> bool:
    error = result.error
    return isinstance(error, VmRefusedError) and error.reason == Reason.INVALID_TREE
