"""Steps of tests/quarantine/judgement.feature."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from pomelolane.quarantine import (
    CrashBook,
    CrashReport,
    fingerprint_from_request,
    judge,
)

NOBODY = "nobody"
_PARTS = {"organisation": "o", "method": "POST", "target": b"/a", "body": b"x"}


def _names(text):
    return set() if text == NOBODY else set(text.split(", "))


def _book(context):
    if not hasattr(context, "book"):
        context.book = CrashBook()
        context.now_ms = 0.0
        context.requests = set()
    return context.book


def _report(context, request, endpoint):
    book = _book(context)
    context.requests.add(request)
    book.add(CrashReport(request, endpoint), context.now_ms)
    book.review(context.now_ms)


@given("the ends of endpoints")
def step_ends(context):
    for row in context.table:
        for endpoint in row["endpoints"].split(", "):
            _report(context, row["request"], endpoint)


@when('"{request}" is reported under the end of "{endpoint}"')
def step_report(context, request, endpoint):
    _report(context, request, endpoint)


@when('"{request}" is cleared')
def step_pardon(context, request):
    for report in context.book.reports_on(request):
        context.book.clear(report, context.now_ms)
    context.book.review(context.now_ms)


@when("the reports grow {s:d} s older")
def step_pass(context, s):
    context.now_ms += s * 1000
    context.book.review(context.now_ms)


@when("{count:d} requests are each reported under one end")
def step_many(context, count):
    book = _book(context)
    for number in range(count):
        book.add(CrashReport(f"r{number}", f"e{number % 1000}"), 0.0)
    book.review(0.0)


@then("the book holds {count:d} reports")
def step_holds(context, count):
    assert len(context.book) == count, len(context.book)


@then('the quarantined requests are "{names}"')
def step_quarantined(context, names):
    assert context.book.quarantined == _names(names), context.book.quarantined


@then('the suspects are "{names}"')
def step_suspects(context, names):
    found = {name for name in context.requests if context.book.is_suspect(name)}
    assert found == _names(names), found


@then("no order of ends lets a harmless request with fewer ends be quarantined")
def step_property(context):
    endpoints = [f"e{number}" for number in range(8)]
    beside = strategies.lists(
        strategies.sets(strategies.sampled_from(endpoints), max_size=6), max_size=12
    )

    @for_all(strategies.integers(1, 8), beside)
    def check(ended, companies):
        guilty = set(endpoints[:ended])
        ends = {f"h{n}": company & guilty for n, company in enumerate(companies)}
        fewer = {name for name, own in ends.items() if len(own) < len(guilty)}
        quarantined = judge(ends | {"guilty": guilty}).quarantined
        assert not fewer & quarantined, (ends, guilty, quarantined)

    check()


@then("a request that differs in its {part} has another fingerprint")
def step_differs(context, part):
    other = "other" if isinstance(_PARTS[part], str) else b"other"
    changed = fingerprint_from_request(**(_PARTS | {part: other}))
    assert changed != fingerprint_from_request(**_PARTS)


@then("two requests that ask for the same have the same fingerprint")
def step_same(context):
    first = fingerprint_from_request(**_PARTS)
    assert first == fingerprint_from_request(**dict(_PARTS))
