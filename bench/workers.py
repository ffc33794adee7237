"""Runs several policies side by side, each in a worker process.

All workers begin to send at the same moment, so that each meets the others'
load on the machine.
"""

from __future__ import annotations

import asyncio
import pickle
import shutil
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from bench.cluster import child_environment
from bench.processes import BenchError, ManagedProcess, kill_all
from bench.worker import READY, SENT

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.experiment import PolicyRun
    from bench.plan import Plan

_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 5.0
_SPARE_S = 60.0
_TICK_S = 0.2


async def run_workers(
    plan: Plan,
    policies: Sequence[str],
    vms_per_data_centre: int,
    on_sent: Callable[[int], object],
) -> list[PolicyRun]:
    """Run a plan against several policies at one time.

    Args:
        plan: What to run.
        policies: One worker each.
        vms_per_data_centre: VMs in each data centre.
        on_sent: Called now and then with the number of calls just sent.

    Raises:
        BenchError: A worker failed; its log is told.
    """
    folder = Path(tempfile.mkdtemp(prefix="pomelolane-bench-"))
    workers = [
        _make_worker(plan, policy, vms_per_data_centre, folder) for policy in policies
    ]
    try:
        for worker in workers:
            worker.spawn()
        await asyncio.gather(
            *(worker.wait_for_line(READY, _START_TIMEOUT_S) for worker in workers)
        )
        (folder / "go").touch()
        await _await_ends(workers, on_sent, plan.seconds + _SPARE_S)
        return [
            _result(worker, folder, policy)
            for worker, policy in zip(workers, policies, strict=True)
        ]
    finally:
        await _stop(workers)
        shutil.rmtree(folder, ignore_errors=True)


def _make_worker(
    plan: Plan, policy: str, vms_per_data_centre: int, folder: Path
) -> ManagedProcess:
    command = (
        *(sys.executable, "-m", "bench.worker"),
        *("--scenario", plan.name),
        *("--seed", str(plan.seed)),
        *("--seconds", repr(plan.seconds)),
        *("--policy", policy),
        *("--vms", str(vms_per_data_centre)),
        *("--go", str(folder / "go")),
        *("--result", str(folder / f"{policy}.pickle")),
    )
    log_path = folder / f"{policy}.log"
    return ManagedProcess(f"worker {policy}", command, log_path, child_environment())


async def _await_ends(
    workers: Sequence[ManagedProcess],
    on_sent: Callable[[int], object],
    timeout_s: float,
) -> None:
    seen = 0
    for _ in range(int(timeout_s / _TICK_S)):
        sent = sum(worker.log_text().count(SENT) for worker in workers)
        on_sent(sent - seen)
        seen = sent
        if not any(worker.alive for worker in workers):
            return
        await asyncio.sleep(_TICK_S)
    raise BenchError("a worker did not end in time")


def _result(worker: ManagedProcess, folder: Path, policy: str) -> PolicyRun:
    path = folder / f"{policy}.pickle"
    if worker.exit_code != 0 or not path.is_file():
        raise BenchError(f"{worker.name} failed:\n{worker.log_tail()}")
    return pickle.loads(path.read_bytes())


async def _stop(workers: Sequence[ManagedProcess]) -> None:
    """Let workers stop their clusters, then end what is left."""
    for worker in workers:
        worker.terminate()
    for worker in workers:
        try:
            await worker.wait_exit(_STOP_TIMEOUT_S)
        except BenchError:
            continue
    kill_all(workers)
