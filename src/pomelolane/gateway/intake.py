"""From a caller's bytes to a checked call: service, work, tier and deadline.

Whatever is wrong with a request is found here, before anything is queued.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pomelolane.exceptions import BadRequestError
from pomelolane.gateway.prefix import estimate_tokens, hash_prefix
from pomelolane.model import ServiceKind
from pomelolane.outcomes import Reason

if TYPE_CHECKING:
    from pomelolane.http.exchange import Exchange
    from pomelolane.model import Organisation, Service, Tree, Work

MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_KEY_BYTES = 255
MAX_OUTPUT_TOKENS = 1_000_000
CHAT_PATH = "/v1/chat/completions"

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_HOP_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"idempotency-key",
        b"keep-alive",
        b"prefer",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-deadline-ms",
        b"x-request-id",
        b"x-work",
    }
)


class TextPart(msgspec.Struct):
    """A part of a message's content; other than text parts count as empty."""

    type: str = "text"
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message of a chat request."""

    role: str
    content: str | list[TextPart] | None = None


class ChatRequest(msgspec.Struct):
    """The members of a chat request that scheduling needs."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A checked request.

    Attributes:
        request_id: Unique, made by this gateway.
        organisation: Who calls.
        service: What is called.
        work: Kind of work.
        tier_rank: 0 is the highest.
        deadline_ms: Time allowed from acceptance.
        idempotent: Whether a failed attempt may be repeated.
        key: The caller's idempotency key, empty if none.
        respond_async: Whether the caller asked for a job.
        streamed: Whether the caller gets the answer as the endpoint sends it;
            otherwise an engine's events are put together for it.
        method: HTTP method towards the endpoint.
        path: Path with query towards the endpoint.
        headers: Headers passed on.
        body: Body as it goes to the endpoint.
        prefill_tokens: Estimated prompt length.
        decode_tokens: Expected answer length.
        prefix_hashes: Chained hashes of the prompt's blocks.
        digest: Digest of all that makes the request what it is.
    """

    request_id: str
    organisation: Organisation
    service: Service
    work: Work
    tier_rank: int
    deadline_ms: int
    idempotent: bool
    key: str
    respond_async: bool
    streamed: bool
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: tuple[int, ...]
    digest: str

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after it possibly ran.

        A key asks for one run at most, whatever the work allows.
        """
        return self.idempotent and not self.key


def call_from_chat(
    request_id: str,
    tree: Tree,
    organisation: Organisation,
    exchange: Exchange,
    body: bytes,
) -> Call:
    """Check a chat-completions request.

    Raises:
        BadRequestError: What is wrong, with its HTTP status.
    """
    chat = _decode_chat(body)
    service = _find_service(tree, organisation, chat.model, ServiceKind.ENGINE)
    work = _find_work(service, exchange)
    _check_sizes(chat)
    prompt = "".join(_content(message) for message in chat.messages).encode()
    decode_tokens = work.output_tokens
    if chat.max_tokens is not None:
        decode_tokens = min(decode_tokens, chat.max_tokens)
    return Call(
        request_id=request_id,
        organisation=organisation,
        service=service,
        work=work,
        tier_rank=tree.tiers[work.tier].rank,
        deadline_ms=_deadline_ms(exchange, work),
        idempotent=work.idempotent,
        key=_key(exchange),
        respond_async=_prefers_async(exchange, work),
        streamed=chat.stream,
        method="POST",
        path=CHAT_PATH,
        headers=((b"content-type", b"application/json"),),
        body=_engine_body(body, service, chat.stream),
        prefill_tokens=estimate_tokens(prompt),
        decode_tokens=decode_tokens,
        prefix_hashes=hash_prefix(prompt),
        digest=_digest("POST", CHAT_PATH, work.name, body),
    )


def _decode_chat(body: bytes) -> ChatRequest:
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad(f"the body is no chat request: {error}") from error


def _check_sizes(chat: ChatRequest) -> None:
    if not chat.messages:
        raise _bad("messages is empty")
    if chat.max_tokens is not None and not 0 < chat.max_tokens <= MAX_OUTPUT_TOKENS:
        raise _bad(f"max_tokens must be 1 to {MAX_OUTPUT_TOKENS}")


def call_from_plain(
    request_id: str,
    tree: Tree,
    organisation: Organisation,
    exchange: Exchange,
    service_name: str,
    path: str,
    body: bytes,
) -> Call:
    """Check a request for a plain service.

    Raises:
        BadRequestError: What is wrong, with its HTTP status.
    """
    service = _find_service(tree, organisation, service_name, ServiceKind.PLAIN)
    work = _find_work(service, exchange)
    method = exchange.method
    if exchange.query:
        path = f"{path}?{exchange.query.decode('latin-1')}"
    declared = work.idempotent and method in _IDEMPOTENT_METHODS | {"POST"}
    return Call(
        request_id=request_id,
        organisation=organisation,
        service=service,
        work=work,
        tier_rank=tree.tiers[work.tier].rank,
        deadline_ms=_deadline_ms(exchange, work),
        idempotent=declared or method in _SAFE_METHODS,
        key=_key(exchange),
        respond_async=_prefers_async(exchange, work),
        streamed=True,
        method=method,
        path=path,
        headers=_end_to_end(exchange.headers),
        body=body,
        prefill_tokens=estimate_tokens(body),
        decode_tokens=1,
        prefix_hashes=(),
        digest=_digest(method, path, work.name, body),
    )


def _find_service(
    tree: Tree, organisation: Organisation, name: str, kind: ServiceKind
) -> Service:
    service = tree.services.get(name)
    if service is None or service.kind is not kind:
        raise BadRequestError(
            404, Reason.UNKNOWN_SERVICE, f"there is no {kind.value} service {name!r}"
        )
    if organisation.services and name not in organisation.services:
        raise BadRequestError(
            403, Reason.FORBIDDEN, f"this key may not call service {name!r}"
        )
    return service


def _find_work(service: Service, exchange: Exchange) -> Work:
    name = exchange.header(b"x-work").decode("latin-1")
    if not name:
        return next(iter(service.works.values()))
    work = service.works.get(name)
    if work is None:
        known = ", ".join(service.works)
        raise BadRequestError(
            400,
            Reason.UNKNOWN_WORK,
            f"X-Work {name!r} is unknown to service {service.name}; known: {known}",
        )
    return work


def _deadline_ms(exchange: Exchange, work: Work) -> int:
    text = exchange.header(b"x-deadline-ms")
    if not text:
        return work.deadline_ms
    if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise _bad(f"X-Deadline-Ms must be 1 to {MAX_DEADLINE_MS}")
    return int(text)


def _key(exchange: Exchange) -> str:
    key = exchange.header(b"idempotency-key")
    if len(key) > MAX_KEY_BYTES:
        raise _bad(f"Idempotency-Key is longer than {MAX_KEY_BYTES} bytes")
    return key.decode("latin-1")


def _prefers_async(exchange: Exchange, work: Work) -> bool:
    preferences = exchange.header(b"prefer").lower()
    return work.async_allowed and b"respond-async" in preferences


def _content(message: ChatMessage) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def _engine_body(body: bytes, service: Service, streamed: bool) -> bytes:
    """Return the body for the engine, which is always asked for a stream.

    The tokens of a stream tell the engine's pace and let another VM resume it;
    for a caller who wants one JSON answer the gateway puts them together.
    """
    renamed = service.model and service.model != service.name
    if streamed and not renamed:
        return body
    members = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    if renamed:
        members["model"] = msgspec.Raw(msgspec.json.encode(service.model))
    if not streamed:
        members["stream"] = msgspec.Raw(b"true")
        members["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(members)


def _end_to_end(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(pair for pair in headers if pair[0] not in _HOP_HEADERS)


def _digest(method: str, path: str, work: str, body: bytes) -> str:
    head = f"{method} {path} {work}\n".encode("latin-1", "replace")
    return xxhash.xxh3_128_hexdigest(head + body)


def _bad(detail: str) -> BadRequestError:
    return BadRequestError(400, Reason.BAD_REQUEST, detail)
