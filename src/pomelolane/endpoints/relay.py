"""Passes an endpoint's answer on to the caller, byte by byte as it comes.

The head waits for the first byte of the body, so that a stream which breaks
before it leaves the caller's answer unopened.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.endpoints.direct import DirectSink, direct_cycle
from pomelolane.endpoints.meter import AnswerMeter, RelayObserver

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.endpoints.stream import AnswerStream

    Send = Callable[[dict[str, object]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RelayResult:
    """How a relayed answer ended.

    Attributes:
        status: The endpoint's HTTP status.
        chunks: Events of an event stream, pieces of any other body.
        bytes: Body bytes passed on.
        whole: Whether every byte came, was passed on, and the answer is closed.
        caller_gone: Whether the caller left first.
        broken: Whether the endpoint's stream ended too early.
        cached_tokens: Prompt tokens that the engine found cached, or -1.
        started: Whether the caller has the answer's head; if not, and the
            stream is broken, any other answer may still be sent.
    """

    status: int
    chunks: int
    bytes: int
    whole: bool
    caller_gone: bool
    broken: bool
    cached_tokens: int
    started: bool


async def relay(
    stream: AnswerStream,
    send: Send,
    receive_disconnected: asyncio.Event | None = None,
    *,
    on_first: Callable[[], None] | None = None,
    on_progress: Callable[[int], None] | None = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> RelayResult:
    """Pass an answer on to the caller and close the answer if it is whole.

    An answer that did not come whole is left open, so that the gateway can add
    a last event and close it, or call :func:`abort_answer`. The stream is left
    to the gateway as well, which may keep or close it.

    Args:
        stream: The endpoint's answer.
        send: The raw ASGI ``send``.
        receive_disconnected: Set when the caller has left.
        on_first: Called at the first byte of the body.
        on_progress: Called with the number of chunks so far, now and then.
        headers: Headers added to the endpoint's.
    """
    observer = RelayObserver(on_first, on_progress)
    meter = AnswerMeter(stream)
    passing = asyncio.ensure_future(_pass_on(stream, send, meter, observer, headers))
    caller_gone = await _caller_left_first(passing, receive_disconnected)
    return RelayResult(
        status=stream.status,
        chunks=meter.chunks,
        bytes=meter.bytes,
        whole=meter.is_whole and not caller_gone,
        caller_gone=caller_gone,
        broken=stream.ended and not meter.is_whole,
        cached_tokens=meter.cached_tokens,
        started=meter.started,
    )


async def abort_answer(send: Send) -> None:
    """Close the caller's connection so that it sees the answer as cut.

    Raises:
        ConnectionAbortedError: Where the server has no other way.
    """
    raise ConnectionAbortedError("the endpoint's answer was cut short")


async def _caller_left_first(
    passing: asyncio.Future[bool], gone: asyncio.Event | None
) -> bool:
    if gone is None:
        return await passing
    leaving = asyncio.ensure_future(gone.wait())
    try:
        await asyncio.wait((passing, leaving), return_when=asyncio.FIRST_COMPLETED)
        return await passing if passing.done() else True
    finally:
        for task in (passing, leaving):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _pass_on(
    stream: AnswerStream,
    send: Send,
    meter: AnswerMeter,
    observer: RelayObserver,
    headers: tuple[tuple[bytes, bytes], ...],
) -> bool:
    """Pass the answer on and return whether the caller was seen to leave."""
    await stream.wait()
    if stream.is_broken_unread:
        return False
    await send(
        {
            "type": "http.response.start",
            "status": stream.status,
            "headers": [*stream.headers, *headers],
        }
    )
    meter.started = True
    observer.on_first()
    caller_gone = await _pass_body(stream, send, meter, observer)
    if meter.is_whole and not caller_gone:
        await send({"type": "http.response.body", "body": b"", "more_body": False})
    return caller_gone


async def _pass_body(
    stream: AnswerStream, send: Send, meter: AnswerMeter, observer: RelayObserver
) -> bool:
    cycle = direct_cycle(send)
    if cycle is not None:
        sink = DirectSink(stream, cycle, meter, observer)
        await sink.run()
        return sink.caller_gone
    while data := await stream.read_ready():
        await send({"type": "http.response.body", "body": data, "more_body": True})
        meter.feed(data)
        observer.on_progress(meter.chunks)
    return False
