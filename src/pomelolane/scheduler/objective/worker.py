"""What the objective policy knows of one endpoint: load, speed and health."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.scheduler.objective.flight import Flight

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint
    from pomelolane.scheduler.objective.lengths import EventSize, Spread
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.rate import NamedRate

_SLOWEST = 12.0
_FASTEST = 0.2
_STRAGGLING_FACTOR = 3.0
_PROBES_AT_ONCE = 1
_SILENT_UNTIL_SUSPECT = 2
_PACE_STEP = 0.1
_READ_PROMPTS = 64
"""Prompts that are remembered as read of late: more than an engine reads in a pause."""

_ANY_PROMPT = float("inf")
_NEVER_MS = float("inf")

_LONGER_SHARE = 0.3
"""Part of the expected length that an answer beyond it is taken to have left."""


@dataclass(slots=True)
class WorkerFigures:
    """Figures of one endpoint for operators.

    Attributes:
        running: Requests granted and not ended.
        slowdown: Learnt time against speed 1.
        fail_share: Learnt share of failed answers.
        straggling: Whether it is much slower than speed 1.
        suspended: Whether it gets nothing at present.
        limit_per_s: Requests a second that it asks for, 0 where it names no limit.
    """

    running: int
    slowdown: float
    fail_share: float
    straggling: bool
    suspended: bool
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class Pace:
    """How long one endpoint takes, as a sum of three parts.

    Attributes:
        first_ms: Time to a first answer byte beside the prompt's own.
        prompt_token_ms: Time for each token of the prompt.
        answer_token_ms: Time for each token of the answer.
    """

    first_ms: float
    prompt_token_ms: float
    answer_token_ms: float


@dataclass(slots=True)
class Worker:
    """One endpoint.

    Attributes:
        endpoint: As declared.
        kind: Kind of its service.
        options: The policy's constants.
        event_size: Expected tokens in one event of an answer, of all endpoints.
        spread: By how much first answer bytes miss their prediction, of all endpoints.
        leaving: Whether it may get nothing more.
        rate: The rate that it asks for, None where it names no limit.
        unlimited_ms: When the newest request was granted that was answered without one.
        flights: Running requests by id.
        slowdown: Learnt time against speed 1.
        fail_share: Learnt share of failed answers.
        suspended_until_ms: It gets nothing before.
        probing: Whether it must prove itself with one request.
        failures: Failures in a row.
        piece_ms: Learnt time between two pieces of an answer, 0 for unknown.
        heard_ms: Last sign of life.
        read_prompts: When prompts were read of late, and their tokens.
        read_tokens: Sum of those tokens.
        unread_tokens: Prompt tokens of requests that have not begun to answer.
        memory_tokens: Tokens of the prompts and expected answers of all requests.
        room_tokens: Longest prompt that would not hold up the streams here, as of
            :meth:`measure_room`.
    """

    endpoint: Endpoint
    kind: ServiceKind
    options: ObjectiveOptions
    event_size: EventSize
    spread: Spread
    leaving: bool = False
    rate: NamedRate | None = None
    unlimited_ms: float = -math.inf
    flights: dict[str, Flight] = field(default_factory=dict)
    slowdown: float = 1.0
    fail_share: float = 0.0
    suspended_until_ms: float = 0.0
    probing: bool = False
    failures: int = 0
    piece_ms: float = 0.0
    heard_ms: float = 0.0
    read_prompts: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=_READ_PROMPTS)
    )
    read_tokens: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0
    room_tokens: float = _ANY_PROMPT
    _gap_ms: int | None = 0

    def is_open(self, now_ms: float) -> bool:
        """Tell whether a request may go to one of its free slots now."""
        return not self.leaving and self.is_able(now_ms)

    def is_able(self, now_ms: float) -> bool:
        """Tell the same of one that gets requests of a trial alone."""
        if now_ms < self.suspended_until_ms or not self.is_within_rate(now_ms):
            return False
        return not self.probing or len(self.flights) < _PROBES_AT_ONCE

    def is_within_rate(self, now_ms: float) -> bool:
        """Tell whether the rate that it asks for allows a request now."""
        return self.rate is None or self.rate.wait_ms(now_ms) <= 0

    def is_doubted(self, now_ms: float) -> bool:
        """Tell whether it is suspended, or has to prove itself."""
        return self.probing or now_ms < self.suspended_until_ms

    def usable_slots(self, share: float) -> int:
        """Return how many slots a share of them is."""
        return max(1, int(self.endpoint.slots * share))

    def alone_ms(self, handle: Handle) -> float:
        """Return the time to a first answer byte with nothing ahead."""
        return self._nominal_ms(handle, 0) * self.slowdown

    def nominal_ms(self, handle: Handle) -> float:
        """Return the time to a first answer byte at speed 1."""
        return self._nominal_ms(handle, self.unread_tokens)

    def _nominal_ms(self, handle: Handle, ahead: int) -> float:
        options = self.options
        if self.kind is ServiceKind.PLAIN:
            return options.plain_ms
        prompt_ms = (ahead + handle.prefill_tokens) / options.prefill_per_ms
        return options.first_token_ms + prompt_ms

    def _lately_read_tokens(self, since_ms: float) -> int:
        """Return the prompt tokens read since a time."""
        while self.read_prompts and self.read_prompts[0][0] < since_ms:
            self.read_tokens -= self.read_prompts.popleft()[1]
        return self.read_tokens

    def predict_ms(self, handle: Handle) -> float:
        """Return the time to a first answer byte at the learnt speed."""
        return self.nominal_ms(handle) * self.slowdown

    def bid_ms(self, handle: Handle, left_ms: float) -> float:
        """Return when an answer would begin, for comparison with other endpoints.

        It counts as later where answers fail, or from another data centre.

        Args:
            handle: The request.
            left_ms: How long its answer may take.

        Returns:
            Infinity where the request should not go here: its prompt would hold up the
            streams that run here, its memory is not there, or it would take too long.
        """
        prompt = handle.prefill_tokens
        if prompt > self.room_tokens:
            return _NEVER_MS
        limit = self.endpoint.kv_tokens
        if 0 < limit < self.memory_tokens + prompt + handle.decode_tokens:
            return _NEVER_MS
        first_ms = self.predict_ms(handle)
        if first_ms + self._answer_ms(handle) > left_ms:
            return _NEVER_MS
        options = self.options
        bid_ms = first_ms * (1.0 + options.fail_weight * self.fail_share)
        if handle.data_centre != self.endpoint.data_centre:
            bid_ms += options.far_ms
        return bid_ms

    def duration_ms(self, handle: Handle) -> float:
        """Return how long a request is expected to hold its slot."""
        return self.predict_ms(handle) + self._answer_ms(handle)

    def remaining_ms(self, flight: Flight, now_ms: float) -> float:
        """Return how long a running request is expected to hold its slot."""
        if not flight.started:
            first_ms = flight.granted_ms + flight.expected_ms - now_ms
            return max(1.0, first_ms) + self._answer_ms(flight.handle)
        expected = self._expected_pieces(flight.handle)
        left = max(_LONGER_SHARE * expected, expected - flight.pieces)
        return max(1.0, left * self._piece_ms())

    def saw_pieces(self, flight: Flight, pieces: int, elapsed_ms: float) -> None:
        """Learn the pace of answers."""
        flight.pieces += pieces
        sample_ms = elapsed_ms / pieces
        if not self.piece_ms:
            self.piece_ms = sample_ms
        self.piece_ms += _PACE_STEP * (sample_ms - self.piece_ms)

    def _answer_ms(self, handle: Handle) -> float:
        return self._expected_pieces(handle) * self._piece_ms()

    def _expected_pieces(self, handle: Handle) -> float:
        if self.kind is ServiceKind.PLAIN:
            return 0.0
        return handle.decode_tokens / self.event_size.tokens

    def _piece_ms(self) -> float:
        options = self.options
        declared_ms = self.event_size.tokens * options.token_ms * self.slowdown
        return self.piece_ms or declared_ms

    def pace(self) -> Pace:
        """Return how long requests take here now."""
        options = self.options
        if self.kind is ServiceKind.PLAIN:
            return Pace(options.plain_ms * self.slowdown, 0.0, 0.0)
        prompt_token_ms = self.slowdown / options.prefill_per_ms
        first_ms = options.first_token_ms * self.slowdown
        first_ms += self.unread_tokens * prompt_token_ms
        answer_token_ms = self._piece_ms() / self.event_size.tokens
        return Pace(first_ms, prompt_token_ms, answer_token_ms)

    def measure_room(self, now_ms: float) -> None:
        """Note how long a prompt may be that does not hold up the streams here.

        Between two events of a stream the engine takes a step for each token, and
        reads one chunk in each: of this prompt, of those that still wait, and of
        those that were read within the allowed pause.
        """
        gap_ms = self._shortest_gap_ms()
        if not gap_ms:
            self.room_tokens = _ANY_PROMPT
            return
        options = self.options
        steps = options.tokens_per_event
        pause_ms = options.gap_share * gap_ms / self.slowdown
        readable = (pause_ms - steps * options.token_ms) * options.prefill_per_ms
        if readable >= steps * options.prefill_chunk_tokens:
            self.room_tokens = _ANY_PROMPT
            return
        read = self._lately_read_tokens(now_ms - gap_ms)
        self.room_tokens = max(0.0, readable - self.unread_tokens - read)

    def _shortest_gap_ms(self) -> int:
        """Return the shortest pause that the streams here allow, 0 for any."""
        if self._gap_ms is None:
            gaps = [f.handle.gap_ms for f in self.flights.values() if f.handle.gap_ms]
            self._gap_ms = min(gaps, default=0)
        return self._gap_ms

    def begin(self, handle: Handle, now_ms: float) -> Flight:
        """Count a granted request."""
        flight = Flight(
            handle,
            now_ms,
            self.nominal_ms(handle),
            self.predict_ms(handle),
        )
        self.flights[handle.request_id] = flight
        self.unread_tokens += handle.prefill_tokens
        self.memory_tokens += _memory_tokens(handle)
        self._gap_ms = None
        return flight

    def end(self, request_id: str) -> Flight | None:
        """Uncount a granted request; None where it does not run here."""
        flight = self.flights.pop(request_id, None)
        if flight is None:
            return None
        if not flight.started:
            self.unread_tokens -= flight.handle.prefill_tokens
        self.memory_tokens -= _memory_tokens(flight.handle)
        self._gap_ms = None
        return flight

    def mark_started(self, flight: Flight) -> None:
        """Note that a request's prompt is read."""
        if not flight.started:
            flight.started = True
            self.unread_tokens -= flight.handle.prefill_tokens

    def saw_first(self, flight: Flight, ttft_ms: float, now_ms: float) -> None:
        """Learn the speed from a first answer byte."""
        self.mark_started(flight)
        flight.first_ms = ttft_ms
        if len(self.read_prompts) == _READ_PROMPTS:
            self.read_tokens -= self.read_prompts.popleft()[1]
        self.read_prompts.append((now_ms, flight.handle.prefill_tokens))
        self.read_tokens += flight.handle.prefill_tokens
        ratio = min(_SLOWEST, max(_FASTEST, ttft_ms / flight.nominal_ms))
        step = self.options.speed_step
        self.spread.learn(ttft_ms, flight.expected_ms)
        self.slowdown += step * (ratio - self.slowdown)

    def succeeded(self) -> None:
        """Count a good answer and end any suspicion."""
        self.failures = 0
        self.probing = False
        self.suspended_until_ms = 0.0
        self.fail_share *= 1.0 - self.options.fail_step

    def failed(self, now_ms: float) -> None:
        """Count a failed answer; two in a row pause the endpoint."""
        step = self.options.fail_step
        self.fail_share += step * (1.0 - self.fail_share)
        self.failures += 1
        if self.failures >= 2:
            self.suspend(now_ms)

    def refused(self, now_ms: float) -> None:
        """Pause shortly: its slots were taken by others, or it is gone."""
        self.failures += 1
        pause_ms = self.options.refused_pause_ms * 2 ** min(self.failures - 1, 5)
        self.suspended_until_ms = max(self.suspended_until_ms, now_ms + pause_ms)

    def suspend(self, now_ms: float) -> None:
        """Give nothing for a while, and then one request to prove itself."""
        options = self.options
        pause_ms = options.suspend_ms * 2 ** max(0, self.failures - 2)
        until_ms = now_ms + min(options.suspend_limit_ms, pause_ms)
        self.suspended_until_ms = max(self.suspended_until_ms, until_ms)
        self.probing = True

    def heard(self, now_ms: float) -> None:
        """Note a sign of life."""
        self.heard_ms = now_ms

    def check(self, now_ms: float) -> bool:
        """Suspect the endpoint if nothing is heard; True when anew.

        One silent request may just be a long one; of several at once some
        would have begun to answer.
        """
        if now_ms < self.suspended_until_ms:
            return False
        silent = sum(1 for f in self.flights.values() if self._is_silent(f, now_ms))
        if silent < _SILENT_UNTIL_SUSPECT:
            return False
        self.heard(now_ms)
        self.failures = max(2, self.failures + 1)
        self.suspend(now_ms)
        return True

    def _is_silent(self, flight: Flight, now_ms: float) -> bool:
        since_ms = max(flight.granted_ms, self.heard_ms)
        limit_ms = self.options.suspect_ms + 3 * flight.expected_ms
        return not flight.started and now_ms - since_ms > limit_ms

    def figures(self, now_ms: float) -> WorkerFigures:
        """Return the figures for operators."""
        return WorkerFigures(
            len(self.flights),
            self.slowdown,
            self.fail_share,
            self.slowdown > _STRAGGLING_FACTOR,
            now_ms < self.suspended_until_ms,
            0.0 if self.rate is None else self.rate.per_s,
        )


def _memory_tokens(handle: Handle) -> int:
    return handle.prefill_tokens + handle.decode_tokens
