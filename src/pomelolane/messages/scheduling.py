"""Messages between gateways and the schedulers of services.

A scheduler learns from them of waiting and running requests and grants slots.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message
from pomelolane.outcomes import Reason


class Handle(msgspec.Struct, frozen=True, array_like=True):
    """What a scheduler needs to know of a waiting request, never its body.

    Attributes:
        request_id: Unique for one attempt's life, made by the gateway.
        service: Service asked for.
        work: Kind of work.
        tier_rank: 0 is the highest.
        organisation: Who asks.
        team: The organisation's team.
        budget_ms: Time left until the deadline when the handle was sent.
        prefill_tokens: Prompt length.
        decode_tokens: Expected answer length.
        prefix_hashes: Chained hashes of the prompt's whole blocks, first
            block first (see ``pomelolane.gateway.prefix``).
        data_centre: The gateway's data centre.
        excluded: Endpoints that already failed this request.
        attempt: 0 for the first dispatch.
        admitted: Whether a scheduler has counted it against limits already; it
            is registered again then and not counted twice.
        objective_ms: Time from the caller's first byte within which the answer
            should begin, 0 where there is no such aim.
        late_window_ms: How long the deadline lies after the moment at which
            the answer should begin.
        gap_ms: Longest pause between two pieces of the answer, 0 for any.
        charge_tokens: Tokens counted against the organisation's limit.
        patience_ms: Time left until the caller leaves if its answer has not begun,
            0 for not before the deadline.
        suspect: Whether several endpoints have crashed under it: it runs beside no
            other such request, so that the next end tells which of them did it.
    """

    request_id: str
    service: str
    work: str
    tier_rank: int
    organisation: str
    team: str
    budget_ms: int
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    data_centre: str = ""
    excluded: tuple[str, ...] = ()
    attempt: int = 0
    admitted: bool = False
    objective_ms: int = 0
    late_window_ms: int = 0
    gap_ms: int = 0
    charge_tokens: int = 0
    patience_ms: int = 0
    suspect: bool = False

    def with_budget(self, budget_ms: int, *, admitted: bool) -> Handle:
        """Return the handle as of a later moment, by the budget that is left."""
        patience_ms = 0
        if self.patience_ms:
            patience_ms = max(1, self.patience_ms - (self.budget_ms - budget_ms))
        return msgspec.structs.replace(
            self, budget_ms=budget_ms, patience_ms=patience_ms, admitted=admitted
        )


class RunningHandle(msgspec.Struct, frozen=True, array_like=True):
    """A request already dispatched, registered again with a new scheduler.

    Attributes:
        handle: The handle as first sent.
        endpoint_id: Where it runs.
        decoded_tokens: Answer tokens seen so far.
        started: Whether the first token was seen.
    """

    handle: Handle
    endpoint_id: str
    decoded_tokens: int
    started: bool


class Submit(Message, frozen=True):
    """Gateway to scheduler: queue these requests.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler;
            answers repeat it, so that late ones are recognised.
        waiting: New or re-registered waiting handles.
        running: Running handles, after a change of scheduler.
    """

    epoch: int
    waiting: tuple[Handle, ...] = ()
    running: tuple[RunningHandle, ...] = ()


class SubmitAck(Message, frozen=True):
    """Scheduler to gateway: these are queued with me.

    Attributes:
        epoch: Copied from the submit.
        request_ids: Handles taken.
    """

    epoch: int
    request_ids: tuple[str, ...]


class NotScheduler(Message, frozen=True):
    """Answer of a VM that does not schedule the service in its own view.

    Attributes:
        epoch: Copied from the submit.
        service: The service.
        scheduler: VM that the answering one follows itself, empty if it does
            not know the service (yet).
    """

    epoch: int
    service: str
    scheduler: str = ""


class Granted(Message, frozen=True):
    """Scheduler to gateway: dispatch the request to this endpoint now.

    Attributes:
        epoch: Copied from the submit.
        request_id: The request.
        endpoint_id: Where to send it.
        expected_ttft_ms: Predicted time until the first token.
    """

    epoch: int
    request_id: str
    endpoint_id: str
    expected_ttft_ms: float


class Refused(Message, frozen=True):
    """Scheduler to gateway: the request is given up on, nothing was sent.

    Attributes:
        epoch: Copied from the submit.
        request_id: The request.
        reason: Why.
        retry_after_ms: When to come back, from the measured drain rate.
    """

    epoch: int
    request_id: str
    reason: Reason
    retry_after_ms: int


class StreamEvent(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway saw of one dispatched request.

    Attributes:
        request_id: The request.
        endpoint_id: Where it runs.
        ttft_ms: Time from dispatch to first token, or -1 if not new.
        tokens: Answer tokens since the last event.
        elapsed_ms: Time since the last event (or first token).
        finished: Whether its slot is free again.
        outcome: Empty on success, else an :class:`Outcome` value.
        refused: Whether the endpoint refused it before taking it.
        cached_tokens: Prompt tokens that the engine reported as cached, or -1.
        limit_per_s: Requests a second that the endpoint takes from all VMs together,
            infinite where it names no limit, None if not new.
    """

    request_id: str
    endpoint_id: str
    ttft_ms: float = -1.0
    tokens: int = 0
    elapsed_ms: float = 0.0
    finished: bool = False
    outcome: str = ""
    refused: bool = False
    cached_tokens: int = -1
    limit_per_s: float | None = None


class Progress(Message, frozen=True):
    """Gateway to scheduler: events of dispatched requests, in one batch."""

    epoch: int
    events: tuple[StreamEvent, ...]


class Withdraw(Message, frozen=True):
    """Gateway to scheduler: these waiting requests are no longer wanted."""

    epoch: int
    request_ids: tuple[str, ...]


class Sync(Message, frozen=True):
    """Gateway to scheduler: what it holds of a service; also the sign of life.

    Lost submits, grants and releases are found by it.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler.
        service: The service.
        whole: Whether the lists are there; without them it is a sign of life.
        waiting: Requests that still wait for a slot.
        running: Dispatched requests.
    """

    epoch: int
    service: str
    whole: bool = True
    waiting: tuple[str, ...] = ()
    running: tuple[str, ...] = ()


class SyncAck(Message, frozen=True):
    """Scheduler to gateway: the answer to a sync.

    Attributes:
        epoch: Copied from the sync.
        service: The service.
        missing: Requests that the scheduler does not know and needs again.
        held: Number of the gateway's requests that the scheduler knows.
    """

    epoch: int
    service: str
    missing: tuple[str, ...] = ()
    held: int = 0


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The rate that an endpoint has named in an answer.

    Attributes:
        endpoint_id: The endpoint.
        limit_per_s: Requests a second that it takes from all VMs together.
        age_ms: How long ago.
    """

    endpoint_id: str
    limit_per_s: float
    age_ms: int


class LimitsHeard(Message, frozen=True):
    """Gateway to its new scheduler: the rates that endpoints have named to it.

    It comes before the handles, so that no grant goes past a limit which only the
    scheduler before has known.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler.
        service: The service.
        limits: The newest of each endpoint.
    """

    epoch: int
    service: str
    limits: tuple[NamedLimit, ...]


class Unfollow(Message, frozen=True):
    """Gateway to its earlier scheduler: it follows another one now.

    Attributes:
        epoch: The number that the earlier choice had.
        service: The service.
    """

    epoch: int
    service: str


class ToldUse(msgspec.Struct, frozen=True, array_like=True):
    """What an organisation used of its limit.

    Attributes:
        organisation: Who.
        age_ms: How long ago.
        tokens: How much.
        bound: What a span could hold when it passed, 0 where that is not known.
    """

    organisation: str
    age_ms: int
    tokens: int
    bound: int = 0


class UsesTold(Message, frozen=True):
    """Scheduler to others: what it let pass of organisations' limits.

    Attributes:
        service: The service.
        uses: All uses that still count, or those since the last word.
        adds: Whether they come on top of what was told before.
        account: Name of the account, by the sender's start: what other accounts of
            the same VM hold stays.
        is_passed_on: Whether the sender has only heard it.
        leaves: Whether the sender leaves the role.
        guess_part: Part of each limit that the sender counts as used by a guess, beside
            what it has heard or read; None from a gateway that is alone.
    """

    service: str
    uses: tuple[ToldUse, ...]
    adds: bool = False
    account: str = ""
    is_passed_on: bool = False
    leaves: bool = False
    guess_part: float | None = None


__all__ = [
    "Granted",
    "Handle",
    "LimitsHeard",
    "NamedLimit",
    "NotScheduler",
    "Progress",
    "Refused",
    "RunningHandle",
    "StreamEvent",
    "Submit",
    "SubmitAck",
    "Sync",
    "SyncAck",
    "ToldUse",
    "Unfollow",
    "UsesTold",
    "Withdraw",
]
