"""Steps of tests/platform/early.feature."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from bench.ports import PortBlock
from pomelolane.platform import early
from standins.routed.vm import PlatformVm
from tests.routed_world import RoutedWorld

HOST = "127.0.0.1"
CHILD = """
import socket, sys
from pomelolane.platform.early import early_socket, listen_early
listen_early()
sock = early_socket()
with socket.create_connection(sock.getsockname(), timeout=5):
    print("accepted", *sorted(sys.modules))
"""

LOADED = """
import sys
sys.argv = ["start.py"]
import runpy
try:
    runpy.run_path("deploy/start.py", run_name="__main__")
except SystemExit:
    print(*sorted(sys.modules))
"""
ROOT = Path(__file__).resolve().parents[2]
LAUNCHER = (sys.executable, "deploy/start.py")
STEP_S = 0.005
MOST_TRIES = 1000


def write_file(context, listen):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "node.json"
    path.write_text(json.dumps({"listen": listen}))
    context.variables = {early.NODE_FILE_VARIABLE: str(path)}


@given("a settings file that names an address for callers")
def step_file(context):
    block = PortBlock()
    context.add_cleanup(block.close)
    context.port = block.take()
    write_file(context, {"front": f"{HOST}:{context.port}"})


@given("a settings file that names no address")
def step_no_address(context):
    write_file(context, {})


@when("a new process listens early by that file")
def step_new_process(context):
    command = [sys.executable, "-c", CHILD]
    variables = os.environ | context.variables
    run = subprocess.run(
        command, env=variables, capture_output=True, text=True, timeout=30, check=True
    )
    context.words = run.stdout.split()


@when("this process listens early by that file")
def step_this_process(context):
    patch = mock.patch.dict(os.environ, context.variables)
    patch.start()
    context.add_cleanup(patch.stop)
    early.listen_early()


@then("it accepts connections at that address")
def step_accepts(context):
    assert context.words[0] == "accepted", context.words


@then('it has loaded none of "{names}"')
def step_loaded_none(context, names):
    assert not set(names.split(", ")) & set(context.words)


@then("the program is handed the socket that listens at that address")
def step_handed(context):
    sock = early.early_socket()
    context.add_cleanup(sock.close)
    assert sock.getsockname() == (HOST, context.port)
    with socket.create_connection((HOST, context.port), timeout=5):
        pass


@then("the program is handed no socket")
def step_none(context):
    assert early.early_socket() is None


def _run_without_file(command):
    variables = {k: v for k, v in os.environ.items() if k != early.NODE_FILE_VARIABLE}
    return subprocess.run(
        [sys.executable, *command],
        env=variables,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@when("a new process loads what a VM on the platform runs")
def step_load_all(context):
    # The launcher ends for want of a settings file when everything is loaded.
    context.words = _run_without_file(["-c", LOADED]).stdout.split()
    assert "pomelolane.platform.host" in context.words


@when("the launcher is run without a settings file")
def step_launch(context):
    context.launched = _run_without_file(["deploy/start.py"])


@then('it ends with the line "{line}"')
def step_ends_with(context, line):
    assert context.launched.returncode == 1
    assert context.launched.stderr.strip() == line, context.launched.stderr


@given("a platform VM that is started by the launcher")
def step_launched_vm(context):
    context.world = world = context.run(RoutedWorld().start())
    context.add_cleanup(lambda: context.run(world.aclose()))

    async def start():
        await world.add_endpoint("p1", "portal")
        vm = PlatformVm(1, world.store_address, program=LAUNCHER)
        world.vms.append(vm)
        return await vm.start()

    context.vm = context.run(start())


@when("it hears of a new settings file as soon as it listens for callers")
def step_hangup(context):
    vm = context.vm

    async def signal_soon():
        for _ in range(MOST_TRIES):
            if await _can_connect(vm.ip, vm.front.port):
                vm.signal(signal.SIGHUP)
                return
            await asyncio.sleep(STEP_S)
        raise AssertionError("the VM does not listen")

    context.run(signal_soon())


async def _can_connect(host, port):
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


@then("it is ready within {s:d} s")
def step_ready(context, s):
    context.run(asyncio.wait_for(context.vm.ready(), s))
