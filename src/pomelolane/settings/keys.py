"""Operators' keys: whom a key belongs to and which branches it opens.

Only digests are kept; they are read from the branches' raw content, so that
a tree that no longer passes the checks can still be mended.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import ForbiddenBranchError, UnknownOperatorError
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from collections.abc import Mapping


class _TeamPart(msgspec.Struct, frozen=True):
    operator_key_sha256: str = ""


class _BranchPart(msgspec.Struct, frozen=True):
    team: _TeamPart = _TeamPart()


def operator_of_key(branches: Mapping[str, bytes], key: str) -> str:
    """Return the team whose operator's key it is.

    Raises:
        UnknownOperatorError: It is nobody's.
    """
    digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    for branch, content in branches.items():
        kept = _operator_digest(content)
        if kept and hmac.compare_digest(kept.encode(), digest.encode()):
            return branch
    raise UnknownOperatorError("the operator's key is missing or belongs to no team")


def bearer_key(authorization: str) -> str:
    """Return the key in a header ``Authorization``, empty if there is none."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def require_writer(branches: Mapping[str, bytes], branch: str, key: str) -> None:
    """Check that a key may change a branch.

    A team's key changes its own branch; the platform's key also makes the
    branch of a new team.

    Raises:
        UnknownOperatorError: The key is nobody's.
        ForbiddenBranchError: It belongs to another team.
    """
    operator = operator_of_key(branches, key)
    makes_branch = operator == PLATFORM_BRANCH and branch not in branches
    if operator != branch and not makes_branch:
        raise ForbiddenBranchError(branch)


def require_reader(branches: Mapping[str, bytes], branch: str, key: str) -> None:
    """Check that a key may read a branch.

    A team reads its own branch and the platform's; the platform reads all.

    Raises:
        UnknownOperatorError: The key is nobody's.
        ForbiddenBranchError: It belongs to another team.
    """
    operator = operator_of_key(branches, key)
    if branch != PLATFORM_BRANCH and operator not in (branch, PLATFORM_BRANCH):
        raise ForbiddenBranchError(branch)


def _operator_digest(content: bytes) -> str:
    try:
        return msgspec.json.decode(content, type=_BranchPart).team.operator_key_sha256
    except (msgspec.DecodeError, RecursionError):
        return ""
