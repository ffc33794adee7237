"""Holds what reached the endpoints against the rules of the users' pages."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from bench.soak.callers import ENGINE_PATHS, PATHS
from bench.soak.configuration import TIMEOUTS_MS
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
APPLY_S = 2.0
NOT_ALLOWED = (401, 403, 404)
REST_FROM_S = 0.5
REST_MOST = 2
CUT_FAILED_MOST = 10
CUT_FAILED_EACH = 50
CUT_SERVED_LEAST = 2 / 3
ONCE_PATH = "/plain/file/"
RESUMED_LEAST = 12
GONE_ON_LEAST = 0.5
FEWEST_OF_VERSION = 2
LOST_SLACK_S = 0.2
CRASHES = 5
PART_MOST = 3
BEGUN_LEAST = 1 / 2
CROWD_SERVED_LEAST = 3 / 4
FEWEST_CALLS = 20


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
        _drains,
        _configurations,
        _bodies,
        _unanswered,
        _broken_off,
        _parts,
        _beside_parts,
        _crowds,
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
    return any(span.touches(from_s, to_s) for span in spans)


def _is_in_touch(evidence: Evidence, vm: int, from_s: float, to_s: float) -> bool:
    """Return whether a VM and the store were in order all the time."""
    store = any(span.touches(from_s, to_s) for span in evidence.store)
    return not store and not _is_excused(evidence, vm, from_s, to_s)


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


def _drains(evidence: Evidence) -> Iterator[str]:
    """Find requests that come after the entry of a start said that it leaves."""
    for start in evidence.starts:
        until_s = start.drains_s + DRAIN_S
        late = [
            seen
            for seen in start.seen
            if seen.at_s > until_s
            and not _is_slow_beyond(evidence, seen, until_s)
            and seen.headers.get("expect-instance", start.name) == start.name
            and _is_in_touch(
                evidence, vm_of(_request_id(seen)), start.drains_s, seen.at_s
            )
        ]
        if late:
            after_s = [round(seen.at_s - start.drains_s, 3) for seen in late]
            ids = [_request_id(seen) for seen in late]
            at_s = start.drains_s - evidence.begun_s
            yield f"DRAIN {start.name}, leaves at {at_s:.2f} s: {after_s} s later {ids}"


def _is_slow_beyond(evidence: Evidence, seen: Seen, until_s: float) -> bool:
    """Return whether a caller was still sending what may have begun to arrive."""
    call = evidence.calls[_request_id(seen)]
    return call.sent_s <= until_s < call.whole_s


def _configurations(evidence: Evidence) -> Iterator[str]:
    """Find requests that are handled as only an older configuration allows."""
    ran = {
        _request_id(seen) for one in evidence.starts for seen in one.seen if seen.ran
    }
    for request_id, call in evidence.calls.items():
        spans = evidence.grants.get(call.path)
        ended_s = call.ended_s or call.sent_s
        if spans is None or not _is_in_touch(
            evidence, vm_of(request_id), call.sent_s, ended_s
        ):
            continue
        since_s = call.sent_s - APPLY_S
        known = [span for span in spans if span.from_s < since_s]
        was_there = any(span.until_s > ended_s for span in known)
        was_gone = not any(span.touches(since_s, ended_s) for span in spans)
        is_refused = call.status in NOT_ALLOWED
        is_run = request_id in ran
        if (was_there and is_refused) or (was_gone and is_run):
            last = spans[-1] if not known else known[-1]
            changed_s = last.from_s if is_refused else last.until_s
            yield (
                f"CONFIG {request_id} {call.path} at "
                f"{call.sent_s - evidence.begun_s:.2f} s: "
                f"{call.status or 'none'}, {call.sent_s - changed_s:.3f} s after"
            )


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
            if call.path not in PATHS:
                continue
            if call.part or not from_s <= call.sent_s < until_s - SPAN_S / 2:
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


def _bodies(evidence: Evidence) -> Iterator[str]:
    for start in evidence.starts:
        for seen in start.seen:
            call = evidence.calls[_request_id(seen)]
            if seen.ran and call.whole_s and seen.body != call.body:
                yield f"UNASKED {_request_id(seen)}: another body"


def _seen_by_id(evidence: Evidence) -> dict[str, list[tuple[Start, Seen]]]:
    found = defaultdict(list)
    for start in evidence.starts:
        for seen in start.seen:
            found[_request_id(seen)].append((start, seen))
    return found


def _unanswered(evidence: Evidence) -> Iterator[str]:
    """Find whole requests that got neither an answer nor a refusal."""
    reached = _seen_by_id(evidence)
    for request_id, call in evidence.calls.items():
        is_own_error = call.status == 500 and not call.is_sealed
        if not call.whole_s or call.timed_out or (call.status and not is_own_error):
            continue
        is_in_time = call.ended_s - call.whole_s <= LOST_SLACK_S
        # A VM that starts resets connections that it has not accepted.
        is_unread = call.was_reset and _is_excused(
            evidence, vm_of(request_id), call.sent_s, call.ended_s
        )
        is_owed = is_own_error or reached[request_id] or not (is_in_time or is_unread)
        if not is_owed:
            continue
        if _is_lost(evidence, request_id, call.sent_s, call.ended_s, reached):
            took_s = call.ended_s - call.sent_s
            at_s = call.sent_s - evidence.begun_s
            yield (
                f"LOST {request_id} {call.path} at {at_s:.2f} s: {call.status} after "
                f"{took_s:.2f} s"
            )


def _broken_off(evidence: Evidence) -> Iterator[str]:
    """Find streams that were broken off though their endpoints were sound."""
    reached = _seen_by_id(evidence)
    for stream in evidence.streams:
        for attempt in stream.attempts:
            if attempt.is_complete or attempt.left or attempt.timed_out:
                continue
            request_id, until_s = attempt.request_id, attempt.sent_s + attempt.held_s
            has_begun = attempt.status == 200 or (
                not attempt.status and reached[request_id]
            )
            if has_begun and _is_lost(
                evidence, request_id, attempt.sent_s, until_s, reached
            ):
                events = len(attempt.versions)
                at_s = attempt.sent_s - evidence.begun_s
                yield f"LOST {request_id} at {at_s:.2f} s: cut after {events} events"


def _is_lost(
    evidence: Evidence,
    request_id: str,
    sent_s: float,
    until_s: float,
    reached: dict[str, list[tuple[Start, Seen]]],
) -> bool:
    """Return whether neither a time limit, its VM nor an endpoint ended a request."""
    if not sent_s < until_s < sent_s + min(TIMEOUTS_MS) / 1000:
        return False
    spans = evidence.disturbed.get(vm_of(request_id), ())
    if any(span.touches(sent_s, until_s) and not span.is_planned for span in spans):
        return False
    return not any(
        seen.broke_off or seen.ended_s or start.until_s <= until_s
        for start, seen in reached[request_id]
    )


def _parts(evidence: Evidence) -> Iterator[str]:
    """Count requests with a part that crashes endpoints, after the fifth crash."""
    crashes_s = _crashes_s(evidence)
    if len(crashes_s) < CRASHES:
        return
    from_s = crashes_s[CRASHES - 1] + STABLE_S
    late = [
        seen
        for start in evidence.starts
        for seen in start.seen
        if seen.at_s > from_s
        and evidence.calls[_request_id(seen)].part
        and _is_in_touch(evidence, vm_of(_request_id(seen)), seen.at_s, seen.at_s)
    ]
    if len(late) > PART_MOST:
        yield f"BUDGET {len(late)} with a fatal part late, {len(crashes_s)} crashes"


def _crashes_s(evidence: Evidence) -> list[float]:
    return sorted(
        seen.ended_s for start in evidence.starts for seen in start.seen if seen.ended_s
    )


def _beside_parts(evidence: Evidence) -> Iterator[str]:
    """Compare sound requests beside those with a fatal part with those before."""
    crashes_s = _crashes_s(evidence)
    fatal_s = [call.sent_s for call in evidence.calls.values() if call.part]
    if not crashes_s or not fatal_s:
        return
    from_s = crashes_s[:CRASHES][-1] + 2 * STABLE_S
    reached = _seen_by_id(evidence)
    begun: dict[bool, list[bool]] = {True: [], False: []}
    for request_id, call in evidence.calls.items():
        is_beside = from_s <= call.sent_s <= max(fatal_s)
        is_sound = call.ended_s and not call.part and call.path in ENGINE_PATHS
        if not is_sound or not (is_beside or call.sent_s < min(fatal_s)):
            continue
        if _is_in_touch(evidence, vm_of(request_id), call.sent_s, call.ended_s):
            begun[is_beside].append(any(seen.ran for _, seen in reached[request_id]))
    beside, before = begun[True], begun[False]
    if min(len(beside), len(before)) < FEWEST_CALLS:
        return
    if sum(beside) / len(beside) < BEGUN_LEAST * sum(before) / len(before):
        yield (
            f"LOST {sum(beside)} of {len(beside)} begun beside a fatal part, "
            f"{sum(before)} of {len(before)} before"
        )


def _crowds(evidence: Evidence) -> Iterator[str]:
    """Compare requests while one VM gets most connections with those before."""
    reached = _seen_by_id(evidence)
    for vm, crowd in evidence.crowds:
        before_s, until_s = crowd.from_s - SPAN_S, crowd.until_s
        served: dict[bool, list[bool]] = {True: [], False: []}
        for request_id, call in evidence.calls.items():
            is_crowded = crowd.from_s + STABLE_S <= call.sent_s < until_s
            is_before = before_s <= call.sent_s < crowd.from_s
            if not (is_crowded or is_before) or not call.ended_s or call.part:
                continue
            if call.path not in PATHS:
                continue
            is_read = call.status or call.timed_out or reached[request_id]
            if not is_read or call.status == 429:
                continue
            if _is_in_touch(evidence, vm_of(request_id), before_s, call.ended_s):
                served[is_crowded].append(call.status == 200)
        crowded, before = served[True], served[False]
        if min(len(crowded), len(before)) < FEWEST_CALLS:
            continue
        least = CROWD_SERVED_LEAST * sum(before) / len(before)
        if sum(crowded) / len(crowded) < least:
            yield (
                f"RECOVER crowded VM {vm}: {sum(crowded)} of {len(crowded)}, before "
                f"{sum(before)} of {len(before)}"
            )
