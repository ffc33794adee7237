"""Checks the promises from what callers got and what endpoints ran.

Every logical request has a prompt or body of its own, so that its mark finds
it at the endpoints even where the caller never heard its request id.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh3_64_hexdigest

from bench.caller import answer_tag, expected_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bench.caller import CallRecord
    from bench.cluster import Cluster

_NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call and what its caller got.

    Attributes:
        record: What the caller got.
        mark: Names the logical request; the same for each repeat of it.
        repeatable: Whether it may run more than once.
        whole_text: The one right answer, empty where any will do.
    """

    record: CallRecord
    mark: str
    repeatable: bool = False
    whole_text: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """One request that an endpoint received whole.

    Attributes:
        endpoint_id: Where.
        request_id: Id by which the endpoint knows it.
        mark: Names the logical request.
    """

    endpoint_id: str
    request_id: str
    mark: str


def engine_attempt(
    record: CallRecord, prompt: str, output_tokens: int, *, repeatable: bool = False
) -> Attempt:
    """Return a call to a service of model engines as evidence."""
    whole_text = expected_text(prompt, output_tokens)
    return Attempt(record, answer_tag(prompt), repeatable, whole_text)


def plain_attempt(
    record: CallRecord, body: bytes, *, repeatable: bool = False
) -> Attempt:
    """Return a call to a plain service as evidence."""
    return Attempt(record, xxh3_64_hexdigest(body), repeatable)


async def collect_runs(cluster: Cluster) -> list[Run]:
    """Read what all endpoints of a cluster have ever received."""
    found = await asyncio.gather(*(item.runs() for item in cluster.endpoints))
    return [
        Run(
            endpoint.endpoint_id,
            run["request_id"],
            run.get("tag") or run["body_digest"],
        )
        for endpoint, runs in zip(cluster.endpoints, found, strict=True)
        for run in runs
    ]


def find_second_runs(attempts: Sequence[Attempt], runs: Iterable[Run]) -> list[str]:
    """Name each request that ran twice though it may run at most once."""
    once = {attempt.mark for attempt in attempts if not attempt.repeatable}
    places: defaultdict[str, list[str]] = defaultdict(list)
    for run in runs:
        places[run.mark].append(f"{run.request_id}@{run.endpoint_id}")
    return [
        f"{mark} ran {len(found)} times: {', '.join(found)}"
        for mark, found in places.items()
        if mark in once and len(found) > 1
    ]


def find_false_not_runs(attempts: Sequence[Attempt], runs: Iterable[Run]) -> list[str]:
    """Name each answer of "not run" whose request an endpoint holds.

    A repeat that was not sent says so truthfully though an earlier call with
    its key ran; where all calls of a request say "not run", nothing may have
    run of it under any id.
    """
    ids: set[str] = set()
    marks: set[str] = set()
    for run in runs:
        ids.add(run.request_id.partition(".")[0])
        marks.add(run.mark)
    others = {item.mark for item in attempts if item.record.outcome != _NOT_RUN}
    false = []
    for item in attempts:
        if item.record.outcome != _NOT_RUN:
            continue
        by_id = item.record.request_id in ids
        by_mark = item.mark in marks and item.mark not in others
        if by_id or by_mark:
            false.append(f"{item.record.request_id} {item.record.reason} did run")
    return false


def find_wrong_answers(attempts: Iterable[Attempt]) -> list[str]:
    """Name each answer that is not the caller's own, whole or clearly ended."""
    wrong = []
    for item in attempts:
        fault = _fault_of(item)
        if fault:
            wrong.append(f"{item.record.request_id} {item.mark}: {fault}")
    return wrong


def find_broken_promises(attempts: Sequence[Attempt], runs: Sequence[Run]) -> list[str]:
    """Name everything that was promised and did not hold."""
    return [
        *find_second_runs(attempts, runs),
        *find_false_not_runs(attempts, runs),
        *find_wrong_answers(attempts),
    ]


def _fault_of(attempt: Attempt) -> str:
    record = attempt.record
    if record.status != 200:
        ended = record.outcome or record.error or record.status == 202
        return "" if ended else f"status {record.status} without an outcome"
    if not attempt.whole_text or record.text == attempt.whole_text:
        return ""
    if not attempt.whole_text.startswith(record.text):
        return f"foreign or damaged text {record.text[:60]!r}"
    if not record.outcome and not record.error:
        return f"short by {len(attempt.whole_text) - len(record.text)} unnoticed"
    return ""
