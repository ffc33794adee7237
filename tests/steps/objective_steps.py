"""Steps for the objective policy and for limits in a sliding window."""

from dataclasses import replace

import msgspec
from behave import given, then, when
from scheduler_driver import CoreDriver, endpoint_from_row, make_handle

from pomelolane.model import Limits, Organisation
from pomelolane.outcomes import Reason, Refusal
from pomelolane.ports import Grant
from pomelolane.scheduler.rate_limiting import SlidingWindow, TokenUse

LONG_ANSWER_TOKENS = 3000


def _handle(name, rank=1, objective_ms=10_000, budget_ms=60_000, **fields):
    row = {"id": name, "tier": rank, "budget_ms": budget_ms, **fields}
    late_ms = budget_ms - objective_ms
    return make_handle(
        row,
        objective_ms=objective_ms,
        late_window_ms=late_ms,
        charge_tokens=fields.get("charge", 0),
    )


@given("an objective core with the endpoints")
def step_core(context):
    endpoints = [endpoint_from_row(row) for row in context.table]
    context.core = CoreDriver(endpoints, policy="objective")


@given("every slot is in use")
def step_full(context):
    total = sum(endpoint.slots for endpoint in context.core.endpoints)
    for number in range(total):
        context.core.submit(_handle(f"full{number}", decode=500))
    assert len(context.core.running) == total


@when("the objective core receives the requests")
def step_receive(context):
    for row in context.table:
        cells = dict(row.items())
        budget_ms = int(cells.get("budget_ms", 60_000))
        handle = _handle(row["id"], row["rank"], int(row["objective_ms"]), budget_ms)
        patience_ms = int(cells.get("patience_ms", 0))
        handle = msgspec.structs.replace(handle, patience_ms=patience_ms)
        context.core.submit(handle)


@when('one running request on "{endpoint}" finishes')
def step_ends(context, endpoint):
    running = context.core.running.items()
    context.core.end(next(name for name, where in running if where == endpoint))


@when("{ms:d} ms pass for the objective core")
def step_pass(context, ms):
    context.core.tick(ms)


@then('"{first}" is granted and "{second}" waits')
def step_granted_waits(context, first, second):
    assert isinstance(context.core.result(first), Grant)
    assert second not in context.core.decisions


@then('"{name}" waits')
def step_waits(context, name):
    assert name not in context.core.decisions


@then('"{name}" is granted on "{endpoint}"')
def step_granted(context, name, endpoint):
    assert context.core.result(name).endpoint_id == endpoint


@then('"{name}" is refused as "{reason}" with a retry delay')
def step_refused(context, name, reason):
    result = context.core.result(name)
    assert isinstance(result, Refusal), result
    assert result.reason.value == reason
    assert result.retry_after_ms > 0


def _run_on(context, endpoint, name, **fields):
    """Submit requests until one is granted on an endpoint; return its id."""
    for number in range(50):
        one = f"{name}.{number}"
        context.core.submit(_handle(one, **fields))
        if context.core.running.get(one) == endpoint:
            return one
    raise AssertionError(f"{endpoint} was never chosen")


@given('"{slow}" has answered four times slower than "{fast}"')
def step_slower(context, slow, fast):
    for number in range(12):
        for endpoint, ms in ((slow, 110.0), (fast, 27.0)):
            # Ten events of six tokens: the policy's initial estimate.
            one = _run_on(context, endpoint, f"warm{number}{endpoint}", decode=60)
            context.core.event(one, ttft_ms=ms)
            context.core.event(one, tokens=10, elapsed_ms=ms * 10)
            for name in list(context.core.running):
                context.core.event(name, finished=True)


@when('"{endpoint}" gets one more prompt to read and a long request arrives')
def step_long(context, endpoint):
    _run_on(context, endpoint, "prompt", prefill=20_000)
    handle = _handle("long", decode=LONG_ANSWER_TOKENS)
    context.core.submit(handle)


@then('the long request is granted on "{endpoint}"')
def step_long_granted(context, endpoint):
    assert context.core.result("long").endpoint_id == endpoint


def _submit_stream(context, name, prompt_tokens, gap_ms):
    row = {"id": name, "tier": 1, "budget_ms": 60_000, "prefill": prompt_tokens}
    handle = make_handle(row, objective_ms=10_000, late_window_ms=50_000, gap_ms=gap_ms)
    context.core.submit(handle)


@given('a stream runs on "{endpoint}" that may pause for {gap_ms:d} ms')
def step_stream(context, endpoint, gap_ms):
    context.gap_ms = gap_ms
    _submit_stream(context, "stream", 0, gap_ms)
    assert context.core.running["stream"] == endpoint
    context.core.event("stream", ttft_ms=25.0)


@when('prompts of {tokens:d} tokens arrive as "{first}" and "{second}"')
def step_prompts(context, tokens, first, second):
    for name in (first, second):
        _submit_stream(context, name, tokens, context.gap_ms)


@when("{count:d} requests of {tokens:d} prompt tokens are served")
def step_prompts_served(context, count, tokens):
    for number in range(count):
        name = f"read{number}"
        _submit_stream(context, name, tokens, 0)
        context.core.event(name, ttft_ms=20.0)
        context.core.event(name, finished=True)


@then("at most {most:d} read prompts are kept")
def step_prompts_bounded(context, most):
    (worker,) = context.core.core._fleet
    assert 0 < len(worker.recent_prompts) <= most


@when('"{name}" begins to answer')
def step_begins(context, name):
    context.core.event(name, ttft_ms=140.0)


@when('{count:d} request on "{endpoint}" gets no answer for {ms:d} ms')
@when('{count:d} requests on "{endpoint}" get no answer for {ms:d} ms')
def step_silent(context, count, endpoint, ms):
    kept = {_run_on(context, endpoint, f"silent{n}") for n in range(count)}
    for name in set(context.core.running) - kept:
        context.core.end(name)
    context.suspended = False
    for _ in range(ms // 50):
        context.core.tick(50)
        figures = context.core.core.status()[endpoint]
        context.suspended = context.suspended or figures.suspended


@when('{count:d} requests on "{endpoint}" fail after their first byte')
def step_failing(context, count, endpoint):
    for number in range(count):
        one = _run_on(context, endpoint, f"failing{number}")
        context.core.event(one, ttft_ms=20.0)
        context.core.event(one, finished=True, outcome="failed")
    context.suspended = context.core.core.status()[endpoint].suspended


@given('"{endpoint}" has broken {count:d} connections in a row')
def step_broken(context, endpoint, count):
    for number in range(count):
        one = _run_on(context, endpoint, f"broken{number}")
        context.core.event(one, finished=True, outcome="failed")
    assert context.core.core.status()[endpoint].suspended


@then('"{endpoint}" is suspended')
def step_suspended(context, endpoint):
    assert context.suspended


@then('"{endpoint}" is not suspended')
def step_not_suspended(context, endpoint):
    assert not context.suspended


# --- the sliding window --------------------------------------------------------


@given("a window of {bound:d} tokens in {ms:d} ms")
def step_window(context, bound, ms):
    context.window = SlidingWindow(bound, ms, 0.0)


@given("a window of {bound:d} tokens in {ms:d} ms with {spare:d} to spare")
def step_window_spare(context, bound, ms, spare):
    context.window = SlidingWindow(bound, ms, spare)


@when("{tokens:d} tokens pass at {ms:d} ms")
def step_take(context, tokens, ms):
    assert context.window.wait_ms(tokens, ms) == 0
    context.window.take(tokens, ms)
    context.window.record_passed(tokens, ms, ms)


@when("the bound becomes {bound:d}")
def step_bound(context, bound):
    context.window.configure(bound, 0.0)


@when("it is guessed to be used at {ms:d} ms")
def step_guess(context, ms):
    context.window.assume_used(1.0, ms)


@when("the record of {tokens:d} tokens at {ms:d} ms is taken")
def step_record(context, tokens, ms):
    context.window.clear_reported()
    context.window.add_reported(tokens, ms)


@when("{tokens:d} tokens passed elsewhere at {ms:d} ms, where {bound:d} were the bound")
def step_passed_elsewhere(context, tokens, ms, bound):
    context.window.add_reported(tokens, ms, bound)


@then("{tokens:d} tokens must wait {wait_ms:d} ms at {ms:d} ms")
def step_must_wait(context, tokens, wait_ms, ms):
    assert context.window.wait_ms(tokens, ms) == wait_ms


@then("{tokens:d} tokens may pass at {ms:d} ms")
def step_may(context, tokens, ms):
    assert context.window.wait_ms(tokens, ms) == 0


@when("the uses are recorded")
def step_recorded(context):
    context.window.mark_recorded()


@then("{share:f} of the bound is unrecorded")
@then("{share:f} of the allowance is unrecorded")
def step_unrecorded(context, share):
    assert abs(context.window.unrecorded_share() - share) < 1e-6


@given('the organisation "{name}" may use {tokens:d} tokens in {ms:d} ms')
def step_organisation(context, name, tokens, ms):
    limits = Limits(tokens_per_s=tokens / (ms / 1000), window_ms=ms)
    context.core.tree = {"organisations": [Organisation(name, "", "", limits=limits)]}
    context.core.configure(context.core.endpoints)
    context.passed = 0


def _charged(name, tokens, attempt=0):
    row = {"id": name, "tier": 1, "organisation": "o"}
    return make_handle(
        row,
        objective_ms=10_000,
        late_window_ms=50_000,
        charge_tokens=tokens,
        attempt=attempt,
    )


@when(
    'a request of {tokens:d} tokens of "o" is refused by its endpoint '
    "and submitted again as new"
)
def step_refused_and_tried(context, tokens):
    context.core.submit(_charged("r.0", tokens))
    context.core.cut_off("r.0")
    context.core.tick(5_000)
    context.core.submit(_charged("r.1", tokens))
    assert isinstance(context.core.result("r.1"), Grant)


@when(
    'a request of {tokens:d} tokens of "o" fails '
    "and its retry is withdrawn while it waits"
)
def step_retry_withdrawn(context, tokens):
    context.core.submit(_charged("r.0", tokens))
    context.core.event("r.0", finished=True, outcome="failed")
    context.core.submit(_charged("other", 0))
    context.core.submit(_charged("r.1", tokens, attempt=1))
    assert "r.1" not in context.core.decisions
    context.core.forget("r.1")


@when(
    'a request of {tokens:d} tokens of "o" waits, is withdrawn '
    "and is submitted again as admitted"
)
def step_back_admitted(context, tokens):
    context.core.submit(_charged("other", 0))
    waiting = _charged("r.0", tokens)
    context.core.submit(waiting)
    context.core.forget("r.0")
    context.core.submit(msgspec.structs.replace(waiting, admitted=True))


@when(
    'a request of {tokens:d} tokens of "o" arrives that another scheduler has admitted'
)
def step_admitted_elsewhere(context, tokens):
    context.core.submit(msgspec.structs.replace(_charged("a.0", tokens), admitted=True))


@when("one of {tokens:d} tokens arrives after it that another scheduler has admitted")
def step_another_admitted(context, tokens):
    context.core.submit(msgspec.structs.replace(_charged("a.1", tokens), admitted=True))


@then("the core refuses it for its organisation's limit")
def step_refused_for_limit(context):
    assert context.core.result("a.1").reason is Reason.TOKEN_LIMIT


@then('exactly {tokens:d} tokens of "o" may still pass')
def step_remaining(context, tokens):
    (window,) = context.core.core.limits._windows()
    assert window.wait_ms(tokens, context.core.now) == 0
    assert window.wait_ms(tokens + 1, context.core.now) > 0


@when('a request of {tokens:d} tokens of "o" waits {ms:d} ms for its slot')
def step_waits_for_slot(context, tokens, ms):
    slots = sum(endpoint.slots for endpoint in context.core.endpoints)
    others = [f"other{number}" for number in range(slots)]
    for name in others:
        context.core.submit(_charged(name, 0))
    context.core.submit(_charged("r.0", tokens))
    context.core.tick(ms)
    assert "r.0" not in context.core.decisions
    for name in others:
        context.core.end(name)
    assert isinstance(context.core.result("r.0"), Grant)


@then('"o" has used {tokens:d} tokens')
def step_has_used(context, tokens):
    uses = context.core.core.limits.uses(context.core.now)
    assert sum(use.tokens for use in uses) == tokens, uses


@when("{tokens:d} tokens charged at {then_ms:d} ms are refunded at {ms:d} ms")
def step_refunded(context, tokens, then_ms, ms):
    assert context.window.wait_ms(1, ms) >= 0
    context.window.give_back(tokens, then_ms)


@when("the core may let {share:f} of the rates pass")
def step_share(context, share):
    context.core.core.limit_rates(share, context.core.now)


@when("{ms:d} ms pass, with {share:f} of the rates")
def step_pass_share(context, ms, share):
    for _ in range(ms // 50):
        context.core.tick(50)
        context.core.core.limit_rates(share, context.core.now)


@then('the core lets {tokens:d} tokens of "{name}" pass')
def step_lets(context, tokens, name):
    step = 100
    passed = 0
    for number in range(30):
        one = f"use{context.passed}.{number}"
        handle = _handle(one, charge=step, organisation=name)
        context.core.submit(handle)
        if isinstance(context.core.result(one), Grant):
            passed += step
    context.passed += 1
    assert passed == tokens, passed
    uses = context.core.core.limits.uses(context.core.now)
    assert all(isinstance(use, TokenUse) for use in uses)


@given("a handle with {budget_ms:d} ms of budget and {patience_ms:d} ms of patience")
def step_patient_handle(context, budget_ms, patience_ms):
    handle = _handle("patient", budget_ms=budget_ms)
    context.handle = msgspec.structs.replace(handle, patience_ms=patience_ms)


@when("it is registered again with {budget_ms:d} ms of budget")
def step_registered_again(context, budget_ms):
    context.handle = context.handle.with_budget(budget_ms, admitted=True)


@then("its patience is {patience_ms:d} ms")
def step_patience(context, patience_ms):
    assert context.handle.patience_ms == patience_ms


@given('a prompt of {tokens:d} tokens is being read on "{endpoint}"')
def step_reading(context, tokens, endpoint):
    _run_on(context, endpoint, "reading", prefill=tokens)


@when('a request arrives in data centre "{place}"')
def step_arrives(context, place):
    handle = msgspec.structs.replace(_handle("placed"), data_centre=place)
    context.core.submit(handle)


@then('it is granted on "{endpoint}"')
def step_placed(context, endpoint):
    assert context.core.result("placed").endpoint_id == endpoint


@given("{count:d} answers of {tokens:d} expected tokens that had {events:d} events")
def step_answers(context, count, tokens, events):
    for number in range(count):
        name = f"sized{number}"
        context.core.submit(_handle(name, decode=tokens))
        context.core.event(name, ttft_ms=25.0)
        context.core.event(name, tokens=events, elapsed_ms=events * 20.0)
        context.core.event(name, finished=True)


@then("an answer of {tokens:d} tokens is expected to have {least:d} to {most:d} events")
def step_expected_events(context, tokens, least, most):
    worker = next(iter(context.core.core._fleet))
    events = worker._expected_events(_handle("expected", decode=tokens))
    assert least <= events <= most, events


@when('"{endpoint}" restarts under the same id')
def step_restarts(context, endpoint):
    context.before = next(iter(context.core.running))
    context.core.endpoints = [
        replace(one, born_ms=one.born_ms + 1) if one.endpoint_id == endpoint else one
        for one in context.core.endpoints
    ]
    context.core.configure(context.core.endpoints)


@then('"{endpoint}" has the statistics of a new endpoint')
def step_new_statistics(context, endpoint):
    figures = context.core.core.status()[endpoint]
    assert figures.slowdown == 1.0, figures
    assert figures.fail_share == 0.0, figures
    assert not figures.suspended, figures


@when('an event arrives of a request from before the restart of "{endpoint}"')
def step_late_event(context, endpoint):
    del endpoint
    context.core.event(context.before, ttft_ms=9_000.0)
    context.core.event(context.before, finished=True, outcome="failed")


@then('{count:d} requests run on "{endpoint}"')
def step_run_on(context, count, endpoint):
    assert context.core.core.status()[endpoint].running == count
