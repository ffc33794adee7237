"""Steps of tests/bench/chaos."""

from dataclasses import replace

from behave import given, then, when

from bench.caller import CallRecord, answer_tag, expected_text
from bench.chaos.plan import Manner, PlannedCall
from bench.chaos.records import (
    CallResult,
    EndpointRun,
    Evidence,
    FaultRecord,
    JobEnd,
    SettingsPut,
    VersionSample,
)
from bench.chaos.run import check_all, draw_plan
from bench.chaos.schedule import Fault, FaultKind

SECONDS = 22.0
SEED = 1
PROMPT = "lance 12, camaron"
TOKENS = 6
ENDPOINT = "bitacora-tampico-1"
VM = "sala-tampico-vm1"
CALL = PlannedCall(
    number=0,
    group="g",
    repeats=False,
    at_s=0.0,
    manner=Manner.STREAM,
    service="modelo-bitacora",
    work="entry-check",
    rank=0,
    idempotent=False,
    deadline_ms=8000,
    organisation="o",
    vm=0,
    prompt=PROMPT,
    answer_tokens=TOKENS,
    key="k",
)


@when("the chaos plan of seed {seed:d} is drawn twice")
def step_draw(context, seed):
    context.plans = [draw_plan(seed, SECONDS) for _ in range(2)]


@then("both chaos plans are equal")
def step_equal(context):
    one, other = context.plans
    assert (one.faults, one.calls) == (other.faults, other.calls)


@then("the chaos plan of seed {seed:d} differs, for the same deployment")
def step_differs(context, seed):
    other = draw_plan(seed, SECONDS)
    assert other.deployment.name == context.plans[0].deployment.name
    assert other.faults != context.plans[0].faults


@then("the chaos plan of seed {seed:d} is for the other deployment")
def step_other_deployment(context, seed):
    assert draw_plan(seed, SECONDS).deployment.name != context.plans[0].deployment.name


@then("the chaos plans of {count:d} seeds hold every kind of fault")
def step_every_kind(context, count):
    context.plans = [draw_plan(seed, SECONDS) for seed in range(count)]
    kinds = {fault.kind for plan in context.plans for fault in plan.faults}
    assert kinds == set(FaultKind), set(FaultKind) - kinds


@then("every chaos plan has keyed, unkeyed, repeated and left calls, and jobs")
def step_every_call(context):
    for plan in context.plans:
        calls = plan.calls
        assert any(call.key for call in calls)
        assert not all(call.key for call in calls)
        assert any(call.repeats for call in calls)
        assert any(call.leaves_after_ms for call in calls)
        assert {call.manner for call in calls} == set(Manner)


@then("no chaos plan lets two endpoints leave")
def step_leave_once(context):
    for plan in context.plans:
        kinds = [fault.kind for fault in plan.faults]
        assert sum(kind.startswith("leaving") for kind in kinds) <= 1


def _record(**changes):
    whole = {"request_id": "r", "status": 200, "text": expected_text(PROMPT, TOKENS)}
    return CallRecord(**{**whole, "sent_at_ms": 0.0, "total_ms": 100.0, **changes})


def _result(call=CALL, job=None, **record):
    return CallResult(call, VM, "sala-tampico", _record(**record), job)


def _run(mark=None, at_ms=10.0, request="r"):
    mark = mark or answer_tag(PROMPT)
    return EndpointRun(ENDPOINT, "sala-tampico", request, mark, at_ms)


def _refused(**record):
    refused = {"status": 503, "outcome": "not_run", "reason": "queue_full", "text": ""}
    return _result(**{**refused, **record})


def _job(state, outcome="", answer=""):
    call = replace(CALL, manner=Manner.JOB)
    job = JobEnd("/v1/jobs/j", state, outcome, answer=answer)
    return Evidence([_result(call, job, status=202, text="")], [_run()])


def _fault(kind, target, began_at_ms):
    fault = Fault(0, kind, 0.0, 1.0, target)
    return FaultRecord(fault, target, began_at_ms, began_at_ms + 1000.0)


def _outlasted():
    low = replace(CALL, number=1, group="low", rank=2, prompt="resumen", key="")
    lower = _result(low, text=expected_text("resumen", TOKENS), total_ms=900.0)
    return Evidence([_refused(), lower], [_run(low.mark, 800.0, "low")])


def _frozen(vm_id, began_at_ms):
    evidence = _outlasted()
    evidence.faults = [_fault(FaultKind.VM_FREEZE, vm_id, began_at_ms)]
    return evidence


def _late_run():
    leaving = _fault(FaultKind.LEAVING_SAID, ENDPOINT, 0.0)
    return Evidence([_result()], [_run(at_ms=3500.0)], [leaving])


def _cut_by_stop():
    stop = _fault(FaultKind.VM_DRAIN, VM, 50.0)
    cut = _result(error="ClientPayloadError: x", text="")
    return Evidence([cut], [_run()], [stop])


def _samples(*versions):
    samples = [
        VersionSample(VM, float(place), {"flota": version})
        for place, version in enumerate(versions)
    ]
    return Evidence(samples=samples)


def _two_winners():
    puts = [SettingsPut("flota", 1, 0.5, 200, 2), SettingsPut("flota", 1, 0.6, 200, 3)]
    return Evidence(puts=puts, final_history={"flota": {2: 0.5, 3: 0.6}})


_EVIDENCE = {
    "a keyed call that ran once": lambda: Evidence([_result()], [_run()]),
    "a keyed call that ran twice": lambda: Evidence([_result()], [_run(), _run()]),
    "an unkeyed call of work not idempotent ran twice": lambda: Evidence(
        [_result(replace(CALL, key=""))], [_run(), _run()]
    ),
    "a call that was told not_run and ran": lambda: Evidence([_refused()], [_run()]),
    "a call that got another's answer": lambda: Evidence(
        [_result(text=expected_text("another", TOKENS))], [_run()]
    ),
    "a call that was cut without a word": lambda: Evidence(
        [_result(text=expected_text(PROMPT, TOKENS - 1))], [_run()]
    ),
    "a call that got an untyped refusal": lambda: Evidence([_result(status=500)]),
    "a call whose answer holds events of two versions": lambda: Evidence(
        [_result(text=expected_text(PROMPT, TOKENS), versions={"v1", "v2"})], [_run()]
    ),
    "a job that did not end": lambda: _job("running"),
    "a job that is done with a cut answer": lambda: _job(
        "done", answer=expected_text(PROMPT, TOKENS - 1)
    ),
    "a job that was told not_run and ran": lambda: _job("failed", "not_run"),
    "a refused call that a lower tier outlasted": _outlasted,
    "a call that a lower tier passed while its gateway was frozen": lambda: _frozen(
        VM, 700.0
    ),
    "a call that a lower tier passed before its gateway froze": lambda: _frozen(
        VM, 850.0
    ),
    "a call that a lower tier passed while another was frozen": lambda: _frozen(
        "sala-tampico-vm2", 700.0
    ),
    "a run 3.5 s after its endpoint began to leave": _late_run,
    "a VM whose settings went back": lambda: _samples(3, 2),
    "two operators who replaced the same version": _two_winners,
    "a VM that never took an accepted version": lambda: Evidence(
        last_versions={VM: {"flota": 1}}, final_versions={"flota": 2}
    ),
    "a call that was cut by a planned stop": _cut_by_stop,
}


@given("the chaos records of {what}")
def step_records(context, what):
    context.evidence = _EVIDENCE[what]()


@then("the chaos checks find nothing")
def step_nothing(context):
    found = check_all(draw_plan(SEED, SECONDS), context.evidence)
    assert not found, found


@then('the chaos checks find one broken "{promise}"')
def step_found(context, promise):
    found = check_all(draw_plan(SEED, SECONDS), context.evidence)
    assert [breach.promise for breach in found] == [promise], found
