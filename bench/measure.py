"""Figures of one policy's run: goodput, waste, latencies, refusals, inversions.

Everything is counted at the callers and in the engines' own records, never
from what the product says of itself.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import msgspec
from hdrh.histogram import HdrHistogram

from bench.inversions import count_inversions
from bench.shares import largest_share_error

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from bench.arrivals import Arrival
    from bench.deployment import Deployment
    from bench.engines import EngineSpeed
    from bench.experiment import Call, PolicyRun

    EngineRuns = Mapping[str, Sequence[dict[str, Any]]]

_HIGHEST_MS = 600_000
_DIGITS = 3


class Quantiles(msgspec.Struct, frozen=True):
    """Median and 95th percentile in milliseconds, -1 where nothing was seen."""

    p50_ms: float = -1.0
    p95_ms: float = -1.0


class TierFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one tier.

    Attributes:
        tier: Its name.
        offered: Requests that arrived.
        useful: Whole answers within their deadline.
        goodput: Useful answers as a share of the offered.
        refused: Refusals by reason.
        errors: Other bad ends by kind.
        ttft: Time to first token of whole answers.
        gap: Time between tokens of whole answers.
    """

    tier: str
    offered: int
    useful: int
    goodput: float
    refused: dict[str, int]
    errors: dict[str, int]
    ttft: Quantiles
    gap: Quantiles


class PolicyFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one policy.

    Attributes:
        policy: Its name.
        tiers: From the highest tier down.
        goodput_all: Useful answers as a share of all offered.
        of_bound: The same as a share of the clairvoyant bound.
        wasted_prefill: Share of the prefilled tokens whose answer was not
            useful or that were spent on the same request before.
        repeated_prefix: Share of the prefilled tokens that computed a shared
            beginning which some engine had computed before.
        inversions: Refusals of a higher tier while a lower one went on.
        share_error: Largest relative distance of an organisation's served
            tokens from its weighted share, -1 where not measured.
        ttft: Time to first token of all whole answers.
        gap: Time between tokens of all whole answers.
        foreign: Whole-looking answers that were not the caller's own.
        busiest: Process that used most of a core.
        busiest_share: The share it used.
        caller_lag_ms: 95th percentile of how late calls were sent.
    """

    policy: str
    tiers: list[TierFigures]
    goodput_all: float
    of_bound: float
    wasted_prefill: float
    repeated_prefix: float
    inversions: int
    share_error: float
    ttft: Quantiles
    gap: Quantiles
    foreign: int
    busiest: str
    busiest_share: float
    caller_lag_ms: float

    @property
    def goodput_top(self) -> float:
        """Goodput of the highest tier."""
        return self.tiers[0].goodput


class Meter:
    """Measures runs of one trace.

    Args:
        deployment: Declares tiers, works and organisations' weights.
        engines: True speeds, for what a refused request would have needed.
        bound: Share of useful answers that no policy can exceed.
        fair_work: Work whose shares are measured, empty for none.
    """

    def __init__(
        self,
        deployment: Deployment,
        engines: Sequence[EngineSpeed],
        bound: float,
        fair_work: str = "",
    ) -> None:
        self._deployment = deployment
        self._engines = engines
        self._bound = bound
        self._fair_work = fair_work
        self._ranks = tier_ranks(deployment)

    def figures(self, run: PolicyRun) -> PolicyFigures:
        """Work all figures of a run out."""
        useful = sum(1 for call in run.calls if is_useful(call))
        goodput = useful / max(1, len(run.calls))
        whole = [call for call in run.calls if call.record.whole]
        busiest = max(run.cpu, key=run.cpu.get, default="")
        dispatches = find_dispatches(run)
        return PolicyFigures(
            policy=run.policy,
            tiers=[self._tier(name, run) for name in self._ranks],
            goodput_all=goodput,
            of_bound=goodput / max(1e-9, self._bound),
            wasted_prefill=wasted_share(
                run.runs, run.prefilled_tokens, _useful_tags(run)
            ),
            repeated_prefix=_repeated_prefix_share(run),
            inversions=count_inversions(
                run.calls, dispatches, self._rank_of, self._engines
            ),
            share_error=self._share_error(run),
            ttft=quantiles([call.record.ttft_ms for call in whole]),
            gap=quantiles([gap for call in whole for gap in call.record.gaps_ms]),
            foreign=sum(1 for call in run.calls if _is_foreign(call)),
            busiest=busiest,
            busiest_share=run.cpu.get(busiest, 0.0),
            caller_lag_ms=quantiles([call.lag_ms for call in run.calls]).p95_ms,
        )

    def _rank_of(self, arrival: Arrival) -> int:
        return self._ranks[self._tier_of(arrival)]

    def _tier_of(self, arrival: Arrival) -> str:
        return tier_of(self._deployment, arrival)

    def _tier(self, name: str, run: PolicyRun) -> TierFigures:
        calls = [call for call in run.calls if self._tier_of(call.arrival) == name]
        whole = [call.record for call in calls if call.record.whole]
        useful = sum(1 for call in calls if is_useful(call))
        return TierFigures(
            tier=name,
            offered=len(calls),
            useful=useful,
            goodput=useful / len(calls) if calls else 1.0,
            refused=dict(Counter(_refusal(call) for call in calls if _refusal(call))),
            errors=dict(Counter(_error(call) for call in calls if _error(call))),
            ttft=quantiles([record.ttft_ms for record in whole]),
            gap=quantiles([gap for record in whole for gap in record.gaps_ms]),
        )

    def _share_error(self, run: PolicyRun) -> float:
        if not self._fair_work:
            return -1.0
        return largest_share_error(run, self._fair_work, self._deployment)


def is_useful(call: Call) -> bool:
    """Tell whether a caller got its whole answer within its deadline."""
    in_time = call.record.total_ms <= call.arrival.deadline_ms
    return call.record.whole and in_time


def tier_ranks(deployment: Deployment) -> dict[str, int]:
    """Return the tiers' ranks by name, from the highest tier down."""
    tiers = sorted(deployment.tiers().values(), key=lambda tier: tier["rank"])
    return {tier["name"]: tier["rank"] for tier in tiers}


def tier_of(deployment: Deployment, arrival: Arrival) -> str:
    """Return the name of an arrival's tier."""
    for work in deployment.services()[arrival.service]["works"]:
        if work["name"] == arrival.work:
            return work["tier"]
    raise KeyError(arrival.work)


def find_dispatches(run: PolicyRun) -> dict[int, list[tuple[str, float]]]:
    """Return endpoint and Unix time of each dispatch by arrival number."""
    numbers = {call.record.tag: call.arrival.number for call in run.calls}
    found: dict[int, list[tuple[str, float]]] = defaultdict(list)
    for endpoint_id, runs in run.runs.items():
        for item in runs:
            number = numbers.get(item["tag"])
            if number is not None:
                found[number].append((endpoint_id, item["arrived_at_ms"]))
    return found


def wasted_share(
    runs: EngineRuns, prefilled_tokens: int, useful_tags: Iterable[str]
) -> float:
    """Return what was prefilled beyond one prefill for each useful answer.

    Args:
        runs: What the engines received, by endpoint.
        prefilled_tokens: Prompt tokens that they computed.
        useful_tags: Tags of the useful answers.
    """
    if not prefilled_tokens:
        return 0.0
    by_tag = _runs_by_tag(runs)
    useful_tokens = 0
    for tag in useful_tags:
        if by_tag.get(tag):
            best = max(by_tag[tag], key=lambda item: item["generated"])
            useful_tokens += best["prompt_tokens"] - best["cached_tokens"]
    return max(0.0, 1.0 - useful_tokens / prefilled_tokens)


def _useful_tags(run: PolicyRun) -> list[str]:
    return [call.record.tag for call in run.calls if is_useful(call)]


def _runs_by_tag(runs: EngineRuns) -> dict[str, list[dict[str, Any]]]:
    found: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for received in runs.values():
        for item in received:
            found[item["tag"]].append(item)
    return found


def _repeated_prefix_share(run: PolicyRun) -> float:
    if not run.prefilled_tokens:
        return 0.0
    by_tag = _runs_by_tag(run.runs)
    computed: Counter[int] = Counter()
    needed: dict[int, int] = {}
    for call in run.calls:
        shared = call.arrival.reusable_tokens
        for item in by_tag.get(call.record.tag, ()) if shared else ():
            if item["generated"]:
                family = call.arrival.family
                computed[family] += max(0, shared - item["cached_tokens"])
                needed[family] = shared
    repeated = sum(computed[family] - needed[family] for family in needed)
    return max(0, repeated) / run.prefilled_tokens


def _refusal(call: Call) -> str:
    record = call.record
    return record.reason if record.outcome == "not_run" else ""


def _error(call: Call) -> str:
    record = call.record
    if record.outcome == "not_run" or record.whole:
        return ""
    return record.error or record.reason or record.outcome or f"status {record.status}"


def _is_foreign(call: Call) -> bool:
    record = call.record
    words = record.text.split() if record.status == 200 else []
    return any(not word.startswith(record.tag) for word in words)


def quantiles(values_ms: Sequence[float]) -> Quantiles:
    """Return median and 95th percentile."""
    if not values_ms:
        return Quantiles()
    histogram = HdrHistogram(1, _HIGHEST_MS * 1000, _DIGITS)
    for value in values_ms:
        histogram.record_value(max(1, int(value * 1000)))
    return Quantiles(
        histogram.get_value_at_percentile(50) / 1000.0,
        histogram.get_value_at_percentile(95) / 1000.0,
    )
