"""A gateway's records of its requests, and the dependencies of its links.

These records are authoritative; schedulers rebuild their state from them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.messages import RunningHandle

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from pomelolane.coordination.chooser import Chooser
    from pomelolane.coordination.epochs import Epochs
    from pomelolane.coordination.timings import Timings
    from pomelolane.messages import Handle, Message, StreamEvent
    from pomelolane.ports import Clock


@dataclass(slots=True)
class Ticket:
    """A request between its ``acquire`` call and its end.

    Attributes:
        handle: Handle passed to ``acquire``, with endpoints excluded since then.
        deadline_ms: Deadline on this VM's clock.
        answer: Future that is resolved with the grant or the refusal.
        endpoint_id: Endpoint of the granted slot, empty while the request waits.
        admitted: Whether a scheduler has counted it against limits.
        started: Whether the first token has arrived.
        decoded_tokens: Number of answer tokens received so far.
    """

    handle: Handle
    deadline_ms: float
    answer: asyncio.Future = field(repr=False)
    endpoint_id: str = ""
    admitted: bool = False
    started: bool = False
    decoded_tokens: int = 0

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.handle.request_id

    def handle_at(self, now_ms: float) -> Handle:
        """Return the handle with the remaining time budget."""
        budget_ms = max(0, round(self.deadline_ms - now_ms))
        return self.handle.with_budget(budget_ms, admitted=self.admitted)

    def running_at(self, now_ms: float) -> RunningHandle:
        """Return the handle that registers the running request with a scheduler."""
        return RunningHandle(
            self.handle_at(now_ms), self.endpoint_id, self.decoded_tokens, self.started
        )

    def update_progress(self, event: StreamEvent) -> None:
        """Update the request's progress from a stream event."""
        self.started = self.started or event.ttft_ms >= 0 or event.tokens > 0
        self.decoded_tokens += event.tokens


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Dependencies that all links of a gateway share.

    Attributes:
        vm_id: This VM.
        chooser: Chooses the scheduler to follow.
        epochs: Generates the epochs of the choices.
        clock: Source of the current time.
        timings: Timeouts and periods.
        send: ``send(scheduler, service, message)``; the scheduler may be
            ``LOCAL``.
        defer: Calls a function soon on the event loop.
        share: Returns the share of each endpoint's slots that a local queue grants.
        always_local: Whether the policy uses local queues only.
    """

    vm_id: str
    chooser: Chooser
    epochs: Epochs
    clock: Clock
    timings: Timings
    send: Callable[[str, str, Message], object]
    defer: Callable[[Callable[[], None]], object]
    share: Callable[[], float]
    always_local: bool = False
