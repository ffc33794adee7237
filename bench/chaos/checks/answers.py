"""Answers are whole and the caller's own, and "not run" is true."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from xxhash import xxh3_64_hexdigest

from bench.caller import expected_text
from bench.chaos.checks.breach import Breach, describe_call
from bench.chaos.plan import Manner

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.chaos.records import CallResult, EndpointRun, Evidence

_NOT_RUN = "not_run"


def check_answers(evidence: Evidence) -> Iterator[Breach]:
    """Yield each answer that was foreign, damaged or cut without a word."""
    for result in evidence.results:
        problem = _answer_problem(result)
        if problem:
            yield Breach("own_whole_answer", f"{problem}: {describe_call(result)}")


def check_versions(evidence: Evidence) -> Iterator[Breach]:
    """Yield each answer whose events were made by engines of two versions."""
    for result in evidence.results:
        versions = result.record.versions
        if len(versions) > 1:
            detail = f"{sorted(versions)}: {describe_call(result)}"
            yield Breach("one_version", detail)


def check_not_run(evidence: Evidence) -> Iterator[Breach]:
    """Yield each ``not_run`` of which an endpoint knows."""
    runs = evidence.runs_by_mark()
    by_request = _runs_by_request(evidence)
    calls_of_mark: dict[str, list[CallResult]] = {}
    for result in evidence.results:
        calls_of_mark.setdefault(result.planned.mark, []).append(result)
    for result in evidence.results:
        if result.record.outcome != _NOT_RUN:
            continue
        found = by_request.get(result.record.request_id, [])
        together = calls_of_mark[result.planned.mark]
        if all(each.record.outcome == _NOT_RUN for each in together):
            found = found or runs.get(result.planned.mark, [])
        if found:
            shown = ", ".join(str(run) for run in found)
            yield Breach("not_run_is_true", f"ran ({shown}): {describe_call(result)}")


def _answer_problem(result: CallResult) -> str:
    record, call = result.record, result.planned
    if call.manner is Manner.JOB:
        return _refusal_problem(result)
    if record.status == 200 and call.manner is Manner.PLAIN:
        return "" if record.error else _plain_problem(result)
    if record.status == 200:
        return _engine_problem(result)
    return _refusal_problem(result)


def _engine_problem(result: CallResult) -> str:
    record, call = result.record, result.planned
    expected = expected_text(call.prompt, call.answer_tokens)
    ended_early = bool(record.error or record.outcome)
    if record.text == expected:
        return ""
    if call.manner is Manner.WHOLE:
        return "" if ended_early else "damaged document"
    if not expected.startswith(record.text):
        return f"foreign or damaged text {record.text[-60:]!r}"
    return "" if ended_early else f"cut without a word at {record.tokens} tokens"


def _plain_problem(result: CallResult) -> str:
    call = result.planned
    body = b"" if call.idempotent else call.group.encode()
    try:
        answer = msgspec.json.decode(result.record.text)
    except msgspec.DecodeError:
        return f"damaged answer {result.record.text[:60]!r}"
    own_path = str(answer.get("path", "")).strip("/") == call.path
    if own_path and answer.get("echo_digest") == xxh3_64_hexdigest(body):
        return ""
    return f"foreign answer {result.record.text[:90]!r}"


def _refusal_problem(result: CallResult) -> str:
    record = result.record
    if record.status in (0, 200, 202) or record.outcome:
        return ""
    if result.planned.manner is Manner.PLAIN and record.status == 503:
        # A service's own refusal passes through as it is.
        return ""
    return "untyped refusal"


def _runs_by_request(evidence: Evidence) -> dict[str, list[EndpointRun]]:
    found: dict[str, list[EndpointRun]] = {}
    for run in evidence.runs:
        # A retry appends its number to the request's id.
        found.setdefault(run.request_id.split(".")[0], []).append(run)
    return found
