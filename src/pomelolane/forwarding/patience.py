"""How long a request waits for the first byte of one endpoint's answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointBrokenError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from pomelolane.forwarding.sender import Sent

PATIENCE_FACTOR = 3.0
"""Times the predicted first byte that a repeatable request waits for it."""

PATIENCE_SHARE = 0.4
"""Part of the objective that it waits at least: what is left must be enough for
another endpoint."""


class SilentEndpointError(EndpointBrokenError):
    """An endpoint is given up because it has not begun to answer."""


def patience_ms(expected_ms: float, objective_ms: float) -> float:
    """Return how long to wait for a first byte where another endpoint may answer."""
    return max(PATIENCE_FACTOR * expected_ms, PATIENCE_SHARE * objective_ms)


async def wait_patiently(
    sending: Coroutine[Any, Any, Sent],
    most_ms: float | None,
    may_leave: Callable[[], bool],
) -> Sent:
    """Wait for a first byte, but not for long where another endpoint may answer.

    Args:
        sending: Sends the request and returns with the head of the answer.
        most_ms: How long to wait before ``may_leave`` is asked, None for no limit.
        may_leave: Tells whether to go to another endpoint, and pays for it.

    Raises:
        SilentEndpointError: The first byte does not come, and another is paid for.
        EndpointBrokenError: The endpoint broke off.
    """
    waiting = asyncio.ensure_future(_first_byte(sending))
    try:
        if most_ms is not None:
            await asyncio.wait({waiting}, timeout=most_ms / 1000)
            if not waiting.done() and may_leave():
                raise SilentEndpointError(f"nothing within {most_ms:.0f} ms")
        return await waiting
    finally:
        if not waiting.done():
            waiting.cancel()


async def _first_byte(sending: Coroutine[Any, Any, Sent]) -> Sent:
    """Return an answer whose first byte, or end, has come."""
    sent = await sending
    try:
        await sent.stream.wait()
    except asyncio.CancelledError:
        await sent.stream.aclose()
        raise
    return sent
