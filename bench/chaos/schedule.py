"""Draws the faults of one run from its seed, before anything starts.

A fault names its target; only "the scheduler of a service" is looked up when
its time has come.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from itertools import combinations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

FIRST_FAULT_S = 3.0
_GAP_S = (0.8, 2.6)
_DOUBLE_SHARE = 0.35
_LASTS_S = (0.8, 6.0)
_PAUSE_S = (0.6, 1.3)
_TRIES = 50
_PLATFORM = "platform"


class FaultKind(StrEnum):
    """What happens to a target."""

    VM_KILL = "vm_kill"
    SCHEDULER_KILL = "scheduler_kill"
    VM_FREEZE = "vm_freeze"
    SCHEDULER_FREEZE = "scheduler_freeze"
    VM_DRAIN = "vm_drain"
    CUT = "cut"
    PLATFORM_CUT = "platform_cut"
    PLATFORM_OUTAGE = "platform_outage"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_LOST_REPLIES = "platform_lost_replies"
    ENDPOINT_DIE = "endpoint_die"
    ENDPOINT_FREEZE = "endpoint_freeze"
    ENDPOINT_PAUSE = "endpoint_pause"
    """It stands still for about a second, as sound endpoints may, and goes on."""
    ENDPOINT_SLOW = "endpoint_slow"
    ENDPOINT_REFUSE = "endpoint_refuse"
    LEAVING_SAID = "leaving_said"
    LEAVING_LISTED = "leaving_listed"
    LEAVING_ORDERED = "leaving_ordered"
    OPERATORS_RACE = "operators_race"


_LEAVING = frozenset(
    {FaultKind.LEAVING_SAID, FaultKind.LEAVING_LISTED, FaultKind.LEAVING_ORDERED}
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One planned fault.

    Attributes:
        number: Its place in the schedule.
        kind: What happens.
        at_s: When, from the start of the load.
        lasts_s: For how long, where it can end.
        target: VM, service, data centre, endpoint or branch.
        other: Second target, such as the other side of a cut.
        amount: Delay, factor or count, 0 where there is none.
    """

    number: int
    kind: FaultKind
    at_s: float
    lasts_s: float
    target: str
    other: str = ""
    amount: float = 0.0

    @property
    def until_s(self) -> float:
        """When it ends."""
        return self.at_s + self.lasts_s

    def __str__(self) -> str:
        """Return it as one line of the printed schedule."""
        targets = " ".join(name for name in (self.target, self.other) if name)
        amount = f" amount={self.amount:g}" if self.amount else ""
        return f"{self.at_s:6.2f} +{self.lasts_s:4.2f} {self.kind} {targets}{amount}"


@dataclass(frozen=True, slots=True)
class Targets:
    """What can be hit.

    Attributes:
        vms: VM ids.
        data_centres: Names of data centres.
        services: Names of services.
        endpoints: Endpoint ids by service.
        branches: Branches that operators change.
    """

    vms: Sequence[str]
    data_centres: Sequence[str]
    services: Sequence[str]
    endpoints: dict[str, Sequence[str]]
    branches: Sequence[str]


def draw_schedule(seed: int, seconds: float, targets: Targets) -> list[Fault]:
    """Draw all faults of a run; the last one ends with the load.

    Args:
        seed: The run's seed.
        seconds: Length of the load.
        targets: What can be hit.
    """
    return _Drawing(random.Random(f"faults-{seed}"), seconds, targets).draw()


class _Drawing:
    def __init__(self, source: random.Random, seconds: float, targets: Targets) -> None:
        self._random = source
        self._seconds = seconds
        self._targets = targets
        self._faults: list[Fault] = []
        self._busy_until: dict[str, float] = {}
        self._left: set[str] = set()

    def draw(self) -> list[Fault]:
        at_s = FIRST_FAULT_S
        while at_s < self._seconds - _LASTS_S[0]:
            self._add_one(at_s)
            if self._random.random() < _DOUBLE_SHARE:
                self._add_one(at_s)
            at_s += self._random.uniform(*_GAP_S)
        return self._faults

    def _add_one(self, at_s: float) -> None:
        for _ in range(_TRIES):
            kind = self._random.choice(list(FaultKind))
            bounds_s = _PAUSE_S if kind is FaultKind.ENDPOINT_PAUSE else _LASTS_S
            lasts_s = min(self._random.uniform(*bounds_s), self._seconds - at_s)
            fault = self._draw_fault(kind, at_s, lasts_s)
            if self._is_free(fault):
                self._take(fault)
                return

    def _draw_fault(self, kind: FaultKind, at_s: float, lasts_s: float) -> Fault:
        target, other, amount = self._draw_target(kind)
        return Fault(len(self._faults), kind, at_s, lasts_s, target, other, amount)

    def _draw_target(self, kind: FaultKind) -> tuple[str, str, float]:
        choice = self._random.choice
        if kind.startswith("vm_"):
            return choice(self._targets.vms), "", 0.0
        if kind.startswith("scheduler_"):
            return choice(self._targets.services), "", 0.0
        if kind is FaultKind.CUT:
            pairs = list(combinations(self._targets.data_centres, 2))
            return (*choice(pairs), 0.0)
        if kind is FaultKind.PLATFORM_CUT:
            return choice(self._targets.data_centres), _PLATFORM, 0.0
        if kind.startswith("platform_"):
            return _PLATFORM, "", self._draw_amount(kind)
        if kind is FaultKind.OPERATORS_RACE:
            return choice(self._targets.branches), "", 0.0
        service = choice(self._targets.services)
        endpoint = choice(self._targets.endpoints[service])
        other = choice(self._targets.vms) if kind is FaultKind.LEAVING_ORDERED else ""
        return endpoint, other, self._draw_amount(kind)

    def _draw_amount(self, kind: FaultKind) -> float:
        draws: dict[FaultKind, Callable[[], float]] = {
            FaultKind.PLATFORM_SLOW: lambda: self._random.randint(100, 900),
            FaultKind.PLATFORM_LOST_REPLIES: lambda: self._random.randint(1, 4),
            FaultKind.ENDPOINT_SLOW: lambda: self._random.randint(3, 10),
        }
        draw = draws.get(kind)
        return float(draw()) if draw else 0.0

    def _is_free(self, fault: Fault) -> bool:
        if fault.target in self._left:
            return False
        if fault.kind in _LEAVING and self._left:
            # One endpoint a run leaves, so that every service keeps some.
            return False
        key = self._key(fault)
        return self._busy_until.get(key, 0.0) <= fault.at_s

    def _take(self, fault: Fault) -> None:
        self._faults.append(fault)
        self._busy_until[self._key(fault)] = fault.until_s + 0.1
        if fault.kind in _LEAVING:
            self._left.add(fault.target)

    def _key(self, fault: Fault) -> str:
        if fault.kind is FaultKind.OPERATORS_RACE:
            return f"branch {fault.target}"
        if fault.kind.startswith("scheduler_"):
            return f"scheduler of {fault.target}"
        return f"{fault.target} {fault.other}"
