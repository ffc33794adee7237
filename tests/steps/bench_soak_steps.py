"""Steps of tests/bench/soak.feature."""

from behave import given, then, when

from bench.soak.checks import RESUMED_LEAST, check_all
from bench.soak.evidence import Call, Evidence, Start, Word
from bench.soak.plan import Disturbance, Kind, Plan, draw_plan
from bench.soak.run import play
from standins.routed.endpoint import Seen
from standins.routed.streams import Attempt, CallerStream

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


@given("VM {vm:d} was killed after {at_s:d} s")
def step_killed(context, vm, at_s):
    context.evidence.disturbed[vm] = [Word(at_s, until_s=at_s + 3.0)]


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
        context.start.seen.append(seen)
        context.evidence.calls[request_id] = Call(at_s, line, status)


def _stream(number, goes_on=True):
    """Return a stream of three events, of which the last two were resumed."""
    begun = Attempt(f"0-a{number}", "vm-1", 10.0, False, 200, ["v1"], held_s=0.1)
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
