"""Steps of tests/platform/hostile_callers.feature."""

import asyncio
import json
import os
import re
from pathlib import Path

from behave import given, then, when

from tests.hostile_callers import FORMS, Crowd
from tests.routed_world import caller_headers, configuration

GIVE_UP_S = 120.0
"""Only ends what would hang."""

LOOK_S = 0.4
BUSY_SHARE = 0.25
"""Share of a core above which a VM still works through what it was sent."""


@given("callers may send bodies of {size:d} bytes and wait for {wait_ms:d} ms")
def step_limits(context, size, wait_ms):
    document = json.loads(configuration())
    limits = document["limits"] | {"maxBodyBytes": size}
    routes = [route | {"timeoutMs": wait_ms} for route in document["routes"]]
    context.world.configure(limits=limits, routes=routes)
    context.wait_ms = wait_ms


@given("a platform VM with {memory:d} MB of memory and {descriptors:d} descriptors")
def step_small_vm(context, memory, descriptors):
    context.world.limits = {"memoryMb": memory, "maxFds": descriptors}
    context.vm = context.run(context.world.add_vm())


@when('{count:d} callers send "{what}", and stay')
def step_crowd(context, count, what):
    context.crowd = Crowd(context.vm.ip, context.vm.front.port)
    context.add_cleanup(context.crowd.close)
    sending = context.crowd.send(count, FORMS[what]())
    context.run(asyncio.wait_for(sending, GIVE_UP_S))


def _cpu_s(vm):
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


async def _until_idle(vm):
    """Wait until a VM has worked through what it was sent."""
    async with asyncio.timeout(GIVE_UP_S):
        busy_s = LOOK_S
        while busy_s > BUSY_SHARE * LOOK_S:
            before_s = _cpu_s(vm)
            await asyncio.sleep(LOOK_S)
            busy_s = _cpu_s(vm) - before_s


@then("the VM lives, and has never used over {most:d} MB")
def step_peak(context, most):
    assert context.vm.process.returncode is None, context.vm.process.returncode
    context.run(_until_idle(context.vm))
    status = Path(f"/proc/{context.vm.process.pid}/status").read_text()
    peak_mb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
    assert peak_mb <= most, peak_mb


@then("it has at most {most:d} descriptors open")
def step_descriptors(context, most):
    descriptors = list(Path(f"/proc/{context.vm.process.pid}/fd").iterdir())
    assert len(descriptors) <= most, len(descriptors)


@then("it has taken at most {most:d} MB")
def step_taken(context, most):
    taken_mb = context.crowd.sent_bytes / 1_000_000
    assert taken_mb <= most, taken_mb


@then("an ordinary request is answered")
def step_ordinary(context):
    headers = caller_headers("ordinary", deadline_ms=context.wait_ms)
    answer = context.run(context.vm.ask("GET /plain/a HTTP/1.1", headers))
    assert answer.status == 200, answer.data


@when("a caller sends a head of {head:d} bytes and a body of {body:d}")
def step_large(context, head, body):
    headers = caller_headers("large", deadline_ms=context.wait_ms)
    headers.append("x-filler: " + "x" * (head - len("".join(headers)) - 200))
    line = "POST /plain/a HTTP/1.1"
    context.large = context.run(context.vm.ask(line, headers, b"x" * body))
    context.large_bytes = body


@then("the large request was answered, and ran with its whole body")
def step_large_answered(context):
    assert context.large.status == 200, context.large.data
    [seen] = [
        one
        for one in context.world.endpoints["p1"].seen
        if one.headers.get("request-id") == "large"
    ]
    assert len(seen.body) == context.large_bytes, len(seen.body)
