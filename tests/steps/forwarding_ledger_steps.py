"""Steps of tests/forwarding/ledger.feature."""

from types import SimpleNamespace

from behave import given, then, when

from pomelolane.exceptions import PlatformUnavailableError
from pomelolane.forwarding.ledger import Ledger
from pomelolane.scheduler.limits import Use

SERVICE = "s"


class FakeDesk:
    """A desk of which a share is unrecorded until it is marked."""

    def __init__(self, share):
        self.share = share

    def unrecorded_share(self):
        return self.share

    def mark_recorded(self):
        self.share = 0.0

    def uses(self):
        return [Use("o", 0, 100)]


class FakeRecord:
    """Keeps what is saved, after some failures."""

    def __init__(self):
        self.failures = 0
        self.saved = []

    async def save(self, service, uses):
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailableError("the store is away")
        self.saved.append((service, uses))


@given("a scheduler that let {share:f} of a limit pass since its last record")
def step_scheduler(context, share):
    desk = FakeDesk(share)
    role = SimpleNamespace(desks=lambda: {SERVICE: desk}, desk=lambda service: desk)
    context.record = FakeRecord()
    context.ledger = Ledger(SimpleNamespace(role=role), context.record)


@given("a store that fails once")
def step_fails(context):
    context.record.failures = 1


@when("the record's turn comes, {turn}")
def step_turn(context, turn):
    context.run(context.ledger.save(only_due=turn == "as one of many"))


@then("it is recorded")
def step_recorded(context):
    assert [service for service, _ in context.record.saved] == [SERVICE]


@then("it is not recorded")
def step_not_recorded(context):
    assert context.record.saved == []
