"""Holds what reached the endpoints against the rules of the users' pages."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from bench.soak.evidence import UNTIL_THE_END_S, vm_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.evidence import Evidence, Start, Word
    from standins.routed.endpoint import Seen
    from standins.routed.streams import Attempt, CallerStream


STABLE_S = 3.0
SPAN_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_BESIDE = 5
DRAIN_S = 2.0
REST_FROM_S = 0.5
REST_MOST = 2
CUT_FAILED_MOST = 10
CUT_FAILED_EACH = 50
CUT_SERVED_LEAST = 2 / 3
ONCE_PATH = "/plain/file/"
RESUMED_LEAST = 12
GONE_ON_LEAST = 0.5
FEWEST_OF_VERSION = 2


def check_all(evidence: Evidence) -> list[str]:
    """Return every broken rule in words."""
    checks = (
        _limits,
        _departures,
        _rests,
        _once,
        _refusals,
        _cuts,
        _versions,
        _resumed,
    )
    return [breach for check in checks for breach in check(evidence)]


def _request_id(seen: Seen) -> str:
    return seen.headers.get("request-id", "")


def _by_vm(start: Start) -> dict[int, list[Seen]]:
    found = defaultdict(list)
    for seen in start.seen:
        found[vm_of(_request_id(seen))].append(seen)
    return found


def _is_excused(evidence: Evidence, vm: int, from_s: float, to_s: float) -> bool:
    spans = evidence.disturbed.get(vm, ())
    return any(span.from_s <= to_s and span.until_s >= from_s for span in spans)


def _limits(evidence: Evidence) -> Iterator[str]:
    for start in evidence.starts:
        for word in start.limits:
            yield from _limit(evidence, start, word)


def _limit(evidence: Evidence, start: Start, word: Word) -> Iterator[str]:
    times_s = sorted(
        seen.at_s
        for vm, all_seen in _by_vm(start).items()
        for seen in all_seen
        if word.from_s + STABLE_S <= seen.at_s < word.until_s
        and not _is_excused(evidence, vm, word.from_s, seen.at_s)
    )
    held = [sum(at <= one < at + SPAN_S for one in times_s) for at in times_s]
    most = LIMIT_FACTOR * SPAN_S * word.value + LIMIT_BESIDE
    if max(held, default=0) > most:
        yield f"LIMIT {start.name}: {max(held)} of {most:g} at {word.value:g} a second"


def _departures(evidence: Evidence) -> Iterator[str]:
    for start in evidence.starts:
        for vm, all_seen in _by_vm(start).items():
            answered = [s.at_s for s in all_seen if s.ran and s.at_s >= start.leaves_s]
            if not answered:
                continue
            told_s = min(answered)
            late = [
                seen
                for seen in all_seen
                if evidence.calls[_request_id(seen)].sent_s > told_s + DRAIN_S
                and not _is_excused(evidence, vm, told_s, seen.at_s)
            ]
            if late:
                yield f"DRAIN {start.name}: {len(late)} late from VM {vm}"


def _rests(evidence: Evidence) -> Iterator[str]:
    for start in evidence.starts:
        rest_s = max((word.value for word in start.rests), default=0.0)
        for vm, all_seen in _by_vm(start).items():
            for asked in (seen.at_s for seen in all_seen if seen.turned_away):
                got = sum(
                    asked + REST_FROM_S < seen.at_s < asked + rest_s
                    for seen in all_seen
                )
                excused = _is_excused(evidence, vm, asked, asked + rest_s)
                if got > REST_MOST and not excused:
                    yield f"BUDGET {start.name}: {got} from VM {vm} in its rest"


def _runs(evidence: Evidence) -> Counter[str]:
    """Count the runs of requests that may run once."""
    return Counter(
        _request_id(seen)
        for start in evidence.starts
        for seen in start.seen
        if seen.ran and ONCE_PATH in seen.line
    )


def _once(evidence: Evidence) -> Iterator[str]:
    for request_id, runs in _runs(evidence).items():
        if runs > 1:
            yield f"TWICE {request_id}: {runs} runs"


def _refusals(evidence: Evidence) -> Iterator[str]:
    for request_id in _runs(evidence):
        status = evidence.calls[request_id].status
        if status in (429, 503):
            yield f"REFUSED {request_id}: {status}, and it has run"


def _versions(evidence: Evidence) -> Iterator[str]:
    for stream in evidence.streams:
        if len(stream.versions) > 1 or stream.has_gaps:
            attempts = [(each.request_id, each.versions) for each in stream.attempts]
            yield f"ORDER {stream.event_ids} by {attempts}"


def _resumed(evidence: Evidence) -> Iterator[str]:
    """Compare streams that callers resume at VMs in order with new ones there."""
    gone_on: dict[bool, list[bool]] = {True: [], False: []}
    for stream in evidence.streams:
        for attempt in stream.attempts:
            if attempt.held_s and _is_owed(evidence, stream, attempt):
                gone_on[attempt.resumes].append(attempt.goes_on)
    resumed, begun = gone_on[True], gone_on[False]
    if len(resumed) < RESUMED_LEAST or not begun:
        return
    least = GONE_ON_LEAST * sum(begun) / len(begun)
    if sum(resumed) / len(resumed) < least:
        yield (
            f"LOST {sum(resumed)} of {len(resumed)} resumed streams, {sum(begun)} of "
            f"{len(begun)} new ones"
        )


def _is_owed(evidence: Evidence, stream: CallerStream, attempt: Attempt) -> bool:
    """Return whether an attempt came to a VM in order, with endpoints to serve it."""
    from_s, until_s = attempt.sent_s - STABLE_S, attempt.sent_s + attempt.held_s
    vm = vm_of(attempt.request_id)
    if _is_excused(evidence, vm, attempt.sent_s, until_s):
        return False
    if not attempt.resumes:
        return True
    serving = [
        start
        for start in evidence.starts
        if start.version in stream.versions and start.serves(from_s, until_s)
    ]
    return len(serving) >= FEWEST_OF_VERSION


def _cuts(evidence: Evidence) -> Iterator[str]:
    """Compare the callers of a cut VM with those of VMs that nothing happens to."""
    for vm, cut in evidence.cuts:
        from_s = cut.from_s + STABLE_S
        until_s = cut.until_s - STABLE_S
        is_open = cut.until_s == UNTIL_THE_END_S
        if is_open or any(
            span is not cut and span.from_s <= until_s and span.until_s >= from_s
            for span in evidence.disturbed[vm]
        ):
            continue
        ends: dict[bool, list[bool]] = {True: [], False: []}
        for request_id, call in evidence.calls.items():
            at = vm_of(request_id)
            if not from_s <= call.sent_s < until_s - SPAN_S / 2:
                continue
            if at == vm or not _is_excused(evidence, at, from_s, until_s):
                ends[at == vm].append(call.status == 200)
        own, others = ends[True], ends[False]
        failed = own.count(False)
        if failed <= CUT_FAILED_MOST + len(own) / CUT_FAILED_EACH or not others:
            continue
        if sum(own) / len(own) < CUT_SERVED_LEAST * sum(others) / len(others):
            yield (
                f"RECOVER VM {vm}: {sum(own)} of {len(own)}, the others {sum(others)} "
                f"of {len(others)}"
            )
