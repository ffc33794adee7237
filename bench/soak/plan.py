"""Draws a series of disturbances from a seed; they overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

_CALM_S = 3.0
"""Time at the start and at the end without a new disturbance."""

_MEAN_GAP_S = 1.5
_LIMITS_PER_S = (0.8, 1.5, 3.0, 6.0)
_REST_S = 3.0


class Kind(StrEnum):
    """What happens to a VM, an endpoint or the store."""

    VM_KILL = "vm_kill"
    VM_STOP = "vm_stop"
    VM_FREEZE = "vm_freeze"
    VM_HUP = "vm_hup"
    VM_STALL = "vm_stall"
    """It is frozen again and again in short succession."""
    VM_STARVE = "vm_starve"
    """It runs for a part of each tenth of a second."""
    READER = "reader"
    """The VM that reads the store for others is frozen as versions go out."""
    VM_CUT = "vm_cut"
    """The last VM is cut off from all endpoints, in one of three ways."""
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_FLAKY = "store_flaky"
    """The store refuses each second or third read of a table for a time."""
    STORE_SLOW = "store_slow"
    """It answers later for a time."""
    STORE_HUSH = "store_hush"
    """It says nothing more on the connections that are open."""
    CROWD = "crowd"
    """Most new connections go to one VM for a time, while callers open more."""
    CONFIGURE = "configure"
    """The configuration changes again and again for a time."""
    LATE = "late"
    """No plain endpoint answers before the time limits, for a time."""
    PART = "part"
    """Requests come with a part in their prompts that crashes endpoints."""
    LIMIT = "limit"
    """The endpoint names a limit for a time."""
    LEAVE = "leave"
    """It says that it leaves, and starts again under its id after a time."""
    REST = "rest"
    """It turns each third request away for a time, and asks for rest."""
    BREAK = "break"
    """It resets a half of its streams inside an event for a time."""
    REFUSE = "refuse"
    """It refuses connections for a time, and keeps its entry."""
    RELEASE = "release"
    """It leaves, and one of the other version takes its address under another id."""
    REMOVE = "remove"
    """As release, but its entry is deleted without having said that it leaves."""
    SILENCE = "silence"
    """It falls silent inside answers for about a second, and goes on."""


_OF_VMS = (
    Kind.VM_KILL,
    Kind.VM_STOP,
    Kind.VM_FREEZE,
    Kind.VM_HUP,
    Kind.VM_CUT,
    Kind.VM_STALL,
    Kind.VM_STARVE,
)
_CUTS = 3
_OF_STORE = (
    Kind.STORE_BUSY,
    Kind.STORE_SILENT,
    Kind.STORE_FLAKY,
    Kind.STORE_SLOW,
    Kind.STORE_HUSH,
)
_OF_ENDPOINTS = (
    Kind.LIMIT,
    Kind.LEAVE,
    Kind.REST,
    Kind.BREAK,
    Kind.REFUSE,
    Kind.RELEASE,
    Kind.REMOVE,
    Kind.SILENCE,
)
_LEAVING = (Kind.RELEASE, Kind.REMOVE)
_OF_ALL = (Kind.CROWD, Kind.CONFIGURE, Kind.LATE, Kind.READER)
_LOADS = (Kind.CROWD, Kind.LATE)
_WEIGHTED = (*_OF_VMS, *_OF_STORE, *_OF_ENDPOINTS * 2, *_OF_ALL * 2)
_REFUSES_EACH = (2, 3)
_DELAY_S = (0.5, 1.5)
_PACES = (1.0, 0.1)
_SILENT_S = (0.6, 1.3)
_DRAINING_S = (2.5, 8.0)
_CROWD_S = (6.0, 9.0)
_PART_SHARE = 0.5
_PART_AT_S = 6.0
_CLOSING_SHARE = 3
"""One in so many engines frames its answers by the end of the connection."""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One disturbance.

    Attributes:
        at_s: When, from the start of the calls.
        kind: What.
        target: Number of the VM or endpoint, 0 for the store.
        for_s: How long.
        value: Requests a second, seconds of rest, of silence or until an endpoint ends,
            which way of a cut, which reads the store refuses, seconds by which it is
            slow, or a factor on the time between versions; 0 for other kinds.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a run does.

    Attributes:
        seed: What it was drawn from.
        seconds: How long callers ask.
        vms: Number of VMs.
        engines: Number of engines.
        disturbances: In order of time.
        closing: Engines that frame answers by the end of the connection.
    """

    seed: int
    seconds: float
    vms: int
    engines: int
    disturbances: tuple[Disturbance, ...]
    closing: frozenset[int] = frozenset()


def draw_plan(
    seed: int,
    seconds: float,
    vms: int,
    engines: int,
    *,
    parts: bool = False,
    kinds: Sequence[Kind] = _WEIGHTED,
) -> Plan:
    """Draw a plan; a target that is disturbed is left alone until it is over.

    Args:
        seed: What it is drawn from.
        seconds: How long callers ask.
        vms: Number of VMs.
        engines: Number of engines.
        parts: Whether requests with a part that crashes endpoints come in any case;
            they come in half of the plans.
        kinds: What is drawn from.
    """
    draw = random.Random(seed)
    closing = frozenset(draw.sample(range(engines), engines // _CLOSING_SHARE))
    busy_until_s: dict[tuple[str, int], float] = {}
    for_s = seconds - 2 * _CALM_S
    found = [Disturbance(_CALM_S, Kind.CONFIGURE, 0, for_s, 1.0)]
    if draw.random() < _PART_SHARE or parts:
        for_s = seconds - _PART_AT_S - _CALM_S
        found.append(Disturbance(_PART_AT_S, Kind.PART, 0, for_s))
    at_s = _CALM_S
    while at_s < seconds - _CALM_S:
        one = _draw_one(draw, draw.choice(kinds), at_s, vms, engines)
        family = one.kind.value[:2] if one.kind not in _OF_ENDPOINTS else "endpoint"
        family = "load" if one.kind in _LOADS else family
        target = family, 0 if one.kind in _OF_ALL else one.target
        if busy_until_s.get(target, 0.0) <= at_s:
            busy_until_s[target] = at_s + one.for_s + 1.0
            found.append(one)
        at_s += draw.expovariate(1 / _MEAN_GAP_S)
    return Plan(seed, seconds, vms, engines, tuple(found), closing)


def _draw_one(
    draw: random.Random, kind: Kind, at_s: float, vms: int, engines: int
) -> Disturbance:
    if kind is Kind.VM_CUT:
        way = draw.randrange(_CUTS)
        return Disturbance(at_s, kind, vms - 1, draw.uniform(6.0, 10.0), way)
    if kind in _OF_VMS:
        longest_s = 8.0 if kind in (Kind.VM_STALL, Kind.VM_STARVE) else 4.0
        for_s = draw.uniform(0.5, longest_s)
        return Disturbance(at_s, kind, draw.randrange(vms), for_s)
    if kind in _OF_STORE:
        each = draw.choice(_REFUSES_EACH) if kind is Kind.STORE_FLAKY else 0
        value = draw.uniform(*_DELAY_S) if kind is Kind.STORE_SLOW else each
        return Disturbance(at_s, kind, 0, draw.uniform(1.0, 8.0), value)
    if kind is Kind.CROWD:
        return Disturbance(at_s, kind, draw.randrange(vms), draw.uniform(*_CROWD_S))
    if kind is Kind.CONFIGURE:
        pace = draw.choice(_PACES)
        return Disturbance(at_s, kind, 0, draw.uniform(2.0, 8.0), pace)
    if kind in _OF_ALL:
        return Disturbance(at_s, kind, 0, draw.uniform(4.0, 10.0))
    value = {
        Kind.LIMIT: draw.choice(_LIMITS_PER_S),
        Kind.REST: _REST_S,
        Kind.SILENCE: draw.uniform(*_SILENT_S),
        Kind.RELEASE: draw.uniform(*_DRAINING_S),
        Kind.REMOVE: draw.uniform(*_DRAINING_S),
    }.get(kind, 0.0)
    for_s = value if kind in _LEAVING else draw.uniform(5.0, 14.0)
    return Disturbance(at_s, kind, draw.randrange(engines), for_s, value)
