"""Messages between VMs, encoded as MessagePack by msgspec.

Each is a tagged struct; ages and budgets travel as durations because clocks
of two VMs are never compared.
"""

from __future__ import annotations

import msgspec

from pomelolane.exceptions import TransportError
from pomelolane.outcomes import Outcome, Reason


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of everything that one VM sends to another."""


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


class Unfollow(Message, frozen=True):
    """Gateway to its earlier scheduler: it follows another one now.

    Attributes:
        epoch: The number that the earlier choice had.
        service: The service.
    """

    epoch: int
    service: str


class Heartbeat(Message, frozen=True):
    """A member's sign of life inside its data centre.

    Attributes:
        vm_id: Sender.
        incarnation: Number of this start of the VM, grows with each start.
        data_centre: The sender's.
        sequence: Grows by one each time.
        ready: Whether it takes callers.
        draining: Whether it is stopping.
        versions: Settings version by branch.
        leaving: Endpoints that the sender itself found to be leaving.
        address: ``ip:port`` at which others reach the sender.
        stopped: Whether this is the sender's last message.
        remote: Hash of the digest of each other data centre that the sender
            hears of directly; empty unless it is a delegate.
    """

    vm_id: str
    incarnation: int
    data_centre: str
    sequence: int
    ready: bool
    draining: bool
    versions: dict[str, int]
    leaving: tuple[str, ...] = ()
    address: str = ""
    stopped: bool = False
    remote: dict[str, int] = {}


class Pulse(Message, frozen=True):
    """A heartbeat whose content is that of the last full one.

    Attributes:
        state_hash: Hash of that content.
    """

    state_hash: int


class HeartbeatWanted(Message, frozen=True):
    """Answer to a pulse whose content the receiver does not have."""


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """One VM in a digest."""

    vm_id: str
    incarnation: int
    ready: bool
    draining: bool
    address: str


class Digest(Message, frozen=True):
    """A delegate's summary of its data centre for another one.

    Attributes:
        data_centre: The summarised data centre.
        sequence: Grows by one each time.
        members: The VMs alive in it.
        versions: Highest settings version by branch.
        leaving: Endpoints known to be leaving.
        capacity: Free slots by service.
        reply: Whether it answers another digest, and so wants no answer.
    """

    data_centre: str
    sequence: int
    members: tuple[MemberState, ...]
    versions: dict[str, int]
    leaving: tuple[str, ...] = ()
    capacity: dict[str, int] = {}
    reply: bool = False


class DigestPulse(Message, frozen=True):
    """A digest whose content is that of the last full one.

    Attributes:
        data_centre: The summarised data centre.
        digest_hash: Hash of that content.
    """

    data_centre: str
    digest_hash: int


class DigestWanted(Message, frozen=True):
    """Ask a VM for the digest that it has of a data centre."""

    data_centre: str


class BranchWanted(Message, frozen=True):
    """Ask a peer for a branch that it has in a higher version."""

    branch: str
    above_version: int


class BranchContent(Message, frozen=True):
    """One branch of the settings tree, as committed.

    Attributes:
        branch: Name of the branch.
        version: Its committed version.
        content: Canonical JSON of the branch.
    """

    branch: str
    version: int
    content: bytes


class EndpointLeaving(Message, frozen=True):
    """An endpoint is leaving; no grant from the moment this is known."""

    endpoint_id: str
    source: str


class KeyQuery(Message, frozen=True):
    """Ask the holder of a claim what became of the request."""

    query_id: str
    key: str


class KeyAnswer(Message, frozen=True):
    """The holder's answer.

    Attributes:
        query_id: Copied from the query.
        known: Whether this incarnation holds the key.
        dispatched: Whether a byte may have gone to an endpoint.
        endpoint_id: Where it runs or ran, empty if nowhere.
        stream_id: The engine's stream, empty if none.
        finished: Whether it has ended.
        outcome: Empty on success, else an :class:`Outcome` value.
    """

    query_id: str
    known: bool
    dispatched: bool = False
    endpoint_id: str = ""
    stream_id: str = ""
    finished: bool = False
    outcome: str = ""


class RelayedWrite(msgspec.Struct, frozen=True, array_like=True):
    """One conditional write on its way to the VM that commits it.

    Attributes:
        key: Row key.
        value: New value.
        if_version: Version the row must have, 0 for absent, None for any.
    """

    key: str
    value: bytes
    if_version: int | None


class RelayedResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a relayed write.

    Attributes:
        applied: Whether its condition held.
        version: The row's version afterwards.
        unavailable: Whether it was certainly not applied.
        unknown: Whether the reply to its commit was lost.
    """

    applied: bool = False
    version: int = 0
    unavailable: bool = False
    unknown: bool = False


class ClaimBatch(Message, frozen=True):
    """A VM to the one that gathers writes of its data centre: commit these.

    Attributes:
        batch_id: The sender's number for the batch.
        lazy: Whether they may wait for company.
        writes: The writes, each on its own condition.
    """

    batch_id: int
    lazy: bool
    writes: tuple[RelayedWrite, ...]


class ClaimResults(Message, frozen=True):
    """The answer to a batch, in the order of its writes."""

    batch_id: int
    results: tuple[RelayedResult, ...]


AnyMessage = (
    Submit
    | SubmitAck
    | NotScheduler
    | Granted
    | Refused
    | Progress
    | Withdraw
    | Sync
    | SyncAck
    | Unfollow
    | Heartbeat
    | Pulse
    | HeartbeatWanted
    | Digest
    | DigestPulse
    | DigestWanted
    | BranchWanted
    | BranchContent
    | EndpointLeaving
    | KeyQuery
    | KeyAnswer
    | ClaimBatch
    | ClaimResults
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: Message) -> bytes:
    """Encode a message for the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> AnyMessage:
    """Decode and check a message.

    Raises:
        TransportError: The bytes are no message of ours.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise TransportError(f"undecodable message: {error}") from error


__all__ = [
    "AnyMessage",
    "BranchContent",
    "BranchWanted",
    "ClaimBatch",
    "ClaimResults",
    "Digest",
    "DigestPulse",
    "DigestWanted",
    "EndpointLeaving",
    "Granted",
    "Handle",
    "Heartbeat",
    "HeartbeatWanted",
    "KeyAnswer",
    "KeyQuery",
    "MemberState",
    "Message",
    "NotScheduler",
    "Outcome",
    "Progress",
    "Pulse",
    "Refused",
    "RelayedResult",
    "RelayedWrite",
    "RunningHandle",
    "StreamEvent",
    "Submit",
    "SubmitAck",
    "Sync",
    "SyncAck",
    "Unfollow",
    "Withdraw",
    "decode_message",
    "encode_message",
]
