"""Callers that keep their connections, and how each of their requests ended."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.routed.vm import PlatformVm

_PIECES = 4
_AFTER_REFUSAL_S = 0.05
_TIMEOUT_S = 8.0
"""Longer than any request's time limit."""


class Manner(StrEnum):
    """How the bytes of a request come."""

    WHOLE = "whole"
    CHUNKS = "chunks"
    SLOW_BODY = "slow body"
    SLOW_HEAD = "slow head"


@dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended.

    Attributes:
        request_id: Its id.
        line: Method and path.
        manner: How its bytes came.
        number: Number of the request on its connection, from 0.
        sent_s: When its last byte was sent, by the monotonic clock.
        took_s: Time from then to its end.
        status: Status of the answer, 0 for none.
        is_whole: Whether the whole answer came.
    """

    request_id: str
    line: str
    manner: Manner
    number: int
    sent_s: float
    took_s: float
    status: int
    is_whole: bool


async def call_until(
    vm: PlatformVm,
    name: str,
    line: str,
    manner: Manner,
    headers: Sequence[str],
    until_s: float,
    pause_s: float,
) -> list[Ended]:
    """Send one request after the other until a time; return how each has ended."""
    ended: list[Ended] = []
    while time.monotonic() < until_s:
        reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
        is_kept, number = True, 0
        try:
            while is_kept and time.monotonic() < until_s:
                request_id = f"{name}-{len(ended)}"
                fields = [*headers, f"request-id: {request_id}"]
                answering = asyncio.ensure_future(_read_answer(reader))
                await _send(writer, line, manner, fields, pause_s)
                sent_s = time.monotonic()
                status, is_whole, is_kept = await answering
                took_s = time.monotonic() - sent_s
                ended.append(
                    Ended(
                        request_id,
                        line,
                        manner,
                        number,
                        sent_s,
                        took_s,
                        status,
                        is_whole,
                    )
                )
                number += 1
                if status != 200:
                    await asyncio.sleep(_AFTER_REFUSAL_S)
        finally:
            writer.close()
    return ended


async def _send(
    writer: asyncio.StreamWriter,
    line: str,
    manner: Manner,
    fields: Sequence[str],
    pause_s: float,
) -> None:
    body = b"" if line.startswith("GET") else b"a" * 64
    if manner is Manner.CHUNKS and body:
        fields = [*fields, "transfer-encoding: chunked"]
    elif body:
        fields = [*fields, f"content-length: {len(body)}"]
    head = "\r\n".join([f"{line} HTTP/1.1", *fields, "", ""]).encode("latin-1")
    for piece in _pieces(head, body, manner):
        if writer.is_closing():
            return
        writer.write(piece)
        if manner is not Manner.WHOLE:
            await asyncio.sleep(pause_s / _PIECES)


def _pieces(head: bytes, body: bytes, manner: Manner) -> list[bytes]:
    if manner is Manner.SLOW_HEAD:
        return [*_split(head), body]
    if manner is Manner.SLOW_BODY and body:
        return [head, *_split(body)]
    if manner is Manner.CHUNKS and body:
        chunks = [b"%x\r\n%b\r\n" % (len(one), one) for one in _split(body)]
        return [head, *chunks, b"0\r\n\r\n"]
    return [head + body]


def _split(data: bytes) -> list[bytes]:
    size = -(-len(data) // _PIECES)
    return [data[at : at + size] for at in range(0, len(data), size)]


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool, bool]:
    """Return an answer's status, whether it is whole, and the connection kept."""
    status = 0
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ", 2)[1])
            if "transfer-encoding: chunked" in head:
                while size := int(await reader.readline(), 16):
                    await reader.readexactly(size + 2)
                await reader.readexactly(2)
            elif "content-length:" in head:
                length = head.partition("content-length:")[2].split("\r\n")[0]
                await reader.readexactly(int(length))
            else:
                await reader.read()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return status, False, False
    return status, True, "connection: close" not in head
