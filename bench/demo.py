"""``python -m bench.demo``: a deployment at work, for people who look at it first.

It starts stand-ins and three VMs in each of three data centres, sends a
mixture of all kinds of work for half a minute and prints what callers got.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import uvloop
from tqdm import tqdm

from bench.arrivals import BYTES_PER_TOKEN
from bench.caller import Caller, CallRecord
from bench.cluster import Cluster
from bench.measure import quantiles, wasted_share
from bench.processes import BenchError

if TYPE_CHECKING:
    from collections.abc import Sequence

_TICK_S = 0.1
_JOB_PATIENCE_MS = 40_000
_SEED = 11


class Manner(StrEnum):
    """How a call is made."""

    STREAM = "stream"
    JOB = "job"
    LOOK_UP = "look_up"
    SUBMIT = "submit"


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of call in the mixture.

    Attributes:
        label: What people call it.
        manner: How it is made.
        service: Service it goes to.
        work: Kind of work.
        tier: Tier of the work, as declared.
        deadline_ms: Deadline of the work, as declared.
        per_s: Calls a second.
        prompt_tokens: Least and greatest prompt length.
        answer_tokens: Least and greatest answer length.
    """

    label: str
    manner: Manner
    service: str
    work: str
    tier: str
    deadline_ms: int
    per_s: float
    prompt_tokens: tuple[int, int] = (0, 0)
    answer_tokens: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class Result:
    """A call and what came of it."""

    kind: Kind
    record: CallRecord

    @property
    def useful(self) -> bool:
        """Whether the whole answer came in time."""
        in_time = self.record.total_ms <= self.kind.deadline_ms
        return self.record.whole and in_time


_MIXTURES = {
    "comision": (
        ("entry check", Manner.STREAM, "entry-check", 6.0, (60, 200), (16, 48)),
        ("lookup", Manner.LOOK_UP, "lookup", 5.0, (0, 0), (0, 0)),
        ("question", Manner.STREAM, "species-question", 1.5, (80, 400), (40, 120)),
        ("draft", Manner.STREAM, "trip-summary", 0.3, (800, 4000), (100, 250)),
        ("summary job", Manner.JOB, "trip-summary", 0.6, (1500, 6000), (100, 300)),
        ("catch submission", Manner.SUBMIT, "catch-submission", 1.0, (0, 0), (0, 0)),
    ),
    "cedarline": (
        ("form question", Manner.STREAM, "form-question", 4.0, (80, 400), (40, 120)),
        ("status lookup", Manner.LOOK_UP, "status-lookup", 5.0, (0, 0), (0, 0)),
        ("tag", Manner.STREAM, "tag", 2.0, (200, 1500), (8, 24)),
        ("draft", Manner.STREAM, "claim-narrative", 0.3, (800, 4000), (100, 250)),
        ("draft job", Manner.JOB, "claim-narrative", 0.6, (1500, 6000), (100, 300)),
        ("filing", Manner.SUBMIT, "filing", 1.0, (0, 0), (0, 0)),
    ),
}


def make_mixture(cluster: Cluster) -> list[Kind]:
    """Return the deployment's mixture with what its declarations say."""
    works = {
        work["name"]: (service["name"], work)
        for service in cluster.deployment.services().values()
        for work in service["works"]
    }
    mixture = []
    for label, manner, name, per_s, prompt, answer in _MIXTURES[
        cluster.options.deployment
    ]:
        service, work = works[name]
        mixture.append(
            Kind(
                label,
                manner,
                service,
                name,
                work["tier"],
                work["deadline_ms"],
                per_s,
                prompt,
                answer,
            )
        )
    return mixture


class Demo:
    """Sends a mixture to a cluster.

    Args:
        cluster: Where to.
        caller: Pool of connections.
        seconds: For how long.
    """

    def __init__(self, cluster: Cluster, caller: Caller, seconds: float) -> None:
        self._cluster = cluster
        self._caller = caller
        self._seconds = seconds
        self._random = random.Random(_SEED)
        self._organisations = cluster.deployment.organisations()

    async def run(self) -> list[Result]:
        """Send calls open-loop, then wait for all answers."""
        mixture = make_mixture(self._cluster)
        tasks = [
            asyncio.create_task(self._call_later(at_s, kind))
            for kind in mixture
            for at_s in self._times(kind.per_s)
        ]
        bar = asyncio.create_task(_show_progress(tasks))
        try:
            return await asyncio.gather(*tasks)
        finally:
            await _finish(bar)

    def _times(self, per_s: float) -> list[float]:
        times = []
        at_s = self._random.expovariate(per_s)
        while at_s < self._seconds:
            times.append(at_s)
            at_s += self._random.expovariate(per_s)
        return times

    async def _call_later(self, at_s: float, kind: Kind) -> Result:
        vm = self._random.choice(self._cluster.vms)
        organisation = self._random.choice(self._organisations)
        key = self._cluster.organisation_key(organisation)
        prompt = self._prompt(self._random.randint(*kind.prompt_tokens))
        answer_tokens = self._random.randint(*kind.answer_tokens)
        name = f"demo-{self._random.getrandbits(48):x}"
        await asyncio.sleep(at_s)
        if kind.manner is Manner.STREAM:
            record = await self._caller.send(
                vm.url,
                key,
                service=kind.service,
                work=kind.work,
                prompt=prompt,
                output_tokens=answer_tokens,
                deadline_ms=kind.deadline_ms,
            )
        elif kind.manner is Manner.JOB:
            record = await self._run_job(vm.url, key, kind, prompt, answer_tokens, name)
        else:
            record = await self._call_plain(vm.url, key, kind, name)
        return Result(kind, record)

    async def _run_job(
        self,
        url: str,
        key: str,
        kind: Kind,
        prompt: str,
        answer_tokens: int,
        name: str,
    ) -> CallRecord:
        accepted = await self._caller.send(
            url,
            key,
            service=kind.service,
            work=kind.work,
            prompt=prompt,
            output_tokens=answer_tokens,
            idempotency_key=name,
            respond_async=True,
        )
        if accepted.status != 202:
            return accepted
        record = await self._caller.await_job(
            url,
            key,
            accepted,
            prompt=prompt,
            output_tokens=answer_tokens,
            timeout_ms=_JOB_PATIENCE_MS,
        )
        # A job's answer comes whole; it has no first token to wait for.
        record.ttft_ms = -1.0
        return record

    async def _call_plain(
        self, url: str, key: str, kind: Kind, name: str
    ) -> CallRecord:
        submits = kind.manner is Manner.SUBMIT
        record = await self._caller.send_plain(
            url,
            key,
            service=kind.service,
            path=f"records/{name}",
            method="POST" if submits else "GET",
            body=name.encode() if submits else b"",
            work=kind.work,
            deadline_ms=kind.deadline_ms,
            idempotency_key=name if submits else "",
        )
        record.ttft_ms = -1.0
        return record

    def _prompt(self, tokens: int) -> str:
        return self._random.randbytes(tokens * BYTES_PER_TOKEN // 2).hex()


async def _show_progress(tasks: Sequence[asyncio.Task]) -> None:
    with tqdm(total=len(tasks), desc="answers", unit="call", file=sys.stdout) as bar:
        while bar.n < len(tasks):
            bar.update(sum(task.done() for task in tasks) - bar.n)
            await asyncio.sleep(_TICK_S)


async def _finish(bar: asyncio.Task) -> None:
    try:
        await asyncio.wait_for(bar, timeout=1.0)
    except (TimeoutError, asyncio.CancelledError):
        bar.cancel()


async def report(cluster: Cluster, results: Sequence[Result]) -> int:
    """Print what callers got and return the number of errors."""
    print()
    _print_kinds(results)
    _print_tiers(cluster, results)
    await _print_prefill(cluster, results)
    answered = [result.record for result in results if result.record.ttft_ms >= 0]
    ttft = quantiles([record.ttft_ms for record in answered])
    gap = quantiles([gap for record in answered for gap in record.gaps_ms])
    print(f"first token: p50 {ttft.p50_ms:.0f} ms, p95 {ttft.p95_ms:.0f} ms")
    print(f"token gap:   p50 {gap.p50_ms:.0f} ms, p95 {gap.p95_ms:.0f} ms")
    bad = [result for result in results if not result.record.whole]
    for result in bad[:5]:
        print(f"  {result.kind.label}: {_describe(result.record)}")
    print(f"errors: {len(bad)} of {len(results)} calls")
    return len(bad)


def _print_kinds(results: Sequence[Result]) -> None:
    by_label: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_label[result.kind.label].append(result)
    for label, items in by_label.items():
        useful = sum(item.useful for item in items)
        slowest = max(item.record.total_ms for item in items)
        print(
            f"{label:>18}: {useful} of {len(items)} in time, slowest {slowest:.0f} ms"
        )


def _print_tiers(cluster: Cluster, results: Sequence[Result]) -> None:
    tiers = sorted(cluster.deployment.tiers().values(), key=lambda tier: tier["rank"])
    for tier in tiers:
        items = [item for item in results if item.kind.tier == tier["name"]]
        useful = sum(item.useful for item in items)
        share = useful / len(items) if items else 1.0
        print(f"goodput {tier['name']}: {share:.1%}")


async def _print_prefill(cluster: Cluster, results: Sequence[Result]) -> None:
    engines = [item for item in cluster.endpoints if item.plan.kind == "engine"]
    runs = {item.endpoint_id: await item.runs() for item in engines}
    counters = [await item.counters() for item in engines]
    prefilled = sum(item["prefilled_tokens"] for item in counters)
    tags = [result.record.tag for result in results if result.useful]
    share = wasted_share(runs, prefilled, [tag for tag in tags if tag])
    print(f"wasted prefill: {share:.2%} of {prefilled} tokens")


def _describe(record: CallRecord) -> str:
    end = record.outcome or record.error or "answer not whole"
    return f"status {record.status}, {end} {record.reason} {record.text[:120]}".strip()


async def _main(options: argparse.Namespace) -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    started = time.monotonic()
    print(f"starting {options.deployment}: 3 data centres x {options.vms} VMs ...")
    cluster = await Cluster.start(
        options.deployment, vms_per_data_centre=options.vms, faults=False
    )
    try:
        elapsed_s = time.monotonic() - started
        print(f"{len(cluster.processes)} processes ready after {elapsed_s:.1f} s")
        async with Caller() as caller:
            results = await Demo(cluster, caller, options.seconds).run()
        return await report(cluster, results)
    finally:
        await cluster.stop()


def main() -> int:
    """Run the demo; the exit code tells whether there was an error."""
    parser = argparse.ArgumentParser("python -m bench.demo", description=__doc__)
    parser.add_argument("--deployment", default="comision", choices=sorted(_MIXTURES))
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--vms", type=int, default=3, help="VMs in each data centre")
    try:
        errors = uvloop.run(_main(parser.parse_args()))
    except BenchError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("demo: interrupted; everything it started is stopped", file=sys.stderr)
        return 130
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
