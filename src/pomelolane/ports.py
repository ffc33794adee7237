"""The protocols at which the parts of the system meet.

Each part depends on these types and never on another part's classes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping, Sequence

    from pomelolane.messages import Handle, Message, RunningHandle, StreamEvent
    from pomelolane.model import Endpoint, Tree
    from pomelolane.outcomes import Refusal
    from pomelolane.sentinels import Missing


class Clock(Protocol):
    """Monotonic time of one process."""

    def now_ms(self) -> float:
        """Return milliseconds from an arbitrary, fixed origin."""


# --- platform ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """A committed row of the platform's table.

    Attributes:
        key: Row key, slash-separated.
        version: 1 for the first write, then growing by one.
        value: Opaque bytes.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write.

    Attributes:
        key: Row key.
        value: New value, or None to delete the row.
        if_version: Version the row must have, 0 for absent, None for any.
    """

    key: str
    value: bytes | None
    if_version: int | None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """What became of one write of a batch.

    Attributes:
        key: Row key.
        applied: Whether its condition held.
        version: The row's version afterwards, 0 where absent.
    """

    key: str
    applied: bool
    version: int


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Row | Missing:
        """Read one row.

        Raises:
            PlatformUnavailableError: No answer, or the table is down.
        """

    async def scan(self, prefix: str, *, limit: int = 1000) -> Sequence[Row]:
        """Read the rows whose key starts with ``prefix``, in key order."""

    async def commit(
        self, writes: Sequence[Write], *, atomic: bool = True
    ) -> Sequence[WriteResult]:
        """Commit writes in one transaction, counted as one write.

        With ``atomic``, nothing is applied unless every condition holds;
        otherwise each write stands on its own condition.

        Raises:
            PlatformUnavailableError: Certainly not applied.
            CommitUnknownError: The reply was lost; read back.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object whole."""

    async def get(self, name: str) -> bytes | Missing:
        """Read an object whole."""

    async def delete(self, name: str) -> None:
        """Delete an object if it is there."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's lagging list.

    Attributes:
        vm_id: VM or endpoint id.
        data_centre: Where it stands.
        address: ``ip:port`` of its inter-VM (or endpoint) interface.
        leaving: Whether the platform has marked it as leaving.
    """

    vm_id: str
    data_centre: str
    address: str
    leaving: bool


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def read(self) -> Sequence[ListedVm]:
        """Read the list; it may be seconds old."""


# --- membership -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Peer:
    """A VM that is alive in this VM's own view.

    Attributes:
        vm_id: The VM.
        incarnation: Number of its current start.
        data_centre: Where it stands.
        address: ``ip:port`` of its inter-VM interface.
        draining: Whether it is stopping; it takes no new role.
        ready: Whether it has its settings and takes callers.
    """

    vm_id: str
    incarnation: int
    data_centre: str
    address: str
    draining: bool = False
    ready: bool = True


@dataclass(frozen=True, slots=True)
class View:
    """The VMs that this VM can reach, itself included.

    Attributes:
        number: Grows by one with each change.
        peers: By VM id.
    """

    number: int
    peers: Mapping[str, Peer]


class Transport(Protocol):
    """Authenticated messages to other VMs; unordered loss is possible."""

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue a message without blocking; a message to oneself loops back.

        Returns:
            False where the VM has no known address or its queue is full.
        """

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Call ``handler(sender_vm_id, message)`` for each message of a kind."""


class Membership(Protocol):
    """Who is alive, as far as this VM can tell."""

    def view(self) -> View:
        """Return the current view."""

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Call back after each change of the view."""


# --- scheduling -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to dispatch one request to one endpoint, once.

    Attributes:
        request_id: The request.
        endpoint_id: Where to send it.
        expected_ttft_ms: Predicted time until the first token.
    """

    request_id: str
    endpoint_id: str
    expected_ttft_ms: float


@dataclass(frozen=True, slots=True)
class Decision:
    """What the scheduling core decided on one waiting handle.

    Attributes:
        request_id: The request.
        result: A grant, or the refusal with when to come back.
    """

    request_id: str
    result: Grant | Refusal


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's own, lagging report of its load.

    Attributes:
        endpoint_id: The endpoint.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        kv_used_tokens: KV cache in use.
        age_ms: How old the figures are when they are handed over.
    """

    endpoint_id: str
    running: int
    waiting: int
    kv_used_tokens: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine's late and gappy word on its prefix cache.

    Attributes:
        endpoint_id: The engine.
        sequence: Its number; a jump means that events were lost.
        stored: True for stored, False for evicted.
        prefix_hash: Chained hash of the block.
    """

    endpoint_id: str
    sequence: int
    stored: bool
    prefix_hash: int


class SchedulingCore(Protocol):
    """The pure decision core of one service: no I/O, time passed in.

    Each method returns the decisions that became possible by it; the caller
    carries them out. ``now_ms`` never decreases.
    """

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree (endpoints, weights, limits)."""

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a request id already known is ignored."""

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Forget a waiting request, or free a granted one's slot."""

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Learn from a stream; frees the slot when finished."""

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Correct own accounting by an engine's report."""

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Correct the record of cached prefixes."""

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Grant nothing more to an endpoint."""

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Take back a mark; an endpoint declared as leaving stays out."""

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share (0..1] of each endpoint's slots (cut-off mode)."""

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Expire deadlines, probe stragglers; call every 50 ms or so."""


class SchedulerClient(Protocol):
    """How a gateway gets a slot, wherever the scheduler is."""

    async def acquire(self, handle: Handle) -> Grant | Refusal:
        """Wait for a grant or a final refusal.

        Cancelling the call withdraws the handle.
        """

    def observe(self, event: StreamEvent) -> None:
        """Report on a dispatched request; the last event frees its slot."""


# --- endpoints --------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it goes to an endpoint.

    Attributes:
        request_id: Becomes the engine's stream id.
        key: Idempotency key passed on to plain services, empty if none.
        method: HTTP method.
        path: Path with query.
        headers: Headers to pass on.
        body: Whole body.
    """

    request_id: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class UpstreamStream(Protocol):
    """An answer that is arriving."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they come, coalescing what is ready."""

    async def aclose(self) -> None:
        """Close the connection."""


class EndpointAdapter(Protocol):
    """Speaks to one kind of endpoint."""

    async def dispatch(
        self, endpoint: Endpoint, request: UpstreamRequest
    ) -> UpstreamStream:
        """Send a request, once.

        Raises:
            EndpointRefusedError: Certainly not taken.
            EndpointBrokenError: Possibly taken.
        """

    async def resume(
        self, endpoint: Endpoint, stream_id: str, from_chunk: int
    ) -> UpstreamStream:
        """Attach to a stream that an earlier dispatch started.

        Raises:
            StreamGoneError: The engine does not know it.
        """

    async def cancel(self, endpoint: Endpoint, stream_id: str) -> None:
        """Ask the engine to stop a stream; errors are swallowed."""


# --- claims -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The table's record of who may dispatch a key.

    Attributes:
        key: Organisation and idempotency key, hashed.
        token: Unique token of the ``claim`` call that made it.
        vm_id: Holder.
        incarnation: The holder's start.
        body_digest: Digest of the request, to refuse a key's reuse.
        state: ``claimed``, ``released``, ``done``, ``failed``, ``cut_short`` or
            ``unknown``.
        answer_object: Object that holds the kept answer, empty if none.
        fresh: True only in what the very ``claim`` call returns that inserted
            the record or took over a released one. Nothing but a fresh record
            allows a dispatch, and it allows one.
    """

    key: str
    token: str
    vm_id: str
    incarnation: int
    body_digest: str
    state: str
    answer_object: str = ""
    fresh: bool = False


class Claims(Protocol):
    """Group-committed claims on keys."""

    async def claim(
        self, key: str, body_digest: str, *, timeout_ms: float
    ) -> ClaimRecord | Refusal:
        """Insert a claim, take over a released one, or return what stands.

        Two calls for one key in one process are two claims: at most one of
        them gets a fresh record. A refusal is always ``not_run``; a claim that
        is found to have been committed after its call was refused is released
        in the background.
        """

    async def settle(
        self, record: ClaimRecord, state: str, answer_object: str = ""
    ) -> None:
        """Record the end of an own claim by compare-and-set on its token.

        Returns once it is committed, however long the platform is away; the
        caller runs it in the background. ``released`` lets anybody claim the
        key again, so it is said only of a request that was not and will not
        be dispatched.
        """

    async def read(self, key: str) -> ClaimRecord | Missing:
        """Read the claim that stands for a key.

        Raises:
            PlatformError: The table does not answer.
        """


__all__ = [
    "CacheEvent",
    "ClaimRecord",
    "Claims",
    "Clock",
    "Decision",
    "EndpointAdapter",
    "Grant",
    "ListedVm",
    "LoadReport",
    "Membership",
    "ObjectStore",
    "Peer",
    "Row",
    "SchedulerClient",
    "SchedulingCore",
    "Table",
    "Transport",
    "UpstreamRequest",
    "UpstreamStream",
    "View",
    "VmList",
    "Write",
    "WriteResult",
]
