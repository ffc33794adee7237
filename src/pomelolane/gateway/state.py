"""What a gateway knows of one request, for itself and for others who ask.

It is the record in which "dispatched" is noted before the first byte leaves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.quarantine import Subjects, fingerprint_from_request

if TYPE_CHECKING:
    from pomelolane.gateway.intake import Call
    from pomelolane.quarantine import Run


class RequestState:
    """What the gateway knows of one request, for others who ask.

    Attributes:
        call: The checked request.
        dispatched: Whether a byte may have gone to an endpoint.
        endpoint_id: Where it runs or ran last.
        stream_id: The engine's stream of the last attempt.
        run: Its last attempt, until it is known what became of it.
        subjects: What may be to blame if endpoints crash under it.
        finished: Whether it has ended.
        outcome: Empty while open or on success, else the outcome.
        outlives_cancel: Whether the engine's stream is left running when this
            VM gives the request up, because a successor may resume it.
    """

    __slots__ = (
        "accepted_ms",
        "attempt",
        "begun",
        "call",
        "dispatched",
        "endpoint_id",
        "excluded",
        "finished",
        "outcome",
        "outlives_cancel",
        "run",
        "stream_id",
        "subjects",
    )

    def __init__(self, call: Call, accepted_ms: float) -> None:
        self.call = call
        self.accepted_ms = accepted_ms
        self.attempt = 0
        self.excluded: tuple[str, ...] = ()
        self.subjects = Subjects(
            fingerprint_from_request(
                call.organisation.name, call.method, call.path.encode(), call.body
            )
        )
        self.dispatched = False
        self.begun = False
        self.endpoint_id = ""
        self.stream_id = ""
        self.finished = False
        self.outcome = ""
        self.outlives_cancel = False
        self.run: Run | None = None

    def attempt_id(self) -> str:
        """Return the id of the current attempt, also its stream id."""
        if self.attempt == 0:
            return self.call.request_id
        return f"{self.call.request_id}.{self.attempt}"
