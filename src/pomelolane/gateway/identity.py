"""Who is calling: organisations and operators by the digest of their key.

Keys themselves are never stored or logged, only compared by SHA-256.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from pomelolane.exceptions import BadRequestError
from pomelolane.outcomes import Reason

if TYPE_CHECKING:
    from pomelolane.model import Organisation, Team, Tree

_SCHEME = b"bearer "


def digest_from_header(authorization: bytes) -> str:
    """Return the SHA-256 of a bearer key.

    Raises:
        BadRequestError: 401 where the header holds no bearer key.
    """
    key = authorization[len(_SCHEME) :].strip()
    if authorization[: len(_SCHEME)].lower() != _SCHEME or not key:
        raise BadRequestError(
            401, Reason.UNAUTHENTICATED, "a bearer key is needed in Authorization"
        )
    return hashlib.sha256(key).hexdigest()


class KeyRing:
    """The keys of one settings tree."""

    def __init__(self, tree: Tree) -> None:
        self._organisations = {
            organisation.key_sha256: organisation
            for organisation in tree.organisations.values()
        }
        self._operators = {
            team.operator_key_sha256: team
            for team in tree.teams.values()
            if team.operator_key_sha256
        }

    def organisation(self, authorization: bytes) -> Organisation:
        """Return the organisation that a bearer key belongs to.

        Raises:
            BadRequestError: 401 where the key is unknown.
        """
        digest = digest_from_header(authorization)
        organisation = self._organisations.get(digest)
        if organisation is None:
            raise BadRequestError(401, Reason.UNAUTHENTICATED, "unknown bearer key")
        return organisation

    def operator(self, authorization: bytes) -> Team:
        """Return the team whose operator key was given.

        Raises:
            BadRequestError: 401 where the key is no operator's.
        """
        team = self._operators.get(digest_from_header(authorization))
        if team is None:
            raise BadRequestError(401, Reason.UNAUTHENTICATED, "no operator's key")
        return team
