"""Measures table writes against claims: ``python -m bench.claims``.

Claims a second go up; commits a second must not. The table is the platform's
stand-in in a process of its own, with its own rate limit.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import sys
import uuid
from dataclasses import dataclass, field

from pomelolane.clock import MonotonicClock
from pomelolane.ports import Peer, View
from pomelolane.store import (
    GroupCommitter,
    make_claims,
    make_gathering_committer,
    platform_from_url,
)

RATES = (5, 20, 50, 100, 200)
CLAIM_TIMEOUT_MS = 5000
DATA_CENTRES = 3
START_TIMEOUT_S = 10.0


class LocalTransport:
    """Carries messages between the bench's VMs, which share one process.

    Args:
        handlers: Handlers of all VMs by VM and message type.
        vm_id: This VM.
    """

    def __init__(self, handlers: dict, vm_id: str) -> None:
        self._handlers = handlers
        self._vm_id = vm_id

    def send(self, vm_id: str, message: object) -> bool:
        """Deliver on the loop's next turn."""
        handler = self._handlers[vm_id, type(message)]
        asyncio.get_running_loop().call_soon(handler, self._vm_id, message)
        return True

    def subscribe(self, kind: type, handler: object) -> None:
        """Register a handler."""
        self._handlers[self._vm_id, kind] = handler


class FixedMembership:
    """A view that does not change.

    Args:
        view: The view.
    """

    def __init__(self, view: View) -> None:
        self._view = view

    def view(self) -> View:
        """Return the view."""
        return self._view

    def on_change(self, callback: object) -> None:
        """Never call back."""


@dataclass(slots=True)
class Figures:
    """What one rate gave.

    Attributes:
        latencies_ms: Time of each claim that was held.
        refused: Claims refused.
        commits: Commits sent by all VMs.
    """

    latencies_ms: list[float] = field(default_factory=list)
    refused: int = 0
    commits: int = 0


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.asynccontextmanager
async def _platform_standin(writes_per_s: int):
    port = _free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins.platform",
        "--port", str(port), "--control-port", str(_free_port()),
        "--writes-per-s", str(writes_per_s),
        stdout=asyncio.subprocess.DEVNULL,
    )  # fmt: skip
    try:
        await _until_open(port)
        yield f"http://127.0.0.1:{port}"
    finally:
        process.terminate()
        await process.wait()


async def _until_open(port: int) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


def _make_vms(url: str, count: int, gather: bool) -> tuple[list, list, list]:
    clock = MonotonicClock()
    peers = {
        f"vm{i}": Peer(f"vm{i}", 1, f"dc{i % min(DATA_CENTRES, count)}", "")
        for i in range(count)
    }
    membership = FixedMembership(View(1, peers))
    handlers: dict = {}
    platforms, cores, claims = [], [], []
    for peer in peers.values():
        platform = platform_from_url(url)
        core = GroupCommitter(platform.table, clock)
        committer = core
        if gather:
            transport = LocalTransport(handlers, peer.vm_id)
            committer = make_gathering_committer(
                core, transport, membership, peer.vm_id, peer.data_centre, clock
            )
        platforms.append(platform)
        cores.append(core)
        claims.append(
            make_claims(platform.table, peer.vm_id, 1, clock, committer=committer)
        )
    return platforms, cores, claims


async def _one_claim(claims, figures: Figures) -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    key = uuid.uuid4().hex
    record = await claims.claim(key, "digest", timeout_ms=CLAIM_TIMEOUT_MS)
    if not record or not record.fresh:
        figures.refused += 1
        return
    figures.latencies_ms.append((loop.time() - began_s) * 1000.0)
    await claims.settle(record, "done", "object")


async def _measure(url: str, vms: int, rate: int, seconds: float, gather: bool):
    platforms, cores, claims = _make_vms(url, vms, gather)
    figures = Figures()
    tasks = []
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for index in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, start_s + index / rate - loop.time()))
        one = _one_claim(claims[index % vms], figures)
        tasks.append(loop.create_task(one))
    await asyncio.gather(*tasks)
    elapsed_s = loop.time() - start_s
    figures.commits = sum(core.counters.commits for core in cores)
    for platform in platforms:
        await platform.aclose()
    return figures, elapsed_s


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def _run(options: argparse.Namespace) -> None:
    async with _platform_standin(options.writes_per_s) as url:
        for rate in options.rates:
            figures, elapsed_s = await _measure(
                url, options.vms, rate, options.seconds, options.gather
            )
            print(
                f"claims requests_s={rate} "
                f"commits_s={figures.commits / elapsed_s:.1f} "
                f"p50_ms={_percentile(figures.latencies_ms, 0.5):.1f} "
                f"p95_ms={_percentile(figures.latencies_ms, 0.95):.1f} "
                f"vms={options.vms} gather={'yes' if options.gather else 'no'} "
                f"refused={figures.refused}",
                flush=True,
            )


def main() -> None:
    """Run the bench from the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.claims")
    parser.add_argument("--vms", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--writes-per-s", type=int, default=500)
    parser.add_argument("--rates", type=int, nargs="+", default=list(RATES))
    parser.add_argument("--gather", action="store_true")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
