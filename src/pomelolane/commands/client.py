"""HTTP client of one VM for the commands, with typed answers and errors.

It never follows redirects and never shows a key.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self
from urllib.parse import quote, urlsplit

import aiohttp
import msgspec

from pomelolane.exceptions import (
    CommitUnknownError,
    SettingError,
    TransportError,
    VmRefusedError,
    VmUnreachableError,
)
from pomelolane.report import decode_report
from pomelolane.settings.wire import (
    BranchBody,
    HistoryBody,
    SettingsIndex,
    SettingsProblem,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from types import TracebackType
    from typing import TypeVar

    from pomelolane.report import StatusReport

    _T = TypeVar("_T")

_SETTINGS_PATH = "/admin/settings"
_MAX_SHOWN_BODY = 200
_POST = "POST"
_READING_METHODS = ("GET", "HEAD", "OPTIONS")


class _ProblemParts(msgspec.Struct, frozen=True):
    """What is read of any problem answer."""

    detail: str = ""
    reason: str = ""
    outcome: str = ""
    retry_after_ms: int = 0


class VmClient:
    """Talks to one VM.

    Args:
        url: HTTP address of the VM.
        timeout_s: Longest wait for an answer.
    """

    def __init__(self, url: str, *, timeout_s: float) -> None:
        self.url = _checked_url(url)
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the client."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the client."""
        if self._session:
            await self._session.close()

    async def status(self) -> StatusReport:
        """Return the VM's status report."""
        return decode_report(await self._body("GET", "/status"))

    async def settings_index(self, key: str) -> SettingsIndex:
        """Return the versions of all branches."""
        body = await self._body("GET", _SETTINGS_PATH, _headers(key))
        return _decoded(body, SettingsIndex)

    async def branch(self, branch: str, key: str) -> BranchBody:
        """Return a branch."""
        body = await self._body("GET", _branch_path(branch), _headers(key))
        return _decoded(body, BranchBody)

    async def history(self, branch: str, key: str) -> HistoryBody:
        """Return the kept versions of a branch."""
        path = _branch_path(branch) + "/history"
        return _decoded(await self._body("GET", path, _headers(key)), HistoryBody)

    async def put_branch(
        self, branch: str, content: bytes, version: int, key: str, note: str
    ) -> BranchBody:
        """Replace a version of a branch by new content.

        Raises:
            CommitUnknownError: It was sent, and the answer was lost.
        """
        headers = {
            **_headers(key),
            "If-Match": f'"{version}"',
            "Content-Type": "application/json",
            "X-Note": quote(note, safe=" ,.:;()/_-"),
        }
        body = await self._body("PUT", _branch_path(branch), headers, content)
        return _decoded(body, BranchBody)

    async def drain(self, key: str) -> None:
        """Begin the VM's planned stop."""
        await self._body("POST", "/admin/drain", _headers(key))

    async def mark_leaving(self, endpoint_id: str, key: str) -> None:
        """Mark an endpoint as leaving."""
        path = f"/admin/endpoints/{quote(endpoint_id, safe='')}/leaving"
        await self._body("POST", path, _headers(key))

    @asynccontextmanager
    async def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a caller's request and hold its answer open.

        Raises:
            VmUnreachableError: No answer; nothing was sent, or only a reading call.
            VmRefusedError: The answer is a problem.
            CommitUnknownError: The answer was lost after the call had been sent.
        """
        try:
            async with self._opened.request(
                method,
                self.url + path,
                headers=headers,
                data=_body_sent_once(method, body),
                allow_redirects=False,
            ) as response:
                await _refuse_problem(response)
                yield response
        except aiohttp.ClientConnectorError as error:
            cause = error.strerror or str(error.os_error)
            raise VmUnreachableError(self.url, cause) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            cause = str(error) or type(error).__name__
            if method in _READING_METHODS:
                raise VmUnreachableError(self.url, cause) from None
            raise CommitUnknownError(f"the answer was lost: {cause}") from None

    async def _body(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> bytes:
        async with self.call(method, path, headers or {}, body) as response:
            return await response.read()

    @property
    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise TransportError("the client is not open")
        return self._session


def problem_from_body(status: int, body: bytes) -> VmRefusedError:
    """Return the error that a problem answer stands for."""
    try:
        parts = msgspec.json.decode(body, type=_ProblemParts)
    except (msgspec.DecodeError, RecursionError):
        shown = body[:_MAX_SHOWN_BODY].decode("utf-8", "replace")
        return VmRefusedError(status, "", "", (f"HTTP status {status}: {shown}",))
    lines = _tree_lines(body) or (_problem_line(status, parts),)
    return VmRefusedError(status, parts.reason, parts.outcome, lines)


def _problem_line(status: int, parts: _ProblemParts) -> str:
    line = f"HTTP status {status}, {parts.reason or 'no reason'}: {parts.detail}"
    if parts.outcome:
        line += f" [{parts.outcome}]"
    if parts.retry_after_ms:
        line += f", come back in {parts.retry_after_ms} ms"
    return line


def _tree_lines(body: bytes) -> tuple[str, ...]:
    try:
        problems = msgspec.json.decode(body, type=SettingsProblem).problems
    except msgspec.DecodeError:
        return ()
    return tuple(
        f"{each.where}: {each.problem}; allowed: {each.allowed}" for each in problems
    )


async def _refuse_problem(response: aiohttp.ClientResponse) -> None:
    if response.status >= 400:
        raise problem_from_body(response.status, await response.read())


def _decoded(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TransportError(f"unexpected answer of the VM: {error}") from None


def _body_sent_once(method: str, body: bytes) -> bytes | AsyncIterator[bytes]:
    # aiohttp quietly repeats a PUT or DELETE whose connection was lost; a body
    # that can be read only once keeps it from running a call twice.
    if method in _READING_METHODS or method == _POST:
        return body
    return _read_once(body)


async def _read_once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _headers(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def _branch_path(branch: str) -> str:
    return f"{_SETTINGS_PATH}/{quote(branch, safe='')}"


def _checked_url(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.username:
        raise SettingError(
            "--url", url, "an http(s):// URL such as http://127.0.0.1:80"
        )
    return url.rstrip("/")
