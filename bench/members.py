"""``python -m bench.members``: what membership costs a VM, by size of its region.

Every member is a process of its own that holds the membership and nothing
else; figures are taken once every view is whole, from each process's own
counters.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import TYPE_CHECKING

import msgspec
import zmq

from bench.member_process import Keys, MemberPlan, Sample
from bench.ports import PortBlock
from bench.processes import BenchError, ManagedProcess, kill_all, wait_until
from pomelolane.addresses import Seed

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZES = (5, 10, 20, 30, 60)
FAR_MEMBERS = 2
WINDOW_S = 6.0
SETTLE_S = 3.0
START_TIMEOUT_S = 60.0
SEEDS = 3
ZMTP_BYTES = 2
CURVE_BYTES = 33
TCP_IP_BYTES = 52


@dataclass(frozen=True, slots=True)
class Options:
    """Checked command line.

    Attributes:
        sizes: Members of the measured data centre, one run each.
        data_centres: Data centres altogether; the others have two VMs each.
        seconds: Length of the window that is measured.
        plain: Whether to talk without keys.
    """

    sizes: tuple[int, ...]
    data_centres: int
    seconds: float
    plain: bool


@dataclass(frozen=True, slots=True)
class Cost:
    """What one member used, per second of the window.

    Attributes:
        delegate: Whether it spoke for its data centre.
        cpu_share: Share of one core.
        bytes_s: Bytes handed to ZeroMQ, envelopes included.
        frames_s: Frames handed to ZeroMQ.
        rss_mb: Resident memory at the end.
    """

    delegate: bool
    cpu_share: float
    bytes_s: float
    frames_s: float
    rss_mb: float


class MemberCluster:
    """The processes of one run.

    Args:
        plans: What each process is to be.
        directory: Where logs go.
    """

    def __init__(self, plans: Sequence[MemberPlan], directory: Path) -> None:
        self._total = len(plans)
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self._processes = {
            plan.vm_id: ManagedProcess(
                plan.vm_id,
                (sys.executable, "-m", "bench.member_process", plan.to_argument()),
                directory / f"{plan.vm_id}.log",
                environment,
            )
            for plan in plans
        }

    async def measure(self, vm_ids: Sequence[str], seconds: float) -> list[Cost]:
        """Start all, wait until every view is whole, and measure some."""
        try:
            for process in self._processes.values():
                process.spawn()
            await wait_until(self._whole, START_TIMEOUT_S, "views are not whole")
            await asyncio.sleep(SETTLE_S)
            before = [self._last(vm_id) for vm_id in vm_ids]
            await asyncio.sleep(seconds)
            after = [self._last(vm_id) for vm_id in vm_ids]
        finally:
            kill_all(tuple(self._processes.values()))
        pairs = zip(before, after, strict=True)
        return [_cost(one, other) for one, other in pairs]

    def _whole(self) -> bool:
        samples = [self._last(vm_id) for vm_id in self._processes]
        return all(sample and sample.seen == self._total for sample in samples)

    def _last(self, vm_id: str) -> Sample | None:
        lines = self._processes[vm_id].log_text().splitlines()
        found = [line for line in lines if line.startswith("{")]
        return msgspec.json.decode(found[-1], type=Sample) if found else None


def make_plans(size: int, options: Options, ports: list[PortBlock]) -> list[MemberPlan]:
    """Return the members of one run, those that are measured first."""
    names = [("near", f"near-{number:02d}") for number in range(size)]
    for far in range(1, options.data_centres):
        name = f"far-{far:02d}"
        names += [(name, f"{name}-{number}") for number in range(FAR_MEMBERS)]
    addresses = {vm_id: f"127.0.0.1:{_take(ports)}" for _, vm_id in names}
    seeds = _seeds(names, addresses)
    keys = None if options.plain else _shared_keys()
    return [
        MemberPlan(vm_id, data_centre, addresses[vm_id], seeds, keys)
        for data_centre, vm_id in names
    ]


def _seeds(
    names: Sequence[tuple[str, str]], addresses: dict[str, str]
) -> tuple[Seed, ...]:
    taken: dict[str, int] = {}
    seeds = []
    for data_centre, vm_id in names:
        taken[data_centre] = taken.get(data_centre, 0) + 1
        if taken[data_centre] <= SEEDS:
            seeds.append(Seed(vm_id, data_centre, addresses[vm_id]))
    return tuple(seeds)


def _take(ports: list[PortBlock]) -> int:
    try:
        return ports[-1].take()
    except BenchError:
        ports.append(PortBlock())
        return ports[-1].take()


def _shared_keys() -> Keys:
    public, private = zmq.curve_keypair()
    return Keys(public.decode(), private.decode())


def _cost(before: Sample, after: Sample) -> Cost:
    elapsed_s = after.at_s - before.at_s
    return Cost(
        delegate=after.delegate,
        cpu_share=(after.cpu_s - before.cpu_s) / elapsed_s,
        bytes_s=(after.bytes_sent - before.bytes_sent) / elapsed_s,
        frames_s=(after.frames_sent - before.frames_sent) / elapsed_s,
        rss_mb=after.rss_mb,
    )


def describe(size: int, options: Options, role: str, costs: Sequence[Cost]) -> str:
    """Return one line of figures, means over the members of a role."""
    overhead = ZMTP_BYTES + (0 if options.plain else CURVE_BYTES)
    bytes_s = mean(cost.bytes_s for cost in costs)
    frames_s = mean(cost.frames_s for cost in costs)
    return " ".join(
        (
            f"members n={size}",
            f"cpu_share={mean(cost.cpu_share for cost in costs):.4f}",
            f"bytes_s={bytes_s + overhead * frames_s:.0f}",
            f"rss_mb={max(cost.rss_mb for cost in costs):.1f}",
            f"role={role}",
            f"data_centres={options.data_centres}",
            f"keys={'no' if options.plain else 'yes'}",
            f"frames_s={frames_s:.1f}",
            f"with_tcp_ip_bytes_s={bytes_s + (overhead + TCP_IP_BYTES) * frames_s:.0f}",
        )
    )


async def run_size(size: int, options: Options, directory: Path) -> list[str]:
    """Measure one size and return its lines."""
    ports = [PortBlock()]
    try:
        plans = make_plans(size, options, ports)
        cluster = MemberCluster(plans, directory)
        near = [plan.vm_id for plan in plans[:size]]
        costs = await cluster.measure(near, options.seconds)
    finally:
        for block in ports:
            block.close()
    by_role = {
        "delegate": [cost for cost in costs if cost.delegate],
        "member": [cost for cost in costs if not cost.delegate],
    }
    return [
        describe(size, options, role, each) for role, each in by_role.items() if each
    ]


def options_from_arguments(arguments: Sequence[str] | None = None) -> Options:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--data-centres", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=WINDOW_S)
    parser.add_argument("--plain", action="store_true", help="talk without keys")
    found = parser.parse_args(arguments)
    sizes = tuple(int(size) for size in found.sizes.split(","))
    return Options(sizes, found.data_centres, found.seconds, found.plain)


async def main(options: Options) -> None:
    """Measure all sizes and print their lines."""
    for size in options.sizes:
        with tempfile.TemporaryDirectory() as directory:
            for line in await run_size(size, options, Path(directory)):
                print(line, flush=True)


if __name__ == "__main__":
    asyncio.run(main(options_from_arguments()))
