"""Steps of the checks on records."""

from __future__ import annotations

from behave import given, then

from bench.caller import CallRecord, answer_tag, expected_text
from bench.evidence import Run, engine_attempt, find_broken_promises

_PROMPT = "how many hauls?"
_TOKENS = 5
_REQUEST_ID = "r1"


def _record(answer: str, request_id: str = _REQUEST_ID) -> CallRecord:
    whole = expected_text(_PROMPT, _TOKENS)
    short = expected_text(_PROMPT, _TOKENS - 1)
    records = {
        "its whole answer": CallRecord(status=200, text=whole),
        "not_run": CallRecord(status=503, outcome="not_run"),
        "unknown": CallRecord(status=409, outcome="unknown"),
        "a foreign answer": CallRecord(status=200, text=expected_text("?", _TOKENS)),
        "a short answer": CallRecord(status=200, text=short),
        "a short typed answer": CallRecord(status=200, text=short, outcome="cut_short"),
        "nothing at all": CallRecord(),
    }
    record = records[answer]
    record.request_id = request_id
    return record


@given("evidence of a {kind} call that got {answer}")
def step_call(context, kind, answer):
    repeatable = kind == "repeatable"
    attempt = engine_attempt(_record(answer), _PROMPT, _TOKENS, repeatable=repeatable)
    context.attempts = [attempt]


@given("the evidence has {count:d} runs of it")
def step_runs(context, count):
    tag = answer_tag(_PROMPT)
    context.runs = [Run(f"e{number}", _REQUEST_ID, tag) for number in range(count)]


@given("evidence of a repeat that got {answer}")
def step_repeat(context, answer):
    record = _record(answer, "r2")
    context.attempts.append(engine_attempt(record, _PROMPT, _TOKENS))


@then("the evidence names {count:d} broken promises")
def step_faults(context, count):
    found = find_broken_promises(context.attempts, context.runs)
    assert len(found) == count, found
