"""Steps of tests/rollouts/judge.feature."""

import random
from dataclasses import dataclass

from behave import given, then, when

from pomelolane.rollouts import VersionAnswer, VersionJudge

ROUTES = ("long", "short", "rare")
ROUTE_WEIGHTS = (5, 4, 2)
ANSWERS_PER_NEW = 6
"""One answer in this many comes from the new version."""

ENDPOINTS = 12
BURST_ANSWERS = 8
SPEEDS = (0.7, 0.7, 3.0)
USUAL_ERROR_SHARE = 0.01
ONSET_ANSWERS = 100
ANSWER_MS = 10.0


@dataclass(frozen=True)
class Case:
    """Behaviour of the two versions in a test case.

    Attributes:
        fails: Returns the new version's share of failed answers, given the route and
            the number of its answers so far.
        slows: Returns the factor by which an answer of the new version is slower.
        both_fail: Returns the share of failed answers of both versions.
        failing_endpoints: Returns the ids of faulty endpoints.
        overload: Whether both versions are slow for a while.
    """

    fails: object = None
    slows: object = None
    both_fail: object = None
    failing_endpoints: object = None
    overload: bool = False


CASES = {
    "failing for half": Case(fails=lambda route, n: 0.5),
    "failing for a fifth": Case(fails=lambda route, n: 0.2),
    "failing on one route of three": Case(
        fails=lambda route, n: 0.6 if route == "short" else 0.0
    ),
    "failing from answer 100 on": Case(
        fails=lambda route, n: 0.5 * (n > ONSET_ANSWERS)
    ),
    "slower by six times": Case(slows=lambda draw: 6.0),
    "slower by four times for half": Case(
        slows=lambda draw: 4.0 if draw.random() < 0.5 else 1.0
    ),
    "good": Case(),
    "good, and both versions fail for a seventh": Case(both_fail=lambda n: 1 / 7),
    "good, and both versions begin to fail": Case(
        both_fail=lambda n: 0.5 * (n > ONSET_ANSWERS)
    ),
    "good, and one of its endpoints fails": Case(
        failing_endpoints=lambda draw: {"new-3"}
    ),
    "good, and a seventh of all endpoints fails": Case(
        failing_endpoints=lambda draw: {
            f"{version}-{n}"
            for version in ("old", "new")
            for n in range(ENDPOINTS)
            if draw.random() < 1 / 7
        }
    ),
    "good, and all are overloaded for a while": Case(overload=True),
}


@given("a judge for a version that is {case} on endpoints of different speeds")
def step_case(context, case):
    context.case = CASES[case]


@when("up to {answers:d} of its answers are judged in {trials:d} seeded trials")
def step_trials(context, answers, trials):
    context.judges = [_run_trial(context.case, answers, seed) for seed in range(trials)]


def _run_trial(case, answers, seed):
    draw = random.Random(seed)
    judge = VersionJudge()
    judge.new_endpoints = ENDPOINTS
    failing = case.failing_endpoints(draw) if case.failing_endpoints else set()
    speeds = {
        f"{version}-{n}": draw.choice(SPEEDS)
        for version in ("old", "new")
        for n in range(ENDPOINTS)
    }
    now_ms = 0.0
    while judge.new_answers < answers and not judge.is_bad:
        now_ms += ANSWER_MS
        answer = _answer(case, judge, draw, failing, speeds)
        if answer.endpoint_id not in judge.outliers:
            judge.add(answer, now_ms)
        elif len(judge.outliers) == ENDPOINTS:
            break
        else:
            judge.new_answers += 1
    return judge


def _answer(case, judge, draw, failing, speeds):
    is_new = draw.randrange(ANSWERS_PER_NEW) == 0
    route = draw.choices(ROUTES, ROUTE_WEIGHTS)[0]
    number = judge.new_answers
    burst_endpoint = number // BURST_ANSWERS % ENDPOINTS
    name = f"new-{burst_endpoint}" if is_new else f"old-{draw.randrange(ENDPOINTS)}"
    fail_share = USUAL_ERROR_SHARE
    if is_new and case.fails:
        fail_share = max(fail_share, case.fails(route, number))
    if case.both_fail:
        fail_share = max(fail_share, case.both_fail(number))
    if name in failing:
        fail_share = 0.5
    slowness = speeds[name] * draw.lognormvariate(0.0, 0.35)
    if is_new and case.slows:
        slowness *= case.slows(draw)
    if case.overload and ONSET_ANSWERS < number < 2 * ONSET_ANSWERS:
        slowness *= draw.uniform(1.0, 8.0)
    return VersionAnswer(name, route, is_new, draw.random() < fail_share, slowness)


@then("it is rejected in {least:d} trials at least, after {most:d} bad answers at most")
def step_rejected(context, least, most):
    found = [judge for judge in context.judges if judge.is_bad]
    late = [judge.bad_answers for judge in found if judge.bad_answers > most]
    assert len(found) >= least and not late, (len(found), late)


@then("it is rejected in {most:d} trial at most")
def step_not_rejected(context, most):
    reasons = [judge.reason for judge in context.judges if judge.is_bad]
    assert len(reasons) <= most, reasons
