"""A gateway's own record of its requests, and what its links share.

This record is the truth; whatever schedulers keep is rebuilt from it.
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
    """One call of ``acquire`` and the request it is for.

    Attributes:
        handle: The handle as the gateway gave it.
        deadline_ms: Its deadline on this VM's clock.
        answer: Resolved with the grant or the refusal.
        endpoint_id: Where it was granted, empty while it waits.
        admitted: Whether a scheduler has counted it against limits.
        started: Whether the first token was seen.
        decoded_tokens: Answer tokens seen so far.
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
        """Return the handle with the budget that is left."""
        budget_ms = max(0, round(self.deadline_ms - now_ms))
        return self.handle.with_budget(budget_ms, admitted=self.admitted)

    def running_at(self, now_ms: float) -> RunningHandle:
        """Return what a new scheduler has to know of the running request."""
        return RunningHandle(
            self.handle_at(now_ms), self.endpoint_id, self.decoded_tokens, self.started
        )

    def update_progress(self, event: StreamEvent) -> None:
        """Keep what an event tells of the request's progress."""
        self.started = self.started or event.ttft_ms >= 0 or event.tokens > 0
        self.decoded_tokens += event.tokens


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What all links of a gateway share.

    Attributes:
        vm_id: This VM.
        chooser: Whom to follow.
        epochs: Numbers for choices.
        clock: Time.
        timings: Bounds.
        send: ``send(scheduler, service, message)``; the scheduler may be
            ``LOCAL``.
        defer: Calls a function later in the same turn of the loop.
        share: The part of each endpoint's slots that is one's own when alone.
        always_local: Whether the policy never follows another VM.
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
