"""The platform's services over their HTTP interface, by aiohttp.

What matters here is the difference between a write that certainly had no
effect and one whose reply was lost: only the second must be read back.
"""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from pomelolane.exceptions import (
    CommitUnknownError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
)
from pomelolane.ports import ListedVm, Row, WriteResult
from pomelolane.sentinels import NOT_FOUND
from pomelolane.store.gate import WriteGate

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pomelolane.ports import Write
    from pomelolane.sentinels import Missing
    from pomelolane.store.health import PlatformHealth

DEFAULT_CONNECT_TIMEOUT_MS = 1000
DEFAULT_CALL_TIMEOUT_MS = 3000
_PROBED_KEY = "settings/counter"
DEFAULT_RETRY_AFTER_MS = 100
_CONNECTIONS = 32

_T = TypeVar("_T")

_OK = 200
_CREATED = 201
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_RATE_LIMITED = 429
_UNAVAILABLE = 503
_FIRST_SERVER_ERROR = 500
_SUCCESSES = frozenset({_OK, _CREATED, _NO_CONTENT})


class _RowBody(msgspec.Struct):
    key: str
    version: int
    value: str


class _ScanBody(msgspec.Struct):
    rows: list[_RowBody]


class _WriteBody(msgspec.Struct):
    key: str
    value: str | None
    if_version: int | None


class _CommitBody(msgspec.Struct):
    atomic: bool
    writes: list[_WriteBody]


class _ResultBody(msgspec.Struct):
    key: str
    applied: bool
    version: int


class _ResultsBody(msgspec.Struct):
    results: list[_ResultBody]


class _VmBody(msgspec.Struct):
    vm_id: str
    data_centre: str
    address: str
    leaving: bool = False


class _VmsBody(msgspec.Struct):
    vms: list[_VmBody]


class _Answer(msgspec.Struct, frozen=True):
    status: int
    body: bytes


class _UnansweredError(PlatformError):
    """No whole, usable answer came although the call may have arrived."""


class PlatformClient:
    """One connection pool to the platform, with its failures typed.

    Args:
        url: Base URL of the platform.
        health: Learns of every answer and failure.
        connect_timeout_ms: Bound on reaching it.
        call_timeout_ms: Bound on a whole call.
    """

    def __init__(
        self,
        url: str,
        health: PlatformHealth,
        *,
        connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS,
        call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS,
    ) -> None:
        self._url = url.rstrip("/")
        self._health = health
        self._timeout = aiohttp.ClientTimeout(
            total=call_timeout_ms / 1000.0, connect=connect_timeout_ms / 1000.0
        )
        self._session: aiohttp.ClientSession | None = None
        self._gate = WriteGate(health, self._probe)

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> _Answer:
        """Make one call.

        Raises:
            RateLimitedError: Refused because of the rate limit.
            PlatformUnavailableError: Certainly had no effect.
            _UnansweredError: May have had an effect.
        """
        if method != "GET" and self._gate.is_closed():
            raise PlatformUnavailableError("the platform does not answer")
        try:
            answer = await self._exchange(method, path, query, body)
        except RateLimitedError:
            self._health.note_answer()
            raise
        except PlatformError as error:
            self._health.note_failure(error)
            raise
        self._health.note_answer()
        return answer

    async def aclose(self) -> None:
        """Close the pool."""
        await self._gate.aclose()
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _probe(self) -> None:
        await self.call("GET", "/v1/table/row", query={"key": _PROBED_KEY})

    async def _exchange(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: bytes | None,
    ) -> _Answer:
        target = URL(self._url + path, encoded=True)
        if query:
            target = target.with_query(query)
        try:
            async with self._pool().request(method, target, data=body) as response:
                data = await response.read()
                return _checked(response, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformUnavailableError(f"not reachable: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _UnansweredError(f"{type(error).__name__}: {error}") from error

    def _pool(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=_CONNECTIONS),
                timeout=self._timeout,
            )
        return self._session


def _checked(response: aiohttp.ClientResponse, data: bytes) -> _Answer:
    status = response.status
    if status in _SUCCESSES or status in (_NOT_FOUND, _CONFLICT):
        return _Answer(status, data)
    if status == _RATE_LIMITED:
        raise RateLimitedError(_retry_after_ms(response))
    if status == _UNAVAILABLE or status < _FIRST_SERVER_ERROR:
        raise PlatformUnavailableError(f"status {status}")
    raise _UnansweredError(f"status {status}")


def _retry_after_ms(response: aiohttp.ClientResponse) -> int:
    try:
        return int(response.headers["Retry-After-Ms"])
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_MS


async def _read_call(
    client: PlatformClient, path: str, query: Mapping[str, str] | None = None
) -> _Answer:
    try:
        return await client.call("GET", path, query=query)
    except _UnansweredError as error:
        raise PlatformUnavailableError(str(error)) from error


class HttpTable:
    """The platform's table.

    Args:
        client: Makes the calls.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self, key: str) -> Row | Missing:
        """Read one row."""
        answer = await _read_call(self._client, "/v1/table/row", {"key": key})
        if answer.status == _NOT_FOUND:
            return NOT_FOUND
        return _row(_decoded(answer.body, _RowBody))

    async def scan(self, prefix: str, *, limit: int = 1000) -> Sequence[Row]:
        """Read the rows whose key starts with ``prefix``, in key order."""
        query = {"prefix": prefix, "limit": str(limit)}
        answer = await _read_call(self._client, "/v1/table/scan", query)
        return [_row(body) for body in _decoded(answer.body, _ScanBody).rows]

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = True
    ) -> Sequence[WriteResult]:
        """Commit writes at once; see :class:`pomelolane.ports.Table`."""
        body = msgspec.json.encode(
            _CommitBody(atomic, [_write_body(write) for write in writes])
        )
        try:
            answer = await self._client.call("POST", "/v1/table/commit", body=body)
            if answer.status == _NOT_FOUND:
                raise PlatformUnavailableError("the platform has no table service")
            results = _decoded(answer.body, _ResultsBody).results
        except (_UnansweredError, _MalformedError) as error:
            raise CommitUnknownError(str(error)) from error
        if len(results) != len(writes):
            raise CommitUnknownError("the reply does not match the writes")
        return [WriteResult(each.key, each.applied, each.version) for each in results]


class HttpObjectStore:
    """The platform's object store.

    Args:
        client: Makes the calls.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def put(self, name: str, data: bytes) -> None:
        """Store an object whole; to repeat it is harmless."""
        await self._change("PUT", name, data)

    async def get(self, name: str) -> bytes | Missing:
        """Read an object whole."""
        answer = await _read_call(self._client, _object_path(name))
        if answer.status == _NOT_FOUND:
            return NOT_FOUND
        return answer.body

    async def delete(self, name: str) -> None:
        """Delete an object if it is there."""
        await self._change("DELETE", name, None)

    async def _change(self, method: str, name: str, data: bytes | None) -> None:
        try:
            answer = await self._client.call(method, _object_path(name), body=data)
        except _UnansweredError as error:
            raise CommitUnknownError(str(error)) from error
        if method == "PUT" and answer.status not in _SUCCESSES:
            raise PlatformUnavailableError(f"object refused: status {answer.status}")


class HttpVmList:
    """The platform's lagging list of VMs.

    Args:
        client: Makes the calls.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self) -> Sequence[ListedVm]:
        """Read the list."""
        answer = await _read_call(self._client, "/v1/vms")
        return [
            ListedVm(each.vm_id, each.data_centre, each.address, each.leaving)
            for each in _decoded(answer.body, _VmsBody).vms
        ]


class HttpWeightStore:
    """The platform's store of model weights.

    Args:
        client: Makes the calls.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def fetch(self, model: str) -> bytes | Missing:
        """Read a model's weights."""
        path = f"/v1/weights/{quote(model, safe='')}"
        answer = await _read_call(self._client, path)
        return NOT_FOUND if answer.status == _NOT_FOUND else answer.body


class _MalformedError(PlatformUnavailableError):
    """An answer does not have the agreed form."""


def _decoded(data: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise _MalformedError(f"malformed answer: {error}") from error


def _row(body: _RowBody) -> Row:
    try:
        value = base64.b64decode(body.value, validate=True)
    except binascii.Error as error:
        raise _MalformedError(f"malformed row: {error}") from error
    return Row(body.key, body.version, value)


def _write_body(write: Write) -> _WriteBody:
    value = None if write.value is None else base64.b64encode(write.value).decode()
    return _WriteBody(write.key, value, write.if_version)


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='')}"
