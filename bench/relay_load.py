"""The callers of the relay bench: streams of tokens, read and timed.

They use the product's own endpoint client, straight or through a VM.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.endpoints import ConnectionPool, SseCounter
from pomelolane.exceptions import EndpointError

if TYPE_CHECKING:
    from collections.abc import Callable

_CALL_TIMEOUT_S = 30.0
_SETTLE_S = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """How much is sent.

    Attributes:
        requests_per_s: Arrivals, evenly spaced.
        output_tokens: Length of each answer.
        seconds: For how long requests are sent.
        steady_s: For how long after the last request no answer ends.
        headers: Headers of each request.
        model: Service asked for.
    """

    requests_per_s: float
    output_tokens: int
    seconds: float
    steady_s: float = 0.0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    model: str = "bench"


@dataclass(slots=True)
class LoadResult:
    """What the callers saw.

    Attributes:
        ttft_ms: Time to first token of each request.
        events: Events read.
        failed: Requests that did not come whole.
        cpu_s: CPU time of this process meanwhile.
        steady_events: Events read while no request began or ended.
        steady_cpu_s: CPU time of the target in that time.
    """

    ttft_ms: list[float] = field(default_factory=list)
    events: int = 0
    failed: int = 0
    cpu_s: float = 0.0
    steady_events: int = 0
    steady_cpu_s: float = 0.0


async def run_load(
    address: str, load: Load, target_cpu_s: Callable[[], float]
) -> LoadResult:
    """Send requests to an address and read all answers.

    Args:
        address: Where to send them.
        load: What to send.
        target_cpu_s: Returns the CPU time that the target has used so far.
    """
    result = LoadResult()
    sampling = asyncio.create_task(_sample_steady(load, target_cpu_s, result))
    pool = ConnectionPool()
    loop = asyncio.get_running_loop()
    started = loop.time()
    cpu_started = time.process_time()
    tasks = []
    for number in range(int(load.requests_per_s * load.seconds)):
        at = started + number / load.requests_per_s
        if (delay := at - loop.time()) > 0:
            await asyncio.sleep(delay)
        request = _request(number, load)
        call = _call(pool, address, request, load.output_tokens, result)
        tasks.append(loop.create_task(call))
    await asyncio.gather(*tasks)
    await sampling
    result.cpu_s = time.process_time() - cpu_started
    return result


async def _sample_steady(
    load: Load, target_cpu_s: Callable[[], float], result: LoadResult
) -> None:
    await asyncio.sleep(load.seconds + _SETTLE_S)
    events, cpu_s = result.events, target_cpu_s()
    await asyncio.sleep(load.steady_s)
    result.steady_events = result.events - events
    result.steady_cpu_s = target_cpu_s() - cpu_s


def _request(number: int, load: Load) -> bytes:
    body = (
        b'{"model":"%b","stream":true,"max_tokens":%d,"x_output_tokens":%d,'
        b'"messages":[{"role":"user","content":"entry %d"}]}'
    ) % (load.model.encode(), load.output_tokens, load.output_tokens, number)
    head = [
        b"POST /v1/chat/completions HTTP/1.1",
        b"host: bench",
        b"content-type: application/json",
        b"x-request-id: load-%d" % number,
        b"content-length: %d" % len(body),
        *(name + b": " + value for name, value in load.headers),
    ]
    return b"\r\n".join([*head, b"", body])


async def _call(
    pool: ConnectionPool,
    address: str,
    request: bytes,
    output_tokens: int,
    result: LoadResult,
) -> None:
    counter = SseCounter()
    started = time.perf_counter()
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            connection = await pool.acquire(address)
            stream = await connection.exchange("POST", (request,))
            async for data in stream.chunks():
                if not counter.data_lines:
                    result.ttft_ms.append((time.perf_counter() - started) * 1000.0)
                events = counter.data_lines
                counter.feed(data)
                result.events += counter.data_lines - events
    except (EndpointError, TimeoutError):
        result.failed += 1
        return
    result.events -= counter.data_lines - counter.events
    if not counter.is_done or counter.events < output_tokens:
        result.failed += 1
