"""Hostile HTTP clients for the proof of bad input: fuzzed, half-sent, oversized.

Each talks over a bare socket and notes how the server ended it.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

PROBLEM_TYPE = b"application/problem+json"
GIVE_UP_S = 12.0
"""Well beyond the server's own bounds on heads and bodies."""

AT_ONE_TIME = 24
_CHAT = "/v1/chat/completions"
_PATHS = (
    *(_CHAT,) * 12,
    "/services/registro-capturas/a/b",
    "/services/modelo-bitacora/x",
    "/services//",
    "/v1/jobs/x",
    "/v1/jobs/x/answer",
    "/admin/settings",
    "/admin/settings/flota",
    "/admin/settings/flota/history",
    "/admin/endpoints/none/leaving",
    "/status",
    "/",
)
_ODD_METHODS = ("PUT", "DELETE", "HEAD", "PATCH", "OPTIONS", "BREW", "g e t")
_METHODS = (*("POST",) * 16, "GET", "GET", *_ODD_METHODS)
_NAMES = (
    "X-Work",
    "X-Deadline-Ms",
    "Idempotency-Key",
    "Prefer",
    "If-Match",
    "X-Note",
    "Content-Type",
    "Transfer-Encoding",
    "Expect",
    "Connection",
)
_VALUES = ("entry-check", "respond-async", "-1", "0", "1", "9" * 30, "chunked", "NaN")


@dataclass(frozen=True, slots=True)
class Ending:
    """How a hostile connection ended.

    Attributes:
        sent: The first bytes of what was sent.
        status: Status of the answer, 0 where the connection was just closed.
        problem: Its problem document, if it is one.
        hung: Whether it neither was answered nor closed.
    """

    sent: bytes
    status: int = 0
    problem: dict | None = None
    hung: bool = False

    @property
    def typed(self) -> bool:
        """Whether the client was told in a typed way, or hung up on."""
        if self.hung or self.status >= 500:
            return False
        if self.status < 400:
            return True
        return bool(self.problem) and self.problem.get("outcome") == "not_run"


def fuzzed_requests(secret: str, key: str, number: int) -> list[bytes]:
    """Return requests that a fuzzer makes; the same ones each time.

    Args:
        secret: Text that each of them carries somewhere.
        key: A caller's good key, so that some get past authentication.
        number: How many.
    """
    found: list[bytes] = []

    @settings(
        max_examples=number,
        database=None,
        derandomize=True,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @for_all(_requests(secret, key))
    def collect(request):
        found.append(request)

    collect()
    return found


def _requests(secret: str, key: str) -> st.SearchStrategy[bytes]:
    text = st.text(st.characters(codec="latin-1"), max_size=30)
    plain = text.map(lambda value: value.replace("\r", "").replace("\n", ""))
    leaf = st.none() | st.booleans() | st.integers() | text | st.just(secret)
    tree = st.recursive(
        leaf,
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(text, inner, max_size=3)
        ),
        max_leaves=8,
    )
    member = st.sampled_from(("model", "messages", "stream", "max_tokens", "x"))
    message = st.fixed_dictionaries({"role": tree, "content": tree})
    chat = st.fixed_dictionaries(
        {"model": st.just("modelo-bitacora"), "messages": st.lists(message)}
    )
    said = st.fixed_dictionaries({"role": st.just("user"), "content": text})
    good_chat = st.fixed_dictionaries(
        {
            "model": st.just("modelo-bitacora"),
            "messages": st.lists(said, min_size=1, max_size=2),
            "max_tokens": st.integers(-1, 8),
            "stream": st.booleans(),
        }
    )
    document = tree | st.dictionaries(member, tree) | chat | good_chat
    body = st.binary(max_size=200) | document.map(lambda d: json.dumps(d).encode())
    good = f"Bearer {key}"
    authorization = st.sampled_from((good, good, good, f"Basic {secret}", secret, ""))
    header = st.tuples(st.sampled_from(_NAMES), st.sampled_from(_VALUES) | plain)
    # Most are good enough as HTTP to reach what lies behind the parser.
    length = st.sampled_from((*(None,) * 16, "-1", "x", "5", "9" * 20))
    printable = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20)
    path = st.sampled_from(_PATHS) | printable.map(lambda value: "/" + value)
    good_header = st.tuples(st.sampled_from(_NAMES[:7]), st.sampled_from(_VALUES))
    headers = st.lists(good_header, max_size=3) | st.lists(header, max_size=4)
    noise = st.binary(min_size=1, max_size=400)
    built = st.builds(
        _encode,
        st.sampled_from(_METHODS),
        path.map(lambda value: f"{value}?token={secret}"),
        headers,
        authorization,
        length,
        body,
    )
    return st.one_of(built, built, built, built, noise)


def _encode(method, path, headers, authorization, length, body) -> bytes:
    size = str(len(body)) if length is None else length
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {size}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Authorization: {authorization}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chat_head(key: str, length: int, extra: bytes = b"") -> bytes:
    """Return the head of a good chat request."""
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Type: application/json\r\n"
        + f"Authorization: Bearer {key}\r\nContent-Length: {length}\r\n".encode()
        + extra
        + b"\r\n"
    )


async def send_all(port: int, requests: list[bytes], drip_s: float = 0.0):
    """Send each request over a connection of its own, some at one time."""
    places = asyncio.Semaphore(AT_ONE_TIME)

    async def one(request):
        async with places:
            return await send(port, request, drip_s)

    return await asyncio.gather(*(one(request) for request in requests))


async def send(port: int, request: bytes, drip_s: float = 0.0) -> Ending:
    """Send bytes, then wait for an answer or the end of the connection.

    Args:
        port: The VM's port.
        request: What to send.
        drip_s: Pause after each byte, 0 to send all at once.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sending = asyncio.create_task(_send_bytes(writer, request, drip_s))
    try:
        answer = await asyncio.wait_for(_read_answer(reader, request), GIVE_UP_S)
    except TimeoutError:
        return Ending(request[:300], hung=True)
    except OSError:
        return Ending(request[:300])
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
    return _ending(request, *answer)


async def _send_bytes(writer, request: bytes, drip_s: float) -> None:
    if not drip_s:
        writer.write(request)
        await writer.drain()
        return
    for position in range(len(request)):
        writer.write(request[position : position + 1])
        await asyncio.sleep(drip_s)


async def _read_answer(reader, request: bytes) -> tuple[bytes, bytes]:
    """Read one answer; empty where the connection was closed without one."""
    head = b""
    while b"\r\n\r\n" not in head:
        line = await reader.read(4096)
        if not line:
            return head, b""
        head += line
    head, _, body = head.partition(b"\r\n\r\n")
    # An answer to HEAD states the length of a body that it does not have.
    wanted = 0 if request.startswith(b"HEAD ") else _content_length(head)
    while len(body) < wanted:
        more = await reader.read(4096)
        if not more:
            break
        body += more
    return head, body


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _ending(request: bytes, head: bytes, body: bytes) -> Ending:
    if not head:
        return Ending(request[:300])
    status = int(head.split(b" ", 2)[1])
    problem = None
    if PROBLEM_TYPE in head.lower():
        problem = json.loads(body) if body else {"outcome": "not_run"}
    return Ending(request[:300], status, problem)
