"""Prometheus counters and latency histograms of the forwarding gateway."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 2.0, 5.0, 15.0)

_ENDED_REQUESTS = Counter(
    "pomelolane_forwarded_total",
    "Forwarded requests that ended, by route, service, rank, outcome and reason.",
)
_FIRST_BYTE_SECONDS = Histogram(
    "pomelolane_forwarded_first_byte_seconds",
    "Time from a request's head to the first byte of its answer.",
    buckets=_BUCKETS_S,
)
_BEGUN_ANSWERS = Counter(
    "pomelolane_forwarded_begun_total",
    "Answers that began, by service, rank and whether within the objective.",
)
_WAIT_SECONDS = Histogram(
    "pomelolane_forwarded_wait_seconds",
    "Time that a request waited for a slot.",
    buckets=_BUCKETS_S,
)
_SENDS = Counter(
    "pomelolane_forwarded_sends_total", "Sends to endpoints, by service and result."
)
_ANSWERS_NOT_OWN = Counter(
    "pomelolane_forwarded_answers_not_own_total",
    "Answers of endpoints that name another request, or none, by service and which.",
)
_RESUMED_STREAMS = Counter(
    "pomelolane_resumed_streams_total",
    "Streams that callers resumed, by service and how their origin was found.",
)
_STORE_CALLS = Counter(
    "pomelolane_store_calls_total",
    "Calls to the metadata store, by call and status; 0 where no answer came.",
)
_STORE_BYTES = Counter(
    "pomelolane_store_bytes_total", "Body bytes to and from the metadata store."
)
_CONFIGURATION_VERSION = Gauge(
    "pomelolane_configuration_version", "Version of the configuration in force."
)
_CONFIGURATION_AGE_SECONDS = Gauge(
    "pomelolane_configuration_age_seconds",
    "Time that the configuration has been in force.",
)
_CONFIGURATION_CONFIRMED_SECONDS = Gauge(
    "pomelolane_configuration_confirmed_seconds",
    "Time since this VM last learned that there is no newer configuration.",
)
_LOOP_LAG_SECONDS = Gauge(
    "pomelolane_event_loop_lag_seconds",
    "Largest lag of the event loop in the last seconds.",
)


def count_end(
    route: str, service: str, rank: int, outcome: str, reason: str = ""
) -> None:
    """Count the end of a request."""
    _ENDED_REQUESTS.inc(
        {
            "route": route,
            "service": service,
            "rank": str(rank),
            "outcome": outcome,
            "reason": reason,
        }
    )


def count_send(service: str, result: str) -> None:
    """Count a send to an endpoint."""
    _SENDS.inc({"service": service, "result": result})


def count_answer_not_own(service: str, attribution: str) -> None:
    """Count an answer that names another request than it came for, or none."""
    _ANSWERS_NOT_OWN.inc({"service": service, "attribution": attribution})


def count_resumed(service: str, source: str) -> None:
    """Count a stream that a caller resumes; the source is ``unknown`` for a refusal."""
    _RESUMED_STREAMS.inc({"service": service, "source": source})


def observe_wait(service: str, wait_ms: float) -> None:
    """Observe how long a request waited for a slot."""
    _WAIT_SECONDS.observe({"service": service}, wait_ms / 1000)


def observe_first_byte(
    service: str, rank: int, first_ms: float, objective_ms: float
) -> None:
    """Observe the time to an answer's first byte, and whether it met the objective.

    Args:
        service: Service of the request.
        rank: Priority of the request.
        first_ms: Time from the request's head to the first byte of its answer.
        objective_ms: Time within which the answer should begin, 0 for none.
    """
    _FIRST_BYTE_SECONDS.observe({"service": service}, first_ms / 1000)
    in_time = not objective_ms or first_ms <= objective_ms
    labels = {"service": service, "rank": str(rank), "in_time": str(in_time).lower()}
    _BEGUN_ANSWERS.inc(labels)


def set_configuration(version: int, age_ms: float, confirmed_age_ms: float) -> None:
    """Set the version and the ages of the configuration in force."""
    _CONFIGURATION_VERSION.set({}, version)
    _CONFIGURATION_AGE_SECONDS.set({}, age_ms / 1000)
    _CONFIGURATION_CONFIRMED_SECONDS.set({}, confirmed_age_ms / 1000)


def set_loop_lag(lag_ms: float) -> None:
    """Set the largest lag of the event loop."""
    _LOOP_LAG_SECONDS.set({}, lag_ms / 1000)


def count_store_call(call: str, status: int, sent: int, received: int) -> None:
    """Count a call to the metadata store and its body bytes."""
    _STORE_CALLS.inc({"call": call, "status": str(status)})
    _STORE_BYTES.add({"direction": "sent"}, sent)
    _STORE_BYTES.add({"direction": "received"}, received)
