"""Steps of a request's trace and of the JSON lines that it is made from."""

import contextlib
import json
import os

from behave import given, then, when

from pomelolane import events
from pomelolane.logs import JsonLines
from pomelolane.trace import cause_from_trace, trace_from_lines


@given("the log lines")
def step_lines(context):
    context.lines = []
    for row in context.table:
        fields = dict(pair.split("=") for pair in row["fields"].split())
        line = {"t_ms": int(row["t_ms"]), "name": row["name"]} | fields
        context.lines.append(f"0.1 {row['vm']} {json.dumps(line)}")


@when('the request "{request_id}" is traced')
def step_trace(context, request_id):
    context.trace = trace_from_lines(request_id, ["no log line", *context.lines])


@then('the trace is "{names}"')
def step_names(context, names):
    assert [line.name for line in context.trace] == names.split(", ")


@then('its cause names "{text}"')
def step_cause(context, text):
    assert text in cause_from_trace(context.trace)


@given("JSON lines bounded to {count:d} a second")
def step_bounded(context, count):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.writer = JsonLines(writer, count)


@given("JSON lines into a full pipe")
def step_full(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.writer = JsonLines(writer)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x")


@when("{count:d} events are written at once")
def step_write(context, count):
    context.count = count
    for _ in range(count):
        context.writer.write(events.VM_STOPPED, {"vm": "vm1"})


@then("{written:d} lines are written and {lost:d} are counted as lost")
def step_written(context, written, lost):
    lines = os.read(context.reader, 65536).splitlines()
    assert len(lines) == written
    assert all(json.loads(line)["event"] == 104 for line in lines)
    assert context.writer.lost == lost


@then("every event is counted as lost")
def step_all_lost(context):
    assert context.writer.lost == context.count
