"""Steps of tests/bench for processes, clusters and the commands that run them."""

import os
import signal
import sys
import tempfile
from pathlib import Path

import psutil
from behave import given, then, when

from bench.caller import send
from bench.cluster import Cluster, child_environment
from bench.deployment import ROOT
from bench.processes import BenchError, ManagedProcess, wait_until

PROMPT = "species code for gulf shrimp?"
RUN_TIMEOUT_S = 120
INTERRUPTED = 130
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


@given('a bench cluster of "{name}" with {count:d} VM in each data centre and faults')
def step_cluster(context, name, count):
    context.cluster = context.run(Cluster.start(name, vms_per_data_centre=count))
    context.add_cleanup(context.cluster.close)


@when("the bench caller asks every VM of the cluster for an entry check")
def step_ask_cluster(context):
    cluster = context.cluster
    key = cluster.organisation_key("puerto-tampico")
    context.records = [
        context.run(
            send(
                vm.url,
                key,
                service="modelo-bitacora",
                work="entry-check",
                prompt=PROMPT,
                output_tokens=3,
            )
        )
        for vm in cluster.vms
    ]


@then("all bench answers are whole")
def step_all_whole(context):
    assert all(record.whole for record in context.records), context.records


@when('the bench cuts "{one}" off from "{other}" and from the platform')
def step_cut(context, one, other):
    context.run(context.cluster.cut(one, other))
    context.run(context.cluster.cut_platform(one))


@when("the bench heals all links")
def step_heal(context):
    context.run(context.cluster.heal())


@when('the bench restarts the VM "{name}"')
def step_restart(context, name):
    context.run(context.cluster.vm(name).restart())


@when("the bench cluster is stopped")
def step_stop_cluster(context):
    context.run(context.cluster.stop())


@then("no process of the bench cluster is left")
def step_none_left(context):
    assert not any(process.alive for process in context.cluster.processes)


@then('starting a bench cluster of "{name}" fails')
def step_no_cluster(context, name):
    try:
        context.run(Cluster.start(name))
    except BenchError:
        return
    raise AssertionError("a cluster of nothing was started")


def _spawn_module(context, command):
    folder = Path(tempfile.mkdtemp())
    module, *arguments = command.split()
    if module == "bench":
        arguments += ["--out", str(folder / "out")]
    argv = [sys.executable, "-u", "-m", module, *arguments]
    context.child = ManagedProcess(module, argv, folder / "log", child_environment())
    context.add_cleanup(context.child.kill)
    context.child.spawn()


@when('"python -m {command}" is run')
def step_run_module(context, command):
    _spawn_module(context, command)
    context.run(context.child.wait_exit(RUN_TIMEOUT_S))


@given('"python -m {command}" is started and has its processes running')
def step_start_module(context, command):
    # A shell that starts the tests in its background lets its children ignore
    # the interrupt; the handler set here is the default again in a child.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    _spawn_module(context, command)
    parent = psutil.Process(context.child.pid)

    def vm_runs():
        return any("serve" in each.cmdline() for each in parent.children(True))

    context.run(wait_until(vm_runs, RUN_TIMEOUT_S, "no VM was started"))
    context.descendants = parent.children(recursive=True)


@when("it gets an interrupt from the terminal")
def step_interrupt(context):
    os.kill(context.child.pid, signal.SIGINT)


@then("it and all its processes are gone")
def step_all_gone(context):
    context.run(context.child.wait_exit(RUN_TIMEOUT_S))
    assert context.child.exit_code == INTERRUPTED, context.child.log_tail()
    psutil.wait_procs(context.descendants, timeout=10)
    left = [each for each in context.descendants if each.is_running()]
    assert not left, left


@then('its last line begins with "{text}"')
def step_last_line(context, text):
    lines = context.child.log_text().strip().splitlines()
    assert lines[-1].startswith(text), context.child.log_tail()
