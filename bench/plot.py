"""Draws an experiment: goodput, waste and latencies of all policies.

One picture a scenario, beside its table.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

    from bench.report import Experiment

_SIZE_INCHES = (13.0, 8.0)
_GROUP_WIDTH = 0.8
_DPI = 110


def draw(experiment: Experiment, folder: Path) -> Path:
    """Draw an experiment into ``folder/<scenario>.png``."""
    figure, axes = plt.subplots(2, 2, figsize=_SIZE_INCHES, layout="constrained")
    figure.suptitle(f"{experiment.scenario}: {experiment.summary}")
    _draw_goodput(axes[0][0], experiment)
    _draw_prefill(axes[0][1], experiment)
    _draw_latencies(axes[1][0], experiment)
    _draw_refusals(axes[1][1], experiment)
    path = folder / f"{experiment.scenario}.png"
    figure.savefig(path, dpi=_DPI)
    plt.close(figure)
    return path


def _draw_goodput(axes: Axes, experiment: Experiment) -> None:
    tiers = [tier.tier for tier in experiment.policies[0].tiers]
    groups = {
        tier: [item.tiers[place].goodput for item in experiment.policies]
        for place, tier in enumerate(tiers)
    }
    groups["all"] = [item.goodput_all for item in experiment.policies]
    _draw_groups(axes, experiment, groups)
    axes.axhline(experiment.bound, color="black", linestyle="--", linewidth=1)
    axes.set_ylim(0.0, 1.05)
    axes.set_title("goodput by tier (dashed: bound for all)")


def _draw_prefill(axes: Axes, experiment: Experiment) -> None:
    groups = {
        "wasted": [item.wasted_prefill for item in experiment.policies],
        "repeated prefix": [item.repeated_prefix for item in experiment.policies],
    }
    _draw_groups(axes, experiment, groups)
    axes.set_title("share of the prefilled tokens")


def _draw_latencies(axes: Axes, experiment: Experiment) -> None:
    groups = {
        "first token p50": [item.ttft.p50_ms for item in experiment.policies],
        "first token p95": [item.ttft.p95_ms for item in experiment.policies],
        "gap p50": [item.gap.p50_ms for item in experiment.policies],
        "gap p95": [item.gap.p95_ms for item in experiment.policies],
    }
    _draw_groups(axes, experiment, groups)
    axes.set_yscale("log")
    axes.set_title("milliseconds, whole answers")


def _draw_refusals(axes: Axes, experiment: Experiment) -> None:
    tiers = [tier.tier for tier in experiment.policies[0].tiers]
    groups = {
        f"{tier} refused": [
            sum(item.tiers[place].refused.values()) for item in experiment.policies
        ]
        for place, tier in enumerate(tiers)
    }
    groups["inversions"] = [item.inversions for item in experiment.policies]
    _draw_groups(axes, experiment, groups)
    axes.set_title("refusals and tier inversions")


def _draw_groups(
    axes: Axes, experiment: Experiment, groups: dict[str, list[float]]
) -> None:
    names = [item.policy for item in experiment.policies]
    width = _GROUP_WIDTH / len(groups)
    for number, (label, values) in enumerate(groups.items()):
        places = [place + number * width for place in range(len(names))]
        axes.bar(places, values, width, label=label)
    middle = (_GROUP_WIDTH - width) / 2
    axes.set_xticks([place + middle for place in range(len(names))], names, rotation=15)
    axes.legend(fontsize="small")
