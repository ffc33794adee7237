"""Steps of rows that other writers left, and of endpoints that start again."""

import asyncio
import json
from itertools import count

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies

from bench.processes import wait_until
from pomelolane import events
from pomelolane.clock import MonotonicClock
from pomelolane.model import Endpoint, Service, ServiceKind
from pomelolane.platform import endpointwatch as watches
from pomelolane.platform.documents import endpoint_from_row
from pomelolane.platform.errors import DocumentError
from pomelolane.platform.roster import VmRoster
from standins.routed import RoutedEndpoint
from standins.routed.endpoint import registered
from tests.routed_world import DATA_CENTRE, configuration

SOON_S = 4.0
MISSING = "missing"
_SEQUENCES = count(1)
"""It grows with each heartbeat."""
SERVICES = {"portal": Service("portal", "", ServiceKind.PLAIN, {})}


def _entry(name, **changes):
    row = json.loads(
        registered(RoutedEndpoint(name), "portal", "127.0.0.1:1", DATA_CENTRE)
    )
    row["sequence"] = next(_SEQUENCES)
    for field, value in changes.items():
        row.pop(field, None)
        if value != MISSING:
            row[field] = value
    return json.dumps(row).encode()


def _put(context, name, value):
    """Write an entry, and note what is logged from now on."""
    if not hasattr(context, "logged"):
        context.logged = []
        before = watches.log_event

        def note(event, **values):
            context.logged.append(event)
            before(event, **values)

        watches.log_event = note
        context.add_cleanup(setattr, watches, "log_event", before)
        context.changes = 0
        context.directory.on_change(lambda: _count(context))
    context.store.put("servers", name, value)


def _count(context):
    context.changes += 1


@when('an endpoint duly registers as "{name}"')
def step_registers(context, name):
    _put(context, name, _entry(name))


@when('an endpoint registers as "{name}" with {field} {value}')
def step_registers_with(context, name, field, value):
    present = value if value == MISSING else json.loads(value)
    _put(context, name, _entry(name, **{field: present}))


@when('an endpoint "{name}" registers with {digits:d} digits in its {field}')
def step_registers_digits(context, name, digits, field):
    number = "1" * digits
    value = f"127.0.0.1:{number}" if field == "address" else int(number)
    _put(context, name, _entry(name, **{field: value}))


@when('somebody writes {value} as the row "{key}" of "{table}"')
def step_writes(context, value, key, table):
    context.store.put_as_it_is(table, key, json.loads(value))


@when('the store says version {version:d} with the service "{service}"')
def step_says_service(context, version, service):
    document = json.loads(configuration(version))
    document["services"].append({"name": service})
    context.store.put("op", "config", json.dumps(document).encode())


@when('a VM "{vm_id}" enters the roster')
def step_enters(context, vm_id):
    context.roster = VmRoster(
        context.client, MonotonicClock(), vm_id, DATA_CENTRE, "127.0.0.1:9"
    )
    context.run(context.roster.first_contact())


@then('the roster lists "{vm_id}"')
def step_lists(context, vm_id):
    listed = context.run(context.roster.read())
    assert [one.vm_id for one in listed] == [vm_id], listed


@then('the known endpoints become "{names}"')
def step_become(context, names):
    expected = set(names.split(", "))

    def is_so():
        return set(context.directory.all) == expected

    context.run(wait_until(is_so, SOON_S, "the endpoints are others"))


@then('the start of "{name}" becomes {born:d}')
def step_start(context, name, born):
    def is_so():
        endpoint = context.directory.all.get(name)
        return endpoint is not None and endpoint.born_ms == born

    context.run(wait_until(is_so, SOON_S, "it is another start"))


@then("the directory has told of {changes:d} change")
def step_changes(context, changes):
    # Two periods of reads: a change would have been told.
    context.run(asyncio.sleep(2 * watches.ENDPOINT_PERIOD_S))
    assert context.changes == changes, context.changes


@then("one entry was rejected in the log")
def step_rejected(context):
    rejected = context.logged.count(events.ENDPOINT_REJECTED)
    assert rejected == 1, context.logged


@then('the store\'s client still reads "{table}"')
def step_reads(context, table):
    context.run(context.client.read(table))


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=4,
)
_FIELDS = strategies.sampled_from(sorted([*json.loads(_entry("odd")), "born"]))


def _decode(data):
    try:
        endpoint = endpoint_from_row("odd", data, SERVICES)
    except DocumentError:
        return
    assert isinstance(endpoint, Endpoint)
    assert endpoint.slots > 0
    assert endpoint.service in SERVICES
    host, _, port = endpoint.address.rpartition(":")
    assert host.count(".") == 3
    assert 0 < int(port) < 65536


@then("any bytes and any JSON values decode to an endpoint or a document error")
def step_any(context):
    del context

    @for_all(strategies.binary(max_size=64))
    def bytes_decode(data):
        _decode(data)

    @for_all(strategies.dictionaries(_FIELDS, _JSON, max_size=3))
    def values_decode(changes):
        _decode(_entry("odd", **changes))

    bytes_decode()
    values_decode()
