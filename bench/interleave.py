"""``python -m bench.interleave``: many interleaved answers, each checked to be own.

Streamed, joined, repeated, cancelled, late and asynchronous calls of several
organisations run at once over all VMs; every answer is compared with the only
right one, and every run with the answers.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations
from typing import TYPE_CHECKING

import uvloop
from tqdm import tqdm

from bench.caller import Caller, CallRecord
from bench.cluster import Cluster
from bench.evidence import (
    Attempt,
    collect_runs,
    engine_attempt,
    find_false_not_runs,
    find_second_runs,
    find_wrong_answers,
    plain_attempt,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.deployment import Deployment
    from bench.vms import Vm

_MODEL = "modelo-bitacora"
_REGISTER = "registro-capturas"
_QUESTION = "species-question"
_CHECK = "entry-check"
_SUMMARY = "trip-summary"
_SLOTS = 40
_DECODE_TOKENS_PER_S = (400, 250, 160)
_PREFILL_TOKENS_PER_S = 60_000
_MOST_DELAY_MS = 20
_LEAVE_MS = (10, 250)
_LATE_MS = (40, 300)
_TOKENS = (1, 60)
_PROMPT_REPEATS = (1, 40)
_DEFAULT_STREAMS = 10_000
_DEFAULT_CONCURRENCY = 200


class Manner(StrEnum):
    """How one logical request is made."""

    STREAM = "stream"
    JOINED = "joined"
    RESUMED = "resumed"
    TWIN = "twin"
    SAME_KEY = "same_key"
    CANCELLED = "cancelled"
    LATE = "late"
    JOB = "job"
    PLAIN = "plain"


_WEIGHTS = {
    Manner.STREAM: 30,
    Manner.JOINED: 14,
    Manner.RESUMED: 14,
    Manner.TWIN: 6,
    Manner.SAME_KEY: 6,
    Manner.CANCELLED: 12,
    Manner.LATE: 10,
    Manner.JOB: 2,
    Manner.PLAIN: 6,
}


@dataclass(slots=True)
class InterleaveReport:
    """What came of a run.

    Attributes:
        streams: Logical requests.
        attempts: All calls, as evidence.
        by_manner: Logical requests by manner.
        unserved: Calls that should have been answered whole and were not.
        wrong: Answers that are not the caller's own.
        second_runs: Requests that ran twice though they may not.
        false_not_runs: Answers of "not run" that were false.
        elapsed_s: Time of the run.
    """

    streams: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    by_manner: Counter[Manner] = field(default_factory=Counter)
    unserved: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    second_runs: list[str] = field(default_factory=list)
    false_not_runs: list[str] = field(default_factory=list)
    elapsed_s: float = 0.0

    @property
    def broken(self) -> list[str]:
        """All broken promises."""
        return self.wrong + self.second_runs + self.false_not_runs

    def line(self) -> str:
        """Return the plain line of figures."""
        records = [item.record for item in self.attempts]
        whole = sum(record.whole for record in records)
        ended = Counter(record.outcome for record in records if record.outcome)
        ends = " ".join(f"{name}={count}" for name, count in sorted(ended.items()))
        manners = " ".join(f"{name}={self.by_manner[name]}" for name in Manner)
        return (
            f"interleave streams={self.streams} calls={len(records)} whole={whole} "
            f"{manners} {ends} unserved={len(self.unserved)} foreign={len(self.wrong)} "
            f"second_runs={len(self.second_runs)} "
            f"false_not_run={len(self.false_not_runs)} elapsed_s={self.elapsed_s:.1f}"
        ).replace("  ", " ")


def speed_up(deployment: Deployment) -> None:
    """Give engines many slots and unlike speeds, and organisations room."""
    for branch in deployment.branches.values():
        for number, endpoint in enumerate(branch.get("endpoints") or ()):
            if endpoint["service"] == _MODEL:
                speed = _DECODE_TOKENS_PER_S[number % len(_DECODE_TOKENS_PER_S)]
                endpoint["slots"] = _SLOTS
                endpoint["decode_tokens_per_s"] = speed
                endpoint["prefill_tokens_per_s"] = _PREFILL_TOKENS_PER_S
                endpoint["kv_tokens"] = 400_000


class Interleaving:
    """Makes the calls of one run.

    Args:
        cluster: A running cluster whose engines were sped up.
        seed: Decides all that is random.
        concurrency: Logical requests under way at one time.
    """

    def __init__(self, cluster: Cluster, seed: int, concurrency: int) -> None:
        self._cluster = cluster
        self._random = random.Random(seed)
        self._concurrency = concurrency
        self._caller = Caller()
        self._report = InterleaveReport()
        self._organisations = cluster.deployment.organisations()

    async def run(
        self, streams: int, on_end: Callable[[], object] = lambda: None
    ) -> InterleaveReport:
        """Make so many logical requests and judge them."""
        started = time.monotonic()
        await self._delay_links()
        numbers = iter(range(streams))

        async def work() -> None:
            for number in numbers:
                await self._request(number)
                on_end()

        async with self._caller:
            await asyncio.gather(*(work() for _ in range(self._concurrency)))
        report = self._report
        report.streams = streams
        report.elapsed_s = time.monotonic() - started
        runs = await collect_runs(self._cluster)
        report.wrong = find_wrong_answers(report.attempts)
        report.second_runs = find_second_runs(report.attempts, runs)
        report.false_not_runs = find_false_not_runs(report.attempts, runs)
        return report

    async def _delay_links(self) -> None:
        """Let messages between data centres overtake each other."""
        for one, other in combinations(self._cluster.data_centres, 2):
            delay_ms = self._random.randint(1, _MOST_DELAY_MS)
            await self._cluster.network.set_between(one, other, delay_ms=delay_ms)

    async def _request(self, number: int) -> None:
        choose = self._random
        manners = list(_WEIGHTS)
        (manner,) = choose.choices(manners, [_WEIGHTS[item] for item in manners])
        self._report.by_manner[manner] += 1
        prompt = f"request {number} asks " * choose.randint(*_PROMPT_REPEATS)
        call = _Call(self, number, prompt, choose)
        await _MAKERS[manner](call)

    def vms(self, count: int) -> list[Vm]:
        """Return different VMs."""
        return self._random.sample(self._cluster.vms, count)

    def organisations(self, count: int) -> list[str]:
        """Return different organisations."""
        return self._random.sample(self._organisations, count)

    async def ask(
        self, organisation: str, vm: Vm, prompt: str, tokens: int, **call: object
    ) -> CallRecord:
        """Ask the model service and keep the evidence."""
        key = self._cluster.organisation_key(organisation)
        record = await self._caller.send(
            vm.url, key, service=_MODEL, prompt=prompt, output_tokens=tokens, **call
        )
        if record.location:
            record = await self._caller.await_job(
                vm.url, key, record, prompt=prompt, output_tokens=tokens
            )
        repeatable = call.get("work") == _QUESTION and not call.get("idempotency_key")
        attempt = engine_attempt(record, prompt, tokens, repeatable=repeatable)
        self._report.attempts.append(attempt)
        return record

    async def submit(self, organisation: str, vm: Vm, body: bytes) -> CallRecord:
        """Call the plain service and keep the evidence."""
        key = self._cluster.organisation_key(organisation)
        record = await self._caller.send_plain(
            vm.url, key, service=_REGISTER, path="catches", body=body
        )
        attempt = plain_attempt(record, body)
        if record.whole and f'"echo_digest":"{attempt.mark}"' not in record.text:
            self._report.wrong.append(f"{record.request_id}: foreign {record.text}")
        self._report.attempts.append(attempt)
        return record

    def expect_whole(self, manner: Manner, *records: CallRecord) -> None:
        """Note calls that nothing kept from being answered."""
        self._report.unserved += [
            f"{manner} {record.brief()}" for record in records if not record.whole
        ]


class _Call:
    """One logical request: its own prompt, organisation and length."""

    def __init__(
        self, run: Interleaving, number: int, prompt: str, choose: random.Random
    ) -> None:
        self.run = run
        self.prompt = prompt
        self.key = f"key of {number}"
        self.tokens = choose.randint(*_TOKENS)
        self.work = choose.choice((_QUESTION, _CHECK))
        self.leave_ms = choose.randint(*_LEAVE_MS)
        self.late_ms = choose.randint(*_LATE_MS)
        (self.organisation,) = run.organisations(1)
        self.vms = run.vms(2)

    async def ask(self, *, vm: int = 0, **call: object) -> CallRecord:
        """Make the call, with all that is not said taken from here."""
        call.setdefault("work", self.work)
        return await self.run.ask(
            self.organisation, self.vms[vm], self.prompt, self.tokens, **call
        )


async def _stream(call: _Call) -> None:
    call.run.expect_whole(Manner.STREAM, await call.ask())


async def _joined(call: _Call) -> None:
    call.run.expect_whole(Manner.JOINED, await call.ask(stream=False))


async def _resumed(call: _Call) -> None:
    """Leave in the middle and come back to another VM with the key."""
    await call.ask(idempotency_key=call.key, timeout_ms=call.leave_ms)
    record = await call.ask(vm=1, idempotency_key=call.key)
    call.run.expect_whole(Manner.RESUMED, record)


async def _twin(call: _Call) -> None:
    """Send the same call to two VMs at once."""
    records = await asyncio.gather(
        *(call.ask(vm=number, idempotency_key=call.key) for number in range(2))
    )
    call.run.expect_whole(Manner.TWIN, *records)


async def _same_key(call: _Call) -> None:
    """Let two organisations use one key at once for requests of their own."""
    prompts = [f"{call.prompt}{name}" for name in ("one", "other")]
    records = await asyncio.gather(
        *(
            call.run.ask(
                name,
                vm,
                prompt,
                call.tokens,
                work=call.work,
                idempotency_key=call.key,
            )
            for name, vm, prompt in zip(
                call.run.organisations(2), call.vms, prompts, strict=True
            )
        )
    )
    call.run.expect_whole(Manner.SAME_KEY, *records)


async def _cancelled(call: _Call) -> None:
    await call.ask(timeout_ms=call.leave_ms)


async def _late(call: _Call) -> None:
    await call.ask(deadline_ms=call.late_ms)


async def _job(call: _Call) -> None:
    record = await call.ask(work=_SUMMARY, respond_async=True)
    call.run.expect_whole(Manner.JOB, record)


async def _plain(call: _Call) -> None:
    record = await call.run.submit(call.organisation, call.vms[0], call.prompt.encode())
    call.run.expect_whole(Manner.PLAIN, record)


_MAKERS = {
    Manner.STREAM: _stream,
    Manner.JOINED: _joined,
    Manner.RESUMED: _resumed,
    Manner.TWIN: _twin,
    Manner.SAME_KEY: _same_key,
    Manner.CANCELLED: _cancelled,
    Manner.LATE: _late,
    Manner.JOB: _job,
    Manner.PLAIN: _plain,
}


class GatewayKills:
    """Kills gateways at even distances through a run and starts them again.

    Args:
        cluster: Whose VMs die, one after the other.
        streams: Logical requests of the run.
        kills: How many die.
    """

    def __init__(self, cluster: Cluster, streams: int, kills: int) -> None:
        self._vms = cluster.vms
        self._ended = 0
        self._at = {
            streams * (number + 1) // (kills + 1): number for number in range(kills)
        }

    def note_end(self) -> None:
        """Count a logical request that has ended."""
        self._ended += 1
        number = self._at.get(self._ended)
        if number is not None:
            victim = self._vms[number % len(self._vms)]
            victim.kill()
            victim.spawn()


async def interleave(
    streams: int, seed: int, concurrency: int, kills: int
) -> InterleaveReport:
    """Start a cluster, run once and stop it."""
    cluster = await Cluster.start("comision", vms_per_data_centre=2, edit=speed_up)
    async with cluster:
        run = Interleaving(cluster, seed, concurrency)
        killing = GatewayKills(cluster, streams, kills)
        with tqdm(total=streams, file=sys.stderr, unit="stream") as bar:

            def on_end() -> None:
                bar.update()
                killing.note_end()

            return await run.run(streams, on_end)


def main() -> int:
    """Run from the command line; 1 where a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--streams", type=int, default=_DEFAULT_STREAMS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--concurrency", type=int, default=_DEFAULT_CONCURRENCY)
    parser.add_argument("--kills", type=int, default=0)
    flags = parser.parse_args()
    report = uvloop.run(
        interleave(flags.streams, flags.seed, flags.concurrency, flags.kills)
    )
    for broken in [*report.broken[:20], *report.unserved[:20]]:
        print(broken)
    print(report.line())
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(main())
