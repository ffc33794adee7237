"""Steps of tests/bench/soak.feature."""

from behave import given, then, when

from bench.soak.checks import check_all
from bench.soak.evidence import Call, Evidence, Start, Word
from bench.soak.plan import draw_plan
from bench.soak.run import play
from standins.routed.endpoint import Seen

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


@then("the soak finds {broken}")
def step_found(context, broken):
    rules = {breach.split()[0] for breach in check_all(context.evidence)}
    assert rules == (set() if broken == "nothing" else {broken}), rules


@then("a soak of {seconds:d} s with seed {seed:d} breaks no rule")
def step_soak(context, seconds, seed):
    evidence = context.run(play(draw_plan(seed, seconds, 4, 6)))
    assert evidence.statuses[200] > 0, evidence.statuses
    assert not check_all(evidence), check_all(evidence)
