"""Messages between gateways and the schedulers of services.

Gateways report waiting and running requests; schedulers grant endpoint slots.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message
from pomelolane.outcomes import Reason


class Handle(msgspec.Struct, frozen=True, array_like=True):
    """Description of a waiting request for the scheduler, without its body.

    Attributes:
        request_id: Id made by the gateway, unique during one attempt.
        service: Requested service.
        work: Kind of work.
        tier_rank: Rank of the priority tier, 0 for the highest.
        organisation: Organisation of the caller.
        team: Team of the caller within the organisation.
        budget_ms: Time left until the deadline when the handle was sent.
        prefill_tokens: Length of the prompt.
        decode_tokens: Expected length of the answer.
        prefix_hashes: Chained hashes of the prompt's complete blocks, in order
            (see ``pomelolane.gateway.prefix``).
        data_centre: The gateway's data centre.
        excluded: Endpoints on which this request has already failed.
        attempt: Number of the dispatch, 0 for the first.
        admitted: Whether a scheduler has already counted it against the limits; it is
            then re-registered without being counted twice.
        objective_ms: Time from the caller's first byte within which the answer
            should begin, 0 for no objective.
        late_window_ms: Time from the objective to the deadline.
        gap_ms: Longest allowed pause between two chunks of the answer, 0 for no
            limit.
        charge_tokens: Tokens counted against the organisation's limit.
        patience_ms: Time left until the caller disconnects if the answer has not
            begun, 0 if it stays until the deadline.
        suspect: Whether several endpoints have crashed while running it. It then runs
            beside no other suspect, so that the next crash identifies the cause.
        fingerprint: First 16 digits of the hash of the request's content, equal for
            repeated requests, empty if unknown.
        version: Software version of the endpoints that it may go to, None for any: its
            answer goes on from one of that version. Only the objective policy heeds it;
            gateways give back grants of other versions.
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
    fingerprint: str = ""
    version: str | None = None

    def with_budget(self, budget_ms: int, *, admitted: bool) -> Handle:
        """Return the handle with the remaining budget and patience."""
        patience_ms = 0
        if self.patience_ms:
            patience_ms = max(1, self.patience_ms - (self.budget_ms - budget_ms))
        return msgspec.structs.replace(
            self, budget_ms=budget_ms, patience_ms=patience_ms, admitted=admitted
        )


class RunningHandle(msgspec.Struct, frozen=True, array_like=True):
    """A dispatched request that is re-registered with a new scheduler.

    Attributes:
        handle: The handle as first sent.
        endpoint_id: Endpoint on which it runs.
        decoded_tokens: Answer tokens received so far.
        started: Whether the first token was received.
    """

    handle: Handle
    endpoint_id: str
    decoded_tokens: int
    started: bool


class Submit(Message, frozen=True):
    """Gateway to scheduler: queue these requests.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler;
            replies repeat it, so that stale ones are recognised.
        waiting: New or re-registered waiting handles.
        running: Handles of running requests, after a change of scheduler.
    """

    epoch: int
    waiting: tuple[Handle, ...] = ()
    running: tuple[RunningHandle, ...] = ()


class SubmitAck(Message, frozen=True):
    """Scheduler to gateway: these requests are queued.

    Attributes:
        epoch: Copied from the submit.
        request_ids: Ids of the accepted handles.
    """

    epoch: int
    request_ids: tuple[str, ...]


class NotScheduler(Message, frozen=True):
    """Reply of a VM that is not the service's scheduler in its own view.

    Attributes:
        epoch: Copied from the submit.
        service: The service.
        scheduler: Scheduler in the replying VM's view, empty if the service is
            unknown to it.
    """

    epoch: int
    service: str
    scheduler: str = ""


class Granted(Message, frozen=True):
    """Scheduler to gateway: dispatch the request to this endpoint now.

    Attributes:
        epoch: Copied from the submit.
        request_id: The request.
        endpoint_id: Endpoint to dispatch it to.
        expected_ttft_ms: Predicted time until the first token.
    """

    epoch: int
    request_id: str
    endpoint_id: str
    expected_ttft_ms: float


class Refused(Message, frozen=True):
    """Scheduler to gateway: the request is refused without being dispatched.

    Attributes:
        epoch: Copied from the submit.
        request_id: The request.
        reason: Reason for the refusal.
        retry_after_ms: Time after which capacity is predicted to be free.
        reserved_ms: Slot time reserved at that time, 0 for none.
        reservation_id: Id of the reservation, 0 for none.
    """

    epoch: int
    request_id: str
    reason: Reason
    retry_after_ms: int
    reserved_ms: int = 0
    reservation_id: int = 0


class StreamEvent(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one dispatched request, as observed by its gateway.

    Attributes:
        request_id: The request.
        endpoint_id: Endpoint on which it runs.
        ttft_ms: Time from dispatch to first token, -1 if not newly measured.
        tokens: Answer tokens since the last event.
        elapsed_ms: Time since the last event (or first token).
        finished: Whether its slot is free again.
        outcome: Empty on success, else an :class:`Outcome` value.
        refused: Whether the endpoint refused it before accepting it.
        cached_tokens: Prompt tokens that the engine reported as cached, -1 if none
            were reported.
        limit_per_s: Requests per second that the endpoint accepts from all VMs
            together, infinite if it reports no limit, None if not reported anew.
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
    """Gateway to scheduler: the gateway's requests of a service; also a keepalive.

    The scheduler compares them with its own records, which reveals lost submits, grants
    and releases.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler.
        service: The service.
        whole: Whether the lists are filled in; without them it is only a keepalive.
        waiting: Requests that wait for a slot.
        running: Dispatched requests.
    """

    epoch: int
    service: str
    whole: bool = True
    waiting: tuple[str, ...] = ()
    running: tuple[str, ...] = ()


class SyncAck(Message, frozen=True):
    """Scheduler to gateway: reply to a sync.

    Attributes:
        epoch: Copied from the sync.
        service: The service.
        missing: Requests unknown to the scheduler, to be submitted again.
        held: Number of the gateway's requests that the scheduler knows.
    """

    epoch: int
    service: str
    missing: tuple[str, ...] = ()
    held: int = 0


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that an endpoint has reported in a response.

    Attributes:
        endpoint_id: The endpoint.
        limit_per_s: Requests per second that it accepts from all VMs together.
        age_ms: Time since the report.
    """

    endpoint_id: str
    limit_per_s: float
    age_ms: int


class LimitsHeard(Message, frozen=True):
    """Gateway to its new scheduler: rate limits reported by endpoints.

    It is sent before the handles, so that no grant exceeds a limit that only the former
    scheduler knew.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler.
        service: The service.
        limits: Latest limit of each endpoint.
    """

    epoch: int
    service: str
    limits: tuple[NamedLimit, ...]


class HeldReservation(msgspec.Struct, frozen=True, array_like=True):
    """Slot time that a scheduler reserved with a refusal.

    Attributes:
        fingerprint: Fingerprint of the refused request, as in its handle.
        tier_rank: Rank of the request.
        due_in_ms: Time until the retry time, negative after it.
        slot_ms: Slot time that is reserved.
        reservation_id: Id from the refusal, 0 if unknown. Retry times that gateways
            keep differ from the scheduler's by the delays of messages.
    """

    fingerprint: str
    tier_rank: int
    due_in_ms: int
    slot_ms: int
    reservation_id: int = 0


class ReservationsHeld(Message, frozen=True):
    """Gateway to its new scheduler: reservations of refusals that it has relayed.

    It is sent before the handles, so that a caller that returns in time is recognised.

    Attributes:
        epoch: The gateway's number for its current choice of scheduler.
        service: The service.
        reservations: Reservations that have not expired.
    """

    epoch: int
    service: str
    reservations: tuple[HeldReservation, ...]


class Unfollow(Message, frozen=True):
    """Gateway to its former scheduler: the gateway uses another one now.

    Attributes:
        epoch: The gateway's number for the former choice of scheduler.
        service: The service.
    """

    epoch: int
    service: str


class ToldUse(msgspec.Struct, frozen=True, array_like=True):
    """Usage counted against an organisation's limit.

    Attributes:
        organisation: The organisation.
        age_ms: Time since the usage.
        tokens: Tokens used.
        bound: Capacity of the limit's window at that time, 0 if unknown.
    """

    organisation: str
    age_ms: int
    tokens: int
    bound: int = 0


class UsesTold(Message, frozen=True):
    """Scheduler to others: usage that it admitted under organisations' limits.

    Attributes:
        service: The service.
        uses: All usage that still counts; with ``adds``, only that since the last
            message.
        adds: Whether it adds to earlier messages instead of replacing them.
        account: Account of the usage, named by the VM that admitted it and that VM's
            start. A message replaces only usage of its own account.
        is_passed_on: Whether the sender relays usage that others reported to it.
        leaves: Whether the sender gives up the scheduler role.
        guess_part: Fraction of each limit that the sender estimates as used, in
            addition to reported or stored usage; None in a relayed
            message, or from a gateway that admitted requests while it reached no
            scheduler.
    """

    service: str
    uses: tuple[ToldUse, ...]
    adds: bool = False
    account: str = ""
    is_passed_on: bool = False
    leaves: bool = False
    guess_part: float | None = None


class SharedEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What a scheduler has learnt of one start of an endpoint.

    Whole numbers take 3 bytes for common values, floats take 9. Receivers check them
    when they convert an entry: a bound here would reject the whole message.

    Attributes:
        endpoint_id: The endpoint.
        born_ms: When its process started, 0 if it does not state it.
        version: Version of its software.
        slowdown_thousandths: Response time as a factor on that at speed 1.
        event_interval_us: Time between two answer events, 0 if unknown.
        failure_thousandths: Share of failed answers.
        samples: Number of measured times to first byte that it is based on.
        age_ms: Time since the newest of them.
        event_tokens_hundredths: Tokens per answer event, 0 if unknown.
    """

    endpoint_id: str
    born_ms: int
    version: str
    slowdown_thousandths: int
    event_interval_us: int
    failure_thousandths: int
    samples: int
    age_ms: int
    event_tokens_hundredths: int = 0


class EstimatesShared(Message, frozen=True):
    """Scheduler to the VMs that may take over: its estimates of the endpoints.

    Attributes:
        service: The service.
        estimates: All estimates, also adopted ones that it has not replaced.
    """

    service: str
    estimates: tuple[SharedEstimate, ...]


__all__ = [
    "EstimatesShared",
    "Granted",
    "Handle",
    "HeldReservation",
    "LimitsHeard",
    "NamedLimit",
    "NotScheduler",
    "Progress",
    "Refused",
    "ReservationsHeld",
    "RunningHandle",
    "SharedEstimate",
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
