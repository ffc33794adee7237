"""Steps of the proof that an accepted job is never lost."""

from __future__ import annotations

import asyncio
import base64
import itertools
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from bench.balancer import balanced_caller
from bench.cluster import Cluster
from bench.evidence import collect_runs, engine_attempt, find_broken_promises
from tests.faults import until

if TYPE_CHECKING:
    from bench.caller import CallRecord

_MODEL = "modelo-bitacora"
_ORGANISATION = "puerto-tampico"
_TOKENS = 120
_END_S = 90
_SLOW_MS = 80
_STREAMING_TOKENS = 5
_OUTAGE_S = float(os.environ.get("PROOF_OUTAGE_S", "12"))
_FINAL = ("done", "failed", "unknown", "cancelled")


@dataclass(slots=True)
class _Job:
    prompt: str
    accepted: CallRecord
    step: str = ""
    state: str = ""
    runs: int = 0

    @property
    def job_id(self):
        return self.accepted.location.rpartition("/")[2]


@given("a never-lost proof with {count:d} VMs in each data centre")
def step_start(context, count):
    context.run(_start(context, count))
    context.add_cleanup(lambda: context.run(_stop(context)))


@given("a never-lost proof with {count:d} VMs in each data centre and a slow platform")
def step_start_slow(context, count):
    step_start(context, count)
    context.run(context.cluster.platform.control(delay_ms=_SLOW_MS))


async def _start(context, count):
    context.cluster = await Cluster.start(
        "comision", vms_per_data_centre=count, faults=False
    )
    context.key = context.cluster.organisation_key(_ORGANISATION)
    context.balancer, context.crowd, context.caller = balanced_caller(context.cluster)
    context.numbers = itertools.count()
    context.jobs = []
    context.refused = []


async def _stop(context):
    await context.crowd.close()
    await context.balancer.close()
    await context.caller.close()
    await context.cluster.stop()


async def _hand_in(context, vm, step=""):
    prompt = f"never lost {next(context.numbers)}"
    record = await context.caller.send(
        vm.url,
        context.key,
        service=_MODEL,
        work="trip-summary",
        prompt=prompt,
        output_tokens=_TOKENS,
        respond_async=True,
        timeout_ms=20_000,
    )
    if record.status == 202:
        context.jobs.append(_Job(prompt, record, step))
    else:
        context.refused.append((prompt, record))
    return record


async def _rows(context):
    """Return all jobs' records by id, whether archived or not."""
    rows = await context.cluster.platform.rows("jobs/")
    records = [msgspec.json.decode(base64.b64decode(row["value"])) for row in rows]
    return {each["job_id"]: each for each in records if "job_id" in each}


async def _runs_of(context, job):
    return [run for run in await _engine_runs(context) if run["tag"] == _tag(job)]


async def _engine_runs(context):
    engines = context.cluster.endpoints_of(_MODEL)
    found = await asyncio.gather(*(engine.runs() for engine in engines))
    return [run for runs in found for run in runs]


def _tag(job):
    return job.accepted.tag


# --- one step of a job after the other


async def _is_accepted(context, job, row):
    del context, job
    return row["state"] == "queued"


async def _is_claimed(context, job, row):
    del context, job
    return row["state"] == "running" and not row["stream_id"]


async def _is_placed(context, job, row):
    del context, job
    return bool(row["stream_id"])


async def _is_streaming(context, job, row):
    del row
    runs = await _runs_of(context, job)
    return any(run["generated"] > _STREAMING_TOKENS for run in runs)


async def _is_answered(context, job, row):
    del row
    runs = await _runs_of(context, job)
    return any(run["state"] == "finished" for run in runs)


_STEPS = {
    "accepted": _is_accepted,
    "claimed": _is_claimed,
    "placed": _is_placed,
    "streaming": _is_streaming,
    "answered": _is_answered,
}


@when("a VM of the never-lost proof is killed as a job is {step}")
def step_kill_at(context, step):
    context.run(_kill_at(context, step))


async def _kill_at(context, step):
    """Kill the VM that has a job in hand, at a step of the job's life."""
    vm = next(vm for vm in context.cluster.vms if vm.alive)
    handing_in = asyncio.create_task(_hand_in(context, vm, step))
    known = set(await _rows(context))
    holder = vm

    async def is_reached():
        nonlocal holder
        rows = await _rows(context)
        new = [row for job_id, row in rows.items() if job_id not in known]
        if not new:
            return False
        if new[0]["runner_vm"]:
            holder = context.cluster.vm(new[0]["runner_vm"])
        if step in ("accepted", "claimed", "placed"):
            return await _STEPS[step](context, None, new[0])
        await handing_in
        return await _STEPS[step](context, context.jobs[-1], new[0])

    await until(is_reached, timeout_s=20)
    if step == "accepted":
        await handing_in
    holder.kill()
    await handing_in


# --- all VMs


@when("each VM of the never-lost proof is killed in turn and started again under load")
def step_kill_each(context):
    async def kill_each():
        context.crowd.add(
            "job", lambda vm: _hand_in(context, vm), callers=3, pause_s=0.2
        )
        for vm in context.cluster.vms:
            await _until_carrying(context, vm)
            vm.kill()
            await vm.restart()
            await context.balancer.knows_ready(vm)

    context.run(kill_each())


async def _until_carrying(context, vm):
    """Wait until a job of this VM is being streamed."""

    async def is_carrying():
        rows = (await _rows(context)).values()
        return any(
            row["runner_vm"] == vm.vm_id
            and row["state"] == "running"
            and row["stream_id"]
            for row in rows
        )

    await until(is_carrying, timeout_s=20)


@then("each job of the never-lost proof ends truthfully while the load goes on")
def step_end_under_load(context):
    async def check():
        await _end_all(context, list(context.jobs))
        await context.crowd.finish()

    context.run(check())
    step_end(context)


# --- the platform away


@when("jobs of the never-lost proof are streaming")
def step_stream(context):
    async def stream():
        vms = context.cluster.vms
        await asyncio.gather(*(_hand_in(context, vm) for vm in vms * 2))

        async def all_run():
            runs = await _engine_runs(context)
            return len(runs) == len(context.jobs) == 2 * len(vms)

        await until(all_run, timeout_s=20)

    context.run(stream())


@when("the platform of the never-lost proof is away and a runner is killed")
def step_outage(context):
    async def outage():
        loop = asyncio.get_running_loop()
        over_at = loop.time() + _OUTAGE_S
        await context.cluster.platform.control(outage=True)
        rows = await _rows(context)
        runner = next(row["runner_vm"] for row in rows.values() if row["runner_vm"])
        context.cluster.vm(runner).kill()
        alive = [vm for vm in context.cluster.vms if vm.alive]
        await asyncio.gather(*(_hand_in(context, vm) for vm in alive))
        assert loop.time() < over_at, "the refusals took longer than the outage"
        await until(lambda: loop.time() >= over_at, timeout_s=_OUTAGE_S + 1)
        await context.cluster.platform.control(outage=False)

    context.run(outage())


@then("the never-lost proof's calls during the outage were truthfully refused")
def step_refused(context):
    assert context.refused
    attempts = [
        engine_attempt(record, prompt, _TOKENS) for prompt, record in context.refused
    ]
    for _, record in context.refused:
        assert record.outcome in ("not_run", "unknown"), record
        assert record.retry_after_ms > 0, record
    runs = context.run(collect_runs(context.cluster))
    broken = find_broken_promises(attempts, runs)
    assert not broken, "\n".join(broken)


# --- the ends


@then("each job of the never-lost proof ends truthfully")
def step_end(context):
    context.run(_end_truthfully(context))


async def _end_all(context, jobs):
    async def all_ended():
        rows = await _rows(context)
        for job in jobs:
            job.state = rows.get(job.job_id, {}).get("state", "lost")
        return all(job.state in _FINAL for job in jobs)

    try:
        await until(all_ended, timeout_s=_END_S)
    except AssertionError:
        rows = await _rows(context)
        stuck = [rows.get(job.job_id) for job in jobs if job.state not in _FINAL]
        raise AssertionError(f"{len(stuck)} jobs did not end: {stuck[:3]}") from None


async def _end_truthfully(context):
    await _end_all(context, context.jobs)
    rows = await _rows(context)
    marks = [run["tag"] for run in await _engine_runs(context)]
    vm = next(vm for vm in context.cluster.vms if vm.alive)
    for job in context.jobs:
        count = marks.count(_tag(job))
        assert count <= 1, f"{job.prompt} ran {count} times: {rows[job.job_id]}"
        if job.state == "done":
            answer = await context.caller.await_job(
                vm.url,
                context.key,
                job.accepted,
                prompt=job.prompt,
                output_tokens=_TOKENS,
            )
            assert answer.whole, (job.prompt, answer)
            assert count == 1, job
        elif rows[job.job_id]["outcome"] == "not_run":
            assert count == 0, rows[job.job_id]
        job.runs = count
    states = [job.state for job in context.jobs]
    print(f"never lost: { ({each: states.count(each) for each in set(states)}) }")


@then("each job of the never-lost proof that any engine ran is whole")
def step_whole(context):
    unknown = [job for job in context.jobs if job.state == "unknown"]
    assert len(unknown) <= len(context.cluster.vms), unknown
    _check_whole([job for job in context.jobs if job.runs or job not in unknown])


@then("the never-lost jobs killed as {steps} are whole")
def step_whole_steps(context, steps):
    names = steps.replace(" and ", ", ").split(", ")
    chosen = [job for job in context.jobs if job.step in names]
    assert chosen
    _check_whole(chosen)


def _check_whole(jobs):
    bad = [(job.prompt, job.step, job.state) for job in jobs if job.state != "done"]
    assert not bad, bad
