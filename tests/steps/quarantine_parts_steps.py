"""Steps of tests/quarantine/parts.feature."""

import asyncio
import itertools

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from pomelolane.messages import Handle
from pomelolane.platform.dialect import PlatformDialect
from pomelolane.quarantine import (
    CrashBook,
    CrashReport,
    Subjects,
    fingerprint_from_part,
    fingerprint_from_request,
)
from pomelolane.quarantine.fingerprint import is_part
from pomelolane.quarantine.quarantine import MOST_TELL_MS
from pomelolane.quarantine.subjects import TrustedParts

SERVICE = "pool"
_NUMBERS = itertools.count(1)


def _parts(described):
    headers = [(b"prompt-prefix", described.encode())]
    return PlatformDialect().describe(headers).prompt_parts


@then('the parts that a prompt "{described}" may share are "{parts}"')
def step_parts(context, described, parts):
    expected = () if parts == "none" else tuple(parts.split())
    assert _parts(described) == expected, _parts(described)


@then('the parts that a prompt "" may share are "none"')
def step_no_parts(context):
    assert _parts("") == ()
    assert PlatformDialect().describe([]).prompt_parts == ()


@then("at most {most:d} parts of a prompt are known")
def step_number(context, most):
    described = ",".join(f"{number:x}:1" for number in range(1000))
    assert len(_parts(described)) == most


@then("a part whose id has more than {most:d} digits is not known")
def step_length(context, most):
    assert _parts(f"{'a' * most}:1,b:1") == ("a" * most,)
    assert _parts(f"{'a' * (most + 1)}:1,b:1") == ()


@then('the part "{part}" has another fingerprint at another service')
def step_service(context, part):
    assert fingerprint_from_part("a", part) == fingerprint_from_part("a", part)
    assert fingerprint_from_part("a", part) != fingerprint_from_part("b", part)


@then("no fingerprint of a part is that of a request")
def step_kinds(context):
    assert is_part(fingerprint_from_part("a", "b"))
    assert not is_part(fingerprint_from_request("a", "b", b"", b""))


def _subjects(parts, request=""):
    names = [fingerprint_from_part(SERVICE, part) for part in parts.split(",")]
    return Subjects(request or f"request-{next(_NUMBERS)}", tuple(names))


def _report(context, name, starts):
    for start in starts.split(","):
        context.book.add(CrashReport(name, start), 0.0)
    context.book.review(0.0)


@given('reports on the parts "{one}" under "{starts}" and "{other}" under "{others}"')
def step_reports(context, one, starts, other, others):
    context.book = CrashBook()
    _report(context, fingerprint_from_part(SERVICE, one), starts)
    _report(context, fingerprint_from_part(SERVICE, other), others)


@given('reports on the request "{request}" and the part "{part}" under "{starts}"')
def step_request(context, request, part, starts):
    context.book = CrashBook()
    for name in _subjects(part, request):
        _report(context, name, starts)


@when('the part "{part}" is reported under "{starts}"')
def step_report(context, part, starts):
    _report(context, fingerprint_from_part(SERVICE, part), starts)


def _check(context, requests, is_refused):
    for parts in () if requests == "nothing" else requests.split("; "):
        assert context.book.holds(_subjects(parts)) == is_refused, parts


@then('requests with the parts "{requests}" are refused')
def step_refused(context, requests):
    _check(context, requests, True)


@then('requests with the parts "{requests}" are let through')
def step_let_through(context, requests):
    _check(context, requests, False)


@then('the request "{request}" with the part "{part}" is refused')
def step_request_refused(context, request, part):
    assert context.book.holds(_subjects(part, request))


@then("no order of the same reports and clears makes another judgement")
def step_order(context):
    names = [*_subjects("bad,shared,other", "request")]
    reports = [CrashReport(name, start) for name in names for start in "abcd"]
    news = strategies.tuples(strategies.sampled_from(reports), strategies.booleans())

    @for_all(strategies.data(), strategies.lists(news, max_size=20))
    def check(data, told):
        found = set()
        for order in (told, data.draw(strategies.permutations(told))):
            book = CrashBook()
            for report, is_clear in order:
                (book.clear if is_clear else book.add)(report, 0.0)
            book.review(0.0)
            found.add(book.quarantined)
        assert len(found) == 1, found

    check()


@when('"{name}" sees an answer to a request with the parts "{parts}"')
def step_answer(context, name, parts):
    async def answer():
        context.network.vms[name].quarantine.answered(_subjects(parts))

    context.run(answer())


@when(
    '"{name}" finds that {count:d} endpoints ended under requests with the parts '
    '"{parts}"'
)
def step_find(context, name, count, parts):
    async def find():
        for _ in range(count):
            start = f"start-of-parts-{next(_NUMBERS)}"
            quarantine = context.network.vms[name].quarantine
            quarantine.crashed(_subjects(parts), start, "endpoint")

    context.run(find())


@then('"{one}" and "{other}" refuse requests with the parts "{bad}", but not "{sound}"')
def step_refuse(context, one, other, bad, sound):
    for name in (one, other):
        quarantine = context.network.vms[name].quarantine
        assert quarantine.holds(_subjects(bad)), name
        assert quarantine.holds(_subjects(f"{bad},{sound}")), name
        assert not quarantine.holds(_subjects(sound)), name
        assert not quarantine.is_suspect(_subjects(sound)), name


@when("{count:d} parts are answered")
def step_many(context, count):
    context.trusted = TrustedParts()
    context.parts = [f"part-{number}" for number in range(count)]
    for part in context.parts:
        context.trusted.note(part, 0.0)


@then("{count:d} of them are trusted, the last ones")
def step_trusted(context, count):
    assert len(context.trusted) == count
    trusted = [part for part in context.parts if context.trusted.has(part, 1.0)]
    assert trusted == context.parts[-count:]


@then("none of them is trusted {s:d} s later")
def step_forgotten(context, s):
    assert not any(context.trusted.has(part, s * 1000.0) for part in context.parts)
    context.trusted.note("part-new", s * 1000.0)
    assert len(context.trusted) == 1


@given('three endpoints ended under requests with the parts "{parts}"')
def step_ended(context, parts):
    async def end():
        for number in range(3):
            context.quarantine.crashed(_subjects(parts), f"start-{number}", "endpoint")
        await context.quarantine.settled(_subjects(parts))

    context.run(end())


async def _let_through(context, parts, count):
    """Return the handles that the scheduler gets, of so many requests."""
    del context.scheduler.asked[:]
    for _ in range(count):
        handle = Handle("r1", "s", "w", 0, "o", "t", 9000, 10, 10)
        asking = context.gate.acquire(_subjects(parts), handle)
        task = asyncio.create_task(asking)
        await asyncio.sleep(0)
        if not task.done():
            context.scheduler.grant()
        await task
    return context.scheduler.asked


@when('{count:d} requests with the parts "{parts}" ask for slots')
def step_ask(context, count, parts):
    context.asked = list(context.run(_let_through(context, parts, count)))


@then("{count:d} of them are let through, as suspects")
def step_probes(context, count):
    assert len(context.asked) == count, len(context.asked)
    assert all(handle.suspect for handle in context.asked)


@when('an answer on "{parts}" comes')
def step_answer_comes(context, parts):
    async def answer():
        context.quarantine.answered(_subjects(parts))
        context.quarantine.review()

    context.run(answer())


@then('all of {count:d} requests with the parts "{parts}" are let through')
def step_all_through(context, count, parts):
    assert len(context.run(_let_through(context, parts, count))) == count


@given('an answer on "{parts}" comes')
def step_answer_before(context, parts):
    step_answer_comes(context, parts)


@when('another VM reports {count:d} crashes under "{part}", and {then}')
def step_reported(context, count, part, then):
    name = fingerprint_from_part(SERVICE, part)
    reports = [CrashReport(name, f"start-{number}") for number in range(count)]
    context.told = []
    context.quarantine.on_news(lambda _, cleared: context.told.append(cleared))

    async def take():
        context.quarantine.take([(report, 0.0) for report in reports])
        if then == "a third clears it":
            context.quarantine.take([], reports)
        await asyncio.sleep(2 * MOST_TELL_MS / 1000)

    context.run(take())


@then('the VM has told {count:d} times that "{part}" is sound')
def step_told(context, count, part):
    assert len(context.told) == count, context.told
    names = {report.fingerprint for cleared in context.told for report in cleared}
    assert names <= {fingerprint_from_part(SERVICE, part)}, names


@then('requests with the parts "{parts}" are let through there')
def step_through_there(context, parts):
    context.quarantine.review()
    assert not context.quarantine.holds(_subjects(parts))
