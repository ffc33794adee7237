"""Steps of tests/standins/listening.feature."""

import json
from pathlib import Path

from behave import given, then

from standins.routed.vm import PlatformVm

_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@given("a VM of the users' platform that has not started")
def step_vm(context):
    vm = PlatformVm(1, "127.0.0.1:1")
    context.add_cleanup(vm.folder.cleanup)
    settings = json.loads(vm.path.read_text())
    addresses = settings["listen"].values()
    listening = [int(address.rpartition(":")[2]) for address in addresses]
    context.ports = listening + settings["portRange"]


@then("the kernel hands out none of its ports by itself")
def step_not_handed_out(context):
    first = int(_RANGE.read_text().split()[0])
    assert max(context.ports) < first, context.ports


@then("no two of its ports are the same")
def step_different(context):
    assert len(set(context.ports)) == len(context.ports), context.ports
