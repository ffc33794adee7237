"""Timeout for the first byte of an endpoint's answer to a retryable request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointBrokenError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from pomelolane.forwarding.sender import SendResult

EXPECTED_TIME_FACTOR = 3.0
"""Timeout as a multiple of the expected time to the first byte."""

MIN_OBJECTIVE_SHARE = 0.4
"""Minimum timeout as a share of the objective. It is below 1 because another endpoint
must be able to answer in the time left."""


class FirstByteTimeoutError(EndpointBrokenError):
    """An endpoint did not begin to answer in time, and another one has a slot."""


def first_byte_timeout_ms(expected_ms: float, objective_ms: float) -> float:
    """Return the first-byte timeout of a request that may be sent to another endpoint.

    Args:
        expected_ms: Expected time to the first byte.
        objective_ms: Time within which the answer should begin.
    """
    return max(EXPECTED_TIME_FACTOR * expected_ms, MIN_OBJECTIVE_SHARE * objective_ms)


async def wait_for_first_byte(
    sending: Coroutine[Any, Any, SendResult],
    timeout_ms: float | None,
    seek: Callable[[], Coroutine[Any, Any, None]],
) -> SendResult:
    """Send a request and wait for the first byte of the answer.

    Args:
        sending: Sends the request and returns with the head of the answer.
        timeout_ms: Time after which a slot elsewhere is sought, None for never.
        seek: Returns once the request can go on elsewhere. It is cancelled if the
            answer begins before.

    Raises:
        FirstByteTimeoutError: No byte came before the request could go on elsewhere.
        EndpointBrokenError: The connection broke.
    """
    waiting = asyncio.ensure_future(_receive_first_byte(sending))
    seeking: asyncio.Future[None] | None = None
    try:
        if timeout_ms is None:
            return await waiting
        await asyncio.wait({waiting}, timeout=timeout_ms / 1000)
        if not waiting.done():
            seeking = asyncio.ensure_future(seek())
            await asyncio.wait({waiting, seeking}, return_when=asyncio.FIRST_COMPLETED)
        if not waiting.done():
            await seeking
            raise FirstByteTimeoutError(f"nothing within {timeout_ms:.0f} ms")
        return await waiting
    finally:
        waiting.cancel()
        if seeking is not None:
            seeking.cancel()


async def _receive_first_byte(sending: Coroutine[Any, Any, SendResult]) -> SendResult:
    """Send the request and wait until the first byte of the body, or its end, came."""
    sent = await sending
    try:
        await sent.stream.wait()
    except asyncio.CancelledError:
        await sent.stream.aclose()
        raise
    return sent
