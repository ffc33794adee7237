"""Steps of scheduler/plugin.feature."""

import importlib

from behave import given, then, when

from pomelolane.exceptions import RegistryError
from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Tree
from pomelolane.registry import PLACEMENT_POLICIES, lookup, register


@given("the example plug-in of the documentation is imported")
def step_import(context):
    importlib.import_module("examples.plugins.first_fit")


@when("its core receives {count:d} requests for an endpoint with {slots:d} slots")
def step_submit(context, count, slots):
    core = lookup(PLACEMENT_POLICIES, "first_fit")("chat")
    endpoint = Endpoint("e1", "chat", "dc", "127.0.0.1:1", slots=slots)
    core.configure(Tree(endpoints={"e1": endpoint}), 0.0)
    context.core = core
    context.granted = []
    for number in range(count):
        handle = Handle(f"r{number}", "chat", "w", 0, "o", "t", 1000, 1, 1)
        context.granted += core.submit(handle, 0.0)


@then("{count:d} of them are granted and the third after one has finished")
def step_granted(context, count):
    assert len(context.granted) == count
    freed = context.core.observe(StreamEvent("r0", "e1", finished=True), 1.0)
    assert [decision.request_id for decision in freed] == ["r2"]


@then("registering its name again raises RegistryError")
def step_twice(context):
    try:
        register(PLACEMENT_POLICIES, "first_fit")(object)
    except RegistryError:
        return
    raise AssertionError("the second registration was accepted")
