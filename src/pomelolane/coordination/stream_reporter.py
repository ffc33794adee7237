"""What one running stream teaches the scheduler: first token, pace, end.

The slot that was granted is freed exactly once, however the stream ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.messages import StreamEvent

if TYPE_CHECKING:
    from pomelolane.outcomes import Outcome
    from pomelolane.ports import Clock, Grant, SchedulerClient

REPORT_EVERY_MS = 250.0


class StreamReporter:
    """Reports on one dispatched attempt.

    Attributes:
        grant: The grant it runs under.
        ttft_ms: Time from dispatch to the first token, -1 until then.
    """

    def __init__(self, client: SchedulerClient, grant: Grant, clock: Clock) -> None:
        self.grant = grant
        self.ttft_ms = -1.0
        self._client = client
        self._clock = clock
        self._begun_ms = clock.now_ms()
        self._reported_ms = self._begun_ms
        self._tokens = 0
        self._reported_tokens = 0
        self._done = False
        self._limit_per_s: float | None = None

    def note_dispatch(self) -> None:
        """Note that the first byte of the request leaves now."""
        self._begun_ms = self._clock.now_ms()
        self._reported_ms = self._begun_ms

    def note_limit(self, limit_per_s: float | None) -> None:
        """Pass on with the next report what rate the endpoint asks for.

        Args:
            limit_per_s: Requests a second, infinite for no limit, None for unknown.
        """
        if limit_per_s is not None:
            self._limit_per_s = limit_per_s

    def note_first_byte(self) -> None:
        """Note the first byte of the answer."""
        if self.ttft_ms >= 0:
            return
        now_ms = self._clock.now_ms()
        self.ttft_ms = now_ms - self._begun_ms
        self._reported_ms = now_ms
        self._report(ttft_ms=self.ttft_ms)

    def note_tokens(self, tokens: int) -> None:
        """Note the token events so far; reported a few times a second."""
        self._tokens = tokens
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._reported_ms
        if elapsed_ms < REPORT_EVERY_MS:
            return
        self._report(tokens=self._new_tokens(), elapsed_ms=elapsed_ms)
        self._reported_ms = now_ms

    def finish(
        self,
        *,
        outcome: Outcome | None = None,
        refused: bool = False,
        cached_tokens: int = -1,
    ) -> None:
        """Free the slot; only the first call counts."""
        if self._done:
            return
        self._done = True
        self._report(
            tokens=self._new_tokens(),
            elapsed_ms=self._clock.now_ms() - self._reported_ms,
            finished=True,
            outcome=outcome.value if outcome else "",
            refused=refused,
            cached_tokens=cached_tokens,
        )

    def _new_tokens(self) -> int:
        new = self._tokens - self._reported_tokens
        self._reported_tokens = self._tokens
        return new

    def _report(self, **values: object) -> None:
        event = StreamEvent(
            request_id=self.grant.request_id,
            endpoint_id=self.grant.endpoint_id,
            limit_per_s=self._limit_per_s,
            **values,
        )
        self._limit_per_s = None
        self._client.observe(event)
