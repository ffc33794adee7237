"""Measures what a relayed token costs a VM and how much later the first one comes.

Each target gets the same load in one run: the endpoint itself, a bare byte
pump as the floor, and VMs by mode.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import math
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import psutil
import uvloop

from bench.relay_load import Load, LoadResult, run_load
from bench.relay_product import KEY, serve_flags, write_tree
from bench.relay_vm import MODES

if TYPE_CHECKING:
    from collections.abc import Iterator

_START_TIMEOUT_S = 20.0
_MICRO = 1e6
_RAMP_S = 2.0
"""Time in which the long answers begin, and as much for their end."""

_BEAT = "beat"
_STANDIN = "standin"
_STANDIN_SLOWDOWN = 0.03
"""Share by which the stand-in's step grows with each stream of its batch."""

PUMP = "pump"
PRODUCT = "serve"
_HEADERS = ((b"authorization", b"Bearer " + KEY.encode()),)


@dataclass(frozen=True, slots=True)
class _Loads:
    """What every target is given.

    Attributes:
        warm_up: Not measured.
        tokens: Long answers, to measure the cost of a token.
        arrivals: Short answers, to measure the time to first token.
    """

    warm_up: Load
    tokens: Load
    arrivals: Load


@dataclass(frozen=True, slots=True)
class Measured:
    """One target under both loads.

    Attributes:
        name: Mode, ``direct`` or ``pump``.
        tokens: What the callers of long answers saw.
        tokens_cpu_s: CPU time of the target process meanwhile.
        arrivals: What the callers of short answers saw.
        arrivals_cpu_s: CPU time of the target process meanwhile.
    """

    name: str
    tokens: LoadResult
    tokens_cpu_s: float
    arrivals: LoadResult
    arrivals_cpu_s: float

    @property
    def us_per_token(self) -> float:
        """CPU time of the target process for each event of long answers."""
        return self.tokens_cpu_s * _MICRO / max(1, self.tokens.events)

    @property
    def steady_us_per_token(self) -> float:
        """The same while no request begins or ends."""
        return self.tokens.steady_cpu_s * _MICRO / max(1, self.tokens.steady_events)

    @property
    def callers_us_per_token(self) -> float:
        """CPU time of the callers' process for each event of long answers."""
        return self.tokens.cpu_s * _MICRO / max(1, self.tokens.events)

    @property
    def us_per_request(self) -> float:
        """CPU time of the target process for each short answer."""
        return self.arrivals_cpu_s * _MICRO / max(1, len(self.arrivals.ttft_ms))

    def ttft_ms(self, quantile: float) -> float:
        """Return a quantile of the time to first token."""
        values = sorted(self.arrivals.ttft_ms) or [math.nan]
        return values[min(len(values) - 1, int(quantile * len(values)))]


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@contextlib.contextmanager
def _process(module: str, *flags: str) -> Iterator[tuple[psutil.Process, str]]:
    """Run a module that takes ``--port`` until the end of the block."""
    port = _free_port()
    command = [sys.executable, "-m", *module.split(), f"--port={port}", *flags]
    with tempfile.TemporaryFile() as log:
        child = subprocess.Popen(command, stderr=log)
        try:
            _await_ready(port)
            yield psutil.Process(child.pid), f"127.0.0.1:{port}"
        finally:
            child.kill()
            child.wait()


def _await_ready(port: int) -> None:
    """Wait until the port speaks HTTP and does not answer 503."""
    until = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < until:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/readyz")
            if connection.getresponse().status != http.HTTPStatus.SERVICE_UNAVAILABLE:
                return
        connection.close()
        time.sleep(0.05)
    raise TimeoutError(f"nothing is ready on port {port}")


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _load(
    process: psutil.Process, address: str, load: Load
) -> tuple[LoadResult, float]:
    before = _cpu_s(process)
    result = uvloop.run(run_load(address, load, lambda: _cpu_s(process)))
    return result, _cpu_s(process) - before


def _measure(
    name: str, process: psutil.Process, address: str, loads: _Loads
) -> Measured:
    _load(process, address, loads.warm_up)
    tokens, tokens_cpu_s = _load(process, address, loads.tokens)
    arrivals, arrivals_cpu_s = _load(process, address, loads.arrivals)
    return Measured(name, tokens, tokens_cpu_s, arrivals, arrivals_cpu_s)


def _measure_mode(mode: str, endpoint: str, loads: _Loads) -> Measured:
    if mode == PRODUCT:
        return _measure_product(endpoint, loads)
    module = "bench.relay_pump" if mode == PUMP else "bench.relay_vm"
    flags = [f"--endpoint={endpoint}"]
    if mode != PUMP:
        flags.append(f"--mode={mode}")
    with _process(module, *flags) as (process, address):
        return _measure(mode, process, address, loads)


def _measure_product(endpoint: str, loads: _Loads) -> Measured:
    with tempfile.TemporaryDirectory() as folder:
        write_tree(Path(folder), endpoint)
        flags = serve_flags(Path(folder), _free_port())
        with _process("pomelolane serve", *flags) as (process, address):
            return _measure(PRODUCT, process, address, loads)


def _print(measured: Measured) -> None:
    print(
        f"{measured.name:18} us_per_token={measured.us_per_token:6.1f}"
        f" steady_us={measured.steady_us_per_token:6.1f}"
        f" us_per_request={measured.us_per_request:7.1f}"
        f" ttft_p50_ms={measured.ttft_ms(0.5):6.2f}"
        f" ttft_p99_ms={measured.ttft_ms(0.99):6.2f}"
        f" callers_us={measured.callers_us_per_token:5.1f}"
        f" events={measured.tokens.events}"
        f" failed={measured.tokens.failed + measured.arrivals.failed}",
        flush=True,
    )


def _run(options: argparse.Namespace) -> list[Measured]:
    loads = _Loads(
        warm_up=Load(100, 8, 1.0, headers=_HEADERS),
        tokens=Load(
            options.streams,
            options.output_tokens,
            1.0,
            steady_s=options.output_tokens / options.tokens_per_s - _RAMP_S,
            headers=_HEADERS,
        ),
        arrivals=Load(options.requests_per_s, 8, options.seconds, headers=_HEADERS),
    )
    measured = []
    with _process(*_source_command(options)) as (engine, endpoint):
        measured.append(_measure("direct", engine, endpoint, loads))
        _print(measured[-1])
        for mode in options.modes.split(","):
            measured.append(_measure_mode(mode, endpoint, loads))
            _print(measured[-1])
    return measured


def _source_command(options: argparse.Namespace) -> tuple[str, ...]:
    if options.source == _BEAT:
        return ("bench.relay_engine", f"--tokens-per-s={options.tokens_per_s}")
    # The stand-in slows each stream of a full batch; all together keep the pace.
    slowdown = 1.0 + _STANDIN_SLOWDOWN * (options.streams - 1)
    return (
        "standins.engine",
        f"--control-port={_free_port()}",
        "--endpoint-id=engine-1",
        "--model=bench",
        "--slots=2000",
        "--kv-tokens=100000000",
        "--prefill-tokens-per-s=1000000",
        f"--decode-tokens-per-s={options.tokens_per_s * slowdown}",
    )


def _print_summary(direct: Measured, relayed: Measured) -> None:
    print(
        f"relay_us_per_token={relayed.us_per_token:.1f}"
        f" relay_steady_us={relayed.steady_us_per_token:.1f}"
        f" direct_us={direct.callers_us_per_token:.1f}"
        f" added_ttft_p50_ms={relayed.ttft_ms(0.5) - direct.ttft_ms(0.5):.2f}"
        f" p99_ms={relayed.ttft_ms(0.99) - direct.ttft_ms(0.99):.2f}"
    )


def main() -> None:
    """Run the bench and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--modes", default="pump,fast,serve", help=",".join((PUMP, *MODES, PRODUCT))
    )
    parser.add_argument(
        "--source",
        choices=(_BEAT, _STANDIN),
        default=_BEAT,
        help="a bare token source, or the model engine stand-in",
    )
    parser.add_argument("--requests-per-s", type=float, default=200.0)
    parser.add_argument("--streams", type=float, default=200.0)
    parser.add_argument("--output-tokens", type=int, default=355)
    parser.add_argument("--tokens-per-s", type=float, default=40.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    measured = _run(parser.parse_args())
    _print_summary(measured[0], measured[-1])


if __name__ == "__main__":
    main()
