"""Steps for the platform stand-in over its ports."""

import json

from behave import given, then, when

from standins.platform import PlatformOptions, start_platform
from tests.standins_world import control, keep, request


@given("a stand-in platform")
def step_platform(context):
    context.standin = keep(context, context.run(start_platform(PlatformOptions())))


def _commit(context, keys, *, atomic=True):
    writes = [{"key": key, "value": "aGk=", "if_version": 0} for key in keys.split()]
    body = {"atomic": atomic, "writes": writes}
    request(context, "POST", "/v1/table/commit", json=body)


@given('stand-in row "{key}" is written if absent')
@when('stand-in row "{key}" is written if absent')
def step_write(context, key):
    _commit(context, key)


@when('stand-in rows "{keys}" are written if absent, atomic')
def step_write_atomic(context, keys):
    _commit(context, keys)


@when('stand-in rows "{keys}" are written if absent, each alone')
def step_write_alone(context, keys):
    _commit(context, keys, atomic=False)


@then('the stand-in row "{key}" has version {version:d}')
def step_version(context, key, version):
    row = json.loads(request(context, "GET", f"/v1/table/row?key={key}"))
    assert row == {"key": key, "version": version, "value": "aGk="}, row


@then('the stand-in rows under "{prefix}" are "{keys}"')
def step_rows(context, prefix, keys):
    rows = control(context, "GET", f"/rows?prefix={prefix}")["rows"]
    assert [row["key"] for row in rows] == keys.split(), rows


@when('the stand-in object "{name}" is put, read and deleted')
def step_object(context, name):
    context.statuses = []
    for method in ("PUT", "GET", "DELETE", "GET"):
        data = b"body" if method == "PUT" else None
        request(context, method, f"/v1/objects/{name}", data=data)
        context.statuses.append(str(context.status))


@then('the stand-in statuses are "{statuses}"')
def step_statuses(context, statuses):
    assert context.statuses == statuses.split(), context.statuses
