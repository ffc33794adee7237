"""Callers that keep their connections until the process at the other end is gone."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from bench.soak.evidence import Call
from standins.routed.streams import CallerStream, take_stream

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence
    from itertools import count

    from bench.soak.evidence import Evidence
    from standins.routed.vm import PlatformVm

CALLERS_PER_VM = 6
_MEAN_PAUSE_S = 0.4
_TIMEOUT_S = 4.0
_AGAIN_S = 0.1
_STREAM_ATTEMPTS = 4
STREAM_LINE = "POST /help/a"
_PATHS = ("GET /plain/a", "POST /plain/file/a", "POST /chat/a", "POST /help/a")


class Caller:
    """One caller of one VM.

    Args:
        vm: The VM.
        number: Its number.
        headers: Headers of all requests.
        evidence: Where calls are noted.
        draw: Chooses paths and pauses.
        ids: Numbers for requests.
    """

    def __init__(
        self,
        vm: PlatformVm,
        number: int,
        headers: list[str],
        evidence: Evidence,
        draw: random.Random,
        ids: count,
    ) -> None:
        self._vm = vm
        self._number = number
        self._headers = headers
        self._evidence = evidence
        self._draw = draw
        self._ids = ids

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            try:
                connection = await asyncio.open_connection(
                    self._vm.ip, self._vm.front.port
                )
            except OSError:
                await asyncio.sleep(_AGAIN_S)
                continue
            try:
                while await self._ask(*connection):
                    pause_s = self._draw.expovariate(1 / _MEAN_PAUSE_S)
                    await asyncio.sleep(pause_s)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self._evidence.statuses[0] += 1
            finally:
                connection[1].close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        request_id = f"{self._number}-{next(self._ids)}"
        path = self._draw.choice(_PATHS)
        call = Call(time.monotonic(), path)
        self._evidence.calls[request_id] = call
        lines = [f"{path} HTTP/1.1", f"request-id: {request_id}", *self._headers]
        writer.write("\r\n".join([*lines, "content-length: 0", "", ""]).encode())
        async with asyncio.timeout(_TIMEOUT_S):
            call.status, closes = await _read_answer(reader)
        self._evidence.statuses[call.status] += 1
        return not closes


async def take_streams(
    vms: Sequence[PlatformVm],
    headers: Sequence[str],
    evidence: Evidence,
    draw: random.Random,
    ids: count,
) -> None:
    """Take streams until cancelled; leave half of them and resume them elsewhere."""

    def make_id(vm: PlatformVm) -> str:
        request_id = f"{vms.index(vm)}-{next(ids)}"
        evidence.calls[request_id] = Call(time.monotonic(), STREAM_LINE)
        return request_id

    while True:
        order = draw.sample(vms, min(len(vms), _STREAM_ATTEMPTS))
        leaves = [draw.randint(1, 4) for _ in range(draw.choice((0, 0, 1, 2)))]
        stream = CallerStream()
        evidence.streams.append(stream)
        await take_stream(order, make_id, STREAM_LINE, headers, leaves, stream=stream)
        await asyncio.sleep(draw.expovariate(1 / _MEAN_PAUSE_S))


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split(" ", 2)[1])
    fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    else:
        while size := int(await _read_line(reader), 16):
            await reader.readexactly(size + 2)
        await _read_line(reader)
    return status, fields.get("connection") == "close"


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line; an answer that ends without one was broken off."""
    return await reader.readuntil(b"\n")
