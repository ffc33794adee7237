"""Steps of tests/bench."""

import hashlib
import os
import sys
import tempfile
from pathlib import Path

import psutil
import yaml
from aiohttp import web
from behave import given, then, when

from bench.caller import expected_text, send
from bench.deployment import (
    ROOT,
    Deployment,
    organisation_key,
    read_deployment,
)
from bench.ports import PortBlock
from bench.processes import BenchError, ManagedProcess, wait_until

PROMPT = "species code for gulf shrimp?"
LAUNCHER = """
import asyncio, os, sys
from pathlib import Path
from bench.processes import ManagedProcess
child = ManagedProcess("child", [sys.executable, "-c", "import time; time.sleep(600)"],
                       Path(sys.argv[1]), os.environ)
child.spawn()
print("ready", child.pid, flush=True)
asyncio.run(asyncio.sleep(600))
"""


async def _serve(context, handler):
    application = web.Application()
    application.router.add_post("/v1/chat/completions", handler)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    context.url = f"http://127.0.0.1:{port}"


@given("a bench server that streams {count:d} tokens of {whose} answer")
def step_stream_server(context, count, whose):
    prompt = PROMPT if whose == "the caller's own" else "another prompt"
    words = expected_text(prompt, count).split()

    async def answer(request):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for word in words:
            text = f'{{"choices":[{{"index":0,"delta":{{"content":"{word} "}}}}]}}'
            await response.write(f"data: {text}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        return response

    context.run(_serve(context, answer))


@given('a bench server that refuses with outcome "{outcome}" and reason "{reason}"')
def step_refusing_server(context, outcome, reason):
    async def answer(request):
        del request
        problem = {"outcome": outcome, "reason": reason, "retry_after_ms": 1500}
        return web.json_response(
            problem, status=503, content_type="application/problem+json"
        )

    context.run(_serve(context, answer))


@when("the bench caller asks for {count:d} tokens")
def step_ask(context, count):
    call = send(context.url, "k", service="s", prompt=PROMPT, output_tokens=count)
    context.record = context.run(call)


@when("the bench caller asks a closed port for {count:d} tokens")
def step_ask_closed(context, count):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    url = f"http://127.0.0.1:{ports.take()}"
    call = send(url, "k", service="s", prompt=PROMPT, output_tokens=count)
    context.record = context.run(call)


@then("the bench record is whole with {count:d} tokens")
def step_whole(context, count):
    assert context.record.whole, context.record
    assert context.record.tokens == count


@then("the bench record has a first token time and {count:d} gaps")
def step_times(context, count):
    assert context.record.ttft_ms >= 0
    # The closing event may come on its own and counts as one more gap.
    assert len(context.record.gaps_ms) in (count, count + 1)


@then("the bench record is not whole")
def step_not_whole(context):
    assert not context.record.whole


@then('the bench record has outcome "{outcome}" and reason "{reason}"')
def step_refused(context, outcome, reason):
    assert (context.record.outcome, context.record.reason) == (outcome, reason)


@then("the bench record says to come back after {expected:d} ms")
def step_retry_after(context, expected):
    assert context.record.retry_after_ms == expected


@then("the bench record has status {status:d} and an error")
def step_error(context, status):
    assert context.record.status == status
    assert context.record.error


def _child(context, code, *arguments):
    folder = Path(tempfile.mkdtemp())
    environment = dict(os.environ, PYTHONPATH=f"{ROOT}/src:{ROOT}")
    command = [sys.executable, "-u", "-c", code, *arguments]
    context.child = ManagedProcess("child", command, folder / "log", environment)
    context.add_cleanup(context.child.kill)
    context.child.spawn()


@given("a bench child that says ready and waits")
def step_waiting_child(context):
    _child(context, "import time; print('ready'); time.sleep(600)")


@given('a bench child that prints "{text}" and ends')
def step_failing_child(context, text):
    _child(context, f"print({text!r})")


@given("a launcher process with a bench child of its own")
def step_launcher(context):
    log = Path(tempfile.mkdtemp()) / "grandchild"
    _child(context, LAUNCHER, str(log))
    context.run(context.child.wait_for_line("ready"))
    context.grandchild = int(context.child.log_text().split()[1])


@when("the bench awaits its ready line")
def step_await_ready(context):
    context.run(context.child.wait_for_line("ready"))


@when("the bench kills the child")
def step_kill(context):
    context.child.kill()


@when("the bench freezes and kills the child")
def step_freeze_and_kill(context):
    context.child.freeze()
    context.child.kill()


@when("the launcher process is killed")
def step_kill_launcher(context):
    context.child.kill()


@then("the bench child is alive")
def step_alive(context):
    assert context.child.alive


@then("the bench child is gone")
def step_gone(context):
    assert not context.child.alive
    assert not psutil.pid_exists(context.child.pid)


@then("the launcher's bench child ends")
def step_grandchild_gone(context):
    def gone():
        try:
            state = psutil.Process(context.grandchild).status()
        except psutil.NoSuchProcess:
            return True
        return state == psutil.STATUS_ZOMBIE

    context.run(wait_until(gone, 10, "the child lives on"))


@then('awaiting its ready line fails with "{text}"')
def step_ready_fails(context, text):
    try:
        context.run(context.child.wait_for_line("ready"))
    except BenchError as error:
        assert text in str(error)
        return
    raise AssertionError("no failure was told")


@when("two bench port blocks take {count:d} ports each")
def step_two_blocks(context, count):
    context.ports = []
    for _ in range(2):
        block = PortBlock()
        context.add_cleanup(block.close)
        context.ports.extend(block.take() for _ in range(count))


@then("all {count:d} bench ports differ")
def step_ports_differ(context, count):
    assert len(set(context.ports)) == count


@given(
    'a bench deployment with endpoint "{endpoint}" of data centre "{data_centre}" '
    'in team "{team}"'
)
def step_deployment(context, endpoint, data_centre, team):
    declared = {"endpoint_id": endpoint, "service": "s", "data_centre": data_centre}
    context.deployment = Deployment(
        "small",
        {
            team: {
                "services": [{"name": "s", "kind": "engine", "model": "m"}],
                "endpoints": [declared],
                "organisations": [{"name": "org"}],
            }
        },
    )


@when('the bench sets the address of "{endpoint}" to "{address}" and writes the tree')
def step_write_tree(context, endpoint, address):
    context.deployment.set_addresses({endpoint: address})
    context.deployment.set_keys()
    context.tree = Path(tempfile.mkdtemp())
    context.deployment.write(context.tree)


def _branch(context, team):
    return yaml.safe_load((context.tree / team / "branch.yaml").read_text())


@then('the written bench branch "{team}" has endpoint "{endpoint}" at "{address}"')
def step_written_address(context, team, endpoint, address):
    (declared,) = _branch(context, team)["endpoints"]
    assert (declared["endpoint_id"], declared["address"]) == (endpoint, address)


@then('the written bench branch "{team}" knows the digest of its organisation\'s key')
def step_written_digest(context, team):
    (organisation,) = _branch(context, team)["organisations"]
    digest = hashlib.sha256(organisation_key("org").encode()).hexdigest()
    assert organisation["key_sha256"] == digest


@then('reading the bench deployment "{name}" fails')
def step_no_deployment(context, name):
    del context
    try:
        read_deployment(name)
    except BenchError:
        return
    raise AssertionError("an unknown deployment was read")
