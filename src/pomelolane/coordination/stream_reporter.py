"""Reports a stream's first token, decoding speed and end to the scheduler.

The granted slot is freed exactly once, however the stream ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.messages import StreamEvent

if TYPE_CHECKING:
    from pomelolane.outcomes import Outcome
    from pomelolane.ports import Clock, Grant, SchedulerClient

REPORT_EVERY_MS = 250.0


class StreamReporter:
    """Reports the progress of one dispatched attempt.

    Attributes:
        grant: Grant of the attempt.
        ttft_ms: Time from dispatch to the first byte of the answer, -1 until then.
    """

    def __init__(self, client: SchedulerClient, grant: Grant, clock: Clock) -> None:
        self.grant = grant
        self.ttft_ms = -1.0
        self._client = client
        self._clock = clock
        self._dispatched_ms = clock.now_ms()
        self._last_report_ms = self._dispatched_ms
        self._tokens = 0
        self._reported_tokens = 0
        self._done = False
        self._limit_per_s: float | None = None

    def note_dispatch(self) -> None:
        """Record that the first byte of the request is sent now."""
        self._dispatched_ms = self._clock.now_ms()
        self._last_report_ms = self._dispatched_ms

    def note_limit(self, limit_per_s: float | None) -> None:
        """Include the endpoint's rate limit in the next report.

        Args:
            limit_per_s: Requests per second, infinite for no limit, None for unknown.
        """
        if limit_per_s is not None:
            self._limit_per_s = limit_per_s

    def note_first_byte(self) -> None:
        """Record and report the first byte of the answer; repeats are ignored."""
        if self.ttft_ms >= 0:
            return
        now_ms = self._clock.now_ms()
        self.ttft_ms = now_ms - self._dispatched_ms
        self._last_report_ms = now_ms
        self._report(ttft_ms=self.ttft_ms)

    def note_tokens(self, tokens: int) -> None:
        """Record the number of tokens so far; reported every ``REPORT_EVERY_MS``."""
        self._tokens = tokens
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._last_report_ms
        if elapsed_ms < REPORT_EVERY_MS:
            return
        self._report(tokens=self._new_tokens(), elapsed_ms=elapsed_ms)
        self._last_report_ms = now_ms

    def finish(
        self,
        *,
        outcome: Outcome | None = None,
        refused: bool = False,
        cached_tokens: int = -1,
    ) -> None:
        """Report the end, which frees the slot; only the first call counts."""
        if self._done:
            return
        self._done = True
        self._report(
            tokens=self._new_tokens(),
            elapsed_ms=self._clock.now_ms() - self._last_report_ms,
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
