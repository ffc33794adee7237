"""Claims on idempotency keys.

The table's implementation is in ``pomelolane.store.claims``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from pomelolane.outcomes import Refusal
    from pomelolane.sentinels import Missing


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The table's record of who may dispatch a key.

    Attributes:
        key: Organisation and idempotency key, hashed.
        token: Unique token of the ``claim`` call that made it.
        vm_id: Holder.
        incarnation: The holder's start.
        body_digest: Digest of the request, to refuse a key's reuse.
        state: ``claimed``, ``released``, ``done``, ``failed``, ``cut_short`` or
            ``unknown``.
        answer_object: Object that holds the kept answer, empty if none.
        fresh: True only in what the very ``claim`` call returns that inserted
            the record or took over a released one. Nothing but a fresh record
            allows a dispatch, and it allows one.
    """

    key: str
    token: str
    vm_id: str
    incarnation: int
    body_digest: str
    state: str
    answer_object: str = ""
    fresh: bool = False


class Claims(Protocol):
    """Group-committed claims on keys."""

    async def claim(
        self, key: str, body_digest: str, *, timeout_ms: float
    ) -> ClaimRecord | Refusal:
        """Insert a claim, take over a released one, or return what stands.

        Two calls for one key in one process are two claims: at most one of
        them gets a fresh record. A refusal is always ``not_run``; a claim that
        is found to have been committed after its call was refused is released
        in the background.
        """

    async def settle(
        self, record: ClaimRecord, state: str, answer_object: str = ""
    ) -> None:
        """Record the end of an own claim by compare-and-set on its token.

        Returns once it is committed, however long the platform is away; the
        caller runs it in the background. ``released`` lets anybody claim the
        key again, so it is said only of a request that was not and will not
        be dispatched.
        """

    async def read(self, key: str) -> ClaimRecord | Missing:
        """Read the claim that stands for a key.

        Raises:
            PlatformError: The table does not answer.
        """
