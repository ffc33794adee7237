"""Measures VMs of a small cluster under growing load, over real sockets.

The capacity page takes its figures for streams and requests from here.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import psutil

from bench.caller import Caller
from bench.cluster import Cluster
from bench.processes import BenchError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.caller import CallRecord
    from bench.deployment import Deployment
    from bench.vms import Vm

_SERVICE = "modelo-bitacora"
_WORK = "entry-check"
_ORGANISATION = "puerto-tampico"
_STREAMS = (16, 32, 64, 128)
_STREAM_TOKENS = 200
_STREAM_TOKENS_PER_S = 60.0
_REQUEST_RATES = (20, 40, 80, 160)
_SECONDS = 4.0
_DEADLINE_MS = 60_000
_SLOTS = 64
_FAST_TOKENS_PER_S = 100_000.0
_MIB = 1024.0 * 1024.0

Figures = tuple[float, float, float, float]
"""Size, processor microseconds a second, resident megabytes, bytes a second."""


@dataclass(slots=True)
class Window:
    """Watches one process from its making on.

    Args:
        vm: The process.
    """

    vm: Vm
    process: psutil.Process
    started: float
    used_s: float

    def cpu_us_per_s(self) -> float:
        """Return the processor time used in each second."""
        elapsed_s = time.monotonic() - self.started
        return (_used_s(self.process) - self.used_s) / elapsed_s * 1e6

    def resident_mb(self) -> float:
        """Return the memory in use."""
        return self.process.memory_info().rss / _MIB


def open_window(vm: Vm) -> Window:
    """Begin to watch a VM."""
    process = psutil.Process(vm.pid)
    return Window(vm, process, time.monotonic(), _used_s(process))


async def measure_relay() -> dict[str, list[Figures]]:
    """Relay more and more streams through one VM that schedules nothing."""
    cluster = await _start(_STREAM_TOKENS_PER_S)
    points: list[Figures] = []
    try:
        async with Caller() as caller:
            vm = await _vm_without_role(cluster)
            await _run_streams(cluster, caller, vm, _STREAMS[0])
            for streams in _STREAMS:
                window = open_window(vm)
                records = await _run_streams(cluster, caller, vm, streams)
                elapsed_s = time.monotonic() - window.started
                tokens = sum(record.tokens for record in records) / elapsed_s
                size = sum(record.received_bytes for record in records) / elapsed_s
                points.append(
                    (tokens, window.cpu_us_per_s(), window.resident_mb(), size)
                )
    finally:
        await cluster.stop()
    return {"relay": points}


async def measure_requests() -> dict[str, list[Figures]]:
    """Send short requests to gateways at growing rates; watch both roles."""
    cluster = await _start(_FAST_TOKENS_PER_S)
    points: dict[str, list[Figures]] = {"gateway": [], "scheduler": []}
    try:
        async with Caller() as caller:
            gateway = await _vm_without_role(cluster)
            scheduler = await _scheduling_vm(cluster)
            await _run_requests(cluster, caller, gateway, _REQUEST_RATES[0])
            for rate in _REQUEST_RATES:
                windows = open_window(gateway), open_window(scheduler)
                records = await _run_requests(cluster, caller, gateway, rate)
                elapsed_s = time.monotonic() - windows[0].started
                size = sum(record.received_bytes for record in records) / elapsed_s
                for role, window, sent in zip(
                    points, windows, (size, 0.0), strict=True
                ):
                    points[role].append(
                        (
                            len(records) / elapsed_s,
                            window.cpu_us_per_s(),
                            window.resident_mb(),
                            sent,
                        )
                    )
    finally:
        await cluster.stop()
    return points


async def _start(decode_tokens_per_s: float) -> Cluster:
    def edit(deployment: Deployment) -> None:
        for plan in deployment.endpoints():
            if plan.kind == "engine":
                plan.declared["slots"] = _SLOTS
                plan.declared["prefill_tokens_per_s"] = _FAST_TOKENS_PER_S
                plan.declared["decode_tokens_per_s"] = decode_tokens_per_s

    return await Cluster.start(
        "comision",
        vms_per_data_centre=1,
        faults=False,
        edit=edit,
        extra_flags=("--log-level", "warning"),
    )


async def _scheduling_vm(cluster: Cluster) -> Vm:
    status = await cluster.vms[0].status()
    name = status.get("roles", {}).get("services", {}).get(_SERVICE)
    return cluster.vm(name) if name else cluster.vms[0]


async def _vm_without_role(cluster: Cluster) -> Vm:
    scheduler = await _scheduling_vm(cluster)
    return next(vm for vm in cluster.vms if vm is not scheduler)


async def _run_streams(
    cluster: Cluster, caller: Caller, vm: Vm, streams: int
) -> list[CallRecord]:
    calls = (_call(cluster, caller, vm, _STREAM_TOKENS) for _ in range(streams))
    return await asyncio.gather(*calls)


async def _run_requests(
    cluster: Cluster, caller: Caller, vm: Vm, per_s: float
) -> list[CallRecord]:
    return await _open_loop(per_s, lambda: _call(cluster, caller, vm, 1))


async def _open_loop(
    per_s: float, call: Callable[[], Awaitable[CallRecord]]
) -> list[CallRecord]:
    tasks = []
    started = time.monotonic()
    for number in range(int(per_s * _SECONDS)):
        await asyncio.sleep(max(0.0, started + number / per_s - time.monotonic()))
        tasks.append(asyncio.create_task(call()))
    return await asyncio.gather(*tasks)


async def _call(cluster: Cluster, caller: Caller, vm: Vm, tokens: int) -> CallRecord:
    record = await caller.send(
        vm.url,
        cluster.organisation_key(_ORGANISATION),
        service=_SERVICE,
        work=_WORK,
        prompt=random.randbytes(60).hex(),
        output_tokens=tokens,
        deadline_ms=_DEADLINE_MS,
    )
    if not record.whole:
        raise BenchError(f"a measured call failed: {record.status} {record.reason}")
    return record


def _used_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system
