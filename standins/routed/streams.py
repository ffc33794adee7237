"""Callers that resume their streams at other VMs, and what they have seen.

Events name the version of the endpoint that made them. Endpoints go on with any stream,
as those of the users' platform do.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from standins.routed.vm import PlatformVm

TIMEOUT_S = 6.0
_EVENT_ID = b"id"
_DATA = b"data"
_EVENT_END = b"\n"
_FRAMES = (b"transfer-encoding:", b"content-length:")
_LAST_CHUNK = b"0\r\n"


@dataclass(slots=True)
class Attempt:
    """One request of a stream.

    Attributes:
        request_id: Its id.
        vm_id: VM that got it.
        sent_s: When it was sent, by the monotonic clock.
        resumes: Whether the caller had events of the stream before.
        status: Status of the answer, 0 for none.
        versions: Version of each event that it brought.
        is_complete: Whether the answer ended as complete.
        left: Whether the caller left it.
        timed_out: Whether the caller gave up.
        held_s: Time until the answer ended or the caller left, 0 before.
    """

    request_id: str
    vm_id: str
    sent_s: float
    resumes: bool
    status: int = 0
    versions: list[str] = field(default_factory=list)
    is_complete: bool = False
    left: bool = False
    timed_out: bool = False
    held_s: float = 0.0

    @property
    def goes_on(self) -> bool:
        """Whether it brought any event, or the end behind the last one."""
        return bool(self.versions) or (self.status == 200 and self.is_complete)


@dataclass(slots=True)
class CallerStream:
    """A stream over all attempts of its caller.

    Attributes:
        attempts: In order.
        event_ids: Ids of the events that the caller got, in order.
    """

    attempts: list[Attempt] = field(default_factory=list)
    event_ids: list[int] = field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        """Versions that have made its events."""
        return {version for each in self.attempts for version in each.versions}

    @property
    def first_request_id(self) -> str:
        """Id of the attempt that brought the first event, empty for none."""
        brought = (each.request_id for each in self.attempts if each.versions)
        return next(brought, "")

    @property
    def has_gaps(self) -> bool:
        """Whether events are missing or came twice."""
        return self.event_ids != list(range(1, len(self.event_ids) + 1))


async def take_stream(
    vms: Sequence[PlatformVm],
    make_id: Callable[[PlatformVm], str],
    line: str,
    headers: Sequence[str],
    leaves_after: Sequence[int] = (),
    *,
    stream: CallerStream | None = None,
) -> CallerStream:
    """Take a stream, one attempt at each VM until it is complete.

    Args:
        vms: VMs in the order in which they are asked.
        make_id: Makes the id of an attempt at a VM.
        line: Method and path.
        headers: Headers of all attempts.
        leaves_after: Number of events after which the caller leaves, by attempt.
        stream: Where the attempts are noted, None for a new one.
    """
    stream = stream or CallerStream()
    leaves = dict(enumerate(leaves_after))
    for number, vm in enumerate(vms):
        attempt = Attempt(
            make_id(vm), vm.vm_id, time.monotonic(), bool(stream.event_ids)
        )
        fields = [*headers, f"request-id: {attempt.request_id}"]
        if attempt.resumes:
            fields.append(f"last-event-id: {stream.event_ids[-1]}")
            fields.append(f"resumes: {stream.first_request_id}")
        stream.attempts.append(attempt)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await _ask(vm, line, fields, stream, leaves.get(number, 0))
        except TimeoutError:
            attempt.timed_out = True
        except (OSError, asyncio.IncompleteReadError):
            # The answer was broken off, which the attempt shows.
            pass
        attempt.held_s = time.monotonic() - attempt.sent_s
        if attempt.is_complete and attempt.status == 200:
            break
    return stream


async def _ask(
    vm: PlatformVm,
    line: str,
    headers: Sequence[str],
    stream: CallerStream,
    leaves_after: int,
) -> None:
    """Read one answer to its end, or until the caller leaves."""
    attempt = stream.attempts[-1]
    reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
    fields = [f"{line} HTTP/1.1", *headers, "content-length: 0", "", ""]
    writer.write("\r\n".join(fields).encode("latin-1"))
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        attempt.status = int(head.split(b" ", 2)[1])
        if attempt.status != 200:
            return
        fields = head.lower().split(b"\r\n")
        ends_by_close = not any(field.startswith(_FRAMES) for field in fields)
        event = {}
        while text := await reader.readline():
            name, _, value = text.partition(b": ")
            event[name] = value
            if text == _EVENT_END and event.keys() >= {_EVENT_ID, _DATA}:
                stream.event_ids.append(int(event[_EVENT_ID]))
                attempt.versions.append(event[_DATA].split()[-1].decode())
                event = {}
            attempt.is_complete = text == _LAST_CHUNK
            attempt.left = len(attempt.versions) == leaves_after > 0
            if attempt.is_complete or attempt.left:
                return
        attempt.is_complete = ends_by_close and _EVENT_ID not in event
    finally:
        writer.close()
