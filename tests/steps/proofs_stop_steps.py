"""Steps of the proof that a planned stop cuts and refuses nothing."""

from __future__ import annotations

import asyncio
import itertools
import os
from dataclasses import dataclass

from behave import given, then, when

from bench.balancer import balanced_caller
from bench.cluster import Cluster
from bench.evidence import collect_runs
from tests.faults import until

_MODEL = "modelo-bitacora"
_REGISTER = "registro-capturas"
_ORGANISATION = "puerto-tampico"
_CHECK_TOKENS = 12
_JOB_TOKENS = 150
_EXIT_S = 120
_VMS = int(os.environ.get("PROOF_VMS", "2"))
_STREAM_TOKENS = int(os.environ.get("PROOF_STREAM_TOKENS", "240"))
_GRACE_MS = os.environ.get("PROOF_GRACE_MS", "1500")
_DRAIN_MS = os.environ.get("PROOF_DRAIN_MS", "3600000")


@dataclass(frozen=True, slots=True)
class _Stop:
    vm_id: str
    was_delegate: bool
    scheduled: tuple[str, ...]
    schedulers_after: dict[str, str]
    delegates_after: tuple[str, ...]
    exit_code: int
    log: str


@given("a stop proof whose callers send checks, catches, long streams and jobs")
def step_start(context):
    context.run(_start(context))
    context.add_cleanup(lambda: context.run(_stop(context)))


async def _start(context):
    flags = ("--drain-grace-ms", _GRACE_MS, "--drain-timeout-ms", _DRAIN_MS)
    cluster = await Cluster.start(
        "comision", vms_per_data_centre=_VMS, faults=False, extra_flags=flags
    )
    context.cluster = cluster
    context.key = cluster.organisation_key(_ORGANISATION)
    context.balancer, context.crowd, context.caller = balanced_caller(cluster)
    context.numbers = itertools.count()
    context.jobs = []
    add = context.crowd.add
    add("check", lambda vm: _ask(context, vm), callers=4, pause_s=0.05)
    add("catch", lambda vm: _submit(context, vm), callers=2, pause_s=0.05)
    add("stream", lambda vm: _stream(context, vm), callers=2 * len(cluster.vms))
    add("job", lambda vm: _hand_in(context, vm), callers=1, pause_s=0.5)
    await until(lambda: len(context.crowd.records["check"]) > 20, timeout_s=30)


async def _stop(context):
    await context.crowd.close()
    await context.balancer.close()
    await context.caller.close()
    await context.cluster.stop()


def _ask(context, vm, work="entry-check", tokens=_CHECK_TOKENS, **call):
    return context.caller.send(
        vm.url,
        context.key,
        service=_MODEL,
        work=work,
        prompt=f"stop proof {work} {next(context.numbers)}",
        output_tokens=tokens,
        **call,
    )


def _stream(context, vm):
    return _ask(context, vm, "trip-summary", _STREAM_TOKENS, timeout_ms=300_000)


def _submit(context, vm):
    return context.caller.send_plain(
        vm.url,
        context.key,
        service=_REGISTER,
        work="catch-submission",
        body=f"stop proof catch {next(context.numbers)}".encode(),
    )


async def _hand_in(context, vm):
    prompt = f"stop proof job {next(context.numbers)}"
    record = await context.caller.send(
        vm.url,
        context.key,
        service=_MODEL,
        work="trip-summary",
        prompt=prompt,
        output_tokens=_JOB_TOKENS,
        respond_async=True,
    )
    if record.status == 202:
        context.jobs.append((prompt, record))
    return record


@when("each VM of the stop proof is stopped in turn and replaced")
def step_stop_each(context):
    async def stop_each():
        context.stops = [await _replace(context, vm) for vm in context.cluster.vms]
        await context.crowd.finish()

    context.run(stop_each())


async def _replace(context, vm):
    before = (await vm.status())["roles"]
    vm.terminate()
    code = await vm.wait_exit(_EXIT_S)
    other = next(each for each in context.cluster.vms if each is not vm)
    after = (await other.status())["roles"]
    delegates = [
        each.vm_id
        for each in context.cluster.vms_in(vm.data_centre)
        if each is not vm and (await each.status())["roles"]["delegate"]
    ]
    stop = _Stop(
        vm_id=vm.vm_id,
        was_delegate=before["delegate"],
        scheduled=tuple(s for s, who in before["services"].items() if who == vm.vm_id),
        schedulers_after=after["services"],
        delegates_after=tuple(delegates),
        exit_code=code,
        log=vm.log_text(),
    )
    await vm.restart()
    await context.balancer.knows_ready(vm)
    return stop


@then("no call of the stop proof was cut or refused")
def step_none_cut(context):
    records = context.crowd.records
    bad = [
        (name, record)
        for name, made in records.items()
        for record in made
        if not _is_good(name, record)
    ]
    counts = {name: len(made) for name, made in records.items()}
    print(f"stop proof: calls {counts}, cut or refused {len(bad)}")
    shown = "\n".join(f"{name}: {_brief(record)}" for name, record in bad[:10])
    assert not bad, f"{len(bad)} of {counts}:\n{shown}"


def _is_good(name, record):
    if name == "job":
        return record.status == 202 and not record.error
    return record.status == 200 and record.whole and not record.error


def _brief(record):
    return (
        f"{record.status} {record.outcome} {record.reason} {record.error} "
        f"after {record.total_ms:.0f} ms, {record.tokens} tokens {record.text[:120]}"
    )


@then("each job of the stop proof was run once and answered whole")
def step_jobs(context):
    async def check():
        url = context.cluster.vms[0].url
        assert context.jobs
        for prompt, accepted in context.jobs:
            answer = await context.caller.await_job(
                url,
                context.key,
                accepted,
                prompt=prompt,
                output_tokens=_JOB_TOKENS,
            )
            assert answer.whole, (prompt, answer)
        runs = [run.mark for run in await collect_runs(context.cluster)]
        for prompt, accepted in context.jobs:
            assert runs.count(accepted.tag) == 1, (prompt, runs.count(accepted.tag))
        print(f"stop proof: {len(context.jobs)} jobs, each run once")

    context.run(asyncio.wait_for(check(), 120))


@then("each stopped VM of the stop proof had handed its roles over")
def step_roles(context):
    for stop in context.stops:
        assert stop.exit_code == 0, stop
        for service in stop.scheduled:
            assert f"scheduler_role service={service} held=False" in stop.log, stop
        assert stop.vm_id not in stop.schedulers_after.values(), stop
        if stop.was_delegate and _VMS > 1:
            assert "held=False" in stop.log.split("delegate_role")[-1], stop
        assert stop.delegates_after or _VMS == 1, stop


@then("the roles of the stop proof were all held by a stopped VM once")
def step_roles_covered(context):
    scheduled = {service for stop in context.stops for service in stop.scheduled}
    assert scheduled == {_MODEL, _REGISTER}, scheduled
    assert any(stop.was_delegate for stop in context.stops)
