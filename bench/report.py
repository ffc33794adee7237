"""What an experiment leaves behind: plain lines, a table and a JSON file.

The figures of all policies stand side by side in each.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from bench.measure import PolicyFigures, TierFigures

BUSY_SHARE = 0.7
"""A process that uses more of a core may have been the bottleneck."""

_COLUMNS = (
    "policy",
    "goodput by tier",
    "all",
    "of bound",
    "wasted",
    "repeated prefix",
    "inversions",
    "ttft p50/p95 ms",
    "gap p50/p95 ms",
    "share error",
)


class Experiment(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one scenario over several policies.

    Attributes:
        scenario: Its name.
        summary: What it is about.
        seed: Seed of the trace.
        seconds: Time in which requests arrived.
        requests: Length of the trace.
        bound: Useful answers that no policy can exceed, as a share.
        top_bound: The same for the highest tier alone.
        mean_bound: What a planner reaches that takes each request of a work
            to be of their mean size.
        policies: Figures by policy, in the order of the command line.
    """

    scenario: str
    summary: str
    seed: int
    seconds: float
    requests: int
    bound: float
    top_bound: float
    mean_bound: float
    policies: list[PolicyFigures]

    @property
    def busiest(self) -> PolicyFigures:
        """The policy whose cluster had the busiest process."""
        return max(self.policies, key=lambda item: item.busiest_share)


def plain_lines(experiment: Experiment) -> list[str]:
    """Return one line a policy, in a form that scripts read."""
    return [_plain_line(experiment.scenario, item) for item in experiment.policies]


def detail_lines(experiment: Experiment) -> list[str]:
    """Return what the plain lines leave out, also as plain lines."""
    lines = [_bound_line(experiment)]
    for item in experiment.policies:
        lines.append(_policy_line(experiment.scenario, item))
        lines += [
            _tier_line(experiment.scenario, item.policy, tier) for tier in item.tiers
        ]
    return lines


def cpu_line(experiment: Experiment) -> str:
    """Tell whether a process of the bench may have been the bottleneck."""
    item = experiment.busiest
    verdict = "yes" if item.busiest_share > BUSY_SHARE else "no"
    lag_ms = max(each.caller_lag_ms for each in experiment.policies)
    return (
        f"bench-cpu scenario={experiment.scenario} busiest={item.busiest} "
        f"policy={item.policy} share={item.busiest_share:.2f} "
        f"caller_lag_p95_ms={lag_ms:.1f} bottleneck={verdict}"
    )


def table(experiment: Experiment) -> str:
    """Return the results as a Markdown table."""
    rows = [_table_row(item) for item in experiment.policies]
    lines = [
        f"### {experiment.scenario}: {experiment.summary}",
        "",
        f"Seed {experiment.seed}, {experiment.requests} requests in "
        f"{experiment.seconds:.0f} s; bound {experiment.bound:.3f} of all requests.",
        "",
        "| " + " | ".join(_COLUMNS) + " |",
        "| " + " | ".join("---" for _ in _COLUMNS) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
    ]
    return "\n".join(lines) + "\n"


def write_results(experiment: Experiment, folder: Path) -> list[Path]:
    """Write the JSON file and the table; return their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    json_path = folder / f"{experiment.scenario}.json"
    data = msgspec.json.encode(experiment)
    json_path.write_bytes(msgspec.json.format(data, indent=1))
    table_path = folder / f"{experiment.scenario}.md"
    table_path.write_text(table(experiment), encoding="utf-8")
    return [json_path, table_path]


def _plain_line(scenario: str, item: PolicyFigures) -> str:
    return (
        f"bench scenario={scenario} policy={item.policy} "
        f"goodput_top={item.goodput_top:.4f} goodput_all={item.goodput_all:.4f} "
        f"of_bound={item.of_bound:.4f} wasted_prefill={item.wasted_prefill:.4f} "
        f"inversions={item.inversions}"
    )


def _bound_line(experiment: Experiment) -> str:
    return (
        f"bench-bound scenario={experiment.scenario} "
        f"requests={experiment.requests} bound={experiment.bound:.4f} "
        f"top_bound={experiment.top_bound:.4f} mean_bound={experiment.mean_bound:.4f}"
    )


def _policy_line(scenario: str, item: PolicyFigures) -> str:
    return (
        f"bench-policy scenario={scenario} policy={item.policy} "
        f"ttft_p50_ms={item.ttft.p50_ms:.0f} ttft_p95_ms={item.ttft.p95_ms:.0f} "
        f"gap_p50_ms={item.gap.p50_ms:.0f} gap_p95_ms={item.gap.p95_ms:.0f} "
        f"repeated_prefix={item.repeated_prefix:.4f} "
        f"share_error={item.share_error:.3f} foreign={item.foreign}"
    )


def _tier_line(scenario: str, policy: str, tier: TierFigures) -> str:
    refused = ",".join(f"{name}:{count}" for name, count in tier.refused.items())
    errors = ",".join(
        f"{name.replace(' ', '_')}:{count}" for name, count in tier.errors.items()
    )
    return (
        f"bench-tier scenario={scenario} policy={policy} tier={tier.tier} "
        f"offered={tier.offered} goodput={tier.goodput:.4f} "
        f"ttft_p50_ms={tier.ttft.p50_ms:.0f} ttft_p95_ms={tier.ttft.p95_ms:.0f} "
        f"refused={refused or 0} errors={errors or 0}"
    )


def _table_row(item: PolicyFigures) -> tuple[str, ...]:
    return (
        item.policy,
        " / ".join(f"{tier.goodput:.3f}" for tier in item.tiers),
        f"{item.goodput_all:.3f}",
        f"{item.of_bound:.3f}",
        f"{item.wasted_prefill:.3f}",
        f"{item.repeated_prefix:.3f}",
        str(item.inversions),
        f"{item.ttft.p50_ms:.0f} / {item.ttft.p95_ms:.0f}",
        f"{item.gap.p50_ms:.0f} / {item.gap.p95_ms:.0f}",
        f"{item.share_error:.3f}" if item.share_error >= 0 else "-",
    )


def total_line(experiments: Sequence[Experiment]) -> str:
    """Return how many runs the whole took, for the end of the output."""
    runs = sum(len(item.policies) for item in experiments)
    return f"bench-total scenarios={len(experiments)} runs={runs}"
