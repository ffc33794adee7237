"""Calls that prefer an asynchronous answer, as callers see them.

The durable part is in ``pomelolane.jobs``; this is its HTTP face.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from blacksheep import Response

    from pomelolane.gateway.intake import Call
    from pomelolane.model import Organisation


class JobCalls(Protocol):
    """What the gateway needs of the job service."""

    async def accept(self, call: Call) -> Response:
        """Store a job durably and answer 202, or refuse."""

    async def state(self, organisation: Organisation, job_id: str) -> Response:
        """Answer with a job's state."""

    async def answer(self, organisation: Organisation, job_id: str) -> Response:
        """Answer with a finished job's answer."""

    async def cancel(self, organisation: Organisation, job_id: str) -> Response:
        """Cancel a job."""
