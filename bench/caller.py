"""A caller that records what it got: status, times, tokens and text.

It checks each whole answer against its own prompt, so that a foreign or
damaged answer is never counted as good.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from xxhash import xxh3_64_hexdigest

if TYPE_CHECKING:
    from collections.abc import Mapping

_TAG_LENGTH = 12
_GRACE_MS = 3000
_DEFAULT_TIMEOUT_MS = 60000
_JOB_POLL_S = 0.1
_JOB_ENDED = frozenset({"done", "finished", "failed", "cancelled", "unknown"})
_JOB_GOOD = frozenset({"done", "finished"})
_DATA = b"data: "
_DONE = b"[DONE]"
_EVENT_END = b"\n\n"


@dataclass(slots=True)
class CallRecord:
    """What became of one call.

    Attributes:
        request_id: The product's id of the request.
        status: HTTP status, 0 where none came.
        outcome: Typed outcome of an error, empty on success.
        reason: Typed reason of an error, empty on success.
        retry_after_ms: When to come back, 0 where not said.
        sent_at_ms: Unix time at which the call was sent.
        ttft_ms: Time until the first token, -1 where none came.
        gaps_ms: Times between tokens.
        total_ms: Time until the end.
        text: The answer's text or body.
        versions: Versions of the engines that made the events of the answer.
        whole: Whether the answer is whole and the caller's own.
        tag: Marks every token of the right answer.
        received_bytes: Length of the answer's body on the wire.
        error: What broke at the caller's side, empty if nothing did.
        location: Where a job's state can be read.
        headers: Headers of the answer, names in lower case.
    """

    request_id: str = ""
    status: int = 0
    outcome: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    sent_at_ms: float = 0.0
    ttft_ms: float = -1.0
    gaps_ms: list[float] = field(default_factory=list)
    total_ms: float = 0.0
    text: str = ""
    versions: set[str] = field(default_factory=set)
    whole: bool = False
    tag: str = ""
    received_bytes: int = 0
    error: str = ""
    location: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def tokens(self) -> int:
        """Answer tokens received."""
        return self.text.count(" ")

    def brief(self) -> str:
        """Return what matters of it in one line."""
        return (
            f"{self.request_id} {self.status} {self.outcome}/{self.reason} "
            f"whole={self.whole} tokens={self.tokens} after {self.total_ms:.0f} ms "
            f"{self.error}"
        )


class Caller:
    """Sends calls over one pool of connections.

    Args:
        connections: Connections open at one time, 0 for any number.
    """

    def __init__(self, connections: int = 0) -> None:
        connector = aiohttp.TCPConnector(limit=connections)
        self._session = aiohttp.ClientSession(connector=connector)

    async def __aenter__(self) -> Caller:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send(
        self,
        url: str,
        key: str,
        *,
        service: str,
        work: str = "",
        prompt: str = "",
        output_tokens: int = 16,
        max_tokens: int = 0,
        stream: bool = True,
        deadline_ms: int = 0,
        idempotency_key: str = "",
        respond_async: bool = False,
        timeout_ms: float = 0.0,
    ) -> CallRecord:
        """Ask a service of model engines and read the whole answer.

        Args:
            url: Base URL of a VM.
            key: The organisation's bearer key.
            service: Service name, sent as the model.
            work: Kind of work, empty for the service's default.
            prompt: The user's message.
            output_tokens: Length that the answer will have.
            max_tokens: Bound that the caller states, 0 for just that length.
            stream: Whether tokens are streamed.
            deadline_ms: Deadline to send, 0 for the work's own.
            idempotency_key: Key to send, empty for none.
            respond_async: Whether the work is handed in as a job.
            timeout_ms: When the caller gives up, 0 for soon after its deadline.
        """
        body = {
            "model": service,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream and not respond_async,
            "max_tokens": max_tokens or output_tokens,
            "x_output_tokens": output_tokens,
        }
        headers = _headers(key, work, deadline_ms, idempotency_key, respond_async)
        headers["Content-Type"] = "application/json"
        record = await self._call(
            "POST",
            f"{url}/v1/chat/completions",
            headers,
            msgspec.json.encode(body),
            timeout_ms or _patience_ms(deadline_ms),
        )
        record.tag = answer_tag(prompt)
        if record.status == 200:
            record.whole = record.text == expected_text(prompt, output_tokens)
        return record

    async def send_plain(
        self,
        url: str,
        key: str,
        *,
        service: str,
        path: str = "",
        method: str = "POST",
        body: bytes = b"",
        work: str = "",
        deadline_ms: int = 0,
        idempotency_key: str = "",
        timeout_ms: float = 0.0,
    ) -> CallRecord:
        """Call a plain service through its own path."""
        record = await self._call(
            method,
            f"{url}/services/{service}/{path}",
            _headers(key, work, deadline_ms, idempotency_key, respond_async=False),
            body,
            timeout_ms or _patience_ms(deadline_ms),
        )
        record.whole = record.status == 200 and not record.error
        return record

    async def await_job(
        self,
        url: str,
        key: str,
        accepted: CallRecord,
        *,
        prompt: str,
        output_tokens: int,
        timeout_ms: float = _DEFAULT_TIMEOUT_MS,
    ) -> CallRecord:
        """Wait for a job that :meth:`send` handed in and read its answer."""
        headers = {"Authorization": f"Bearer {key}"}
        give_up_at_ms = _now_ms() + timeout_ms
        record = CallRecord(accepted.request_id, location=accepted.location)
        record.sent_at_ms = accepted.sent_at_ms
        while _now_ms() < give_up_at_ms:
            state = await self.job_state(url, key, accepted.location)
            if state in _JOB_ENDED:
                break
            await asyncio.sleep(_JOB_POLL_S)
        else:
            record.error = "job did not end"
            return record
        if state not in _JOB_GOOD:
            record.outcome = state
            return record
        answer = await self._call(
            "GET", f"{url}{accepted.location}/answer", headers, b"", timeout_ms
        )
        answer.location = accepted.location
        answer.sent_at_ms = accepted.sent_at_ms
        answer.total_ms = _unix_ms() - accepted.sent_at_ms
        answer.tag = answer_tag(prompt)
        answer.whole = answer.text == expected_text(prompt, output_tokens)
        return answer

    async def job_state(self, url: str, key: str, location: str) -> str:
        """Read a job's state, empty where it could not be read."""
        headers = {"Authorization": f"Bearer {key}"}
        try:
            async with self._session.get(url + location, headers=headers) as response:
                if response.status != 200:
                    return ""
                document = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError):
            return ""
        return str(document.get("state", ""))

    async def _call(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_ms: float,
    ) -> CallRecord:
        record = CallRecord(sent_at_ms=_unix_ms())
        started_ms = _now_ms()
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)
        try:
            request = self._session.request(
                method, url, headers=headers, data=body, timeout=timeout
            )
            async with request as response:
                await _read_answer(response, record, started_ms)
        except TimeoutError:
            record.error = "timeout"
        except aiohttp.ClientError as error:
            record.error = f"{type(error).__name__}: {error}"
        record.total_ms = _now_ms() - started_ms
        return record


async def send(url: str, key: str, **call: Any) -> CallRecord:
    """Send one call over a connection of its own; see :meth:`Caller.send`."""
    async with Caller() as caller:
        return await caller.send(url, key, **call)


def answer_tag(prompt: str) -> str:
    """Return the mark of all tokens that answer a prompt."""
    return xxh3_64_hexdigest(prompt.encode())[:_TAG_LENGTH]


def expected_text(prompt: str, output_tokens: int) -> str:
    """Return the answer that the stand-in of an engine gives to a prompt."""
    tag = answer_tag(prompt)
    return "".join(f"{tag}-{number} " for number in range(output_tokens))


def _headers(
    key: str, work: str, deadline_ms: int, idempotency_key: str, respond_async: bool
) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {key}"}
    if work:
        headers["X-Work"] = work
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    if respond_async:
        headers["Prefer"] = "respond-async"
    return headers


def _patience_ms(deadline_ms: int) -> float:
    return deadline_ms + _GRACE_MS if deadline_ms else _DEFAULT_TIMEOUT_MS


def _now_ms() -> float:
    return time.monotonic() * 1000.0


def _unix_ms() -> float:
    return time.time() * 1000.0


async def _read_answer(
    response: aiohttp.ClientResponse, record: CallRecord, started_ms: float
) -> None:
    record.status = response.status
    record.headers = {name.lower(): value for name, value in response.headers.items()}
    record.request_id = record.headers.get("x-request-id", "")
    record.location = record.headers.get("location", "")
    if response.content_type == "text/event-stream":
        await _read_stream(response, record, started_ms)
        return
    data = await response.read()
    record.received_bytes = len(data)
    if response.status < 300:
        record.text = answer_text(data)
        record.ttft_ms = _now_ms() - started_ms
        return
    _read_problem(data, record)


async def _read_stream(
    response: aiohttp.ClientResponse, record: CallRecord, started_ms: float
) -> None:
    """Collect raw chunks with their times; parse once the stream has ended."""
    parts: list[bytes] = []
    last_ms = started_ms
    try:
        async for data in response.content.iter_any():
            now_ms = _now_ms()
            events = data.count(_EVENT_END)
            parts.append(data)
            record.received_bytes += len(data)
            if not events:
                continue
            if record.ttft_ms < 0:
                record.ttft_ms = now_ms - started_ms
            else:
                record.gaps_ms.append(now_ms - last_ms)
            record.gaps_ms.extend([0.0] * (events - 1))
            last_ms = now_ms
    finally:
        _parse_stream(b"".join(parts), record)


def _parse_stream(data: bytes, record: CallRecord) -> None:
    texts: list[str] = []
    for event in data.split(_EVENT_END):
        for line in event.split(b"\n"):
            if line.startswith(_DATA) and not line.endswith(_DONE):
                _parse_event(line[len(_DATA) :], texts, record)
    record.text = "".join(texts)


def _parse_event(data: bytes, texts: list[str], record: CallRecord) -> None:
    try:
        event = msgspec.json.decode(data)
    except msgspec.DecodeError:
        record.error = record.error or "malformed event"
        return
    choices = event.get("choices")
    if "system_fingerprint" in event:
        record.versions.add(event["system_fingerprint"])
    if choices:
        texts.append(choices[0].get("delta", {}).get("content") or "")
        return
    problem = event.get("error", event)
    if isinstance(problem, dict):
        record.outcome = problem.get("outcome", record.outcome)
        record.reason = problem.get("reason", record.reason)


def answer_text(data: bytes) -> str:
    """Return the text of a JSON answer, any other body as it is."""
    try:
        document = msgspec.json.decode(data)
        return document["choices"][0]["message"]["content"]
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return data.decode(errors="replace")


def _read_problem(data: bytes, record: CallRecord) -> None:
    record.text = data.decode(errors="replace")
    try:
        problem = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return
    if isinstance(problem, dict):
        record.outcome = str(problem.get("outcome", ""))
        record.reason = str(problem.get("reason", ""))
        record.retry_after_ms = int(problem.get("retry_after_ms") or 0)
