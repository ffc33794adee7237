"""Steps of tests/bench/soak.feature."""

import asyncio
import contextlib
import random
from itertools import count
from types import SimpleNamespace

from behave import given, then, when

from bench.soak.callers import Doors, take_streams
from bench.soak.checks import FEWEST_CALLS, RESUMED_LEAST, check_all
from bench.soak.evidence import Call, Evidence, Start, Word
from bench.soak.plan import Disturbance, Kind, Plan, draw_plan
from bench.soak.run import play
from standins.routed import EndpointOptions, RoutedEndpoint
from standins.routed.endpoint import BodyFraming, Seen
from standins.routed.streams import Attempt, CallerStream, take_stream

GAP_S = 0.1
LINE = "POST /plain/file/a HTTP/1.1"


@then(
    "the soak draws the same from seed {one:d} twice, and another series from seed "
    "{two:d}"
)
def step_same(context, one, two):
    del context
    drawn = [draw_plan(seed, 60.0, 4, 6).disturbances for seed in (one, one, two)]
    assert drawn[0] == drawn[1] != drawn[2]


@given("a soaked endpoint that {says}")
def step_endpoint(context, says):
    context.says = says
    context.start = start = Start("e1", [])
    context.evidence = Evidence(starts=[start])
    if says.startswith("names"):
        start.limits.append(Word(0.0, 1.0))
    elif says.startswith("says"):
        start.leaves_s = 0.0
    elif says.startswith("turns"):
        start.rests.append(Word(0.0, 3.0))
    elif says.startswith(("has", "holds")):
        start.drains_s = float(says.split()[-2])
    elif "another one" in says:
        start.drains_s = 0.0


@given("VM {vm:d} was killed after {at_s:d} s")
def step_killed(context, vm, at_s):
    context.evidence.disturbed[vm] = [Word(at_s, until_s=at_s + 3.0)]


@given("the store was busy after {at_s:d} s")
def step_store_busy(context, at_s):
    context.evidence.store.append(Word(at_s, until_s=at_s + 3.0))


@when("{number:d} requests of VM {vm:d} reach it from {from_s:d} s on")
def step_gets(context, number, vm, from_s):
    once = context.says.startswith("runs")
    status = 503 if context.says.endswith("refused") else 200
    for one in range(number):
        at_s = from_s + one * GAP_S
        request_id = f"{vm}-{0 if 'twice' in context.says else one}"
        line = LINE if once else "POST /chat/a HTTP/1.1"
        seen = Seen(line, {"request-id": request_id}, b"", ran=True, at_s=at_s)
        seen.turned_away = context.says.startswith("turns") and one == 0
        seen.ran = not seen.turned_away
        if "another one" in context.says:
            seen.headers["expect-instance"] = "e2"
        context.start.seen.append(seen)
        sent_s = 1.0 if context.says.startswith("holds") else at_s
        call = Call(sent_s, line, status, whole_s=sent_s, ended_s=at_s)
        call.body = b"sent" if "bodies" in context.says else b""
        context.evidence.calls[request_id] = call


@given("a soaked route that was {changed} at 1 s")
def step_route(context, changed):
    step_endpoint(context, "answers")
    span = Word(1.0) if changed == "added" else Word(0.0, until_s=1.0)
    context.evidence.grants["GET /route1/a"] = [span]


@when("a request on it that VM 0 {answers} is sent at {at_s:g} s")
def step_on_route(context, answers, at_s):
    is_served = answers == "serves"
    status = 200 if is_served else 404
    call = _call(context, "0-0", at_s, runs=is_served, status=status)
    call.path = "GET /route1/a"


def _stream(number, goes_on=True):
    """Return a stream of three events, of which the last two were resumed."""
    begun = Attempt(f"0-a{number}", "vm-1", 10.0, False, 200, ["v1"], held_s=0.1)
    begun.left = True
    resumed = Attempt(f"1-b{number}", "vm-2", 10.2, True, 503, held_s=0.1)
    if goes_on:
        resumed.status, resumed.versions, resumed.is_complete = 200, ["v1"] * 2, True
    return CallerStream([begun, resumed], [1, 2, 3] if goes_on else [1])


@given("soaked streams that were resumed at VM 1, of which {what}")
def step_streams(context, what):
    starts = 1 if "one endpoint" in what else 2
    context.evidence = Evidence(
        starts=[Start(f"e{n}", [], version="v1") for n in range(starts)]
    )
    count = gone_on = RESUMED_LEAST
    if what[0].isdigit():
        gone_on, count = (int(word) for word in what.split()[:3:2])
    streams = [_stream(number, number < gone_on) for number in range(count)]
    if "another version" in what:
        streams[0].attempts[1].versions = ["v2", "v2"]
    if "twice" in what:
        streams[0].event_ids = [1, 1, 2]
    if "not in order" in what:
        context.evidence.disturbed[1] = [Word(9.0, until_s=11.0)]
    context.evidence.streams = streams


def _call(context, request_id, at_s, *, runs=True, part="", status=200):
    """Note a request that is answered, and runs unless told otherwise."""
    call = Call(at_s, "POST /chat/a", status, whole_s=at_s, ended_s=at_s + 0.3)
    call.part, call.is_sealed = part, status == 200
    context.evidence.calls[request_id] = call
    if runs:
        headers = {"request-id": request_id}
        seen = Seen("POST /chat/a HTTP/1.1", headers, b"", True, at_s=at_s)
        context.start.seen.append(seen)
    return call


@given("a soaked request of VM 0 that {what}")
def step_unanswered(context, what):
    step_endpoint(context, "answers")
    if "stream" in what:
        attempt = Attempt("0-0", "vm-1", 10.0, False, 200, ["v1"], held_s=0.3)
        attempt.is_complete, attempt.left = "complete" in what, "leaves" in what
        context.evidence.streams.append(CallerStream([attempt], [1]))
    call = _call(context, "0-0", 10.0, runs="reaches no" not in what)
    call.whole_s = 0.0 if "stream" in what or "before" in what else 10.0
    call.was_reset = "reset" in what
    call.status = (
        0 if "no answer" in what or call.was_reset else 500 if "500" in what else 200
    )
    call.is_sealed = "of the endpoint" in what or call.status == 200
    call.timed_out = "gives up" in what
    if "within" in what:
        call.ended_s = 10.0 + float(what.split()[4])
    if "limit" in what:
        call.ended_s = 12.6
    if "VM 0" in what:
        span = Word(9.5, until_s=12.5, is_planned="stopped" in what)
        context.evidence.disturbed[0] = [span]
    for seen in context.start.seen:
        seen.broke_off = "breaks off" in what
        seen.ended_s = 10.2 if "crashes" in what else 0.0
    if "again" in what:
        context.start.until_s = 10.2


@given("{crashes:d} soaked crashes, the last at {at_s:d} s")
def step_crashes(context, crashes, at_s):
    step_endpoint(context, "crashes")
    for number in range(crashes):
        _call(context, f"1-{number}", at_s - number, part="bad0")
        context.start.seen[-1].ended_s = at_s - number


@given("{late:d} more such requests of VM 0 from {from_s:g} s on")
def step_late(context, late, from_s):
    for number in range(late):
        _call(context, f"0-{number}", from_s + number * GAP_S, part="bad0")


@given("{begun:d} of {sound:d} sound requests beside such ones begin")
def step_beside(context, begun, sound):
    for number in range(sound):
        _call(context, f"0-a{number}", 1.0 + number * GAP_S)
        _call(context, f"0-b{number}", 16.0 + number * GAP_S, runs=number < begun)
    _call(context, "1-last", 19.0, runs=False, part="bad0")


@given("a soaked VM that gets most connections from {at_s:d} s on")
def step_crowded(context, at_s):
    step_endpoint(context, "answers")
    context.evidence.crowds.append((0, Word(at_s, until_s=at_s + 8.0)))
    for number in range(FEWEST_CALLS):
        _call(context, f"1-a{number}", at_s - 3.0 + number * GAP_S)


@given("{served:d} of {asked:d} requests {what} are served from {from_s:d} s on")
def step_crowd(context, served, asked, what, from_s):
    status = int(what.split()[-1]) if "end" in what else 0
    vm = 2 if "out of order" in what else 0
    context.evidence.disturbed[2] = [Word(from_s, until_s=from_s + 3.0)]
    for number in range(asked):
        request_id, at_s = f"{vm}-b{number}", from_s + number * GAP_S
        is_served = number < served
        call = _call(context, request_id, at_s, runs=is_served)
        call.status = 200 if is_served else status
        # What no VM has read ends at once.
        call.ended_s = at_s if not call.status else call.ended_s


@given("an endpoint whose streams end with their connection, {where}")
def step_closing(context, where):
    options = EndpointOptions(events=4, framing=BodyFraming.CLOSE)
    options.broken_share = float("inside" in where)
    context.endpoint = RoutedEndpoint("e1", options)


@when("a caller of the soak takes one")
def step_take(context):
    async def take():
        door = await _open(context.endpoint)
        context.stream = await take_stream([door], lambda _: "0-1", "POST /a", [])
        await context.endpoint.aclose()

    context.run(take())


async def _open(endpoint):
    """Start an endpoint that callers take for a VM."""
    ip, _, port = (await endpoint.start()).rpartition(":")
    return SimpleNamespace(ip=ip, front=SimpleNamespace(port=port), vm_id="e1")


@when("callers of the soak take streams for {for_s:g} s")
def step_take_many(context, for_s):
    context.evidence = Evidence()

    async def take():
        doors = Doors([await _open(context.endpoint)], random.Random(1))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await take_streams(doors, [], context.evidence, count())
        await context.endpoint.aclose()

    context.run(take())


@then("all streams but the last count as answered")
def step_answered(context):
    statuses = [call.status for call in context.evidence.calls.values()]
    assert set(statuses[:-1]) == {200}, statuses


@then("the stream counts as {what}")
def step_counts(context, what):
    attempt = context.stream.attempts[0]
    assert attempt.is_complete == (what == "complete"), attempt
    assert len(attempt.versions) == (4 if attempt.is_complete else 2), attempt


@then("the soak finds {broken}")
def step_found(context, broken):
    rules = {breach.split()[0] for breach in check_all(context.evidence)}
    assert rules == (set() if broken == "nothing" else {broken}), rules


@then("a soak of {seconds:d} s with seed {seed:d} breaks no rule")
def step_soak(context, seconds, seed):
    evidence = context.run(play(draw_plan(seed, seconds, 4, 6)))
    assert evidence.statuses[200] > 0, evidence.statuses
    assert not check_all(evidence), check_all(evidence)


@then("a soak in which a VM is killed again and again while it starts breaks no rule")
def step_overlap(context):
    kills = [Disturbance(3.5 + n / 2, Kind.VM_KILL, 0, 0.0) for n in range(11)]
    series = (Disturbance(3.0, Kind.STORE_SILENT, 0, 6.0), *kills)
    evidence = context.run(play(Plan(1, 14.0, 3, 4, series)))
    assert evidence.statuses[200] > 0, evidence.statuses
    assert not check_all(evidence), check_all(evidence)
