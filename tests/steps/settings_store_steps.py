"""Steps for the settings store and the operators' interface."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from pomelolane.exceptions import (
    PomelolaneError,
    VersionConflictError,
)
from pomelolane.settings import admin
from pomelolane.settings.rows import BranchVersion
from pomelolane.settings.store import Change, SettingsStore
from tests.faults import LATE_WRITE, LOST_REPLY, LOST_WRITE
from tests.settings.faults import HookedTable
from tests.settings.trees import make_operated_contents, operator_key

HANDLERS = {
    "INDEX": admin.answer_index,
    "GET": admin.answer_branch,
    "HISTORY": admin.answer_history,
    "PUT": admin.answer_put,
}


def changed_content(context, branch, queue_limit=7):
    data = json.loads(context.contents[branch])
    if "services" in data:
        data["services"][0]["queue_limit"] = queue_limit
    return json.dumps(data).encode()


async def put(context, operator, branch, version, content=None):
    body = content or changed_content(context, branch, version + 7)
    change = Change(branch, body, version, operator_key(operator))
    try:
        return await context.settings_store.put(change)
    except PomelolaneError as error:
        return error


@given("a settings store with the teams fleet and quota")
def given_store(context):
    context.settings_table = HookedTable()
    context.settings_store = SettingsStore(context.settings_table)
    context.contents = make_operated_contents(context)
    assert context.run(context.settings_store.import_first(context.contents))


@given("the settings table loses {count:d} reply after the write")
@given("the settings table loses {count:d} replies after the write")
def given_lost_replies(context, count):
    context.settings_table.faults.extend([LOST_REPLY] * count)


@given("the settings table loses {count:d} write")
def given_lost_writes(context, count):
    context.settings_table.faults.extend([LOST_WRITE] * count)


@given("the settings table holds back 1 write")
def given_late_write(context):
    context.settings_table.faults.append(LATE_WRITE)


@given("the write held back arrives at once in the settings table")
def given_late_arrives(context):
    context.settings_table.after_loss = context.settings_table.deliver_late


@when("the write held back arrives in the settings table")
def when_late_arrives(context):
    context.run(context.settings_table.deliver_late())


@given("the settings table is down")
def given_down(context):
    context.settings_table.is_down = True


@given("the settings table goes down after that write")
def given_down_after(context):
    async def go_down():
        context.settings_table.is_down = True

    context.settings_table.after_loss = go_down


@given('settings operator "{operator}" changes "{branch}" right after that write')
def given_change_after(context, operator, branch):
    async def change():
        other = await put(context, operator, branch, 1)
        assert isinstance(other, BranchVersion), other

    context.settings_table.after_loss = change


@when("the settings tree is imported again")
def when_imported(context):
    context.imported = context.run(
        context.settings_store.import_first(context.contents)
    )


@then("the settings import was not needed")
def then_not_imported(context):
    assert context.imported is False


@when('settings operator "{operator}" changes "{branch}" from version {version:d}')
def when_changed(context, operator, branch, version):
    context.result = context.run(put(context, operator, branch, version))


@when('settings operator "{operator}" changes "{branch}" {count:d} times')
def when_changed_often(context, operator, branch, count):
    async def change():
        for version in range(1, count + 1):
            result = await put(context, operator, branch, version)
            assert isinstance(result, BranchVersion), result

    context.run(change())


@when(
    'settings operators change "{branch}" from version {version:d} '
    "at the same moment twice"
)
def when_same_branch(context, branch, version):
    async def race():
        calls = (put(context, branch, branch, version) for _ in range(2))
        return await asyncio.gather(*calls)

    context.results = context.run(race())


@when(
    'settings operators change "{one}" and "{other}" from version {version:d} '
    "at the same moment"
)
def when_two_branches(context, one, other, version):
    async def race():
        calls = (put(context, each, each, version) for each in (one, other))
        return await asyncio.gather(*calls)

    context.results = context.run(race())


def content_with_weight(context, branch, change):
    contents = context.run(context.settings_store.snapshot()).contents()
    data = json.loads(contents[branch])
    data["team"]["weight"] = round(data["team"]["weight"] + change, 3)
    return json.dumps(data).encode()


@given('settings operator "{operator}" lowers the weight of "{branch}" to {weight:g}')
def given_lower_weight(context, operator, branch, weight):
    content = content_with_weight(context, branch, weight - 0.5)
    result = context.run(put(context, operator, branch, 1, content))
    assert isinstance(result, BranchVersion), result


@when('settings operators raise "{one}" and "{other}" by {share:g} at the same moment')
def when_both_raise(context, one, other, share):
    wishes = [
        (branch, version, content_with_weight(context, branch, share))
        for branch, version in ((one, 2), (other, 1))
    ]

    async def race():
        calls = (put(context, branch, branch, *wish) for branch, *wish in wishes)
        return await asyncio.gather(*calls)

    context.results = context.run(race())


@then('one settings change is accepted and the other ends as "{error}"')
def then_one_ends_as(context, error):
    kinds = {type(each).__name__ for each in context.results}
    assert kinds == {"BranchVersion", error}, context.results


@when('settings operator "{operator}" drops the tier "{tier}"')
def when_tier_dropped(context, operator, tier):
    data = json.loads(context.contents["platform"])
    data["tiers"] = [each for each in data["tiers"] if each["name"] != tier]
    body = json.dumps(data).encode()
    context.result = context.run(put(context, operator, "platform", 1, body))


@when('settings operator "{operator}" rolls "{branch}" forward to version {version:d}')
def when_rolled(context, operator, branch, version):
    async def roll():
        history = await context.settings_store.history(branch)
        earlier = next(each for each in history if each.version == version)
        newest = history[0].version
        return await put(context, operator, branch, newest, earlier.content)

    context.result = context.run(roll())


@then("the settings change is accepted as version {version:d}")
def then_accepted(context, version):
    assert isinstance(context.result, BranchVersion), context.result
    assert context.result.version == version
    then_version(context, context.result.branch, version)


@then("the settings change meets version {version:d}")
def then_conflict(context, version):
    assert isinstance(context.result, VersionConflictError), context.result
    assert context.result.current_version == version


@then('the settings change ends as "{error}"')
def then_ends_as(context, error):
    assert type(context.result).__name__ == error, repr(context.result)


@then("one settings change is accepted and the other meets version {version:d}")
def then_one_accepted(context, version):
    kinds = {type(each): each for each in context.results}
    assert set(kinds) == {BranchVersion, VersionConflictError}, context.results
    assert kinds[VersionConflictError].current_version == version


@then("both settings changes are accepted")
def then_both(context):
    assert all(isinstance(each, BranchVersion) for each in context.results)


@then('the settings branch "{branch}" stands at version {version:d}')
def then_version(context, branch, version):
    snapshot = context.run(context.settings_store.snapshot())
    assert snapshot.branches[branch].version == version, snapshot.versions()


@then('the settings history of "{branch}" holds versions "{versions}"')
def then_history(context, branch, versions):
    history = context.run(context.settings_store.history(branch))
    assert " ".join(str(each.version) for each in history) == versions


@then('the settings history of "{branch}" holds {count:d} versions')
def then_history_count(context, branch, count):
    assert len(context.run(context.settings_store.history(branch))) == count


@then("the settings counter stands at {count:d}")
def then_counter(context, count):
    assert context.run(context.settings_store.snapshot()).counter == count


@then('settings version {one:d} of "{branch}" has the content of version {other:d}')
def then_same_content(context, one, branch, other):
    history = context.run(context.settings_store.history(branch))
    contents = {each.version: each.content for each in history}
    assert contents[one] == contents[other]
    assert (
        context.run(context.settings_store.snapshot()).contents()[branch]
        == contents[one]
    )


def ask(context, method, branch, operator, if_match="-", body=None):
    if body is None and method == "PUT":
        body = changed_content(context, branch)
    request = admin.AdminRequest(
        authorization=f"Bearer {operator_key(operator)}",
        branch=branch,
        if_match="" if if_match == "-" else if_match,
        body=body or b"",
    )
    context.answer = context.run(HANDLERS[method](context.settings_store, request))


@when('settings "{method}" of branch "{branch}" is asked with the key of "{operator}"')
def when_asked(context, method, branch, operator):
    ask(context, method, branch, operator)


@when('settings "{method}" of all is asked with the key of "{operator}"')
def when_asked_index(context, method, operator):
    ask(context, method, "", operator)


@when(
    'settings "{method}" with If-Match "{if_match}" alone of "{branch}" '
    'is asked with the key of "{operator}"'
)
def when_asked_match(context, method, branch, if_match, operator):
    ask(context, method, branch, operator, if_match)


@when(
    'settings "{method}" with If-Match "{if_match}" and body "{body}" of "{branch}" '
    'is asked with the key of "{operator}"'
)
def when_asked_body(context, method, branch, if_match, body, operator):
    ask(context, method, branch, operator, if_match, body.encode())


@then("the settings answer is {status:d}")
def then_status(context, status):
    assert context.answer.status == status, context.answer


@then('the settings answer is {status:d} with ETag "{version}"')
def then_status_etag(context, status, version):
    assert context.answer.status == status, context.answer
    assert ("ETag", f'"{version}"') in context.answer.headers


@then('the settings answer holds "{text}"')
def then_holds(context, text):
    assert text in context.answer.body.decode()


@then('the settings refusal is "{reason}" with outcome "{outcome}"')
def then_refusal(context, reason, outcome):
    problem = json.loads(context.answer.body)
    assert (problem["reason"], problem["outcome"]) == (reason, outcome), problem
    assert problem["status"] == context.answer.status


@then('the settings answer has the header "{name}"')
def then_header(context, name):
    assert name in dict(context.answer.headers)
