"""``python -m bench.capacity``: what a VM's parts cost, measured and fitted.

Each part is measured at several sizes, printed as plain lines and fitted with
a straight line, whose slopes docs/CAPACITY.md puts together.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import signal
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import uvloop

from bench.capacity_cluster import measure_relay, measure_requests
from bench.capacity_parts import PARTS, PartPoint
from bench.cluster import child_environment
from bench.fit import fit_line
from bench.processes import BenchError

if TYPE_CHECKING:
    from collections.abc import Sequence

_PART_SIZES = {
    "organisations": (250, 1000, 2000, 4000),
    "endpoints": (250, 1000, 2000, 4000),
    "queue": (100, 1000, 5000, 10000),
}
_REPEATS = 3
_OTHERS = ("decisions", "relay", "members", "claims")
_OTHER_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Point:
    """What one role needs at one size.

    Attributes:
        role: Which part of a VM.
        size: How much of it.
        cpu_us: Processor time, for each second or for one time of the work.
        rss_mb: Memory.
        bytes_s: Bytes sent, for each second or for one time of the work.
    """

    role: str
    size: float
    cpu_us: float
    rss_mb: float
    bytes_s: float

    def line(self) -> str:
        """Return it as a plain line."""
        return (
            f"capacity role={self.role} size={self.size:.0f} "
            f"cpu_us={self.cpu_us:.0f} rss_mb={self.rss_mb:.2f} "
            f"bytes_s={self.bytes_s:.0f}"
        )


def fit_lines(points: Sequence[Point]) -> list[str]:
    """Return one plain line for each fitted figure of a role."""
    sizes = [point.size for point in points]
    lines = []
    for name in ("cpu_us", "rss_mb", "bytes_s"):
        line = fit_line(sizes, [getattr(point, name) for point in points])
        lines.append(
            f"capacity-fit role={points[0].role} of={name} slope={line.slope:.5g} "
            f"slope_error={line.slope_error:.2g} intercept={line.intercept:.5g} "
            f"r2={line.r_squared:.4f}"
        )
    return lines


async def measure_part(part: str, sizes: Sequence[int]) -> list[Point]:
    """Measure a part in processes of its own; the median of several runs."""
    points = []
    for size in sizes:
        found = [await _run_part(part, size) for _ in range(_REPEATS)]
        cpu_us = sorted(point.cpu_us for point in found)[_REPEATS // 2]
        rss_mb = sorted(point.rss_mb for point in found)[_REPEATS // 2]
        points.append(Point(part, size, cpu_us, rss_mb, found[0].bytes))
    return points


async def _run_part(part: str, size: int) -> PartPoint:
    output = await _run_module("bench.capacity_parts", part, str(size))
    return msgspec.json.decode(output.splitlines()[-1], type=PartPoint)


async def _run_module(module: str, *arguments: str) -> str:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module, *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=child_environment(),
    )
    try:
        output, errors = await asyncio.wait_for(process.communicate(), _OTHER_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        raise BenchError(f"{module} failed:\n{errors.decode()[-1000:]}")
    return output.decode()


def _show(points: Sequence[Point]) -> None:
    for point in points:
        print(point.line())
    for line in fit_lines(points):
        print(line)
    sys.stdout.flush()


async def _measure_clusters() -> None:
    for role, measured in (await measure_relay()).items():
        _show([Point(role, *figures) for figures in measured])
    for role, measured in (await measure_requests()).items():
        _show([Point(role, *figures) for figures in measured])


async def _run_others() -> None:
    """Run the other measuring modules, as far as they exist."""
    for name in _OTHERS:
        module = f"bench.{name}"
        if importlib.util.find_spec(module) is None:
            print(f"capacity-missing module={module}")
            continue
        try:
            output = await _run_module(module)
        except (BenchError, TimeoutError) as error:
            print(f"capacity-failed module={module} error={str(error)[:300]!r}")
            continue
        print(output.strip(), flush=True)


async def _main(options: argparse.Namespace) -> None:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for part in PARTS:
        if part in options.roles:
            _show(await measure_part(part, _PART_SIZES[part]))
    if "cluster" in options.roles:
        await _measure_clusters()
    if "others" in options.roles:
        await _run_others()


def main() -> int:
    """Measure the roles of the command line."""
    roles = [*PARTS, "cluster", "others"]
    parser = argparse.ArgumentParser("python -m bench.capacity", description=__doc__)
    parser.add_argument("roles", nargs="*", default=roles, metavar="role")
    options = parser.parse_args()
    unknown = set(options.roles) - set(roles)
    if unknown:
        parser.error(f"no role {sorted(unknown)}; there are: {', '.join(roles)}")
    try:
        uvloop.run(_main(options))
    except BenchError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
