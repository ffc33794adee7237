"""Passes an endpoint's answer on to the caller, byte by byte as it comes.

The head waits for the first byte of the body, so that a stream which breaks
before it leaves the caller's answer unopened.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.endpoints.direct import DirectSink, direct_cycle, has_left
from pomelolane.endpoints.meter import AnswerMeter, RelayObserver

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Sequence

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from pomelolane.endpoints.stream import AnswerStream

    Header = tuple[bytes, bytes]
    Send = Callable[[dict[str, object]], Awaitable[None]]


_BODILESS_STATUSES = (204, 304)


@dataclass(frozen=True, slots=True)
class RelayResult:
    """How a relayed answer ended.

    Attributes:
        status: The endpoint's HTTP status.
        chunks: Events of an event stream, pieces of any other body.
        bytes: Body bytes passed on.
        whole: Whether every byte came and was passed on, to the caller or, when
            it has left, to the copy; the caller's answer is closed then.
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
    headers: tuple[Header, ...] = (),
    copy_to: Callable[[bytes], None] | None = None,
) -> RelayResult:
    """Pass an answer on to the caller and close the answer if it is whole.

    An answer that did not come whole is left open, so that the gateway can add
    a last event and close it, or return and have the server cut it. The stream
    is left to the gateway as well, which may keep or close it.

    Args:
        stream: The endpoint's answer.
        send: The server's own ASGI ``send``; the body passes it by where the
            server can be driven directly.
        receive_disconnected: Set when the caller has left.
        on_first: Called at the first byte of the body.
        on_progress: Called with the number of chunks so far, now and then.
        headers: Headers added to the endpoint's.
        copy_to: Given every byte of the body that is passed on, some of them a
            few tokens late, all of them before the relay returns. With a copy
            the relay goes on when a directly driven caller leaves.
    """
    observer = RelayObserver(on_first, on_progress)
    meter = AnswerMeter(stream, copy_to)
    passing = _pass_on(stream, send, meter, observer, headers)
    if receive_disconnected is None:
        caller_gone = await passing
    else:
        caller_gone = await _caller_left_first(passing, receive_disconnected)
    return RelayResult(
        status=stream.status,
        chunks=meter.chunks,
        bytes=meter.bytes,
        whole=meter.is_whole and (not caller_gone or copy_to is not None),
        caller_gone=caller_gone,
        broken=stream.ended and not meter.is_whole,
        cached_tokens=meter.cached_tokens,
        started=meter.started,
    )


async def _caller_left_first(
    passing: Coroutine[None, None, bool], gone: asyncio.Event
) -> bool:
    passing = asyncio.ensure_future(passing)
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
    headers: tuple[Header, ...],
) -> bool:
    """Pass the answer on and return whether the caller was seen to leave."""
    await stream.wait()
    if stream.is_broken_unread:
        return False
    cycle = direct_cycle(send)
    if cycle is None or not has_left(cycle):
        await send(
            {
                "type": "http.response.start",
                "status": stream.status,
                "headers": [*_caller_headers(stream), *headers],
            }
        )
        meter.started = True
    observer.on_first()
    caller_gone = await _pass_body(stream, send, cycle, meter, observer)
    if meter.is_whole and not caller_gone:
        await send({"type": "http.response.body", "body": b"", "more_body": False})
    return caller_gone


def _caller_headers(stream: AnswerStream) -> Sequence[Header]:
    """Return the headers, without a length that must not frame the body.

    The caller's server would miss the body of some statuses, and a stream of events may
    have its length and lack its end marker.
    """
    if stream.status not in _BODILESS_STATUSES and not stream.is_events:
        return stream.headers
    return [header for header in stream.headers if header[0] != b"content-length"]


async def _pass_body(
    stream: AnswerStream,
    send: Send,
    cycle: RequestResponseCycle | None,
    meter: AnswerMeter,
    observer: RelayObserver,
) -> bool:
    if cycle is not None:
        sink = DirectSink(stream, cycle, meter, observer)
        await sink.run()
        return sink.caller_gone
    while data := await stream.read_ready():
        await send({"type": "http.response.body", "body": data, "more_body": True})
        meter.feed(data)
        observer.on_progress(meter.chunks)
    return False
