"""Steps for the options and the settings tree."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from pathlib import Path

from behave import given, then, when

from pomelolane.exceptions import InvalidTreeError, SettingError
from pomelolane.settings import (
    OPTIONS,
    ServeOptions,
    branch_content_from_directory,
    options_from_environment,
    tree_from_branches,
    tree_from_directory,
)
from pomelolane.settings.options import options_table_markdown
from tests.settings.trees import make_settings_directory

EXAMPLES = Path(__file__).parents[2] / "examples"


@given('settings flags "{flags}"')
def given_flags(context, flags):
    context.flags = dict(each.split("=", 1) for each in flags.split())
    context.environ = {}


@given('the settings variable "{name}" is "{value}"')
def given_variable(context, name, value):
    context.environ[name] = value


@when("the settings options are read")
def when_options(context):
    context.options = context.error = None
    try:
        context.options = options_from_environment(context.flags, context.environ)
    except SettingError as error:
        context.error = error


@then('the settings option "{name}" is "{value}"')
def then_option(context, name, value):
    assert context.error is None, context.error
    assert str(getattr(context.options, name)) == value


@then('the settings seed {number:d} is VM "{vm_id}" of "{data_centre}" at "{address}"')
def then_seed(context, number, vm_id, data_centre, address):
    seed = context.options.seeds[number - 1]
    assert (seed.vm_id, seed.data_centre, seed.address) == (
        vm_id,
        data_centre,
        address,
    )


@then('the settings error names "{name}" and allows "{allowed}"')
def then_error(context, name, allowed):
    assert context.error is not None, "the options were taken"
    assert context.error.flag == name, context.error
    assert allowed in str(context.error), context.error


@then("the settings error is one line")
def then_one_line(context):
    assert len(str(context.error).splitlines()) == 1


@then('the settings error does not hold "{text}"')
def then_hidden(context, text):
    assert text not in str(context.error)


@then("the settings options table names every option with its variable")
def then_table(context):
    table = options_table_markdown()
    names = [each.name for each in dataclasses.fields(ServeOptions)]
    assert names == [each.name for each in OPTIONS]
    for option in OPTIONS:
        assert f"| `{option.flag}` | `{option.variable}` |" in table, option


@when('the settings tree of example "{deployment}" is compiled')
def when_example(context, deployment):
    context.directory = EXAMPLES / deployment
    context.tree = tree_from_directory(context.directory)


@then('the settings tree is for region "{region}"')
def then_region(context, region):
    assert context.tree.region == region


@then('the settings service "{service}" has {count:d} endpoints in 3 data centres')
def then_endpoints(context, service, count):
    found = [e for e in context.tree.endpoints.values() if e.service == service]
    assert len(found) == count
    assert len({e.data_centre for e in found}) == 3


@then("the settings branches compile to the same tree")
def then_same_tree(context):
    branches = branch_content_from_directory(context.directory)
    assert tree_from_branches(branches) == context.tree


@then('the settings demo keys of "{deployment}" fit its tree')
def then_demo_keys(context, deployment):
    tree = tree_from_directory(EXAMPLES / deployment)
    keys = json.loads((EXAMPLES / deployment / "demo-keys.json").read_text())
    organisations = {o.name: o.key_sha256 for o in tree.organisations.values()}
    operators = {t.name: t.operator_key_sha256 for t in tree.teams.values()}
    assert organisations == digests(keys["organisations"])
    assert operators == digests(keys["operators"])


def digests(keys: dict[str, str]) -> dict[str, str]:
    return {k: hashlib.sha256(v.encode()).hexdigest() for k, v in keys.items()}


@given("a settings directory")
def given_directory(context):
    context.directory = make_settings_directory(context)


@given('in settings file "{file}" the text "{old}" is replaced by "{new}"')
def given_replaced(context, file, old, new):
    path = context.directory / file
    text = path.read_text()
    assert old in text, old
    path.write_text(text.replace(old, new, 1))


@when("the settings directory is compiled")
def when_compiled(context):
    context.problems = ()
    try:
        context.tree = tree_from_directory(context.directory)
    except InvalidTreeError as error:
        context.problems = error.problems


@then(
    'a settings problem is at "{file}" where "{at}" with "{problem}" '
    'allowing "{allowed}"'
)
def then_problem(context, file, at, problem, allowed):
    lines = (context.directory / file).read_text().splitlines()
    for each in context.problems:
        if each.file != file or problem not in each.problem:
            continue
        assert at in lines[each.line - 1], each
        assert allowed in each.allowed, each
        return
    raise AssertionError([str(each) for each in context.problems])


@then("there are {count:d} settings problems")
def then_count(context, count):
    assert len(context.problems) == count, [str(p) for p in context.problems]


@then('no settings problem holds "{text}"')
def then_not_shown(context, text):
    assert context.problems
    assert not any(text in str(each) for each in context.problems)
