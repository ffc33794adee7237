"""A cluster under proof: it sends calls and keeps them as evidence."""

from __future__ import annotations

import asyncio
import itertools

from bench.caller import Caller
from bench.cluster import Cluster
from bench.evidence import (
    collect_runs,
    engine_attempt,
    find_broken_promises,
    plain_attempt,
)
from tests.faults import until

MODEL = "modelo-bitacora"
REGISTER = "registro-capturas"
CHECK = "entry-check"
QUESTION = "species-question"
SUBMISSION = "catch-submission"
LOOKUP = "lookup"
ORGANISATION = "puerto-tampico"
STRANGER = "puerto-veracruz"
PATIENCE_S = 30
SLOTS = 2


def keep_engines_small(deployment):
    """Give each engine few slots, so that a queue is soon there."""
    for branch in deployment.branches.values():
        for endpoint in branch.get("endpoints") or ():
            if endpoint["service"] == MODEL:
                endpoint["slots"] = SLOTS


class Proof:
    """Calls to one cluster, with what became of them.

    Args:
        cluster: The running cluster.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.caller = Caller()
        self.attempts = []
        self._numbers = itertools.count(1)

    @classmethod
    async def start(cls, deployment="comision", *, vms=2, edit=None):
        """Start a cluster of a deployment."""
        cluster = await Cluster.start(deployment, vms_per_data_centre=vms, edit=edit)
        return cls(cluster)

    async def stop(self):
        """End everything."""
        await self.caller.close()
        await self.cluster.stop()

    def name(self, kind):
        """Return a prompt, body or key that was never used before."""
        return f"{kind} {next(self._numbers)} of this proof"

    async def ask(
        self,
        vm,
        prompt,
        *,
        service=MODEL,
        work=CHECK,
        tokens=16,
        who=ORGANISATION,
        **call,
    ):
        """Ask a service of model engines through a VM."""
        record = await self.caller.send(
            vm.url,
            self.cluster.organisation_key(who),
            service=service,
            work=work,
            prompt=prompt,
            output_tokens=tokens,
            **call,
        )
        repeatable = work == QUESTION and not call.get("idempotency_key")
        attempt = engine_attempt(record, prompt, tokens, repeatable=repeatable)
        self.attempts.append(attempt)
        return record

    async def submit(
        self,
        vm,
        body,
        *,
        service=REGISTER,
        work=SUBMISSION,
        who=ORGANISATION,
        **call,
    ):
        """Call a plain service through a VM."""
        record = await self.caller.send_plain(
            vm.url,
            self.cluster.organisation_key(who),
            service=service,
            path="catches",
            body=body.encode(),
            work=work,
            **call,
        )
        self.attempts.append(plain_attempt(record, body.encode()))
        return record

    async def runs_of(self, record_or_mark):
        """Return the runs that bear a mark."""
        runs = await collect_runs(self.cluster)
        return [run for run in runs if run.mark == record_or_mark]

    async def fill_engines(self, vm, tokens):
        """Take all slots by long answers and return their tasks."""
        count = SLOTS * len(self.cluster.endpoints_of(MODEL))
        tasks = [
            asyncio.create_task(
                self.ask(vm, self.name("filler"), work="trip-summary", tokens=tokens)
            )
            for _ in range(count)
        ]
        await until(lambda: self._running(count), timeout_s=PATIENCE_S)
        return tasks

    async def _running(self, count):
        found = await asyncio.gather(
            *(item.runs() for item in self.cluster.endpoints_of(MODEL))
        )
        states = [run["state"] for runs in found for run in runs]
        return states.count("running") >= count

    async def until_streaming(self, mark, tokens=2):
        """Wait until an engine has made a few tokens of a request."""

        async def is_streaming():
            found = await asyncio.gather(
                *(item.runs() for item in self.cluster.endpoints)
            )
            return any(
                run.get("tag") == mark and run["generated"] > tokens
                for runs in found
                for run in runs
            )

        await until(is_streaming, timeout_s=PATIENCE_S)

    async def until_claimed(self, count):
        """Wait until so many keys are claimed in the table."""

        async def is_claimed():
            return len(await self.cluster.platform.rows("claims/")) >= count

        await until(is_claimed, timeout_s=PATIENCE_S)

    async def until_view(self, vm, holds):
        """Wait until a VM's view of the others satisfies a condition."""

        async def is_so():
            status = await vm.status()
            return holds({peer["id"] for peer in status["peers"]})

        await until(is_so, timeout_s=PATIENCE_S)

    async def broken_promises(self):
        """Judge all calls by what the endpoints ran."""
        runs = await collect_runs(self.cluster)
        return find_broken_promises(self.attempts, runs)
