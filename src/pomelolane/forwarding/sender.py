"""Sends a request to an endpoint and classifies the head of the answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError
from pomelolane.forwarding import request_log
from pomelolane.forwarding.attribution import Attribution, attribute
from pomelolane.ports.forwarding import Verdict
from pomelolane.resumption import ORIGIN_HEADER, encode_origin

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.endpoints import AnswerStream, ConnectionPool
    from pomelolane.endpoints.connection import HttpConnection
    from pomelolane.forwarding.call import ForwardCall
    from pomelolane.model import Endpoint
    from pomelolane.ports.forwarding import Dialect, Dispatch, EndpointNotice
    from pomelolane.resumption import StreamOrigin

    Header = tuple[bytes, bytes]

SENDS_HEADER = b"pomelolane-sends"
"""Header of relayed requests: how often they were sent to endpoints before."""

RELAY_ID_HEADER = b"pomelolane-relay-id"
"""Header of relayed requests and their answers: the request's id on the VM that relays
it. VMs of older versions leave it out of their answers."""

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_FORBIDDEN_HEADER_BYTES = frozenset(b"\r\n\0")


@dataclass(frozen=True, slots=True)
class SendResult:
    """Answer to a request whose head has been received.

    Attributes:
        stream: The answer.
        verdict: Whether the endpoint ran the request, according to the head.
        notice: What the endpoint reports about itself in the headers.
    """

    stream: AnswerStream
    verdict: Verdict
    notice: EndpointNotice


class Sender:
    """Sends requests to endpoints.

    Args:
        pool: Connections to endpoints.
        peer_pool: Connections to other VMs.
        dialect: Writes and reads the platform's headers.
    """

    def __init__(
        self, pool: ConnectionPool, peer_pool: ConnectionPool, dialect: Dialect
    ) -> None:
        self._pool = pool
        self._peer_pool = peer_pool
        self._dialect = dialect

    async def connect(self, endpoint: Endpoint) -> HttpConnection:
        """Return a connection to an endpoint.

        The caller must call :meth:`send` soon, as endpoints close idle connections.

        Raises:
            EndpointRefusedError: No connection could be made.
        """
        return await self._pool.acquire(endpoint.address)

    async def send(
        self,
        connection: HttpConnection,
        call: ForwardCall,
        endpoint: Endpoint,
        dispatch: Dispatch,
        is_usable: Callable[[Endpoint], bool],
    ) -> SendResult:
        """Send a request and wait for the head of its answer.

        Args:
            connection: Connection to the endpoint.
            call: The request.
            endpoint: The endpoint, as it was before it was connected to.
            dispatch: What the endpoint is told beside the caller's own words.
            is_usable: Returns whether the endpoint may still get new work; called
                immediately before the write.

        Raises:
            EndpointRefusedError: The connection was closed before the write, or the
                endpoint may get nothing any more.
            EndpointBrokenError: The connection failed after the write, or the head is
                not a valid answer to this request.
        """
        headers = self._dialect.request_headers(call.headers, endpoint, dispatch)
        parts = [_encode_head(call, headers)]
        if call.body:
            parts.append(call.body)
        if not is_usable(endpoint):
            connection.discard()
            raise EndpointRefusedError("the endpoint has left or started again")

        def is_own(headers: Sequence[Header], is_first: bool) -> bool:
            return self._is_own(headers, call, endpoint, is_first=is_first)

        stream = await connection.exchange(call.method, parts, is_own)
        verdict = self._dialect.judge(stream.status, stream.headers)
        if verdict is Verdict.INVALID:
            await stream.aclose()
            connection.discard()
            raise EndpointBrokenError("the answer's head is invalid")
        notice = self._dialect.read_notice(stream.status, stream.headers)
        return SendResult(stream, verdict, notice)

    def _is_own(
        self,
        headers: Sequence[Header],
        call: ForwardCall,
        endpoint: Endpoint,
        *,
        is_first: bool,
    ) -> bool:
        """Return whether an answer belongs to the request, and log it if it doesn't.

        Args:
            headers: Its headers.
            call: The request.
            endpoint: Endpoint that sent the answer.
            is_first: Whether no other request was sent on the connection, so that the
                answer can't belong to one.

        Raises:
            EndpointBrokenError: It can't be told.
        """
        answered_id = self._dialect.answered_request(headers)
        attribution = attribute(answered_id, call.description.request_id)
        if attribution is Attribution.OWN:
            return True
        if attribution is Attribution.UNNAMED and is_first:
            return True
        request_log.answer_not_own(call, endpoint, attribution, answered_id)
        if attribution is Attribution.UNNAMED:
            raise EndpointBrokenError("an answer without an id may be a late one")
        return False

    async def send_to_peer(
        self,
        address: str,
        call: ForwardCall,
        dispatch: Dispatch,
        sends: int,
        origin: StreamOrigin | None,
    ) -> AnswerStream:
        """Relay a request to another VM and wait for the head of its answer.

        Args:
            address: ``ip:port`` at which the VM listens for relayed requests.
            call: The request.
            dispatch: What the VM is told beside the caller's own words.
            sends: Number of times that the request was sent to an endpoint.
            origin: What began its stream, None if it may begin anywhere.

        Raises:
            EndpointRefusedError: Nothing was sent.
            EndpointBrokenError: The connection failed after the write.
        """
        connection = await self._peer_pool.acquire(address)
        headers = self._dialect.relayed_headers(call.headers, dispatch)
        headers.append((SENDS_HEADER, b"%d" % sends))
        relay_id = call.local_id.encode()
        headers.append((RELAY_ID_HEADER, relay_id))
        if origin is not None:
            headers.append((ORIGIN_HEADER, encode_origin(origin)))
        parts = [_encode_head(call, headers)]
        if call.body:
            parts.append(call.body)

        def is_own(headers: Sequence[Header], is_first: bool) -> bool:
            del is_first
            return dict(headers).get(RELAY_ID_HEADER, relay_id) == relay_id

        return await connection.exchange(call.method, parts, is_own)


def _encode_head(call: ForwardCall, headers: Sequence[Header]) -> bytes:
    lines = [call.method.encode("ascii") + b" " + call.target + b" HTTP/1.1"]
    for name, value in headers:
        if not _FORBIDDEN_HEADER_BYTES.isdisjoint(value):
            raise EndpointRefusedError("a header holds a control byte")
        lines.append(name + b": " + value)
    if call.body or call.method in _BODY_METHODS:
        lines.append(b"content-length: %d" % len(call.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
