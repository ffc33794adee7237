"""What the forwarding gateway asks of the protocol it is used with.

A dialect knows the names of headers; everything else here is in the project's
own terms.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.model import Endpoint

    Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class CallDescription:
    """What a caller says of its request in the head.

    Attributes:
        request_id: The caller's id of this attempt, empty where it gave none.
        deadline_ms: How long the caller waits, 0 where it does not say.
        prompt_tokens: Length of the prompt, 0 for plain calls.
        answer_limit_tokens: Most tokens that the answer may have.
        answer_hint_tokens: The caller's estimate of them, 0 for none.
        key: The caller's bearer key, empty where it gave none.
        resume_after: Id of the last event that the caller has, empty for none.
        resumes: Id of the attempt that brought its first event, empty for none.
        prompt_parts: Ids of the parts that its prompt may share with others.
    """

    request_id: str
    deadline_ms: int
    prompt_tokens: int = 0
    answer_limit_tokens: int = 0
    answer_hint_tokens: int = 0
    key: str = ""
    resume_after: bytes = b""
    resumes: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def has_prompt(self) -> bool:
        """Whether the request is described by tokens."""
        return self.prompt_tokens > 0 or self.answer_limit_tokens > 0

    @property
    def first_attempt(self) -> str:
        """Id of the attempt that brings, or has brought, the first event."""
        resumes = self.resumes if self.resume_after else ""
        return resumes or self.request_id


class Verdict(StrEnum):
    """What an endpoint's head says of the request that it belongs to."""

    ANSWER = "answer"
    """The endpoint's own answer, whatever its status."""
    NOT_RUN = "not_run"
    """The endpoint states that it has not run the request."""
    INVALID = "invalid"
    """The head can't be the endpoint's own answer."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What an endpoint is told beside the caller's own words.

    Attributes:
        organisation: The caller's organisation, empty on public routes.
        left_ms: Time that is left.
        resume_after: Id of the last event that the caller has, empty for none.
    """

    organisation: str
    left_ms: int
    resume_after: bytes = b""


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What an endpoint says of itself in the head of an answer.

    Attributes:
        limit_per_s: Requests a second that it takes from all VMs together, infinite
            where a success names no limit, None where that cannot be told.
        is_leaving: Whether it leaves: it wants no new requests.
        rest_ms: How long it wants nothing from this VM, 0 where it does not ask.
        rejected: Names and values of headers that cannot be read.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    rest_ms: float = 0.0
    rejected: tuple[tuple[str, str], ...] = ()


class Dialect(Protocol):
    """Reads and writes the heads of requests and answers."""

    def describe(self, headers: Sequence[Header]) -> CallDescription:
        """Read a caller's head.

        Raises:
            BadRequestError: A header cannot be read.
        """

    def request_headers(
        self, headers: Sequence[Header], endpoint: Endpoint, dispatch: Dispatch
    ) -> list[Header]:
        """Return the headers that an endpoint gets, without framing."""

    def relayed_headers(
        self, headers: Sequence[Header], dispatch: Dispatch
    ) -> list[Header]:
        """Return the headers that another VM gets in the caller's place."""

    def answered_request(self, headers: Sequence[Header]) -> str:
        """Return the id of the request that an answer names, empty if it names none."""

    def judge(self, status: int, headers: Sequence[Header]) -> Verdict:
        """Tell what an endpoint's head is worth, if it belongs to the request."""

    def read_notice(self, status: int, headers: Sequence[Header]) -> EndpointNotice:
        """Return what an endpoint says of itself in an answer that is its own."""
