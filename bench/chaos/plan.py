"""Draws the calls of one run from its seed, before anything starts.

All kinds of work of a deployment are in it: keyed and unkeyed, streamed and
whole, jobs, repeats on other VMs, callers that leave, and one burst.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from bench.arrivals import BYTES_PER_TOKEN
from bench.caller import answer_tag

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.deployment import Deployment

_ENGINE_PER_S = {"urgent": 5.0, "standard": 1.5, "background": 0.5}
_ANSWER_TOKENS = {"urgent": (8, 32), "standard": (16, 64), "background": (60, 150)}
_PROMPT_TOKENS = {"urgent": (40, 200), "standard": (80, 400), "background": (400, 2500)}
_PLAIN_PER_S = 2.0
_JOB_SHARE = 0.6
_KEYED_SHARE = 0.5
_REPEAT_SHARE = 0.4
_REPEAT_AFTER_S = (0.0, 5.0)
_LEAVE_SHARE = 0.06
_LEAVE_AFTER_MS = (50, 900)
_CANCEL_SHARE = 0.1
_CANCEL_AFTER_S = (0.2, 2.0)
_STREAM_SHARE = 0.75
_BURST_CALLS = (70, 600)
_BURST_WEIGHT = {"background": 0.15}
_BURST_S = 1.0


class Manner(StrEnum):
    """How a call is made."""

    STREAM = "stream"
    WHOLE = "whole"
    JOB = "job"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call to make.

    Attributes:
        number: Its place in the plan.
        group: Same for a call and its repeats.
        repeats: Whether it repeats an earlier call of its group.
        at_s: When, from the start of the load.
        manner: How.
        service: Service.
        work: Kind of work.
        rank: Rank of the work's tier.
        idempotent: Whether the work may be run again.
        deadline_ms: The work's own deadline.
        organisation: Who calls.
        vm: Number of the VM that the balancer picks.
        prompt: Prompt of an engine's call.
        answer_tokens: Length of an engine's answer.
        path: Path of a plain call.
        key: Idempotency key, empty if none.
        leaves_after_ms: When the caller gives up, 0 for its deadline.
        cancel_after_s: When a job's caller cancels it, 0 for never.
    """

    number: int
    group: str
    repeats: bool
    at_s: float
    manner: Manner
    service: str
    work: str
    rank: int
    idempotent: bool
    deadline_ms: int
    organisation: str
    vm: int
    prompt: str = ""
    answer_tokens: int = 0
    path: str = ""
    key: str = ""
    leaves_after_ms: int = 0
    cancel_after_s: float = 0.0

    @property
    def mark(self) -> str:
        """What its runs are recognised by at the stand-ins."""
        if self.manner is Manner.PLAIN:
            return self.path
        return answer_tag(self.prompt)

    @property
    def prompt_tokens(self) -> int:
        """Length of its prompt."""
        return len(self.prompt) // BYTES_PER_TOKEN

    @property
    def runs_at_most_once(self) -> bool:
        """Whether a second run would break a promise."""
        return bool(self.key) or not self.idempotent


def draw_calls(
    seed: int, seconds: float, deployment: Deployment, vms: int, rate: float = 1.0
) -> list[PlannedCall]:
    """Draw all calls of a run in the order of their times.

    Args:
        seed: The run's seed.
        seconds: Length of the load.
        deployment: What can be called.
        vms: Number of VMs behind the balancer.
        rate: Factor on the number of calls a second.
    """
    source = random.Random(f"calls-{seed}")
    drawing = _Drawing(source, seed, seconds, deployment, vms, rate)
    calls = sorted(drawing.draw(), key=lambda call: call.at_s)
    return [replace(call, number=number) for number, call in enumerate(calls)]


class _Drawing:
    def __init__(
        self,
        source: random.Random,
        seed: int,
        seconds: float,
        deployment: Deployment,
        vms: int,
        rate: float,
    ) -> None:
        self._random = source
        self._seed = seed
        self._seconds = seconds
        self._deployment = deployment
        self._tiers = deployment.tiers()
        self._organisations = deployment.organisations()
        self._vms = vms
        self._rate = rate
        self._groups = 0

    def draw(self) -> Iterator[PlannedCall]:
        works = [
            (service, work)
            for service in self._deployment.services().values()
            for work in service["works"]
        ]
        for service, work in works:
            yield from self._draw_work(service, work)
        engine_works = [each for each in works if each[0]["kind"] == "engine"]
        weights = [_BURST_WEIGHT.get(work["tier"], 1.0) for _, work in engine_works]
        begin_s = self._random.uniform(2.0, self._seconds - _BURST_S)
        for _ in range(self._random.choice(_BURST_CALLS)):
            service, work = self._random.choices(engine_works, weights)[0]
            at_s = begin_s + self._random.uniform(0.0, _BURST_S)
            yield from self._draw_group(service, work, at_s)

    def _draw_work(
        self, service: dict[str, Any], work: dict[str, Any]
    ) -> Iterator[PlannedCall]:
        engine = service["kind"] == "engine"
        per_s = _ENGINE_PER_S[work["tier"]] if engine else _PLAIN_PER_S
        per_s *= self._rate
        at_s = self._random.expovariate(per_s)
        while at_s < self._seconds:
            yield from self._draw_group(service, work, at_s)
            at_s += self._random.expovariate(per_s)

    def _draw_group(
        self, service: dict[str, Any], work: dict[str, Any], at_s: float
    ) -> Iterator[PlannedCall]:
        self._groups += 1
        group = f"chaos-{self._seed}-{self._groups}"
        call = PlannedCall(
            number=0,
            group=group,
            repeats=False,
            at_s=at_s,
            manner=self._draw_manner(service, work),
            service=service["name"],
            work=work["name"],
            rank=int(self._tiers[work["tier"]]["rank"]),
            idempotent=bool(work["idempotent"]),
            deadline_ms=int(work["deadline_ms"]),
            organisation=self._random.choice(self._organisations),
            vm=self._random.randrange(self._vms),
            key=group if self._random.random() < _KEYED_SHARE else "",
        )
        call = self._with_content(call, work["tier"])
        call = self._with_whims(call)
        yield call
        if call.key and self._random.random() < _REPEAT_SHARE:
            yield self._draw_repeat(call)

    def _draw_manner(self, service: dict[str, Any], work: dict[str, Any]) -> Manner:
        if service["kind"] != "engine":
            return Manner.PLAIN
        if work.get("async_allowed") and self._random.random() < _JOB_SHARE:
            return Manner.JOB
        streams = self._random.random() < _STREAM_SHARE
        return Manner.STREAM if streams else Manner.WHOLE

    def _with_content(self, call: PlannedCall, tier: str) -> PlannedCall:
        if call.manner is Manner.PLAIN:
            return replace(call, path=f"records/{call.group}")
        tokens = self._random.randint(*_PROMPT_TOKENS[tier])
        prompt = self._random.randbytes(tokens * BYTES_PER_TOKEN // 2).hex()
        answer_tokens = self._random.randint(*_ANSWER_TOKENS[tier])
        return replace(call, prompt=prompt, answer_tokens=answer_tokens)

    def _with_whims(self, call: PlannedCall) -> PlannedCall:
        if call.manner is Manner.JOB:
            if self._random.random() < _CANCEL_SHARE:
                after_s = self._random.uniform(*_CANCEL_AFTER_S)
                return replace(call, cancel_after_s=after_s)
        elif self._random.random() < _LEAVE_SHARE:
            after_ms = self._random.randint(*_LEAVE_AFTER_MS)
            return replace(call, leaves_after_ms=after_ms)
        return call

    def _draw_repeat(self, call: PlannedCall) -> PlannedCall:
        return replace(
            call,
            repeats=True,
            at_s=call.at_s + self._random.uniform(*_REPEAT_AFTER_S),
            vm=self._random.randrange(self._vms),
            leaves_after_ms=0,
            cancel_after_s=0.0,
        )
