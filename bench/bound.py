"""An upper bound of goodput by a planner that knows the whole trace.

It knows all arrivals, lengths, true speeds and faults in advance, so that no
policy can do better on the same trace.

Why it is a bound: each step below only removes restrictions. All engines are
taken as one that works at the sum of their speeds; a request may be split,
interrupted and moved at no cost, and counts in the fraction that is done
within its window (arrival to deadline, rounded outwards to whole buckets);
slots, memory and the network don't exist; a shared prefix costs nothing at
all. What is left are two resources, prompt tokens and answer
tokens. Every weighting of the two by ``w`` and ``1 - w`` gives a single
resource whose capacity each real schedule keeps as well, thus the least
result over several ``w`` still is a bound.

With one resource the set of feasible amounts is a polymatroid: amounts are
feasible when for every interval the work whose window lies inside it fits the
interval's capacity. On a polymatroid, taking requests in falling order of gain
for each unit of work, which is shortest first here, each as far as it fits, is
optimal (Edmonds).
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, replace
from statistics import mean
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.arrivals import Arrival
    from bench.engines import EngineSpeed

_BUCKET_S = 0.5
_MIXES = 11


@dataclass(frozen=True, slots=True)
class Slowdown:
    """A change of an engine's speed.

    Attributes:
        at_s: When.
        endpoint_id: Which engine.
        factor: How many times slower than declared it is from then on.
    """

    at_s: float
    endpoint_id: str
    factor: float


def of_mean_sizes(arrivals: Sequence[Arrival]) -> list[Arrival]:
    """Return the trace with each request of a work as long as their mean.

    What a planner reaches on it tells what is lost by not knowing lengths; it
    is no bound for the real trace.
    """
    works: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        works[arrival.work].append(arrival)
    found = []
    for same in works.values():
        prompt = mean(item.prompt_tokens - item.reusable_tokens for item in same)
        answer = mean(item.answer_tokens for item in same)
        found += [
            replace(item, prompt_tokens=prompt, answer_tokens=answer, prefix_tokens=0)
            for item in same
        ]
    return found


@dataclass(frozen=True, slots=True)
class _Task:
    first: int
    last: int
    prompt_tokens: float
    answer_tokens: float


def most_useful_answers(
    arrivals: Sequence[Arrival],
    engines: Sequence[EngineSpeed],
    slowdowns: Sequence[Slowdown] = (),
) -> float:
    """Return a number of useful answers that no schedule can exceed.

    Args:
        arrivals: The trace.
        engines: Engines with their true speeds.
        slowdowns: Changes of speed, known in advance.
    """
    tasks = [_task(arrival) for arrival in arrivals if _is_possible(arrival, engines)]
    if not tasks:
        return 0.0
    buckets = max(task.last for task in tasks) + 1
    prefill, decode = _capacities(engines, slowdowns, buckets)
    return min(
        _greedy(tasks, prefill, decode, number / (_MIXES - 1))
        for number in range(_MIXES)
    )


def _task(arrival: Arrival) -> _Task:
    end_s = arrival.at_s + arrival.deadline_ms / 1000.0
    return _Task(
        first=int(arrival.at_s / _BUCKET_S),
        last=math.ceil(end_s / _BUCKET_S) - 1,
        prompt_tokens=arrival.prompt_tokens - arrival.reusable_tokens,
        # The engine gives the first token with the end of the prefill.
        answer_tokens=arrival.answer_tokens - 1,
    )


def _is_possible(arrival: Arrival, engines: Sequence[EngineSpeed]) -> bool:
    prompt_tokens = arrival.prompt_tokens - arrival.reusable_tokens
    fastest_s = min(
        engine.alone_s(prompt_tokens, arrival.answer_tokens) for engine in engines
    )
    return fastest_s * 1000.0 <= arrival.deadline_ms


def _capacities(
    engines: Sequence[EngineSpeed], slowdowns: Sequence[Slowdown], buckets: int
) -> tuple[np.ndarray, np.ndarray]:
    """Return prompt and answer tokens that fit into each bucket."""
    prefill = np.zeros(buckets)
    decode = np.zeros(buckets)
    for engine in engines:
        speed = np.ones(buckets)
        for change in slowdowns:
            if change.endpoint_id == engine.endpoint_id:
                # A bucket in which the speed changes counts as fast.
                speed[math.ceil(max(0.0, change.at_s) / _BUCKET_S) :] = (
                    1.0 / change.factor
                )
        prefill += engine.prefill_tokens_per_s * _BUCKET_S * speed
        decode += engine.total_decode_tokens_per_s * _BUCKET_S * speed
    return prefill, decode


def _greedy(
    tasks: Sequence[_Task], prefill: np.ndarray, decode: np.ndarray, mix: float
) -> float:
    """Return the most answers with the two resources mixed into one."""
    # Scaled by one bucket's capacity, the two become comparable.
    prefill_unit = mix / float(prefill[0])
    decode_unit = (1.0 - mix) / float(decode[0])
    slack = _interval_capacities(prefill * prefill_unit + decode * decode_unit)
    sized = [
        (task.prompt_tokens * prefill_unit + task.answer_tokens * decode_unit, task)
        for task in tasks
    ]
    sized.sort(key=lambda pair: pair[0])
    total = 0.0
    for size, task in sized:
        # Intervals [a, b] around the task's window: a <= first, b >= last.
        around = slack[: task.first + 1, task.last :]
        done = min(size, max(0.0, float(around.min())))
        around -= done
        total += done / size if size > 0.0 else 1.0
    return total


def _interval_capacities(capacity: np.ndarray) -> np.ndarray:
    """Return the capacity of all intervals; empty ones count as unbounded."""
    sums = np.concatenate(([0.0], np.cumsum(capacity)))
    intervals = sums[np.newaxis, 1:] - sums[:-1, np.newaxis]
    return np.where(intervals > 0.0, intervals, np.inf)
