"""Organisations' served tokens against their weighted shares.

Shares nest: a team's share is divided among its organisations, and what one
does not ask for goes to the others by weight.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bench.deployment import Deployment
    from bench.experiment import PolicyRun

_WARM_UP = 0.2


def largest_share_error(run: PolicyRun, work: str, deployment: Deployment) -> float:
    """Return the largest relative distance from a weighted share.

    Args:
        run: A run in which the organisations ask for more than there is.
        work: Kind of work whose tokens are counted.
        deployment: Declares the weights.
    """
    served = served_tokens(run, work)
    offered = _offered_tokens(run, work)
    fair = fair_tokens(deployment, offered, sum(served.values()))
    errors = [
        abs(served.get(name, 0) - fair[name]) / fair[name]
        for name in fair
        if fair[name] > 0
    ]
    return max(errors, default=-1.0)


def served_tokens(run: PolicyRun, work: str) -> dict[str, float]:
    """Return tokens of whole answers by organisation, after a warm-up."""
    start_s = _measured_from_s(run)
    served: Counter[str] = Counter()
    for call in run.calls:
        arrival = call.arrival
        if arrival.work == work and arrival.at_s >= start_s and call.record.whole:
            served[arrival.organisation] += (
                arrival.prompt_tokens + arrival.answer_tokens
            )
    return dict(served)


def fair_tokens(
    deployment: Deployment, offered: Mapping[str, float], total: float
) -> dict[str, float]:
    """Divide tokens by nested weights, no one getting more than it asked for."""
    teams: dict[str, dict[str, float]] = {}
    weights: dict[str, float] = {}
    for team, branch in deployment.branches.items():
        members = {
            item["name"]: float(item.get("weight", 1.0))
            for item in branch.get("organisations") or ()
            if item["name"] in offered
        }
        if members:
            teams[team] = members
            weights[team] = float((branch.get("team") or {}).get("weight", 1.0))
    asked = {
        team: sum(offered[name] for name in members) for team, members in teams.items()
    }
    fair: dict[str, float] = {}
    for team, tokens in _divide(total, weights, asked).items():
        fair |= _divide(tokens, teams[team], offered)
    return fair


def _divide(
    total: float, weights: Mapping[str, float], asked: Mapping[str, float]
) -> dict[str, float]:
    """Divide by weight, then what some leave over among the rest."""
    given: dict[str, float] = {}
    open_names = set(weights)
    while open_names:
        left = total - sum(given.values())
        weight = sum(weights[name] for name in open_names)
        content = {
            name for name in open_names if asked[name] <= left * weights[name] / weight
        }
        if not content:
            given |= {name: left * weights[name] / weight for name in open_names}
            break
        given |= {name: asked[name] for name in content}
        open_names -= content
    return given


def _offered_tokens(run: PolicyRun, work: str) -> dict[str, float]:
    start_s = _measured_from_s(run)
    offered: Counter[str] = Counter()
    for call in run.calls:
        arrival = call.arrival
        if arrival.work == work and arrival.at_s >= start_s:
            offered[arrival.organisation] += (
                arrival.prompt_tokens + arrival.answer_tokens
            )
    return dict(offered)


def _measured_from_s(run: PolicyRun) -> float:
    return _WARM_UP * max(call.arrival.at_s for call in run.calls)
