"""Steps of recorded.feature: operators' marks in an embedded table."""

from __future__ import annotations

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.membership import RecordedMarks
from pomelolane.store import EmbeddedTable
from tests.faults import DOWN, FaultyTable


class _Member:
    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.is_delegate = True
        self.marked = set()

    def mark_leaving(self, endpoint_id, source):
        assert source == "record"
        self.marked.add(endpoint_id)

    def clear_leaving(self, endpoint_id):
        self.marked.discard(endpoint_id)


@given('recorded marks of VM "{one}" and VM "{other}" in one table')
def step_marks(context, one, other):
    context.marks_table = FaultyTable(EmbeddedTable())
    context.wall = ManualClock(1_000_000.0)
    context.undeclared = set()
    context.members = {vm_id: _Member(vm_id) for vm_id in (one, other)}
    context.marks = {
        vm_id: RecordedMarks(
            context.marks_table,
            member,
            lambda endpoint_id: endpoint_id not in context.undeclared,
            context.wall,
        )
        for vm_id, member in context.members.items()
    }


@given('the recorded marks\' VM "{vm_id}" is no delegate')
def step_no_delegate(context, vm_id):
    context.members[vm_id].is_delegate = False


@given("the recorded marks' table is down for the next commit")
def step_down(context):
    context.marks_table.faults.append(DOWN)


@given('the recorded marks\' endpoint "{endpoint_id}" is not declared')
@when('the recorded marks\' endpoint "{endpoint_id}" is no longer declared')
def step_undeclared(context, endpoint_id):
    context.undeclared.add(endpoint_id)


@when('VM "{vm_id}" records that "{endpoint_id}" is leaving')
def step_record(context, vm_id, endpoint_id):
    context.members[vm_id].marked.add(endpoint_id)
    context.run(context.marks[vm_id].record(endpoint_id))


@when("the recorded marks are {seconds:d} s old")
def step_old(context, seconds):
    context.wall.advance(seconds * 1000.0)
    context.run(context.marks["b"].read())


@then('polling the table makes delegate "{vm_id}" mark "{endpoint_id}"')
def step_marked(context, vm_id, endpoint_id):
    context.run(context.marks[vm_id].read())
    assert context.members[vm_id].marked == {endpoint_id}


@then('polling the table makes delegate "{vm_id}" clear "{endpoint_id}"')
def step_cleared(context, vm_id, endpoint_id):
    del endpoint_id
    step_none(context, vm_id)


@then('polling the table leaves "{vm_id}" without a mark')
def step_none(context, vm_id):
    context.run(context.marks[vm_id].read())
    assert not context.members[vm_id].marked


@then('polling the table makes "{vm_id}" clear its own mark of "{endpoint_id}"')
def step_own_cleared(context, vm_id, endpoint_id):
    context.members[vm_id].is_delegate = False
    assert endpoint_id in context.members[vm_id].marked
    step_none(context, vm_id)
