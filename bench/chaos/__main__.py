"""``python -m bench.chaos --seed N``: one run; exit code 1 for a broken promise.

The schedule is printed before anything starts.
"""

from __future__ import annotations

import argparse
import sys

import uvloop

from bench.chaos.report import print_report, print_schedule
from bench.chaos.run import check_all, draw_plan, run_plan

_SECONDS = 22.0
_BROKEN = 1


def main() -> int:
    """Run one seed and return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.chaos", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=_SECONDS)
    parser.add_argument("--rate", type=float, default=1.0)
    arguments = parser.parse_args()
    plan = draw_plan(arguments.seed, arguments.seconds, arguments.rate)
    print_schedule(plan.seed, plan.deployment.name, plan.faults)
    sys.stdout.flush()
    evidence = uvloop.run(run_plan(plan))
    breaches = check_all(plan, evidence)
    print_report(evidence, breaches, plan.seconds)
    return _BROKEN if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
