"""The operators' settings interface, free of any HTTP library.

A server mounts :func:`answer_index`, :func:`answer_branch`, :func:`answer_put`
and :func:`answer_history` and passes on what they return.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import unquote

import msgspec

from pomelolane.events import SETTINGS_ACCEPTED, SETTINGS_REFUSED
from pomelolane.exceptions import (
    BadRequestError,
    CommitUnknownError,
    ForbiddenBranchError,
    InvalidTreeError,
    PlatformError,
    PomelolaneError,
    RateLimitedError,
    UnknownOperatorError,
    VersionConflictError,
)
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason
from pomelolane.settings.keys import bearer_key, operator_of_key, require_reader
from pomelolane.settings.store import Change
from pomelolane.settings.wire import (
    BranchBody,
    HistoryBody,
    SettingsIndex,
    SettingsProblem,
    TreeProblem,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.settings.rows import BranchVersion
    from pomelolane.settings.store import SettingsStore

PLATFORM_RETRY_AFTER_MS = 2000
"""When an operator is asked back while the platform is away."""

_JSON = "application/json"
_PROBLEM_JSON = "application/problem+json"
_TYPE_PREFIX = "urn:pomelolane:problem:"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """What the handlers need of an HTTP request.

    Attributes:
        authorization: Value of the header ``Authorization``, empty if none.
        branch: Branch in the path, empty for the index.
        if_match: Value of the header ``If-Match``, empty if none.
        note: Value of the header ``X-Note``, percent-encoded, empty if none.
        body: Whole body.
    """

    authorization: str = field(repr=False)
    branch: str = ""
    if_match: str = ""
    note: str = ""
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """What the server answers with.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Whole body.
        headers: Further headers.
    """

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


async def answer_index(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    """Answer ``GET /admin/settings``."""
    return await _guarded(_index, store, request)


async def answer_branch(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    """Answer ``GET /admin/settings/{branch}``."""
    return await _guarded(_branch, store, request)


async def answer_history(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    """Answer ``GET /admin/settings/{branch}/history``."""
    return await _guarded(_history, store, request)


async def answer_put(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    """Answer ``PUT /admin/settings/{branch}``."""
    return await _guarded(_put, store, request)


def response_from_error(error: PomelolaneError) -> AdminResponse:
    """Return the problem answer that goes with an error."""
    problem = _problem_from_error(error)
    headers = []
    if problem.retry_after_ms:
        seconds = math.ceil(problem.retry_after_ms / 1000)
        headers.append(("Retry-After", str(seconds)))
    if problem.status == HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = msgspec.json.encode(problem)
    return AdminResponse(problem.status, _PROBLEM_JSON, body, tuple(headers))


async def _guarded(
    handler: Callable[[SettingsStore, AdminRequest], Awaitable[AdminResponse]],
    store: SettingsStore,
    request: AdminRequest,
) -> AdminResponse:
    try:
        return await handler(store, request)
    except PomelolaneError as error:
        return response_from_error(error)


async def _index(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    snapshot = await store.snapshot()
    operator_of_key(snapshot.contents(), bearer_key(request.authorization))
    return _json(SettingsIndex(snapshot.counter, snapshot.versions()))


async def _branch(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    snapshot = await store.snapshot()
    key = bearer_key(request.authorization)
    require_reader(snapshot.contents(), request.branch, key)
    found = snapshot.branches.get(request.branch)
    if found is None:
        raise _no_branch(request.branch)
    return _json(_body(found), _etag(found))


async def _history(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    snapshot = await store.snapshot()
    key = bearer_key(request.authorization)
    require_reader(snapshot.contents(), request.branch, key)
    if request.branch not in snapshot.branches:
        raise _no_branch(request.branch)
    versions = await store.history(request.branch)
    return _json(HistoryBody(tuple(_body(each) for each in versions)))


async def _put(store: SettingsStore, request: AdminRequest) -> AdminResponse:
    change = Change(
        branch=request.branch,
        content=request.body,
        expected_version=_expected_version(request.if_match),
        operator_key=bearer_key(request.authorization),
        note=unquote(request.note),
    )
    try:
        accepted = await store.put(change)
    except PomelolaneError as error:
        reason = _problem_from_error(error).reason
        log_event(SETTINGS_REFUSED, branch=change.branch, reason=reason)
        raise
    log_event(SETTINGS_ACCEPTED, branch=accepted.branch, version=accepted.version)
    return _json(_body(accepted), _etag(accepted))


def _expected_version(if_match: str) -> int:
    text = if_match.strip().removeprefix("W/").strip('"')
    if not text.isascii() or not text.isdecimal():
        detail = "If-Match must give the version that is replaced, 0 for a new branch"
        raise BadRequestError(428, Reason.BAD_REQUEST, detail)
    return int(text)


def _no_branch(branch: str) -> BadRequestError:
    return BadRequestError(404, Reason.NOT_FOUND, f"there is no branch {branch!r}")


def _body(version: BranchVersion) -> BranchBody:
    content = msgspec.Raw(version.content)
    return BranchBody(version.branch, version.version, content, version.note)


def _etag(version: BranchVersion) -> tuple[str, str]:
    return ("ETag", f'"{version.version}"')


def _json(body: msgspec.Struct, *headers: tuple[str, str]) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK, _JSON, msgspec.json.encode(body), headers)


def _problem_from_error(error: PomelolaneError) -> SettingsProblem:
    if isinstance(error, UnknownOperatorError):
        return _problem(401, error, Reason.UNAUTHENTICATED)
    if isinstance(error, ForbiddenBranchError):
        return _problem(403, error, Reason.FORBIDDEN)
    if isinstance(error, VersionConflictError):
        version = error.current_version
        return _problem(412, error, Reason.VERSION_CONFLICT, current_version=version)
    if isinstance(error, InvalidTreeError):
        problems = _tree_problems(error)
        return _problem(422, error, Reason.INVALID_TREE, problems=problems)
    if isinstance(error, BadRequestError):
        return _problem(error.status, error, Reason(str(error.reason)))
    if isinstance(error, CommitUnknownError):
        reason = Reason.PLATFORM_UNAVAILABLE
        return _problem(504, error, reason, outcome=Outcome.UNKNOWN)
    if isinstance(error, PlatformError):
        return _platform_problem(error)
    raise error


def _platform_problem(error: PlatformError) -> SettingsProblem:
    retry_after_ms = PLATFORM_RETRY_AFTER_MS
    if isinstance(error, RateLimitedError):
        retry_after_ms = error.retry_after_ms
    reason = Reason.PLATFORM_UNAVAILABLE
    return _problem(503, error, reason, retry_after_ms=retry_after_ms)


def _problem(
    status: int,
    error: PomelolaneError,
    reason: Reason,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
    current_version: int = -1,
    problems: tuple[TreeProblem, ...] = (),
) -> SettingsProblem:
    return SettingsProblem(
        type=_TYPE_PREFIX + reason,
        title=HTTPStatus(status).phrase,
        status=status,
        detail=str(error).partition("\n")[0],
        outcome=outcome,
        reason=reason,
        retry_after_ms=retry_after_ms,
        current_version=current_version,
        problems=problems,
    )


def _tree_problems(error: InvalidTreeError) -> tuple[TreeProblem, ...]:
    return tuple(
        TreeProblem(f"{each.file}:{each.line}", each.problem, each.allowed)
        for each in error.problems
    )
