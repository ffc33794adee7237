"""Runs one policy in a process of its own: cluster, callers and records.

A caller that shared its loop with those of other policies would be late for
its own arrivals, and a late caller hides the queue that it should measure.
"""

from __future__ import annotations

import argparse
import asyncio
import pickle
import signal
import sys
from pathlib import Path

import uvloop

from bench.experiment import PolicyRun, run_policy, start_cluster
from bench.plan import Plan, make_plan
from bench.processes import BenchError

READY = "ready"
SENT = "sent"
_GO_POLL_S = 0.01


async def _main(options: argparse.Namespace, plan: Plan) -> PolicyRun:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    prompts = [arrival.prompt() for arrival in plan.arrivals]
    cluster = await start_cluster(options.policy, plan.workloads, options.vms)
    try:
        print(READY, flush=True)
        while not options.go.exists():  # noqa: ASYNC110
            await asyncio.sleep(_GO_POLL_S)
        return await run_policy(
            cluster,
            options.policy,
            plan.scenario,
            plan.arrivals,
            prompts,
            lambda: print(SENT, flush=True),
        )
    finally:
        await cluster.stop()


def main() -> int:
    """Run the policy and leave its records in a file."""
    parser = argparse.ArgumentParser("python -m bench.worker", description=__doc__)
    parser.add_argument("--scenario", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--policy", required=True)
    parser.add_argument("--vms", type=int, required=True)
    parser.add_argument("--go", type=Path, required=True)
    parser.add_argument("--result", type=Path, required=True)
    options = parser.parse_args()
    plan = make_plan(options.scenario, options.seed, seconds=options.seconds)
    try:
        run = uvloop.run(_main(options, plan))
    except BenchError as error:
        print(f"worker: {error}")
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    options.result.write_bytes(pickle.dumps(run))
    return 0


if __name__ == "__main__":
    sys.exit(main())
