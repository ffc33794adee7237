"""Steps of tests/platform/attribution.feature and endless.feature."""

import asyncio
import contextlib
import json
import re
from collections import Counter
from pathlib import Path

from behave import given, then, when

from bench.processes import wait_until
from standins.routed.recording import Repeats
from tests.routed_world import caller_headers, configuration

IN_FORCE_WITHIN_S = 10.0
_MOST_TRIES = 30
_PATIENCE_S = 3.0
_NOT_RUN = frozenset({408, 421, 429, 503})


@given('"{name}" turns each {each:d}st request away')
@given('"{name}" turns each {each:d}nd request away')
def step_turns_away(context, name, each):
    endpoint = context.world.endpoints[name]
    endpoint.turns_away_each, endpoint.rest = each, "0"


@given('"{name}" names no request as it turns requests away')
def step_names_none(context, name):
    context.world.endpoints[name].names_refused = False


@given('"{name}" sends "{repeats}" again')
def step_repeats(context, name, repeats):
    context.world.endpoints[name].repeats = Repeats(repeats)


@given('the route "{name}" allows {attempts:d} attempts')
def step_attempts(context, name, attempts):
    routes = json.loads(configuration())["routes"]
    for route in routes:
        if route["name"] == name:
            route["attempts"] = attempts
    context.world.configure(routes=routes)
    version = context.world.version

    def is_in_force():
        adopted = context.vm.events("configuration_applied")
        return any(line["version"] == version for line in adopted)

    context.run(wait_until(is_in_force, IN_FORCE_WITHIN_S, "not in force"))


@when('callers send "{line}" {count:d} times in turn')
def step_in_turn(context, line, count):
    async def send(request_id):
        headers = caller_headers(request_id)
        return await context.vm.ask(f"{line} HTTP/1.1", headers, b"abc")

    async def send_all():
        ids = [f"a{number}" for number in range(count)]
        context.answer_by_id = {one: await send(one) for one in ids}

    context.resident_mb = _resident_mb(context.vm)
    context.run(asyncio.wait_for(send_all(), 60))


@when('callers send "{line}" until "{name}" has run one, beside "{other}"')
def step_beside(context, line, name, other):
    endpoint = context.world.endpoints[name]

    async def send(line, request_id):
        return await context.vm.ask(f"{line} HTTP/1.1", caller_headers(request_id))

    async def send_faulty():
        for number in range(_MOST_TRIES):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PATIENCE_S):
                    await send(line, f"f{number}")
            if any(seen.ran for seen in endpoint.seen):
                return
        raise AssertionError(f"{name} was never chosen")

    async def play():
        context.answer_by_id = {}
        faulty = asyncio.create_task(send_faulty())
        while not faulty.done() or not context.answer_by_id:
            request_id = f"o{len(context.answer_by_id)}"
            context.answer_by_id[request_id] = await send(other, request_id)
        await faulty

    context.resident_mb = _resident_mb(context.vm)
    context.run(play())


@then('each answer of "{line}" is whole, with the events {first:d} to {last:d}')
def step_beside_whole(context, line, first, last):
    del line
    step_events(context, first, last)


def _memory_mb(vm, field):
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+) kB", status)[1]) / 1024


def _resident_mb(vm):
    return _memory_mb(vm, "VmRSS")


def _runs_by_id(context):
    endpoints = context.world.endpoints.values()
    seen = [one for endpoint in endpoints for one in endpoint.seen if one.ran]
    return Counter(one.headers["request-id"] for one in seen)


def _statuses_of_runs(context):
    answers = context.answer_by_id
    return {one: answers[one].status for one in _runs_by_id(context)}


@then("no request that ran was answered as not run")
def step_true(context):
    statuses = _statuses_of_runs(context)
    assert statuses
    untrue = {one for one, status in statuses.items() if status in _NOT_RUN}
    assert not untrue, statuses


@then("no request has run twice")
def step_once(context):
    runs = _runs_by_id(context)
    assert max(runs.values()) == 1, runs


@then("each request that ran was answered {status:d}")
def step_all_answered(context, status):
    statuses = _statuses_of_runs(context)
    assert set(statuses.values()) == {status}, statuses


@then("each answer is {status:d}")
def step_each_status(context, status):
    found = {answer.status for answer in context.answer_by_id.values()}
    assert found == {status}, found


@then("each answer holds the events {first:d} to {last:d} once each")
def step_events(context, first, last):
    for answer in context.answer_by_id.values():
        assert answer.events == list(range(first, last + 1)), answer.data
        assert answer.is_whole, answer.data


@then("no VM has grown by more than {most:d} MB")
def step_memory(context, most):
    grown = _resident_mb(context.vm) - context.resident_mb
    assert grown <= most, grown


@then("no VM has ever grown by more than {most:d} MB")
def step_peak_memory(context, most):
    grown = _memory_mb(context.vm, "VmHWM") - context.resident_mb
    assert grown <= most, grown


@then('"{name}" has run some of them')
def step_has_run(context, name):
    assert any(seen.ran for seen in context.world.endpoints[name].seen)
