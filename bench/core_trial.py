"""Trials of the decision core on a pure model: ``python -m bench.core_trial``.

They take seconds, are deterministic by seed, and serve to choose rules and to see
what each one is worth; the proof is the bench with real processes.
"""

from __future__ import annotations

import argparse
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from bench.core_model import BLOCK_TOKENS, EngineModel, Stream
from bench.core_trace import (
    GATEWAYS,
    SCENARIOS,
    SERVICE,
    crowded_ms,
    make_endpoints,
    make_tree,
)
from pomelolane.messages import StreamEvent
from pomelolane.outcomes import Outcome
from pomelolane.ports import Grant, LoadReport
from pomelolane.registry import PLACEMENT_POLICIES, lookup
from pomelolane.scheduler import CoreOptions, make_core_with

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.core_trace import Arrival, Scenario
    from pomelolane.model import Endpoint
    from pomelolane.ports import Decision, SchedulingCore

STEP_MS = 20.0
NETWORK_MS = 1.0
REPORT_EVERY_MS = 500.0
PROGRESS_EVERY_MS = 250.0
DEFAULT_POLICIES = (
    "round_robin",
    "least_reported",
    "gateway_queues",
    "single_queue",
    "pomelolane",
)


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy under trial.

    Attributes:
        name: Its name.
        make: Factory of cores.
        cores: How many of them share the requests.
    """

    name: str
    make: Callable[[str], SchedulingCore]
    cores: int = 1


@dataclass(slots=True)
class Result:
    """Counts of one run."""

    asked: dict[int, int] = field(default_factory=dict)
    good: dict[int, int] = field(default_factory=dict)
    refused: dict[int, int] = field(default_factory=dict)
    late: dict[int, int] = field(default_factory=dict)
    tokens: dict[str, float] = field(default_factory=dict)
    asked_by: dict[str, int] = field(default_factory=dict)
    good_by: dict[str, int] = field(default_factory=dict)
    ttft_ms: dict[int, list[float]] = field(default_factory=dict)
    prefilled: float = 0.0
    discarded: float = 0.0
    repeated: float = 0.0
    inversions: int = 0
    overfilled: int = 0

    def goodput(self, rank: int) -> float:
        """Return a tier's share of useful answers."""
        return self.good.get(rank, 0) / max(1, self.asked.get(rank, 0))

    def goodput_all(self) -> float:
        """Return the share of useful answers of all tiers."""
        return sum(self.good.values()) / max(1, sum(self.asked.values()))

    def discarded_share(self) -> float:
        """Return the share of prefill spent on answers that were not used."""
        return self.discarded / max(1.0, self.prefilled)

    def repeated_share(self) -> float:
        """Return the share of prefill spent on prefixes processed before."""
        return self.repeated / max(1.0, self.prefilled)

    def ttft_p95(self, rank: int) -> float:
        """Return a tier's 95th percentile of the time to first token."""
        times = sorted(self.ttft_ms.get(rank, [0.0]))
        return times[int(0.95 * (len(times) - 1))]


class Trial:
    """One run of a policy over a scenario.

    Args:
        make: Factory of cores.
        cores: How many of them, each with its gateways' requests.
        scenario: What happens.
    """

    def __init__(
        self, make: Callable[[str], SchedulingCore], cores: int, scenario: Scenario
    ) -> None:
        self._scenario = scenario
        self._cores = [make(SERVICE) for _ in range(cores)]
        endpoints = scenario.endpoints or make_endpoints()
        self._engines = {e.endpoint_id: EngineModel(e) for e in endpoints}
        self._result = Result()
        self._pending: dict[str, Arrival] = {}
        self._streams: dict[str, tuple[Stream, EngineModel]] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._given_up: list[Arrival] = []
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self._seen_blocks: set[int] = set()
        self._next_report_ms = 0.0

    def run(self) -> Result:
        """Run the scenario to its end."""
        tree = make_tree(
            self._scenario.weights,
            self._scenario.declared_alike,
            self._scenario.endpoints,
        )
        for core in self._cores:
            core.configure(tree, 0.0)
        arrivals = deque(self._scenario.arrivals)
        faults = deque(self._scenario.faults)
        now_ms = 0.0
        while arrivals or self._pending or self._streams:
            while faults and faults[0].at_ms <= now_ms:
                fault = faults.popleft()
                self._engines[f"e{fault.endpoint}"].slowdown = fault.slowdown
            while arrivals and arrivals[0].at_ms < now_ms + STEP_MS:
                self._arrive(arrivals.popleft())
            self._step(now_ms)
            now_ms += STEP_MS
        self._result.overfilled = sum(
            1 for e in self._engines.values() if e.most_running > e.endpoint.slots
        )
        return self._result

    def _step(self, now_ms: float) -> None:
        for engine in self._engines.values():
            engine.step(now_ms, STEP_MS)
        now_ms += STEP_MS
        self._report_streams(now_ms)
        self._report_load(now_ms)
        self._cancel_late(now_ms)
        for core in self._cores:
            self._take(core.tick(now_ms), now_ms)

    def _core(self, arrival: Arrival) -> SchedulingCore:
        return self._cores[arrival.gateway % len(self._cores)]

    def _arrive(self, arrival: Arrival) -> None:
        rank = arrival.handle.tier_rank
        self._result.asked[rank] = self._result.asked.get(rank, 0) + 1
        name = arrival.handle.organisation
        self._result.asked_by[name] = self._result.asked_by.get(name, 0) + 1
        self._pending[arrival.handle.request_id] = arrival
        core = self._core(arrival)
        self._take(core.submit(arrival.handle, arrival.at_ms), arrival.at_ms)

    def _take(self, decisions: Sequence[Decision], now_ms: float) -> None:
        for decision in decisions:
            arrival = self._pending.pop(decision.request_id)
            if isinstance(decision.result, Grant):
                self._dispatch(arrival, decision.result, now_ms)
            else:
                self._refused(arrival)

    def _dispatch(self, arrival: Arrival, grant: Grant, now_ms: float) -> None:
        handle = arrival.handle
        if handle.request_id in self._streams:
            raise AssertionError("granted twice")
        engine = self._engines[grant.endpoint_id]
        self._count_inversions(handle.tier_rank, engine.endpoint, now_ms)
        stream = Stream(handle, arrival.output_tokens, now_ms)
        stream.last_ms = now_ms
        self._streams[handle.request_id] = (stream, engine)
        self._arrivals[handle.request_id] = arrival
        engine.send(stream)

    def _refused(self, arrival: Arrival) -> None:
        rank = arrival.handle.tier_rank
        self._result.refused[rank] = self._result.refused.get(rank, 0) + 1
        self._given_up.append(arrival)

    def _count_inversions(self, rank: int, endpoint: Endpoint, now_ms: float) -> None:
        """Count refused requests of higher tiers that could have had a slot."""
        left = []
        for arrival in self._given_up:
            if now_ms > self._due_ms(arrival):
                continue
            needed_ms = crowded_ms(arrival, endpoint)
            in_time = now_ms + needed_ms <= self._due_ms(arrival)
            if in_time and arrival.handle.tier_rank < rank:
                self._result.inversions += 1
            else:
                left.append(arrival)
        self._given_up = left

    def _report_streams(self, now_ms: float) -> None:
        for request_id in list(self._streams):
            stream, engine = self._streams[request_id]
            event = self._event(stream, engine, now_ms)
            if event is None:
                continue
            arrival = self._arrivals[request_id]
            if event.finished:
                self._ended(stream, now_ms <= self._due_ms(arrival))
            self._take(self._core(arrival).observe(event, now_ms), now_ms)

    def _event(
        self, stream: Stream, engine: EngineModel, now_ms: float
    ) -> StreamEvent | None:
        if stream.first_ms < 0:
            return None
        first = stream.reported == 0 and not stream.told
        tokens = min(stream.output_tokens, int(stream.progress)) - stream.reported
        finished = stream.reported + tokens >= stream.output_tokens
        elapsed_ms = now_ms - stream.last_ms
        if not (first or finished) and (tokens <= 0 or elapsed_ms < PROGRESS_EVERY_MS):
            return None
        stream.last_ms = now_ms
        stream.reported += tokens
        stream.told = True
        return StreamEvent(
            stream.handle.request_id,
            engine.endpoint.endpoint_id,
            ttft_ms=stream.first_ms - stream.sent_ms + NETWORK_MS if first else -1.0,
            tokens=tokens,
            elapsed_ms=elapsed_ms,
            finished=finished,
            cached_tokens=stream.cached if finished else -1,
        )

    def _report_load(self, now_ms: float) -> None:
        while self._reports and self._reports[0][0] <= now_ms:
            report = self._reports.popleft()[1]
            for core in self._cores:
                self._take(core.report_load(report, now_ms), now_ms)
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_EVERY_MS
        age_ms = self._scenario.report_age_ms
        for endpoint_id, engine in self._engines.items():
            report = LoadReport(
                endpoint_id,
                len(engine.running),
                len(engine.waiting),
                engine.kv_used(),
                age_ms,
            )
            self._reports.append((now_ms + age_ms, report))

    def _cancel_late(self, now_ms: float) -> None:
        for request_id in list(self._streams):
            arrival = self._arrivals[request_id]
            if now_ms <= self._due_ms(arrival):
                continue
            stream, engine = self._streams[request_id]
            engine.cancel(stream)
            self._ended(stream, False)
            event = StreamEvent(
                request_id,
                engine.endpoint.endpoint_id,
                finished=True,
                outcome=Outcome.CUT_SHORT,
            )
            self._take(self._core(arrival).observe(event, now_ms), now_ms)

    def _ended(self, stream: Stream, good: bool) -> None:
        result = self._result
        handle = stream.handle
        del self._streams[handle.request_id]
        rank = handle.tier_rank
        result.prefilled += stream.prefilled
        if good:
            result.good[rank] = result.good.get(rank, 0) + 1
            tokens = handle.prefill_tokens + stream.output_tokens
            name = handle.organisation
            result.tokens[name] = result.tokens.get(name, 0.0) + tokens
            result.good_by[name] = result.good_by.get(name, 0) + 1
        else:
            result.late[rank] = result.late.get(rank, 0) + 1
            result.discarded += stream.prefilled
        if stream.first_ms >= 0:
            first_ms = stream.first_ms - self._arrivals[handle.request_id].at_ms
            result.ttft_ms.setdefault(rank, []).append(first_ms)
        self._count_repeated(stream)

    def _count_repeated(self, stream: Stream) -> None:
        for block in stream.handle.prefix_hashes[stream.cached // BLOCK_TOKENS :]:
            if block in self._seen_blocks:
                self._result.repeated += BLOCK_TOKENS
            self._seen_blocks.add(block)

    @staticmethod
    def _due_ms(arrival: Arrival) -> float:
        return arrival.at_ms + arrival.handle.budget_ms


def _changed(name: str) -> Policy:
    """Return ours with rules off or constants changed."""
    prefix, _, changes = name.partition("_")
    values: dict[str, object] = {}
    for change in changes.split("+"):
        key, _, value = change.partition("=")
        values[key] = prefix == "with" if not value else float(value)
    return Policy(name, make_core_with(replace(CoreOptions(), **values)))


def policies(names: Sequence[str]) -> list[Policy]:
    """Return policies by name.

    ``without_A+B`` is ours with rules off, ``with_A=1.5+B`` ours with a constant
    changed and a rule on.
    """
    found = []
    for name in names:
        if name.startswith(("with_", "without_")):
            found.append(_changed(name))
            continue
        cores = GATEWAYS if name == "gateway_queues" else 1
        found.append(Policy(name, lookup(PLACEMENT_POLICIES, name), cores))
    return found


def line(scenario: str, policy: str, results: Sequence[Result]) -> str:
    """Return one line of figures, the mean over several seeds."""

    def mean(figure: Callable[[Result], float]) -> float:
        return sum(figure(result) for result in results) / len(results)

    shares = _shares(results)
    tiers = "/".join(f"{100 * mean(lambda r, t=t: r.goodput(t)):.1f}" for t in range(3))
    ttft = "/".join(f"{mean(lambda r, t=t: r.ttft_p95(t)):.0f}" for t in range(3))
    return (
        f"trial scenario={scenario} policy={policy} goodput={tiers} "
        f"all={100 * mean(Result.goodput_all):.1f} "
        f"ttft_p95_ms={ttft} discarded={100 * mean(Result.discarded_share):.2f} "
        f"repeated={100 * mean(Result.repeated_share):.2f} "
        f"inversions={sum(result.inversions for result in results)} "
        f"overfilled={sum(result.overfilled for result in results)}{shares}"
    )


def _shares(results: Sequence[Result]) -> str:
    names = sorted(results[0].tokens)
    if "flooding" not in names:
        return ""
    total = sum(sum(result.tokens.values()) for result in results)
    parts = (
        f"{name}:{sum(r.tokens.get(name, 0.0) for r in results) / total:.3f}"
        f":{sum(r.good_by.get(name, 0) / r.asked_by[name] for r in results):.2f}"
        for name in names
    )
    return " shares=" + ",".join(parts)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run trials and print a line for each scenario and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--policy", nargs="*", default=list(DEFAULT_POLICIES))
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args(arguments)
    for name in options.scenario:
        for policy in policies(options.policy):
            results = []
            for seed in range(1, options.seeds + 1):
                scenario = SCENARIOS[name](seed)
                results.append(Trial(policy.make, policy.cores, scenario).run())
            print(line(name, policy.name, results), flush=True)


if __name__ == "__main__":
    main()
