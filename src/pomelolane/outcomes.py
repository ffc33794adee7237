"""How a request can end, and why it was refused.

The words here are the ones callers read in error answers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Final state of a request that did not get its whole answer.

    ``NOT_RUN`` is said only from a state in which no byte of the request can
    have been sent to an endpoint.
    """

    NOT_RUN = "not_run"
    FAILED = "failed"
    CUT_SHORT = "cut_short"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Machine-readable cause of a refusal or failure."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORK = "unknown_work"
    QUEUE_FULL = "queue_full"
    MEMORY_FULL = "memory_full"
    DISPLACED = "displaced"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    REQUEST_LIMIT = "request_limit"
    TOKEN_LIMIT = "token_limit"
    LIMIT_GUESSED = "limit_guessed"
    CONCURRENCY_LIMIT = "concurrency_limit"
    NO_ENDPOINT = "no_endpoint"
    NO_MATCHING_VERSION = "no_matching_version"
    ORIGIN_UNKNOWN = "origin_unknown"
    NOT_READY = "not_ready"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CLAIM_HELD = "claim_held"
    HOLDER_GONE = "holder_gone"
    KEY_REUSED = "key_reused"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_BROKEN = "endpoint_broken"
    ENDPOINT_ERROR = "endpoint_error"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    CALLER_GONE = "caller_gone"
    CANCELLED = "cancelled"
    VERSION_CONFLICT = "version_conflict"
    INVALID_TREE = "invalid_tree"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request's typed negative end; falsy, so it reads as a sentinel.

    Attributes:
        outcome: What is known about whether the request ran.
        reason: Why.
        retry_after_ms: When coming back can help, 0 where it can't.
        detail: One sentence for people.
        reserved_ms: Slot time reserved for the caller's return, 0 for none.
        beyond_share: Whether its organisation asked for more than its share of slots.
        reservation_id: Id of the reservation, 0 for none.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
    reserved_ms: int = 0
    beyond_share: bool = False
    reservation_id: int = 0

    def __bool__(self) -> bool:
        return False
