"""Bodies of the operators' settings interface, for server and client alike.

They are JSON; a branch's content travels as it stands in the table.
"""

from __future__ import annotations

import msgspec


class SettingsIndex(msgspec.Struct, frozen=True):
    """Answer to ``GET /admin/settings``.

    Attributes:
        counter: Grows with every change.
        branches: Version by branch.
    """

    counter: int
    branches: dict[str, int]


class BranchBody(msgspec.Struct, frozen=True):
    """Answer to ``GET`` and ``PUT /admin/settings/{branch}``, or one of history.

    Attributes:
        branch: The branch.
        version: Its version.
        content: Its content.
        note: Remark of its writer.
    """

    branch: str
    version: int
    content: msgspec.Raw
    note: str = ""


class HistoryBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /admin/settings/{branch}/history``.

    Attributes:
        versions: Kept versions, newest first.
    """

    versions: tuple[BranchBody, ...]


class TreeProblem(msgspec.Struct, frozen=True):
    """One thing that is wrong with a tree.

    Attributes:
        where: File and line, or the branch's row.
        problem: What is wrong.
        allowed: What is allowed there.
    """

    where: str
    problem: str
    allowed: str


class SettingsProblem(msgspec.Struct, frozen=True):
    """Body of a problem-details answer.

    Attributes:
        type: URN of the reason.
        title: The status's standard phrase.
        status: HTTP status.
        detail: One sentence for people.
        outcome: ``not_run`` where nothing was changed, else ``unknown``.
        reason: Machine-readable cause.
        retry_after_ms: When to come back, 0 where it can't help.
        current_version: Version found, where it was another than expected.
        problems: What is wrong with the tree.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    retry_after_ms: int = 0
    current_version: int = -1
    problems: tuple[TreeProblem, ...] = ()
