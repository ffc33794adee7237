"""Makes the planned calls at their times and records what callers got.

Callers are open-loop; a job's caller asks for its state at any VM.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import aiohttp

from bench.caller import Caller, answer_text
from bench.chaos.plan import Manner
from bench.chaos.records import FINAL_JOB_STATES, CallResult, JobEnd

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.caller import CallRecord
    from bench.chaos.balancer import Balancer
    from bench.chaos.plan import PlannedCall
    from bench.chaos.records import Evidence
    from bench.cluster import Cluster

_PATIENCE_MS = 45_000
_GRACE_MS = 5_000
_POLL_S = 0.4
_READ_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
_FAILURES = (aiohttp.ClientError, TimeoutError)


class Load:
    """Callers of one run.

    Args:
        cluster: Gives the organisations' keys.
        balancer: Picks the VM of each call.
        evidence: Takes the results.
    """

    def __init__(
        self, cluster: Cluster, balancer: Balancer, evidence: Evidence
    ) -> None:
        self._cluster = cluster
        self._balancer = balancer
        self._evidence = evidence
        self._caller = Caller()
        self._session = aiohttp.ClientSession(timeout=_READ_TIMEOUT)
        self._random = random.Random(0)
        self._give_up = asyncio.Event()

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()
        await self._session.close()

    def start(
        self, calls: Sequence[PlannedCall], started_at: float
    ) -> list[asyncio.Task[None]]:
        """Begin all calls; each task ends with its caller's end."""
        return [asyncio.create_task(self._run_one(call, started_at)) for call in calls]

    def give_up(self) -> None:
        """Let callers of open jobs read the state once more and end."""
        self._give_up.set()

    async def _run_one(self, call: PlannedCall, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + call.at_s - loop.time()))
        vm = self._balancer.pick(call.vm)
        record = await self._send(call, vm.url)
        result = CallResult(call, vm.vm_id, vm.data_centre, record)
        self._evidence.results.append(result)
        if call.manner is Manner.JOB and record.status == 202:
            result.job = JobEnd(record.location)
            await self._follow_job(call, result.job)

    async def _send(self, call: PlannedCall, url: str) -> CallRecord:
        key = self._cluster.organisation_key(call.organisation)
        patience_ms = call.leaves_after_ms or min(
            call.deadline_ms + _GRACE_MS, _PATIENCE_MS
        )
        if call.manner is Manner.PLAIN:
            return await self._caller.send_plain(
                url,
                key,
                service=call.service,
                path=call.path,
                method="GET" if call.idempotent else "POST",
                body=b"" if call.idempotent else call.group.encode(),
                work=call.work,
                idempotency_key=call.key,
                timeout_ms=patience_ms,
            )
        return await self._caller.send(
            url,
            key,
            service=call.service,
            work=call.work,
            prompt=call.prompt,
            output_tokens=call.answer_tokens,
            stream=call.manner is Manner.STREAM,
            idempotency_key=call.key,
            respond_async=call.manner is Manner.JOB,
            timeout_ms=patience_ms,
        )

    async def _follow_job(self, call: PlannedCall, job: JobEnd) -> None:
        headers = {
            "Authorization": "Bearer "
            + self._cluster.organisation_key(call.organisation)
        }
        if call.cancel_after_s:
            await asyncio.sleep(call.cancel_after_s)
            await self._cancel(job, headers)
        while not await self._read_job(job, headers):
            if self._give_up.is_set():
                return
            await asyncio.sleep(_POLL_S)

    async def _read_job(self, job: JobEnd, headers: dict[str, str]) -> bool:
        """Read the job's state at any VM; true once it has ended."""
        url = self._any_url()
        try:
            async with self._session.get(
                url + job.location, headers=headers
            ) as response:
                job.last_status = response.status
                if response.status != 200:
                    return False
                found = await response.json(content_type=None)
            job.state = found.get("state", "")
            job.outcome = found.get("outcome") or ""
            job.reason = found.get("reason") or ""
            if job.state == "done":
                return await self._read_answer(url, job, headers)
        except _FAILURES:
            return False
        return job.state in FINAL_JOB_STATES

    async def _read_answer(
        self, url: str, job: JobEnd, headers: dict[str, str]
    ) -> bool:
        """Read the answer; false while the platform cannot give it."""
        async with self._session.get(
            f"{url}{job.location}/answer", headers=headers
        ) as response:
            if response.status >= 500:
                return False
            text = await response.text()
        job.answer = answer_text(text.encode())
        return True

    async def _cancel(self, job: JobEnd, headers: dict[str, str]) -> None:
        url = self._any_url() + job.location
        try:
            async with self._session.delete(url, headers=headers):
                pass
        except _FAILURES:
            return

    def _any_url(self) -> str:
        return self._balancer.pick(self._random.randrange(64)).url
