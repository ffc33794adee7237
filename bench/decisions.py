"""Measures what one decision costs: ``python -m bench.decisions``.

Prints a line for 100, 1,000 and 10,000 queued handles at 200 endpoints; a
decision is one stream's end, the grant that it allows, and one new handle, with
its part of the 50 ms tick, in CPU time; other streams' progress is not counted.
"""

from __future__ import annotations

import gc
import random
import time
from collections import deque

from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Service, ServiceKind, Team, Tier, Tree, Work
from pomelolane.ports import Decision, Grant, SchedulingCore
from pomelolane.scheduler import make_core

SERVICE = "model"
ENDPOINTS = 200
SLOTS = 8
ORGANISATIONS = 20
TIERS = 3
QUEUED = (100, 1_000, 10_000)
ROUNDS = 20
BATCHES = 5
BATCH_DECISIONS = 75
BATCH_MS = 50.0


def make_tree() -> Tree:
    """Return 200 unlike endpoints of one service."""
    endpoints = [
        Endpoint(
            endpoint_id=f"e{index}",
            service=SERVICE,
            data_centre=f"dc{index % 3}",
            address="",
            slots=SLOTS,
            kv_tokens=200_000,
            prefill_tokens_per_s=4_000.0 * (1 + index % 4),
            decode_tokens_per_s=25.0 * (1 + index % 4),
        )
        for index in range(ENDPOINTS)
    ]
    works = {"work": Work("work", "t0", 600_000)}
    service = Service(
        SERVICE, "team", ServiceKind.ENGINE, works, queue_limit=2 * QUEUED[-1]
    )
    return Tree(
        tiers={f"t{rank}": Tier(f"t{rank}", rank) for rank in range(TIERS)},
        teams={"team": Team("team")},
        services={SERVICE: service},
        endpoints={endpoint.endpoint_id: endpoint for endpoint in endpoints},
    )


class Load:
    """A core kept at a number of queued handles.

    Args:
        queued: How many handles wait.
    """

    def __init__(self, queued: int) -> None:
        self._core: SchedulingCore = make_core(SERVICE)
        self._random = random.Random(queued)
        self._running: list[Grant] = []
        self._handles: deque[Handle] = deque()
        self._number = 0
        self._now_ms = 0.0
        self.granted = 0
        self._take(self._core.configure(make_tree(), 0.0))
        while len(self._running) < ENDPOINTS * SLOTS:
            self._submit()
            self._now_ms += 2.0
            self._take(self._core.tick(self._now_ms))
            self._start(self._running[-1])
            if len(self._running) % ENDPOINTS == 0:
                self.progress()
        for _ in range(queued):
            self._submit()

    def decide(self) -> None:
        """End one stream, take the grant that follows and one new handle."""
        self._now_ms += BATCH_MS / BATCH_DECISIONS
        ended = self._pop_random()
        event = StreamEvent(
            ended.request_id, ended.endpoint_id, tokens=40, elapsed_ms=500.0
        )
        self._take(self._core.observe(event, self._now_ms))
        event = StreamEvent(ended.request_id, ended.endpoint_id, finished=True)
        before = self.granted
        self._take(self._core.observe(event, self._now_ms))
        if self.granted > before:
            self._start(self._running[-1])
        self._submit()

    def tick(self) -> None:
        """Let the core look at its clock."""
        self._take(self._core.tick(self._now_ms))

    def progress(self) -> None:
        """Let each endpoint be heard of, so that none is taken for a straggler."""
        for grant in {grant.endpoint_id: grant for grant in self._running}.values():
            event = StreamEvent(
                grant.request_id, grant.endpoint_id, tokens=4, elapsed_ms=100.0
            )
            self._take(self._core.observe(event, self._now_ms))

    def _pop_random(self) -> Grant:
        index = self._random.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        return self._running.pop()

    def _start(self, grant: Grant) -> None:
        event = StreamEvent(grant.request_id, grant.endpoint_id, ttft_ms=20.0)
        self._take(self._core.observe(event, self._now_ms))

    def prepare(self, handles: int) -> None:
        """Make handles, which is the gateways' work and not timed."""
        self._handles.extend(self._make_handle() for _ in range(handles))

    def _submit(self) -> None:
        if not self._handles:
            self.prepare(1)
        self._take(self._core.submit(self._handles.popleft(), self._now_ms))

    def _make_handle(self) -> Handle:
        self._number += 1
        draw = self._random
        organisation = draw.randrange(ORGANISATIONS)
        return Handle(
            request_id=f"r{self._number}",
            service=SERVICE,
            work="work",
            tier_rank=draw.randrange(TIERS),
            organisation=f"o{organisation}",
            team=f"team{organisation % 4}",
            budget_ms=draw.randrange(400_000, 600_000),
            prefill_tokens=draw.randrange(50, 200),
            decode_tokens=40,
            prefix_hashes=tuple(draw.getrandbits(62) for _ in range(4)),
            data_centre=f"dc{self._number % 3}",
        )

    def _take(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision.result, Grant):
                self._running.append(decision.result)
                self.granted += 1


def decision_us(queued: int) -> float:
    """Return the microseconds of a decision, the best of a few rounds.

    Raises:
        RuntimeError: The core did not grant as it should have.
    """
    load = Load(queued)
    best_us = float("inf")
    gc.collect()
    for _ in range(ROUNDS):
        before = load.granted
        elapsed_s = sum(_timed_batch(load) for _ in range(BATCHES))
        granted = load.granted - before
        if granted < 0.9 * BATCHES * BATCH_DECISIONS:
            raise RuntimeError(f"only {granted} grants")
        best_us = min(best_us, elapsed_s * 1e6 / granted)
    return best_us


def _timed_batch(load: Load) -> float:
    """Return the seconds that one tick and the decisions up to it took."""
    load.progress()
    load.prepare(BATCH_DECISIONS)
    begun = time.process_time()
    for _ in range(BATCH_DECISIONS):
        load.decide()
    load.tick()
    return time.process_time() - begun


def main() -> None:
    """Print one line for each queue length."""
    for queued in QUEUED:
        print(f"decision_us queued={queued} us={decision_us(queued):.1f}", flush=True)


if __name__ == "__main__":
    main()
