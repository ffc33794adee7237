"""``python -m bench.soak --seed N``: one run; exit code 1 for a broken rule."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import uvloop

from bench.soak.checks import check_all
from bench.soak.plan import Kind, draw_plan
from bench.soak.run import play

_BROKEN = 1


def main() -> int:
    """Run one seed and return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--parts", action="store_true")
    parser.add_argument("--kinds", nargs="+", type=Kind, help="draw from these only")
    parser.add_argument("--logs", type=Path, help="folder for the logs of the VMs")
    arguments = parser.parse_args()
    chosen = {"kinds": arguments.kinds} if arguments.kinds else {}
    plan = draw_plan(
        arguments.seed,
        arguments.seconds,
        arguments.vms,
        arguments.engines,
        parts=arguments.parts,
        **chosen,
    )
    for one in plan.disturbances:
        print(f"{one.at_s:6.1f} s  {one.kind} {one.target} {one.value:g} {one.for_s:g}")
    sys.stdout.flush()
    evidence = uvloop.run(play(plan, arguments.logs))
    breaches = check_all(evidence)
    print(f"seed {plan.seed}: {dict(evidence.statuses)}, {len(breaches)} rules broken")
    for breach in breaches:
        print(f"BROKEN {breach}")
    return _BROKEN if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
