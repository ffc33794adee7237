"""The headers of the platform's protocol, read and written in one place."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, TypeVar

from pomelolane.endpoints.headers import strip_hop_headers
from pomelolane.exceptions import BadRequestError
from pomelolane.outcomes import Reason
from pomelolane.ports.forwarding import CallDescription, EndpointNotice, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.model import Endpoint
    from pomelolane.ports.forwarding import Dispatch

    Header = tuple[bytes, bytes]
    Rejected = tuple[tuple[str, str], ...]

T = TypeVar("T")

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
# "prompt tokens,most answer tokens", in spite of its name known before the run.
_TOKENS = b"token-usage"
_HINT = b"length-hint"
_RESUME = b"last-event-id"
# The caller's id of the attempt that brought the first event of its stream.
_RESUMED_ATTEMPT = b"resumes"
# Parts of the prompt in order, as "ID:TOKENS,ID:TOKENS"; the last one is not shared.
_PARTS = b"prompt-prefix"
_PART = re.compile(rb"([0-9A-Fa-f]{1,64}):[0-9]{1,12}")
_MOST_PARTS = 16
_LONGEST_ID = 200
_KEY = b"authorization"
_BEARER = b"bearer "
_EXPECTED = b"expect-instance"
# The organisation's name.
_ORGANISATION = b"tenant"
# Proof that the answer is the endpoint's own.
_SEAL = b"server-seal"
_NOT_RUN = b"not-executed"
_ENCODING = b"content-encoding"
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Requests a second that the endpoint takes from all VMs together.
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
# Seconds in which the endpoint wants nothing from this VM.
_REST = b"retry-after"
_MOST_REST_S = 600.0
_FLAGS = {b"0": False, b"1": True}

_SET_HERE = frozenset(
    {
        _DEADLINE,
        _RESUME,
        _KEY,
        _EXPECTED,
        _ORGANISATION,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
        b"expect",
    }
)
"""Headers of callers that are not passed on: the system's own, and framing."""

_SET_BY_RELAY = frozenset({_DEADLINE, _RESUME, b"content-length", b"expect"})


class PlatformDialect:
    """The :class:`~pomelolane.ports.forwarding.Dialect` of the platform."""

    def describe(self, headers: Sequence[Header]) -> CallDescription:
        """Read a caller's head.

        Raises:
            BadRequestError: A number cannot be read.
        """
        found = dict(headers)
        prompt, _, limit = found.get(_TOKENS, b"").partition(b",")
        key = found.get(_KEY, b"")
        bearer = key[len(_BEARER) :] if key[: len(_BEARER)].lower() == _BEARER else b""
        return CallDescription(
            request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
            deadline_ms=_number(_DEADLINE, found.get(_DEADLINE, b"")),
            prompt_tokens=_number(_TOKENS, prompt),
            answer_limit_tokens=_number(_TOKENS, limit),
            answer_hint_tokens=_number(_HINT, found.get(_HINT, b"")),
            key=bearer.strip().decode("latin-1"),
            resume_after=found.get(_RESUME, b""),
            resumes=_resumed_attempt(headers),
            prompt_parts=_prompt_parts(found.get(_PARTS, b"")),
        )

    def request_headers(
        self, headers: Sequence[Header], endpoint: Endpoint, dispatch: Dispatch
    ) -> list[Header]:
        """Return an endpoint's headers: the caller's, but for our own."""
        passed = [h for h in strip_hop_headers(headers) if h[0] not in _SET_HERE]
        passed.append((_DEADLINE, b"%d" % dispatch.left_ms))
        passed.append((_EXPECTED, endpoint.endpoint_id.encode("latin-1")))
        if dispatch.organisation:
            passed.append((_ORGANISATION, dispatch.organisation.encode("latin-1")))
        if dispatch.resume_after:
            passed.append((_RESUME, dispatch.resume_after))
        return passed

    def relayed_headers(
        self, headers: Sequence[Header], dispatch: Dispatch
    ) -> list[Header]:
        """Return another VM's headers: the caller's, but for the time and the event."""
        passed = [h for h in strip_hop_headers(headers) if h[0] not in _SET_BY_RELAY]
        passed.append((_DEADLINE, b"%d" % dispatch.left_ms))
        if dispatch.resume_after:
            passed.append((_RESUME, dispatch.resume_after))
        return passed

    def answered_request(self, headers: Sequence[Header]) -> str:
        """Return the id of the request that an answer names, empty if it names none.

        Several ids are returned as one, which no request has.
        """
        named = {value for key, value in headers if key == _REQUEST_ID and value}
        return b", ".join(sorted(named)).decode("latin-1")

    def judge(self, status: int, headers: Sequence[Header]) -> Verdict:
        """Tell what an endpoint's head is worth, if it belongs to the request."""
        found = dict(headers)
        if _NOT_RUN in found or status == _MISDIRECTED:
            return Verdict.NOT_RUN
        if _is_success(status) and not found.keys() >= {_REQUEST_ID, _SEAL}:
            return Verdict.INVALID
        if _ENCODING in found or status < 200 or 300 <= status < 400:
            return Verdict.INVALID
        return Verdict.ANSWER

    def read_notice(self, status: int, headers: Sequence[Header]) -> EndpointNotice:
        """Return what an endpoint says of itself in an answer that is its own."""
        if status == _MISDIRECTED:
            # Another endpoint has taken over the address.
            return EndpointNotice()
        # Only a success tells that a limit is over: others may lack the header.
        no_limit = math.inf if _is_success(status) else None
        limit_per_s, bad_limit = _read(headers, _LIMIT, _not_negative, no_limit)
        is_leaving, bad_leaving = _read(headers, _LEAVING, _flag, False)
        rest_ms, bad_rest = 0.0, ()
        if status == _UNAVAILABLE:
            rest_ms, bad_rest = _read(headers, _REST, _rest_ms, 0.0)
        return EndpointNotice(
            limit_per_s,
            bool(is_leaving),
            rest_ms or 0.0,
            bad_limit + bad_leaving + bad_rest,
        )


def _resumed_attempt(headers: Sequence[Header]) -> str:
    """Return the attempt that a caller resumes, empty if it names none or several."""
    named = [value.strip() for key, value in headers if key == _RESUMED_ATTEMPT]
    if len(named) != 1 or len(named[0]) > _LONGEST_ID:
        return ""
    return named[0].decode("latin-1")


def _prompt_parts(text: bytes) -> tuple[str, ...]:
    """Return ids of the first parts that can be shared, none if one can't be read."""
    shared = text.split(b",")[:-1]
    found = [_PART.fullmatch(one.strip()) for one in shared[:_MOST_PARTS]]
    if None in found:
        return ()
    return tuple(one[1].decode().lower() for one in found)


def _is_success(status: int) -> bool:
    return 200 <= status < 300


def _read(
    headers: Sequence[Header],
    name: bytes,
    parse: Callable[[bytes], T],
    absent: T | None,
) -> tuple[T | None, Rejected]:
    """Return a header's value, None with what was rejected if it cannot be read."""
    text = b", ".join(value for key, value in headers if key == name).strip()
    if not text:
        return absent, ()
    try:
        return parse(text), ()
    except ValueError:
        return None, ((name.decode(), text.decode("latin-1")),)


def _not_negative(text: bytes) -> float:
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(text)
    return number


def _rest_ms(text: bytes) -> float:
    return min(_not_negative(text), _MOST_REST_S) * 1000.0


def _flag(text: bytes) -> bool:
    if text not in _FLAGS:
        raise ValueError(text)
    return _FLAGS[text]


def _number(name: bytes, text: bytes) -> int:
    text = text.strip()
    if not text:
        return 0
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        raise BadRequestError(
            400, Reason.BAD_REQUEST, f"{name.decode()} is not a number"
        ) from None
